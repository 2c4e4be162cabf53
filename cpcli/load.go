package cpcli

import (
	"context"
	"encoding/json"
	"flag"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/zeebo/errs"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpload"
	"github.com/clementineport/clementineport/cpreport"
	"github.com/clementineport/clementineport/cpsubcommand"
)

// loadFlags holds the flags of the load command. Those beside opts are parsed into it or concern the output.
type loadFlags struct {
	opts     cpload.Options
	entries  string
	domains  string
	services string
	policies string
	json     bool
	timeline string
}

// newLoadCommand returns the load command.
func newLoadCommand(stdout, stderr io.Writer) *ffcli.Command {
	fs := cpsubcommand.NewFlagSet("load", stderr)
	f := &loadFlags{opts: cpload.DefaultOptions()}
	fs.StringVar(&f.entries, "entries", "", "caller addresses of entries, separated by commas")
	fs.StringVar(&f.domains, "domain", "", "failure domains of the callers in turn, separated by commas")
	fs.Float64Var(&f.opts.Rate, "rate", f.opts.Rate, "queries a second")
	fs.DurationVar(&f.opts.Duration, "duration", f.opts.Duration, "length of the run")
	fs.StringVar(&f.services, "services", "", "services as name[=weight], separated by commas")
	fs.Float64Var(&f.opts.NonIdempotent, "non-idempotent", 0, "share of queries marked as non-idempotent, 0 to 1")
	fs.IntVar(&f.opts.Callers, "callers", f.opts.Callers, "number of callers")
	fs.StringVar(&f.policies, "policy", cpload.CurrentPolicy, "policies to compare, separated by commas")
	fs.BoolVar(&f.opts.Sequential, "sequential", false, "run the policies one after the other, not interleaved")
	fs.DurationVar(&f.opts.Deadline, "deadline", f.opts.Deadline, "deadline of each query")
	fs.IntVar(&f.opts.Limit, "limit", f.opts.Limit, "hits asked for")
	fs.IntVar(&f.opts.MaxInProgress, "max-in-progress", f.opts.MaxInProgress, "most queries in progress")
	fs.Uint64Var(&f.opts.Seed, "seed", 1, "seed of the mix of queries")
	fs.BoolVar(&f.opts.AllowRemote, "allow-remote", false, "allow addresses outside the loopback network")
	fs.BoolVar(&f.json, "json", false, "print the report as JSON")
	fs.StringVar(&f.timeline, "timeline", "", "file for the time line as CSV")
	return &ffcli.Command{
		Name:       "load",
		ShortUsage: "clementineport load --entries ADDRESS,... --services NAME[=WEIGHT],... [flags]",
		ShortHelp:  "Send queries at a fixed rate and report latency, coverage and extra load.",
		FlagSet:    fs,
		Exec:       func(ctx context.Context, args []string) error { return f.exec(ctx, args, stdout) },
	}
}

// newPlotCommand returns the plot command.
func newPlotCommand(stdout, stderr io.Writer) *ffcli.Command {
	fs := cpsubcommand.NewFlagSet("plot", stderr)
	out := fs.String("out", "", "file for the plot; standard output if empty")
	return &ffcli.Command{
		Name:       "plot",
		ShortUsage: "clementineport plot FILE [--out FILE.svg]",
		ShortHelp:  "Draw the time line of a JSON report of load as SVG.",
		FlagSet:    fs,
		Exec:       func(_ context.Context, args []string) error { return plotReport(fs, args, out, stdout) },
	}
}

func (f *loadFlags) exec(ctx context.Context, args []string, stdout io.Writer) error {
	if len(args) > 0 {
		return cpsubcommand.Usagef("unexpected argument %q", args[0])
	}
	f.opts.Entries = splitList(f.entries)
	for _, d := range splitList(f.domains) {
		f.opts.Domains = append(f.opts.Domains, clementineport.FailureDomain(d))
	}
	f.opts.Policies = splitList(f.policies)
	services, err := parseServices(f.services)
	if err != nil {
		return err
	}
	f.opts.Services = services
	if err := f.opts.Validate(); err != nil {
		return cpsubcommand.Usagef("%v", err)
	}
	report, err := cpload.Run(ctx, cpload.WithOptions(f.opts))
	if err != nil {
		return err
	}
	if err := f.write(report, stdout); err != nil {
		return err
	}
	return checkReport(report)
}

func (f *loadFlags) write(report *cpreport.Report, stdout io.Writer) error {
	if f.timeline != "" {
		file, err := os.Create(f.timeline)
		if err != nil {
			return errs.Wrap(err)
		}
		if err := errs.Combine(cpreport.WriteCSV(file, report), file.Close()); err != nil {
			return errs.Wrap(err)
		}
	}
	if !f.json {
		return errs.Wrap(cpreport.WriteText(stdout, report))
	}
	encoder := json.NewEncoder(stdout)
	encoder.SetIndent("", "  ")
	return errs.Wrap(encoder.Encode(report))
}

// checkReport returns an error if a run has wrong answers or no answer at all.
func checkReport(report *cpreport.Report) error {
	answered, wrong := 0, 0
	for i := range report.Series {
		answered += report.Series[i].Answered
		wrong += report.Series[i].Wrong
	}
	switch {
	case wrong > 0:
		return errs.New("%d answers failed the check", wrong)
	case answered == 0:
		return clementineport.Fail(clementineport.FaultUnavailable, "no query was answered")
	default:
		return nil
	}
}

func plotReport(fs *flag.FlagSet, args []string, out *string, stdout io.Writer) error {
	files, err := cpsubcommand.ParseMixed(fs, args)
	if err != nil {
		return err
	}
	if len(files) != 1 {
		return cpsubcommand.Usagef("one report is needed")
	}
	data, err := os.ReadFile(files[0])
	if err != nil {
		return errs.Wrap(err)
	}
	report := new(cpreport.Report)
	if err := json.Unmarshal(data, report); err != nil {
		return errs.Wrap(err)
	}
	if *out == "" {
		return cpreport.WriteSVG(stdout, report)
	}
	file, err := os.Create(*out)
	if err != nil {
		return errs.Wrap(err)
	}
	return errs.Wrap(errs.Combine(cpreport.WriteSVG(file, report), file.Close()))
}

func parseServices(text string) ([]cpload.WeightedService, error) {
	var services []cpload.WeightedService
	for _, part := range splitList(text) {
		name, weightText, found := strings.Cut(part, "=")
		weight := 1.0
		if found {
			parsed, err := strconv.ParseFloat(weightText, 64)
			if err != nil || parsed <= 0 {
				return nil, cpsubcommand.Usagef("weight of service %q must be above 0", part)
			}
			weight = parsed
		}
		services = append(services, cpload.WeightedService{Service: clementineport.ServiceID(name), Weight: weight})
	}
	return services, nil
}

func splitList(text string) []string {
	return strings.FieldsFunc(text, func(r rune) bool { return r == ',' || r == ' ' })
}
