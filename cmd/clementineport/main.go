// Command clementineport runs an entry VM and the tools of its operators.
package main

import (
	"os"

	"github.com/clementineport/clementineport/cpcli"
)

func main() {
	os.Exit(cpcli.Run(os.Args[1:], os.Stdout, os.Stderr))
}
