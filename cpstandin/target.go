package cpstandin

import (
	"context"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func targetCommand(_, stderr io.Writer) *ffcli.Command {
	fs := newFlagSet("clementineport-standin target", stderr)
	return &ffcli.Command{
		Name:       "target",
		ShortUsage: "clementineport-standin target [flags]",
		ShortHelp:  "run one or many targets",
		FlagSet:    fs,
		Exec:       func(context.Context, []string) error { return nil },
	}
}
