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
		FlagSet:    newFlagSet("clementineport", stdout),
		Exec:       func(context.Context, []string) error { return flag.ErrHelp },
	}
	err := root.ParseAndRun(ctx, args)
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, flag.ErrHelp):
		return ExitUsage
	default:
		fmt.Fprintln(stderr, "clementineport:", err)
		return ExitFailed
	}
}

func newFlagSet(name string, w io.Writer) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(w)
	return fs
}
