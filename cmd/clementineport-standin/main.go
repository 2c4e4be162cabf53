// Command clementineport-standin runs fakes of the systems around clementineport.
package main

import (
	"os"

	"github.com/clementineport/clementineport/cpstandin"
)

func main() {
	os.Exit(cpstandin.Run(os.Args[1:], os.Stdout, os.Stderr))
}
