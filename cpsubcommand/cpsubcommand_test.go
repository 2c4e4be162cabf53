package cpsubcommand_test

import (
	"context"
	"io"
	"strings"
	"testing"

	"github.com/peterbourgon/ff/v3/ffcli"
	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpsubcommand"
)

// run runs a command line with one subcommand, which returns result.
func run(result error, args ...string) (code int, stderr string) {
	var b strings.Builder
	fs := cpsubcommand.NewFlagSet("do", &b)
	fs.Int("n", 0, "a number")
	code = cpsubcommand.Run("program", []*ffcli.Command{{
		Name: "do", ShortUsage: "program do [flags]", FlagSet: fs,
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				if _, err := cpsubcommand.ParseMixed(cpsubcommand.NewFlagSet("do", io.Discard), args); err != nil {
					return err
				}
			}
			return result
		},
	}}, args, &b)
	return code, b.String()
}

func TestExitCodes(t *testing.T) {
	for _, row := range []struct {
		name   string
		result error
		args   []string
		code   int
		output string
	}{
		{"done", nil, []string{"do"}, cpsubcommand.ExitOK, ""},
		{"help of a subcommand", nil, []string{"do", "--help"}, cpsubcommand.ExitOK, "program do [flags]"},
		{"help after an argument", nil, []string{"do", "x", "--help"}, cpsubcommand.ExitOK, ""},
		{"help of the program", nil, []string{"--help"}, cpsubcommand.ExitOK, "program <subcommand>"},
		{"no subcommand", nil, nil, cpsubcommand.ExitUsage, "program <subcommand>"},
		{"an unknown flag", nil, []string{"do", "--wrong"}, cpsubcommand.ExitUsage, "wrong"},
		{"a wrong value", nil, []string{"do", "-n", "x"}, cpsubcommand.ExitUsage, "invalid value"},
		{"wrong use", cpsubcommand.Usagef("one argument"), []string{"do"}, cpsubcommand.ExitUsage, "one argument"},
		{"refused", clementineport.Fail(clementineport.FaultConflict, "no"), []string{"do"}, cpsubcommand.ExitRefused, "no"},
		{"unreachable", clementineport.Fail(clementineport.FaultRefused, "no"), []string{"do"}, cpsubcommand.ExitUnreachable, "no"},
		{"unknown", clementineport.Fail(clementineport.FaultTimeout, "no"), []string{"do"}, cpsubcommand.ExitUnknown, "no"},
		{"failed", io.EOF, []string{"do"}, cpsubcommand.ExitFailed, "EOF"},
	} {
		t.Run(row.name, func(t *testing.T) {
			code, stderr := run(row.result, row.args...)
			assert.Equal(t, code, row.code, stderr)
			assert.Assert(t, strings.Contains(stderr, row.output), stderr)
		})
	}
}
