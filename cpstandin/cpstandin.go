// Package cpstandin is the command line of clementineport-standin. It parses flags and runs fake platform services,
// targets and callers until the process is stopped. Other packages implement these.
package cpstandin

import (
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/clementineport/clementineport/cpsubcommand"
	"github.com/clementineport/clementineport/platform/cpfakesite"
)

// Run executes the command line and returns the exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	return cpsubcommand.Run("clementineport-standin", []*ffcli.Command{
		newStoreCommand(stdout, stderr),
		newTargetCommand(stdout, stderr),
		cpfakesite.NewSiteCommand(stdout, stderr),
		cpfakesite.NewCallersCommand(stdout, stderr),
	}, args, stderr)
}
