// Package cpstandin is the command line of the stand-ins: it parses flags and runs the packages that do
// the work until the process is told to stop. It holds no behaviour of a stand-in itself.
package cpstandin

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
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// Run executes the command line and returns the exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	root := &ffcli.Command{
		Name:       "clementineport-standin",
		ShortUsage: "clementineport-standin <subcommand> [flags]",
		FlagSet:    newFlagSet("clementineport-standin", stderr),
		Subcommands: []*ffcli.Command{
			StoreCommand(stdout, stderr),
			targetCommand(stdout, stderr),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
	if err := root.Parse(args); err != nil {
		return ExitUsage
	}
	err := root.Run(ctx)
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, flag.ErrHelp):
		return ExitUsage
	default:
		fmt.Fprintln(stderr, "clementineport-standin:", err)
		return ExitFailed
	}
}

func newFlagSet(name string, w io.Writer) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(w)
	return fs
}
