package cpcli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"os/user"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/zeebo/errs"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpoperator/cpoperatorclient"
	"github.com/clementineport/clementineport/cpsubcommand"
	"github.com/clementineport/clementineport/cpsubmit"
)

// changeFlags holds the flags that all commands that change the configuration share.
type changeFlags struct {
	operatorFlags
	id      string
	author  string
	basedOn uint64
	wait    time.Duration
}

func (c *changeFlags) register(fs *flag.FlagSet) {
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

// submissionID returns the submission id of the change, which is the same on every call.
func (c *changeFlags) submissionID() clementineport.SubmissionID {
	if c.id == "" {
		c.id = uuid.NewString()
	}
	return clementineport.SubmissionID(c.id)
}

// send sends the change and prints its outcome.
func (c *changeFlags) send(
	ctx context.Context, stdout io.Writer,
	send func(*cpoperatorclient.Client) (cpoperatorclient.Accepted, error),
) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	accepted, err := send(client)
	if err != nil {
		if cpsubcommand.ExitCode(err) == cpsubcommand.ExitUnknown {
			return fmt.Errorf("the outcome is unknown; repeat the command with --id %s to learn it: %w", c.id, err)
		}
		return err
	}
	var missing []clementineport.VMID
	if c.wait > 0 {
		missing, err = client.WaitInForce(ctx, accepted.Revision, c.wait)
	}
	if printed := c.print(stdout, &accepted, missing); printed != nil {
		return printed
	}
	return err
}

func (c *changeFlags) print(stdout io.Writer, reply *cpoperatorclient.Accepted, missing []clementineport.VMID) error {
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

// newSubmitCommand returns the submit command.
func newSubmitCommand(stdout, stderr io.Writer) *ffcli.Command {
	fs := cpsubcommand.NewFlagSet("submit", stderr)
	var c changeFlags
	c.register(fs)
	return newCommand(fs, "FILE --based-on REVISION [flags]", "Submit an edited estate text.", func(ctx context.Context, args []string) error {
		if len(args) != 1 || !isSet(fs, "based-on") {
			return cpsubcommand.Usagef("submit needs a file and --based-on")
		}
		text, err := os.ReadFile(args[0])
		if err != nil {
			return errs.Wrap(err)
		}
		return c.send(ctx, stdout, func(client *cpoperatorclient.Client) (cpoperatorclient.Accepted, error) {
			return client.Submit(ctx, cpsubmit.Submission{
				ID: c.submissionID(), Author: c.author, BasedOn: clementineport.Revision(c.basedOn), Text: text,
			})
		})
	})
}

func isSet(fs *flag.FlagSet, name string) bool {
	found := false
	fs.Visit(func(f *flag.Flag) { found = found || f.Name == name })
	return found
}

// newSetOutCommand returns the take-out or the bring-back command.
func newSetOutCommand(action cpsubmit.Action, stdout, stderr io.Writer) *ffcli.Command {
	fs := cpsubcommand.NewFlagSet(string(action), stderr)
	var c changeFlags
	c.register(fs)
	help := "Take a VM or a failure domain out of service."
	if action == cpsubmit.BringBack {
		help = "Bring a VM or a failure domain back into service."
	}
	return newCommand(fs, "vm|domain NAME [flags]", help, func(ctx context.Context, args []string) error {
		if len(args) != 2 {
			return cpsubcommand.Usagef("%s needs vm or domain, and a name", action)
		}
		return c.send(ctx, stdout, func(client *cpoperatorclient.Client) (cpoperatorclient.Accepted, error) {
			return client.SetOut(ctx, cpsubmit.OutRequest{
				ID: c.submissionID(), Author: c.author, BasedOn: clementineport.Revision(c.basedOn),
				Action: action, Kind: cpsubmit.Kind(args[0]), Name: args[1],
			})
		})
	})
}

// newShowCommand returns the show command.
func newShowCommand(stdout, stderr io.Writer) *ffcli.Command {
	return readCommand("show", "Show the estate text in force, its revision and what is out.", stderr, stdout, func(reply *cpoperatorclient.Config) {
		fmt.Fprintf(stdout, "# Revision: %d\n# Out: VMs %v, failure domains %v\n%s", reply.Revision, reply.Out.VMs, reply.Out.Domains, reply.Text)
	})
}

// newHistoryCommand returns the history command.
func newHistoryCommand(stdout, stderr io.Writer) *ffcli.Command {
	return readCommand("history", "Show who changed what and when.", stderr, stdout, func(reply *cpoperatorclient.Config) {
		for _, c := range reply.Changes {
			fmt.Fprintf(stdout, "%d  %s  %s  %s  (%s)\n", c.Revision, c.At.Format(time.RFC3339), c.Author, c.Summary, c.Submission)
		}
	})
}

func readCommand(name, help string, stderr, stdout io.Writer, show func(*cpoperatorclient.Config)) *ffcli.Command {
	fs := cpsubcommand.NewFlagSet(name, stderr)
	var f operatorFlags
	f.register(fs)
	return newCommand(fs, "[flags]", help, func(ctx context.Context, args []string) error {
		if len(args) > 0 {
			return cpsubcommand.Usagef("%s takes no arguments, but got %s", name, strings.Join(args, " "))
		}
		client, err := f.client()
		if err != nil {
			return err
		}
		reply, err := client.Config(ctx)
		if err != nil {
			return err
		}
		if f.json {
			return json.NewEncoder(stdout).Encode(reply)
		}
		show(&reply)
		return nil
	})
}
