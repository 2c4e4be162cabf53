// Package cpcli implements the command line of clementineport: it parses flags, calls the packages that do the work
// and prints what they return. cpsubcommand maps errors to exit codes.
package cpcli

import (
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/clementineport/clementineport/cpplatformvm"
	"github.com/clementineport/clementineport/cpsubcommand"
	"github.com/clementineport/clementineport/cpsubmit"
)

// Run executes the command line and returns the exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	return cpsubcommand.Run("clementineport", []*ffcli.Command{
		newEntryCommand(stdout, stderr),
		cpplatformvm.NewCommand(stdout, stderr),
		newStatusCommand(stdout, stderr),
		newExplainCommand(stdout, stderr),
		newLoadCommand(stdout, stderr),
		newModelCommand(stdout, stderr),
		newPlotCommand(stdout, stderr),
		newCheckCommand(stdout, stderr),
		newGenerateCommand(stdout, stderr),
		newSubmitCommand(stdout, stderr),
		newShowCommand(stdout, stderr),
		newHistoryCommand(stdout, stderr),
		newSetOutCommand(cpsubmit.TakeOut, stdout, stderr),
		newSetOutCommand(cpsubmit.BringBack, stdout, stderr),
	}, args, stderr)
}
