package cpcli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/zeebo/errs"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpestate"
	"github.com/clementineport/clementineport/cpestategen"
	"github.com/clementineport/clementineport/cpsettings"
	"github.com/clementineport/clementineport/cpsubcommand"
	"github.com/clementineport/clementineport/cpyaml"
)

// newCheckCommand returns the check command, which works offline.
func newCheckCommand(stdout, stderr io.Writer) *ffcli.Command {
	fs := cpsubcommand.NewFlagSet("check", stderr)
	kind := fs.String("kind", "auto", "what the file holds: estate, settings or auto")
	asJSON := fs.Bool("json", false, "print JSON")
	return newCommand(fs, "FILE [flags]", "Check an estate text or the settings of a process and list all faults.", func(_ context.Context, args []string) error {
		if len(args) != 1 {
			return cpsubcommand.Usagef("check needs one file")
		}
		text, err := os.ReadFile(args[0])
		if err != nil {
			return errs.Wrap(err)
		}
		summary, err := checkText(*kind, text)
		var faults cpyaml.Faults
		if err != nil && !errors.As(err, &faults) {
			return err
		}
		if err := printCheck(stdout, *asJSON, args[0], summary, faults); err != nil {
			return err
		}
		if len(faults) > 0 {
			return clementineport.Fail(clementineport.FaultInvalid, "%s has %d faults", args[0], len(faults))
		}
		return nil
	})
}

// checkText checks a text and returns a summary of it. With kind auto, a text with the top-level key VM is taken for
// settings.
func checkText(kind string, text []byte) (string, error) {
	if kind == "auto" {
		kind = "estate"
		if bytes.HasPrefix(text, []byte("VM:")) || bytes.Contains(text, []byte("\nVM:")) {
			kind = "settings"
		}
	}
	switch kind {
	case "estate":
		e, err := cpestate.Parse(text)
		if err != nil {
			return "", err
		}
		return cpestate.Summary(e), nil
	case "settings":
		s, err := cpsettings.Parse(text)
		if err != nil {
			return "", err
		}
		return fmt.Sprintf("settings of VM %s in failure domain %s", s.VM, s.Domain), nil
	default:
		return "", cpsubcommand.Usagef("--kind is %q; allowed: estate, settings, auto", kind)
	}
}

func printCheck(stdout io.Writer, asJSON bool, file, summary string, faults cpyaml.Faults) error {
	if asJSON {
		return json.NewEncoder(stdout).Encode(struct {
			File    string
			Summary string        `json:",omitempty"`
			Faults  cpyaml.Faults `json:",omitempty"`
		}{file, summary, faults})
	}
	for _, f := range faults {
		fmt.Fprintf(stdout, "%s: %s\n", file, f)
	}
	if len(faults) == 0 {
		fmt.Fprintf(stdout, "%s: good: %s\n", file, summary)
	}
	return nil
}

// newGenerateCommand returns the generate command.
func newGenerateCommand(stdout, stderr io.Writer) *ffcli.Command {
	fs := cpsubcommand.NewFlagSet("generate", stderr)
	size := fs.String("size", string(cpestategen.SizeSmall), fmt.Sprintf("one of %v", cpestategen.Sizes()))
	return newCommand(fs, "--size SIZE", "Print an estate text of a size.", func(_ context.Context, args []string) error {
		if len(args) > 0 {
			return cpsubcommand.Usagef("generate takes no arguments")
		}
		e, err := cpestategen.Generate(cpestategen.Size(*size))
		if err != nil {
			return cpsubcommand.Usagef("%v", err)
		}
		_, err = stdout.Write(cpestate.Format(e))
		return err
	})
}
