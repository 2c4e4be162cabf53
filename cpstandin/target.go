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
		ShortHelp:  "Run one or many targets on consecutive ports.",
		FlagSet:    fs,
		Exec:       func(ctx context.Context, _ []string) error { return f.run(ctx, stdout) },
	}
}

func (f *targetFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&f.listen, "listen", "127.0.0.1:9000", "address of the first target")
	fs.IntVar(&f.count, "count", 1, "number of targets")
	fs.StringVar(&f.admin, "admin", "", "address of the admin port; empty for none")
	fs.StringVar(&f.versions, "versions", "1", "index versions held, separated by commas")
	fs.StringVar(&f.layouts, "layouts", "1", "partition layouts held, separated by commas")
	fs.Uint64Var(&f.opts.Seed, "seed", f.opts.Seed, "seed of the service times")
	fs.IntVar(&f.opts.Slots, "slots", f.opts.Slots, "calls that run at once")
	fs.IntVar(&f.opts.Queue, "queue", f.opts.Queue, "calls that wait for a slot")
	fs.IntVar(&f.opts.Connections, "connections", f.opts.Connections, "limit of connections")
	fs.DurationVar(&f.opts.ConnectionCost, "connection-cost", f.opts.ConnectionCost, "time of a new connection")
	fs.DurationVar(&f.opts.ServiceTime, "service-time", f.opts.ServiceTime, "mean time of a call")
	fs.Float64Var(&f.opts.Spread, "spread", f.opts.Spread, "share of the service time that varies")
	fs.Float64Var(&f.opts.StragglerShare, "straggler-share", f.opts.StragglerShare, "share of slow calls")
	fs.Float64Var(&f.opts.StragglerFactor, "straggler-factor", f.opts.StragglerFactor, "slowness of slow calls")
	fs.IntVar(&f.opts.ColdStep, "cold-step", f.opts.ColdStep,
		"calls after which a cold target bears one more at a time; 0 starts warm")
	fs.Float64Var(&f.opts.ColdFactor, "cold-factor", f.opts.ColdFactor, "slowness at the start of a cold start")
	fs.DurationVar(&f.opts.CrashDowntime, "fall-over", f.opts.CrashDowntime, "time that an overloaded cold target is down")
}

func (f *targetFlags) run(ctx context.Context, stdout io.Writer) error {
	held, err := f.held()
	if err != nil {
		return err
	}
	fleet, err := f.fleet(held)
	if err != nil {
		return err
	}
	for _, s := range fleet {
		if err := s.Listen(); err != nil {
			return errs.Wrap(err)
		}
		defer s.Close()
	}
	fmt.Fprintf(stdout, "%d targets from %s\n", len(fleet), f.listen)
	if f.admin == "" {
		<-ctx.Done()
		return nil
	}
	return serveAdmin(ctx, f.admin, fleet.Admin())
}

func (f *targetFlags) fleet(held []clementineport.Snapshot) (cpfaketarget.Fleet, error) {
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
		opts.Held = held
		opts.Seed += uint64(i)
		address := net.JoinHostPort(host, strconv.Itoa(first+i))
		fleet[i] = cpfaketarget.New(address, cpfaketarget.WithOptions(opts))
	}
	return fleet, nil
}

func (f *targetFlags) held() ([]clementineport.Snapshot, error) {
	var held []clementineport.Snapshot
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
			held = append(held, clementineport.Snapshot{
				Version: clementineport.IndexVersion(v), Layout: clementineport.LayoutID(l),
			})
		}
	}
	return held, nil
}

// serveAdmin serves until the context ends.
func serveAdmin(ctx context.Context, address string, h http.Handler) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return errs.Wrap(err)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	return errs.Wrap(cpserver.Serve(ctx, srv, ln, closeTimeout))
}
