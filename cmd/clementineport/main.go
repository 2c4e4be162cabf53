// Command clementineport runs an entry VM and provides the operators' commands.
package main

import (
	"os"

	"github.com/clementineport/clementineport/cpcli"
)

func main() {
	os.Exit(cpcli.Run(os.Args[1:], os.Stdout, os.Stderr))
}
