package cpcli

import (
	"errors"
	"flag"
	"fmt"

	"github.com/clementineport/clementineport"
)

// usageError is a wrong use of the command line.
type usageError struct {
	text string
}

func usagef(format string, args ...any) error { return &usageError{text: fmt.Sprintf(format, args...)} }

// Error implements error.
func (e *usageError) Error() string { return e.text }

// ExitCode returns the exit code for the error of a subcommand.
func ExitCode(err error) int {
	if _, ok := errors.AsType[*usageError](err); ok || errors.Is(err, flag.ErrHelp) {
		return ExitUsage
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

// parseMixed parses flags that stand after positional arguments too, and returns the positional ones.
func parseMixed(fs *flag.FlagSet, args []string) ([]string, error) {
	var positional []string
	for len(args) > 0 {
		positional = append(positional, args[0])
		if err := fs.Parse(args[1:]); err != nil {
			return nil, usagef("%v", err)
		}
		args = fs.Args()
	}
	return positional, nil
}
