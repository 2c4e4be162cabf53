package cpplatformvm

import (
	"context"
	"fmt"
	"io"
	"maps"
	"runtime/debug"
	"slices"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpclientlimit"
	"github.com/clementineport/clementineport/cplogevent"
	"github.com/clementineport/clementineport/platform/cpconf"
)

// Shares of the memory of the machine. What they leave is for the program, for what the VM knows, and for kernel buffers.
const (
	// clientMemoryShare is for what requests of clients hold.
	clientMemoryShare = 0.25
	// connectionMemoryShare is for the connections of clients.
	connectionMemoryShare = 0.25
	// heapShare is for the heap, with what has not been collected yet.
	heapShare = 0.6
)

// Shares of the connections of clients that the listeners have.
const (
	callerShare    = 0.65
	directoryShare = 0.25
	operatorShare  = 0.05
)

const (
	// fileDescriptors is the number of descriptors that the platform reserves for files.
	fileDescriptors = 200
	// clientDescriptorShare is the part of the other descriptors that connections of clients may use. The rest is for the store, the
	// other VMs and the targets.
	clientDescriptorShare = 0.8
	// minConnections is the least number of connections of a listener.
	minConnections = 4
)

// newClientLimiter returns the limit of what clients hold, and limits the heap.
func newClientLimiter(l cpconf.Limits) *cpclientlimit.Limiter {
	if l.MemoryBytes == 0 {
		return cpclientlimit.New()
	}
	debug.SetMemoryLimit(int64(float64(l.MemoryBytes) * heapShare))
	return cpclientlimit.New(cpclientlimit.WithMaxBytes(int64(float64(l.MemoryBytes) * clientMemoryShare)))
}

// newAccount returns the account of the memory of a request of another VM, and what ends it.
func (p *Process) newAccount() (account clementineport.MemoryAccount, end func()) {
	a := p.clients.NewAccount()
	return a, a.Close
}

// maxConnections returns how many connections of clients a process keeps open.
func maxConnections(l *cpconf.Limits) int {
	descriptors := l.Descriptors
	if descriptors == 0 {
		descriptors = descriptorLimit()
	}
	n := int(clientDescriptorShare * float64(max(0, descriptors-fileDescriptors)))
	if l.MemoryBytes > 0 {
		n = min(n, int(float64(l.MemoryBytes)*connectionMemoryShare/cpclientlimit.ConnectionBytes))
	}
	return n
}

// defaultDescriptors is the number of descriptors that is assumed if the system states none.
const defaultDescriptors = 1024

// descriptorLimit returns the number of descriptors that the system allows the process.
func descriptorLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return defaultDescriptors
	}
	return int(min(limit.Cur, maxDescriptors))
}

// maxDescriptors is the largest number of descriptors that is used.
const maxDescriptors = 1 << 20

// Times of the log of the limits of clients.
const (
	clientCheckInterval = time.Second
	// clientCalmTime is the time without a closed connection or a refusal after which the limits count as no longer reached.
	clientCalmTime = 5 * time.Second
)

// clientWatcher logs when clients reach the limits of what they may hold, and when they no longer do.
type clientWatcher struct{ p *Process }

// Serve implements suture.Service.
func (w *clientWatcher) Serve(ctx context.Context) error {
	var last cpclientlimit.Stats
	var since time.Time // of the latest loss, or zero in calm
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-w.p.clock.After(clientCheckInterval):
		}
		now, s := w.p.clock.Now(), w.p.clients.Stats()
		lost := s.ClosedForBytes != last.ClosedForBytes || s.ClosedForConnections != last.ClosedForConnections || s.Refused != last.Refused
		switch {
		case lost && since.IsZero():
			w.p.log.Warn(string(cplogevent.ClientsLimited), clientFields(&s, &last)...)
		case !lost && !since.IsZero() && now.Sub(since) >= clientCalmTime:
			w.p.log.Info(string(cplogevent.ClientsUnlimited), clientFields(&s, &cpclientlimit.Stats{})...)
			since = time.Time{}
		}
		if lost {
			since = now
		}
		last = s
	}
}

// clientFields returns the fields of a log line about the limits of clients, with what clients have lost since earlier statistics.
func clientFields(s, earlier *cpclientlimit.Stats) []zap.Field {
	connections := 0
	for _, n := range s.Connections {
		connections += n
	}
	return []zap.Field{
		zap.Int64("Bytes", s.Bytes), zap.Int64("MaxBytes", s.MaxBytes), zap.Int("Connections", connections),
		zap.Uint64("ClosedForBytes", s.ClosedForBytes-earlier.ClosedForBytes),
		zap.Uint64("ClosedForConnections", s.ClosedForConnections-earlier.ClosedForConnections),
		zap.Uint64("RefusedForBytes", s.Refused-earlier.Refused),
	}
}

// writeClients writes the metrics of what clients hold.
func (p *Process) writeClients(w io.Writer) {
	s := p.clients.Stats()
	fmt.Fprintf(w, "clementineport_client_bytes %d\n", s.Bytes)
	fmt.Fprintf(w, "clementineport_client_bytes_limit %d\n", s.MaxBytes)
	for _, name := range slices.Sorted(maps.Keys(s.Connections)) {
		fmt.Fprintf(w, "clementineport_client_connections{listener=%q} %d\n", name, s.Connections[name])
	}
	fmt.Fprintf(w, "clementineport_client_connections_closed_total{for=\"bytes\"} %d\n", s.ClosedForBytes)
	fmt.Fprintf(w, "clementineport_client_connections_closed_total{for=\"connections\"} %d\n", s.ClosedForConnections)
	fmt.Fprintf(w, "clementineport_client_requests_refused_total %d\n", s.Refused)
}
