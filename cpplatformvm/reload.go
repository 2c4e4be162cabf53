package cpplatformvm

import (
	"context"
	"os"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/clementineport/clementineport/cplog"
	"github.com/clementineport/clementineport/cplogevent"
	"github.com/clementineport/clementineport/platform/cpconf"
)

// watchPeriod is the time between two looks at the settings file, which may change without a signal.
const watchPeriod = 2 * time.Second

// isReload reports whether a signal asks to read the settings again.
func isReload(s os.Signal) bool { return s == syscall.SIGHUP }

// reload reads the settings again. Settings with faults are not taken.
func (p *Process) reload(cause string) {
	s, err := cpconf.Load()
	if err != nil {
		p.log.Error(string(cplogevent.SettingsRejected), zap.String("Cause", cause), cplog.Cause("Error", err))
		return
	}
	p.settings.Store(s)
	p.log.Info(string(cplogevent.SettingsReloaded), zap.String("Cause", cause))
}

// watcher reads the settings again when the file has changed.
type watcher struct {
	p *Process
}

// Serve implements suture.Service.
func (w *watcher) Serve(ctx context.Context) error {
	last := modified()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(watchPeriod):
		}
		if at := modified(); !at.Equal(last) {
			last = at
			w.p.reload("File")
		}
	}
}

// modified returns when the settings file changed last; the zero time if that can't be told, which counts as a change
// once it can.
func modified() time.Time {
	info, err := os.Stat(os.Getenv(cpconf.PathVariable))
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
