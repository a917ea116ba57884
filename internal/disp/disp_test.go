package disp_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"github.com/fuchsiarelay/fuchsiarelay/internal/disp"
	"github.com/fuchsiarelay/fuchsiarelay/internal/limit"
	"github.com/fuchsiarelay/fuchsiarelay/internal/member"
	"github.com/fuchsiarelay/fuchsiarelay/internal/peer"
	"github.com/fuchsiarelay/fuchsiarelay/internal/rules"
	"github.com/fuchsiarelay/fuchsiarelay/internal/state"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/codes"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/target"
)

const targetID = "desk-1-t1"

// fakeTarget answers each sub-request after serviceTime, and records when sub-requests are received.
type fakeTarget struct {
	mu           sync.Mutex
	incarnation  uint64
	state        target.State
	serviceTime  time.Duration
	repliesToCut int // number of replies that end early
	receivedAt   []time.Time
}

// restart makes the target cold and gives it a new incarnation.
func (f *fakeTarget) restart(incarnation uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.incarnation, f.state = incarnation, target.Cold
}

// cutReplies makes the next n replies end early.
func (f *fakeTarget) cutReplies(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.repliesToCut = n
}

// receivedCount returns the number of sub-requests received so far.
func (f *fakeTarget) receivedCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.receivedAt)
}

func (f *fakeTarget) stamp() target.Stamp {
	f.mu.Lock()
	defer f.mu.Unlock()
	return target.Stamp{Incarnation: f.incarnation, State: f.state, Load: target.Load{Slots: 2}}
}

func (f *fakeTarget) Sub(ctx context.Context, s target.Sub) (target.SubReply, error) {
	f.mu.Lock()
	f.receivedAt = append(f.receivedAt, time.Now())
	cut := f.repliesToCut > 0
	f.repliesToCut = max(f.repliesToCut-1, 0)
	f.mu.Unlock()
	select {
	case <-time.After(f.serviceTime):
		if cut {
			return target.SubReply{}, &target.Error{Kind: target.Broken, Err: io.ErrUnexpectedEOF}
		}
		return target.SubReply{Stamp: f.stamp(), RequestID: s.RequestID, SubID: s.SubID}, nil
	case <-ctx.Done():
		return target.SubReply{}, &target.Error{Kind: target.TimedOut, Err: ctx.Err()}
	}
}

func (f *fakeTarget) Order(context.Context, target.Order) (target.OrderReply, error) {
	return target.OrderReply{}, &target.Error{Kind: target.NotSent, Err: errors.New("the fake target takes no orders")}
}

// Health always returns the first incarnation, like a health page that is out of date.
func (f *fakeTarget) Health(context.Context) (target.Health, error) {
	return target.Health{Stamp: target.Stamp{Incarnation: 1, State: target.Warm}, Target: targetID}, nil
}

func (f *fakeTarget) Reset() {}

// statusRecorder records the target statuses that a dispatcher reports to its peers.
type statusRecorder struct {
	mu       sync.Mutex
	statuses []peer.TargetStatus
}

func (r *statusRecorder) TargetChanged(status peer.TargetStatus) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.statuses = append(r.statuses, status)
}

func (r *statusRecorder) TargetCrashed(peer.Crash)      {}
func (r *statusRecorder) FingerprintCompleted(uint64)   {}
func (r *statusRecorder) TargetSurvived(string, uint64) {}

// acked reports whether the secondary has acknowledged the level change with this number.
func (r *statusRecorder) acked(levelChange uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.statuses, func(status peer.TargetStatus) bool { return !status.Primary && status.AckedLevelChange == levelChange })
}

// newestLevelChange returns the number of the newest level change that the primary reported.
func (r *statusRecorder) newestLevelChange() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.statuses[len(r.statuses)-1].LevelChange
}

// newDispatcher returns the dispatcher of the VM self. The target has two slots and two dispatchers; the slice shares holds
// the share of the returned dispatcher at each level.
func newDispatcher(t *testing.T, self string, shares []int, fake *fakeTarget, recorder *statusRecorder) *disp.Dispatcher {
	t.Helper()
	cell := &state.Cell{}
	cell.Store(&state.Snapshot{
		Self: self, Serving: true, Rules: rules.Empty(), Permission: member.Permission{SendUntil: time.Now().Add(time.Hour)},
		Targets: map[string]*state.Target{targetID: {
			Target: plat.Target{ID: targetID, Slots: 2, Connections: 4}, Dispatchers: []string{"vm-1", "vm-2"}, Shares: shares, Connections: 2,
		}},
		DispatchedTargets: []string{targetID},
	})
	d, closeDisp := disp.New(disp.Config{
		State: cell, Now: time.Now, Events: recorder, Log: log.New(io.Discard), ProbeInterval: time.Hour,
		NewClient: func(plat.Target, target.Options) (target.Client, func()) { return fake, func() {} },
	})
	t.Cleanup(closeDisp)
	d.Update()
	return d
}

// submit submits a sub-request with the request id, and returns a channel that receives the code of the reply.
func submit(d *disp.Dispatcher, id string) <-chan codes.Code {
	done := make(chan codes.Code, 1)
	d.Submit(context.Background(), peer.WorkRequest{Target: targetID, DeadlineMS: 10_000, Sub: &target.Sub{RequestID: id}},
		func(r peer.WorkReply) { done <- r.Code })
	return done
}

// warmUp sends enough sub-requests that complete to raise the level to 2, and returns their number.
func warmUp(d *disp.Dispatcher) int {
	const count = 2 * limit.DefaultGoodRepliesPerStep
	for i := range count {
		<-submit(d, fmt.Sprint("warm", i))
	}
	return count
}

// Shares of the two dispatchers, by level.
var (
	primaryShares   = []int{0, 1, 1}
	secondaryShares = []int{0, 0, 1}
)

// Guards against more sub-requests at a target than its level allows. A target with two slots becomes cold, so that it
// can run only one sub-request. When the primary dispatcher detects this, by a reply of a new incarnation or by a reply
// that ends early, the secondary may still have one sub-request running: the primary must wait for its acknowledgement.
func TestPrimaryWaitsForSecondary(t *testing.T) {
	for name, lowerLevel := range map[string]func(fake *fakeTarget){
		"restart":         func(fake *fakeTarget) { fake.restart(2) },
		"reply cut short": func(fake *fakeTarget) { fake.cutReplies(1) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fake, recorder := &fakeTarget{incarnation: 1, serviceTime: 4 * time.Millisecond, state: target.Warm}, &statusRecorder{}
				d := newDispatcher(t, "vm-1", primaryShares, fake, recorder)
				sent := warmUp(d)
				lowerLevel(fake)
				<-submit(d, "fall")
				sent++

				next := submit(d, "next")
				time.Sleep(100 * time.Millisecond)
				assert.Equal(t, fake.receivedCount(), sent, "primary sent while the secondary may have a sub-request running")

				status := peer.TargetStatus{Target: targetID, Incarnation: 2, State: target.Cold, AckedLevelChange: recorder.newestLevelChange() - 1}
				d.ApplyPeerStatus(status)
				time.Sleep(100 * time.Millisecond)
				assert.Equal(t, fake.receivedCount(), sent, "primary sent after the acknowledgement of an earlier level change")

				status.AckedLevelChange = recorder.newestLevelChange()
				d.ApplyPeerStatus(status)
				assert.Equal(t, <-next, codes.Complete)
			})
		})
	}
}

// Guards against more sub-requests at a target than its level allows if the secondary can't acknowledge the lower level,
// because the network is partitioned or the process of the secondary has ended. The primary must wait until the secondary
// may no longer send.
func TestPrimaryWaitsUntilSecondaryMayNotSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := &fakeTarget{incarnation: 1, serviceTime: 4 * time.Millisecond, state: target.Warm}
		d := newDispatcher(t, "vm-1", primaryShares, fake, &statusRecorder{})
		warmUp(d)
		fake.restart(2)
		assert.Equal(t, <-submit(d, "fall"), codes.Complete)
		start := time.Now()
		assert.Equal(t, <-submit(d, "next"), codes.Complete)
		waited := time.Since(start)
		assert.Assert(t, waited >= member.DefaultFreshFor, "primary sent after %s, while the secondary may still send", waited)
		assert.Assert(t, waited < 2*member.DefaultFreshFor, "primary waited for %s, longer than necessary", waited)
	})
}

// Checks that the secondary acknowledges a lower level as soon as it has no more sub-requests running than its share of
// that level, and not before.
func TestSecondaryAcknowledgesLevelChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake, recorder := &fakeTarget{incarnation: 1, serviceTime: 50 * time.Millisecond, state: target.Warm}, &statusRecorder{}
		d := newDispatcher(t, "vm-2", secondaryShares, fake, recorder)
		d.ApplyPeerStatus(peer.TargetStatus{Target: targetID, Incarnation: 1, State: target.Warm, Level: 2, Primary: true, LevelChange: 7})
		time.Sleep(10 * time.Millisecond)
		assert.Assert(t, recorder.acked(7), "level change not acknowledged although nothing is running")
		running := submit(d, "r1")
		time.Sleep(10 * time.Millisecond)
		assert.Equal(t, fake.receivedCount(), 1)

		d.ApplyPeerStatus(peer.TargetStatus{Target: targetID, Incarnation: 2, State: target.Cold, Level: 1, Primary: true, LevelChange: 8})
		time.Sleep(30 * time.Millisecond)
		assert.Assert(t, !recorder.acked(8), "level change acknowledged while a sub-request is running")
		<-running
		synctest.Wait()
		assert.Assert(t, recorder.acked(8), "level change not acknowledged: %v", recorder.statuses)
	})
}
