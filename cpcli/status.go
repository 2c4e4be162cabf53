package cpcli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpattempt"
	"github.com/clementineport/clementineport/cpsubcommand"
	"github.com/clementineport/clementineport/cpview"
)

// newStatusCommand returns the status command, which shows the fleet as one VM sees it.
func newStatusCommand(stdout, stderr io.Writer) *ffcli.Command {
	fs := cpsubcommand.NewFlagSet("status", stderr)
	var f operatorFlags
	f.register(fs)
	return newCommand(fs, "[flags]", "Show the VMs and the revision in force at each.",
		func(ctx context.Context, _ []string) error {
			client, err := f.client()
			if err != nil {
				return err
			}
			status, err := client.Status(ctx)
			if err != nil {
				return err
			}
			if f.json {
				return json.NewEncoder(stdout).Encode(&status)
			}
			return printStatus(stdout, &status)
		})
}

func printStatus(stdout io.Writer, s *cpview.Status) error {
	fmt.Fprintf(stdout, "revision %d in force, known to be the newest %s ago\n", s.Revision, s.Fresh.Round(time.Millisecond))
	if s.Restored != 0 {
		fmt.Fprintf(stdout, "the store answers with the older revision %d; it was restored\n", s.Restored)
	}
	w := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "VM\tDOMAIN\tSTATE\tREVISION\tCONFIRMED\tOUT\tANSWERED")
	for i := range s.Rows {
		r := &s.Rows[i]
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%v\t%v\t%s\n",
			r.VM.ID, r.VM.Domain, r.State, r.Revision, r.Confirmed, r.Out, r.Answered.Round(time.Millisecond))
	}
	return w.Flush()
}

// newExplainCommand returns the explain command, which shows how a recent query was executed, or how the logs of VMs
// describe the handling of a request.
func newExplainCommand(stdout, stderr io.Writer) *ffcli.Command {
	fs := cpsubcommand.NewFlagSet("explain", stderr)
	var f operatorFlags
	f.register(fs)
	logs := fs.String("logs", "", "log of a VM; more logs may follow before the request's id")
	return newCommand(fs, "[--logs FILE [FILE...]] REQUEST-ID [flags]", "Show what became of a request.",
		func(ctx context.Context, args []string) error {
			if *logs != "" && len(args) > 0 {
				files := append([]string{*logs}, args[:len(args)-1]...)
				return explainLogs(stdout, stderr, files, args[len(args)-1], f.json)
			}
			if len(args) != 1 {
				return cpsubcommand.Usagef("usage: clementineport explain [--logs FILE [FILE...]] REQUEST-ID [flags]")
			}
			client, err := f.client()
			if err != nil {
				return err
			}
			reply, err := client.Explain(ctx, clementineport.RequestID(args[0]))
			if err != nil {
				return err
			}
			if f.json {
				return json.NewEncoder(stdout).Encode(&reply)
			}
			return printTrace(stdout, &reply)
		})
}

func printTrace(stdout io.Writer, t *cpattempt.Explanation) error {
	fmt.Fprintf(stdout, "request %s, snapshot %s, took %s, %d calls, %d hedges, %d retries, %d dropped\n",
		t.Request, t.Snapshot, t.Took, t.Stats.Calls, t.Stats.Hedges, t.Stats.Retries, t.Dropped)
	w := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ATTEMPT\tSHARD\tTARGET\tTRY\tSENT\tTOOK\tENDING\tFAULT")
	for i := range t.Attempts {
		a := &t.Attempts[i]
		fault := a.Fault.String()
		if a.Fault == clementineport.FaultUnknown && a.Ending != "failed" {
			fault = "-"
		}
		fmt.Fprintf(w, "%d\t%d\t%s\t%s\t%s\t%s\t%s\t%s\n", a.Attempt, a.Shard, a.Target, a.Try, a.Sent, a.Took, a.Ending, fault)
	}
	return w.Flush()
}
