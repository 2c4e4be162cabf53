// Package cpsubcommand runs a command line with subcommands and maps their errors to exit codes on which scripts may
// rely. The caller provides the subcommands.
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

// usageError reports incorrect use of the command line.
type usageError struct {
	text string
}

// Usagef returns an error for incorrect use of the command line.
func Usagef(format string, args ...any) error { return &usageError{text: fmt.Sprintf(format, args...)} }

// Error implements error.
func (e *usageError) Error() string { return e.text }

// errNoSubcommand reports a command line without a subcommand. It wraps flag.ErrHelp, so that the help is printed.
var errNoSubcommand = fmt.Errorf("no subcommand: %w", flag.ErrHelp)

// Run executes one of the subcommands and returns the exit code. SIGTERM and SIGINT cancel its context.
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

// ExitCode returns the exit code for an error of a subcommand, which may be nil.
func ExitCode(err error) int {
	if _, ok := errors.AsType[*usageError](err); ok || errors.Is(err, errNoSubcommand) {
		return ExitUsage
	}
	if errors.Is(err, flag.ErrHelp) {
		return ExitOK // the help was requested and has been printed
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

// NewFlagSet returns an empty flag set that writes errors and help to w.
func NewFlagSet(name string, w io.Writer) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(w)
	return fs
}

// ParseMixed parses args, in which flags may follow positional arguments, and returns the positional arguments.
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
