package cpmessage

import (
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpwire"
)

func loadsToWire(loads []clementineport.VMLoad) []*cpwire.VMLoad {
	out := make([]*cpwire.VMLoad, len(loads))
	for i, l := range loads {
		out[i] = &cpwire.VMLoad{
			VM: string(l.VM), PerSecond: float64(l.Rate), RefusedPerSecond: float64(l.Refused), Busy: l.Busy, AgeNanos: int64(l.Age),
		}
	}
	return out
}

func loadsFromWire(loads []*cpwire.VMLoad) []clementineport.VMLoad {
	var out []clementineport.VMLoad
	for _, l := range loads {
		out = append(out, clementineport.VMLoad{
			VM: clementineport.VMID(l.GetVM()), Rate: clementineport.RequestRate(l.GetPerSecond()),
			Refused: clementineport.RequestRate(l.GetRefusedPerSecond()), Busy: l.GetBusy(), Age: time.Duration(l.GetAgeNanos()),
		})
	}
	return out
}

func rolloutsToWire(reports []clementineport.RolloutReport) []*cpwire.RolloutReport {
	out := make([]*cpwire.RolloutReport, len(reports))
	for i := range reports {
		r := &reports[i]
		m := &cpwire.RolloutReport{
			VM: string(r.VM), Start: string(r.Start), Service: string(r.Service), Order: uint64(r.Order), Stopped: r.Stopped,
			OldEnded: r.OldEnded, AgeNanos: int64(r.Age),
		}
		for j := range r.Routes {
			c := &r.Routes[j]
			m.Routes = append(m.Routes, &cpwire.RolloutCounts{
				Route: string(c.Route), Old: countsToWire(&c.Old), New: countsToWire(&c.New),
			})
		}
		out[i] = m
	}
	return out
}

func rolloutsFromWire(reports []*cpwire.RolloutReport) []clementineport.RolloutReport {
	var out []clementineport.RolloutReport
	for _, m := range reports {
		r := clementineport.RolloutReport{
			VM: clementineport.VMID(m.GetVM()), Start: clementineport.StartID(m.GetStart()),
			Service: clementineport.ServiceID(m.GetService()), Order: clementineport.Revision(m.GetOrder()), Stopped: m.GetStopped(),
			OldEnded: m.GetOldEnded(), Age: time.Duration(m.GetAgeNanos()),
		}
		for _, c := range m.GetRoutes() {
			r.Routes = append(r.Routes, clementineport.RolloutCounts{
				Route: clementineport.RouteID(c.GetRoute()), Old: countsFromWire(c.GetOld()), New: countsFromWire(c.GetNew()),
			})
		}
		out = append(out, r)
	}
	return out
}

func countsToWire(c *clementineport.VersionCounts) *cpwire.VersionCounts {
	return &cpwire.VersionCounts{
		Sent: c.Sent, Answered: c.Answered, Failed: c.Failed, Slow: c.Slow, ElapsedNanos: int64(c.Elapsed),
	}
}

func countsFromWire(c *cpwire.VersionCounts) clementineport.VersionCounts {
	return clementineport.VersionCounts{
		Sent: c.GetSent(), Answered: c.GetAnswered(), Failed: c.GetFailed(), Slow: c.GetSlow(),
		Elapsed: time.Duration(c.GetElapsedNanos()),
	}
}
