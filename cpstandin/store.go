package cpstandin

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/clementineport/clementineport/cpserver"
	"github.com/clementineport/clementineport/cpstore"
	"github.com/clementineport/clementineport/cpstore/cpstoreserver"
	"github.com/clementineport/clementineport/cpsubcommand"
)

const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
	closeTimeout  = time.Second
)

// newStoreCommand returns the subcommand that serves a key-value store and a list of VMs.
func newStoreCommand(stdout, stderr io.Writer) *ffcli.Command {
	fs := cpsubcommand.NewFlagSet("store", stderr)
	listen := fs.String("listen", "127.0.0.1:18900", "address to listen on")
	writes := fs.Int("writes", cpstore.DefaultWritesPerSecond, "writes per second; 0 for no limit")
	reads := fs.Int("reads", cpstore.DefaultReadsPerSecond, "reads and watches per second; 0 for no limit")
	lag := fs.Duration("lag", 2*time.Second, "delay of changes to the list of VMs")
	return &ffcli.Command{
		Name:       "store",
		ShortUsage: "clementineport-standin store [flags]",
		ShortHelp:  "Serve a key-value store and a list of VMs from memory.",
		FlagSet:    fs,
		Exec: func(ctx context.Context, _ []string) error {
			store := cpstore.New(cpstore.WithRateLimits(*writes, *reads))
			directory := cpstore.NewDirectory(cpstore.WithLag(*lag))
			return serveStore(ctx, stdout, *listen, cpstoreserver.New(store, directory))
		},
	}
}

func serveStore(ctx context.Context, stdout io.Writer, address string, handler http.Handler) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	fmt.Fprintln(stdout, "store listens on", ln.Addr())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	return cpserver.Serve(ctx, server, ln, closeTimeout)
}
