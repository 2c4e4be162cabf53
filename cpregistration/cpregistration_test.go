package cpregistration_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpfleetstate"
	"github.com/clementineport/clementineport/cpregistration"
	"github.com/clementineport/clementineport/cproute"
)

// maxWait is the timeout of every wait of these tests; it doesn't check speed.
const maxWait = 20 * time.Second

// fakeRegistrar counts calls and fails renewals with an error.
type fakeRegistrar struct {
	mu                  sync.Mutex
	registered, renewed int
	renewError          error
}

// Register implements clementineport.Registrar.
func (r *fakeRegistrar) Register(context.Context, clementineport.VM) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.registered++
	return nil
}

// Renew implements clementineport.Registrar.
func (r *fakeRegistrar) Renew(context.Context) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.renewed++
	return r.renewError
}

// Deregister implements clementineport.Registrar.
func (r *fakeRegistrar) Deregister(context.Context) error { return nil }

// counts returns the numbers of registrations and renewals.
func (r *fakeRegistrar) counts() (registered, renewed int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.registered, r.renewed
}

// keeper runs a keeper of a VM that has routes and is listed until the test ends.
func keeper(t *testing.T, r *fakeRegistrar, period time.Duration) *cpregistration.Keeper {
	t.Helper()
	view := &cpfleetstate.View{Router: cproute.New(&clementineport.RouteTable{}, nil), Listed: true}
	k := cpregistration.New(cpregistration.WithRegistrar(r), cpregistration.WithRenewPeriod(period),
		cpregistration.WithView(func() *cpfleetstate.View { return view }))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		k.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return k
}

func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(maxWait); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("%s: not within %v", what, maxWait)
}

func TestAListedVMRenewsItsLease(t *testing.T) {
	r := &fakeRegistrar{}
	keeper(t, r, time.Millisecond)
	await(t, "renewals", func() bool {
		registered, renewed := r.counts()
		return registered == 1 && renewed > 3
	})
}

func TestAVMWhoseLeaseIsGoneRegistersAgain(t *testing.T) {
	r := &fakeRegistrar{renewError: clementineport.Fail(clementineport.FaultNotFound, "gone")}
	keeper(t, r, time.Millisecond)
	await(t, "a second registration", func() bool {
		registered, _ := r.counts()
		return registered >= 2
	})
}

func TestAVMThatLostItsRegistrationDoesNotWaitForTheNextRenewal(t *testing.T) {
	r := &fakeRegistrar{}
	k := keeper(t, r, time.Hour)
	await(t, "the first registration", func() bool {
		registered, _ := r.counts()
		return registered == 1
	})
	k.Lost()
	await(t, "a second registration", func() bool {
		registered, _ := r.counts()
		return registered == 2
	})
}

// TestRenewalsOfAFleetLeaveTheStoreToItsOtherCalls checks the share of a store's calls that the renewals of the largest
// planned fleet take.
func TestRenewalsOfAFleetLeaveTheStoreToItsOtherCalls(t *testing.T) {
	const vms, storeCallsPerSecond, share = 770, 2000, 0.1
	perSecond := vms / cpregistration.DefaultRenewPeriod.Seconds()
	assert.Assert(t, perSecond <= share*storeCallsPerSecond, "%v renewals a second", perSecond)
}

func TestRegistrationsAfterARestoreAreSpreadByTheRateOfTheStore(t *testing.T) {
	for _, row := range []struct {
		vms  int
		rate float64
		want time.Duration
	}{{8, 0, 0}, {8, 400, 80 * time.Millisecond}, {300, 3000, 400 * time.Millisecond}} {
		o := cpregistration.NewOptions(cpregistration.WithStoreWritesPerSecond(row.rate))
		assert.Equal(t, o.Spread(row.vms), row.want)
	}
}
