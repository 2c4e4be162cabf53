// Package cpcli is the command line of clementineport: it parses arguments, calls the packages that do
// the work, and turns their errors into exit codes.
package cpcli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// Exit codes of the command.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitUsage       = 2
	ExitRefused     = 3
	ExitUnknown     = 4
	ExitUnreachable = 5
)

// Run executes the command line and returns the exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	root := &ffcli.Command{
		Name:       "clementineport",
		ShortUsage: "clementineport <subcommand> [flags]",
		FlagSet:    newFlagSet("clementineport", stderr),
		Subcommands: append([]*ffcli.Command{
			newEntryCommand(stdout, stderr),
			newStatusCommand(stdout, stderr),
			newExplainCommand(stdout, stderr),
			NewLoadCommand(stdout, stderr),
			NewPlotCommand(stdout, stderr),
		}, ConfigCommands(stdout, stderr)...),
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
	err := root.Parse(args)
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		err = usagef("%v", err)
	}
	if err == nil {
		err = root.Run(ctx)
	}
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(stderr, "clementineport:", err)
	}
	return ExitCode(err)
}

func newFlagSet(name string, w io.Writer) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(w)
	return fs
}
