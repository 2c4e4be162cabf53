package cpplatformvm

import (
	"syscall"
	"time"

	"github.com/clementineport/clementineport"
)

// load returns the load of this VM since the last call.
func (p *Process) load(now time.Time) clementineport.VMLoad {
	return p.meter.Load(now, processorTime())
}

// processorTime returns the processor time that this process has used, or zero if it is not known.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
