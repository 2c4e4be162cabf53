package cpcli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/user"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/zeebo/errs"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpoperator"
	"github.com/clementineport/clementineport/cpsubmit"
)

// configReply is what an entry says of the configuration.
type configReply struct {
	Revision clementineport.Revision
	Text     string
	Out      clementineport.Out
	Changes  []clementineport.Change
}

// changeReply is what an entry says of an accepted change.
type changeReply struct {
	Revision clementineport.Revision
	Outcome  string
	Repeated bool
	Restored bool
}

// ConfigCommands returns the subcommands that check, change and show the configuration.
func ConfigCommands(stdout, stderr io.Writer) []*ffcli.Command {
	return []*ffcli.Command{
		NewCheckCommand(stdout, stderr),
		NewGenerateCommand(stdout, stderr),
		NewSubmitCommand(stdout, stderr),
		NewShowCommand(stdout, stderr),
		NewHistoryCommand(stdout, stderr),
		NewMoveCommand(cpsubmit.TakeOut, stdout, stderr),
		NewMoveCommand(cpsubmit.BringBack, stdout, stderr),
	}
}

func configCommand(fs *flag.FlagSet, usage, help string, exec func(ctx context.Context, args []string) error) *ffcli.Command {
	return &ffcli.Command{
		Name:       fs.Name(),
		ShortUsage: "clementineport " + fs.Name() + " " + usage,
		ShortHelp:  help,
		FlagSet:    fs,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, args []string) error {
			positional, err := parseMixed(fs, args)
			if err != nil {
				return err
			}
			return exec(ctx, positional)
		},
	}
}

// change holds the flags that all changes share.
type change struct {
	operatorFlags
	id      string
	author  string
	basedOn uint64
	wait    time.Duration
}

func (c *change) register(fs *flag.FlagSet) {
	c.operatorFlags.register(fs)
	fs.StringVar(&c.id, "id", "", "submission id; give the id of an earlier try to learn its outcome (default: a new one)")
	fs.StringVar(&c.author, "author", userName(), "who makes the change")
	fs.Uint64Var(&c.basedOn, "based-on", 0, "revision that the change was made from")
	fs.DurationVar(&c.wait, "wait", 0, "wait until all live VMs have the revision in force")
}

func userName() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// submissionID returns the id of the change; it stays the same in every repetition.
func (c *change) submissionID() clementineport.SubmissionID {
	if c.id == "" {
		c.id = uuid.NewString()
	}
	return clementineport.SubmissionID(c.id)
}

// send makes the change and prints its outcome.
func (c *change) send(ctx context.Context, path string, body any, stdout io.Writer) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	var reply changeReply
	if err := client.call(ctx, http.MethodPost, path, body, &reply); err != nil {
		if ExitCode(err) == ExitUnknown {
			return fmt.Errorf("the outcome is unknown; repeat the command with --id %s to learn it: %w", c.id, err)
		}
		return err
	}
	var missing []clementineport.VMID
	if c.wait > 0 {
		missing, err = waitInForce(ctx, client, reply.Revision, c.wait)
	}
	if printed := c.print(stdout, &reply, missing); printed != nil {
		return printed
	}
	return err
}

func (c *change) print(stdout io.Writer, reply *changeReply, missing []clementineport.VMID) error {
	if c.json {
		return json.NewEncoder(stdout).Encode(struct {
			Revision    clementineport.Revision
			Outcome     string
			Submission  string
			Repeated    bool
			Restored    bool
			Unconfirmed []clementineport.VMID `json:",omitempty"`
		}{reply.Revision, reply.Outcome, c.id, reply.Repeated, reply.Restored, missing})
	}
	fmt.Fprintf(stdout, "%s as revision %d\n", reply.Outcome, reply.Revision)
	if reply.Restored {
		fmt.Fprintln(stdout, "the store held a lower revision than the one in force")
	}
	for _, vm := range missing {
		fmt.Fprintf(stdout, "not confirmed by %s\n", vm)
	}
	return nil
}

// NewSubmitCommand returns the submit command.
func NewSubmitCommand(stdout, stderr io.Writer) *ffcli.Command {
	fs := newFlagSet("submit", stderr)
	var c change
	c.register(fs)
	return configCommand(fs, "FILE --based-on REVISION [flags]", "Submit an edited estate text.", func(ctx context.Context, args []string) error {
		if len(args) != 1 || !given(fs, "based-on") {
			return usagef("submit needs a file and --based-on")
		}
		text, err := os.ReadFile(args[0])
		if err != nil {
			return errs.Wrap(err)
		}
		return c.send(ctx, cpoperator.SubmitPath, struct {
			Submission clementineport.SubmissionID
			Author     string
			BasedOn    uint64
			Text       string
		}{c.submissionID(), c.author, c.basedOn, string(text)}, stdout)
	})
}

func given(fs *flag.FlagSet, name string) bool {
	found := false
	fs.Visit(func(f *flag.Flag) { found = found || f.Name == name })
	return found
}

// NewMoveCommand returns the take-out or bring-back command.
func NewMoveCommand(action cpsubmit.Action, stdout, stderr io.Writer) *ffcli.Command {
	fs := newFlagSet(string(action), stderr)
	var c change
	c.register(fs)
	help := "Take a VM or a failure domain out of service."
	if action == cpsubmit.BringBack {
		help = "Bring a VM or a failure domain back into service."
	}
	return configCommand(fs, "vm|domain NAME [flags]", help, func(ctx context.Context, args []string) error {
		if len(args) != 2 {
			return usagef("%s needs vm or domain, and a name", action)
		}
		return c.send(ctx, cpoperator.OutPath, struct {
			Submission clementineport.SubmissionID
			Author     string
			BasedOn    uint64
			Action     cpsubmit.Action
			Kind, Name string
		}{c.submissionID(), c.author, c.basedOn, action, args[0], args[1]}, stdout)
	})
}

// NewShowCommand returns the show command.
func NewShowCommand(stdout, stderr io.Writer) *ffcli.Command {
	return readCommand("show", "Show the estate text in force, its revision and what is out.", stderr, stdout, func(reply *configReply) {
		fmt.Fprintf(stdout, "# Revision: %d\n# Out: VMs %v, failure domains %v\n%s", reply.Revision, reply.Out.VMs, reply.Out.Domains, reply.Text)
	})
}

// NewHistoryCommand returns the history command.
func NewHistoryCommand(stdout, stderr io.Writer) *ffcli.Command {
	return readCommand("history", "Show who changed what and when.", stderr, stdout, func(reply *configReply) {
		for _, c := range reply.Changes {
			fmt.Fprintf(stdout, "%d  %s  %s  %s  (%s)\n", c.Revision, c.At.Format(time.RFC3339), c.Author, c.Summary, c.Submission)
		}
	})
}

func readCommand(name, help string, stderr, stdout io.Writer, show func(*configReply)) *ffcli.Command {
	fs := newFlagSet(name, stderr)
	var f operatorFlags
	f.register(fs)
	return configCommand(fs, "[flags]", help, func(ctx context.Context, args []string) error {
		if len(args) > 0 {
			return usagef("%s takes no arguments, but got %s", name, strings.Join(args, " "))
		}
		client, err := f.client()
		if err != nil {
			return err
		}
		var reply configReply
		if err := client.call(ctx, http.MethodGet, cpoperator.ConfigPath, nil, &reply); err != nil {
			return err
		}
		if f.json {
			return json.NewEncoder(stdout).Encode(reply)
		}
		show(&reply)
		return nil
	})
}
