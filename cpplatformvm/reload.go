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

// settingsPollInterval is the time between checks of the settings file, which may change without a signal.
const settingsPollInterval = 2 * time.Second

// isReload reports whether s requests a reload of the settings.
func isReload(s os.Signal) bool { return s == syscall.SIGHUP }

// reload reads the settings file again. If it is invalid, the current settings stay in force.
func (p *Process) reload(cause string) {
	s, err := cpconf.Load()
	if err != nil {
		p.log.Error(string(cplogevent.SettingsRejected), zap.String("Cause", cause), cplog.Cause("Error", err))
		return
	}
	p.settings.Store(s)
	p.log.Info(string(cplogevent.SettingsReloaded), zap.String("Cause", cause))
}

// settingsWatcher reloads the settings when their file has changed.
type settingsWatcher struct {
	p *Process
}

// Serve implements suture.Service.
func (w *settingsWatcher) Serve(ctx context.Context) error {
	last := modTime()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(settingsPollInterval):
		}
		if at := modTime(); !at.Equal(last) {
			last = at
			w.p.reload("File")
		}
	}
}

// modTime returns the modification time of the settings file, or the zero time if it can't be read. A file that becomes
// readable again therefore counts as changed.
func modTime() time.Time {
	info, err := os.Stat(os.Getenv(cpconf.PathVariable))
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
