package cpcli

import (
	"context"
	"net/http"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpoperator"
)

const waitPause = 100 * time.Millisecond

// waitInForce polls the status until all live VMs have the revision; it returns those that have not confirmed it.
func waitInForce(ctx context.Context, client *operatorClient, revision clementineport.Revision, wait time.Duration) ([]clementineport.VMID, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	var missing []clementineport.VMID
	var err error
	for known := false; ; {
		var reply struct {
			Rows []struct {
				VM       clementineport.VM
				State    clementineport.MemberState
				Revision clementineport.Revision
			}
		}
		if err = client.call(ctx, http.MethodGet, cpoperator.StatusPath, nil, &reply); err == nil {
			known = true
			missing = missing[:0]
			for _, row := range reply.Rows {
				if row.State != clementineport.MemberDead && row.Revision < revision {
					missing = append(missing, row.VM.ID)
				}
			}
			if len(missing) == 0 {
				return nil, nil
			}
		}
		select {
		case <-ctx.Done():
			if known {
				err = clementineport.Fail(clementineport.FaultTimeout,
					"revision %d is accepted, but %d live VMs have not confirmed it", revision, len(missing))
			}
			return missing, err
		case <-time.After(waitPause):
		}
	}
}
