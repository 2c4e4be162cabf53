// Package cpsubcommand runs a command line made of subcommands and turns errors into exit codes. It decides what
// a script may conclude from an exit code; it knows no subcommand.
package cpsubcommand

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/clementineport/clementineport"
)

// Exit codes of a command.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitUsage       = 2
	ExitRefused     = 3
	ExitUnknown     = 4
	ExitUnreachable = 5
)

// usageError is a wrong use of the command line.
type usageError struct {
	text string
}

// Usagef returns the error of a wrong use of the command line.
func Usagef(format string, args ...any) error { return &usageError{text: fmt.Sprintf(format, args...)} }

// Error implements error.
func (e *usageError) Error() string { return e.text }

// errNoSubcommand is the error of a command line without a subcommand; the help is printed for it too.
var errNoSubcommand = fmt.Errorf("no subcommand: %w", flag.ErrHelp)

// Run executes one of the subcommands until it ends or the process is told to stop, and returns the exit code.
func Run(name string, subcommands []*ffcli.Command, args []string, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	root := &ffcli.Command{
		Name:        name,
		ShortUsage:  name + " <subcommand> [flags]",
		FlagSet:     NewFlagSet(name, stderr),
		Subcommands: subcommands,
		Exec:        func(context.Context, []string) error { return errNoSubcommand },
	}
	err := root.Parse(args)
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		err = Usagef("%v", err)
	}
	if err == nil {
		err = root.Run(ctx)
	}
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(stderr, name+":", err)
	}
	return ExitCode(err)
}

// ExitCode returns the exit code for the error of a subcommand.
func ExitCode(err error) int {
	if _, ok := errors.AsType[*usageError](err); ok || errors.Is(err, errNoSubcommand) {
		return ExitUsage
	}
	if errors.Is(err, flag.ErrHelp) {
		return ExitOK // the help was asked for and has been printed
	}
	if _, ok := errors.AsType[*clementineport.Error](err); !ok {
		if err == nil {
			return ExitOK
		}
		return ExitFailed
	}
	switch fault := clementineport.FaultOf(err); {
	case fault == clementineport.FaultRefused, fault == clementineport.FaultUnsent, fault == clementineport.FaultUnavailable:
		return ExitUnreachable
	case fault.Verdict() == clementineport.NotRun:
		return ExitRefused
	default:
		return ExitUnknown
	}
}

// NewFlagSet returns an empty flag set that writes its faults and help to w.
func NewFlagSet(name string, w io.Writer) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(w)
	return fs
}

// ParseMixed parses flags that stand after positional arguments too, and returns the positional ones.
func ParseMixed(fs *flag.FlagSet, args []string) ([]string, error) {
	var positional []string
	for len(args) > 0 {
		positional = append(positional, args[0])
		err := fs.Parse(args[1:])
		if errors.Is(err, flag.ErrHelp) {
			return nil, err
		}
		if err != nil {
			return nil, Usagef("%v", err)
		}
		args = fs.Args()
	}
	return positional, nil
}
