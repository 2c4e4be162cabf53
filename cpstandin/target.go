package cpstandin

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/zeebo/errs"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpfaketarget"
	"github.com/clementineport/clementineport/cpserver"
	"github.com/clementineport/clementineport/cpsubcommand"
)

type targetFlags struct {
	listen   string
	count    int
	admin    string
	versions string
	layouts  string
	opts     cpfaketarget.Options
}

func newTargetCommand(stdout, stderr io.Writer) *ffcli.Command {
	f := &targetFlags{opts: cpfaketarget.NewOptions()}
	fs := cpsubcommand.NewFlagSet("clementineport-standin target", stderr)
	f.register(fs)
	return &ffcli.Command{
		Name:       "target",
		ShortUsage: "clementineport-standin target [flags]",
		ShortHelp:  "Run fake targets on consecutive ports.",
		FlagSet:    fs,
		Exec:       func(ctx context.Context, _ []string) error { return f.run(ctx, stdout) },
	}
}

func (f *targetFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&f.listen, "listen", "127.0.0.1:9000", "address of the first target")
	fs.IntVar(&f.count, "count", 1, "number of targets")
	fs.StringVar(&f.admin, "admin", "", "address of the admin port; empty to disable it")
	fs.StringVar(&f.versions, "versions", "1", "comma-separated index versions that the targets hold")
	fs.StringVar(&f.layouts, "layouts", "1", "comma-separated partition layouts that the targets hold")
	fs.Uint64Var(&f.opts.Seed, "seed", f.opts.Seed, "random seed of the service times of the first target")
	fs.IntVar(&f.opts.Slots, "slots", f.opts.Slots, "number of calls that run at once")
	fs.IntVar(&f.opts.Queue, "queue", f.opts.Queue, "number of calls that may wait for a slot")
	fs.IntVar(&f.opts.Connections, "connections", f.opts.Connections, "maximum number of connections; connections above it are counted")
	fs.DurationVar(&f.opts.ConnectionCost, "connection-cost", f.opts.ConnectionCost, "delay before a new connection is read")
	fs.DurationVar(&f.opts.ServiceTime, "service-time", f.opts.ServiceTime, "mean service time of a call")
	fs.Float64Var(&f.opts.Spread, "spread", f.opts.Spread, "share of the service time that varies between calls")
	fs.Float64Var(&f.opts.StragglerShare, "straggler-share", f.opts.StragglerShare, "share of calls that are stragglers")
	fs.Float64Var(&f.opts.StragglerFactor, "straggler-factor", f.opts.StragglerFactor, "factor by which stragglers take longer")
	fs.IntVar(&f.opts.ColdStep, "cold-step", f.opts.ColdStep,
		"completed calls after which a cold target accepts one more concurrent call; 0 starts warm")
	fs.Float64Var(&f.opts.ColdFactor, "cold-factor", f.opts.ColdFactor,
		"factor by which calls take longer at the beginning of a cold start")
	fs.DurationVar(&f.opts.CrashDowntime, "fall-over", f.opts.CrashDowntime,
		"time that a cold target is down after a crash under overload")
}

func (f *targetFlags) run(ctx context.Context, stdout io.Writer) error {
	snapshots, err := f.snapshots()
	if err != nil {
		return err
	}
	fleet, err := f.fleet(snapshots)
	if err != nil {
		return err
	}
	for _, target := range fleet {
		if err := target.Listen(); err != nil {
			return errs.Wrap(err)
		}
		defer target.Close()
	}
	fmt.Fprintf(stdout, "%d targets from %s\n", len(fleet), f.listen)
	if f.admin == "" {
		<-ctx.Done()
		return nil
	}
	return serveAdmin(ctx, f.admin, fleet.Admin())
}

func (f *targetFlags) fleet(snapshots []clementineport.Snapshot) (cpfaketarget.Fleet, error) {
	host, port, err := net.SplitHostPort(f.listen)
	if err != nil {
		return nil, errs.Wrap(err)
	}
	first, err := strconv.Atoi(port)
	if err != nil {
		return nil, errs.Wrap(err)
	}
	fleet := make(cpfaketarget.Fleet, f.count)
	for i := range fleet {
		opts := f.opts
		opts.Held = snapshots
		opts.Seed += uint64(i)
		address := net.JoinHostPort(host, strconv.Itoa(first+i))
		fleet[i] = cpfaketarget.New(address, cpfaketarget.WithOptions(opts))
	}
	return fleet, nil
}

func (f *targetFlags) snapshots() ([]clementineport.Snapshot, error) {
	var snapshots []clementineport.Snapshot
	for _, version := range strings.Split(f.versions, ",") {
		v, err := strconv.ParseUint(version, 10, 64)
		if err != nil {
			return nil, errs.New("versions: %v", err)
		}
		for _, layout := range strings.Split(f.layouts, ",") {
			l, err := strconv.ParseUint(layout, 10, 32)
			if err != nil {
				return nil, errs.New("layouts: %v", err)
			}
			snapshots = append(snapshots, clementineport.Snapshot{
				Version: clementineport.IndexVersion(v), Layout: clementineport.LayoutID(l),
			})
		}
	}
	return snapshots, nil
}

// serveAdmin serves the admin port until ctx is done.
func serveAdmin(ctx context.Context, address string, h http.Handler) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return errs.Wrap(err)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	return errs.Wrap(cpserver.Serve(ctx, srv, ln, closeTimeout))
}
