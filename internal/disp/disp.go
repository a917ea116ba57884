// Package disp sends sub-requests and orders to the targets for which this process is a dispatcher.
//
// # Usage
//
//	d, closeDisp := disp.New(disp.Config{State: cell, Now: clk.Now, NewClient: newClient, Events: events, Log: logger})
//	defer closeDisp()
//	d.Update()                                  // after each new snapshot
//	d.Submit(ctx, work, func(r peer.WorkReply) { ... })
//
// All work for a target passes through one lane, which consists of a queue, a concurrency limit and the connections to
// the target. At the moment of sending, the lane reads from the newest snapshot how much of the limit this process may
// use (the share) and whether this process may send at all.
package disp

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/fuchsiarelay/fuchsiarelay/internal/peer"
	"github.com/fuchsiarelay/fuchsiarelay/internal/state"
	"github.com/fuchsiarelay/fuchsiarelay/internal/trace"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/codes"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/target"
)

// Defaults of Config.
const (
	DefaultTickInterval  = 20 * time.Millisecond
	DefaultProbeInterval = time.Second
	DefaultQueueLength   = 64
)

// Events receives what lanes observe at their targets. Its methods must not block.
type Events interface {
	// TargetChanged is called after the level or the incarnation of a target changed, after each health check, and when this
	// process acknowledges a level change as the secondary dispatcher.
	TargetChanged(status peer.TargetStatus)
	// TargetCrashed is called when a connection to a target broke. The crash lists the fingerprints of the requests that
	// were running on the target.
	TargetCrashed(c peer.Crash)
	// FingerprintCompleted is called when a sub-request of the request with this fingerprint completed on a target.
	FingerprintCompleted(fingerprint uint64)
	// TargetSurvived is called when a target that was reported as crashed answers under the same incarnation, so that
	// only the connection had broken.
	TargetSurvived(target string, incarnation uint64)
}

// Config configures a Dispatcher. State, Now, NewClient, Events and Log are required.
type Config struct {
	State         *state.Cell
	Now           func() time.Time
	NewClient     func(t plat.Target, opt target.Options) (target.Client, func())
	Events        Events
	Log           *log.Logger
	TickInterval  time.Duration
	ProbeInterval time.Duration
	QueueLength   int
	Trace         trace.Func
}

// Dispatcher is the dispatcher of one process. It holds a lane for each target that the process dispatches.
type Dispatcher struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu    sync.Mutex
	lanes map[string]*lane
}

// New returns a dispatcher without lanes, and a function that aborts running orders, waits until running sub-requests have
// ended, and closes the lanes. The contexts passed to Submit abort sub-requests.
func New(cfg Config) (*Dispatcher, func()) {
	cfg.TickInterval = cmp.Or(cfg.TickInterval, DefaultTickInterval)
	cfg.ProbeInterval = cmp.Or(cfg.ProbeInterval, DefaultProbeInterval)
	cfg.QueueLength = cmp.Or(cfg.QueueLength, DefaultQueueLength)
	d := &Dispatcher{cfg: cfg, lanes: map[string]*lane{}}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.wg.Go(d.loop)
	return d, d.close
}

func (d *Dispatcher) close() {
	d.cancel()
	d.wg.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, l := range d.lanes {
		l.close()
	}
}

// loop calls the tick method of every lane at the interval Config.TickInterval.
func (d *Dispatcher) loop() {
	tick := time.NewTicker(d.cfg.TickInterval)
	defer tick.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-tick.C:
			for _, l := range d.allLanes() {
				l.tick()
			}
		}
	}
}

// allLanes returns a copy of the list of lanes, so that mu need not be held while they are used.
func (d *Dispatcher) allLanes() []*lane {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]*lane, 0, len(d.lanes))
	for _, l := range d.lanes {
		out = append(out, l)
	}
	return out
}

// Update applies the newest snapshot. It creates lanes for targets that this process now dispatches, and closes the
// lanes of other targets once they are idle. The remaining lanes adjust to their new share and refuse queued work that
// they may no longer send.
func (d *Dispatcher) Update() {
	snap := d.cfg.State.Load()
	for _, l := range d.allLanes() {
		t := snap.Targets[l.id]
		keep := t != nil && t.Addr == l.addr && snap.Rank(l.id) >= 0
		if !l.setRetired(!keep) {
			continue
		}
		d.mu.Lock()
		delete(d.lanes, l.id)
		d.mu.Unlock()
		l.close()
	}
	d.mu.Lock()
	for _, id := range snap.DispatchedTargets {
		if d.lanes[id] == nil && d.ctx.Err() == nil {
			d.lanes[id] = newLane(d, snap.Targets[id])
		}
	}
	d.mu.Unlock()
	for _, l := range d.allLanes() {
		l.applySnapshot(snap)
	}
}

// ApplyPeerStatus passes the status of a target that a peer sent to the lane of the target.
func (d *Dispatcher) ApplyPeerStatus(status peer.TargetStatus) {
	if l := d.laneOf(status.Target); l != nil {
		l.applyPeerStatus(status)
	}
}

// laneOf returns the lane of a target, or nil if this process does not dispatch the target.
func (d *Dispatcher) laneOf(id string) *lane {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lanes[id]
}

// Submit queues work for its target. The function done is called exactly once, possibly before Submit returns.
// Canceling the context removes queued work and aborts a running sub-request, but never a running order.
func (d *Dispatcher) Submit(ctx context.Context, w peer.WorkRequest, done func(peer.WorkReply)) {
	l := d.laneOf(w.Target)
	if l == nil {
		done(peer.WorkReply{ID: w.ID, Code: codes.NotDispatcher, Message: "not a dispatcher of " + w.Target, RetryAfterMS: defaultRetryAfter.Milliseconds()})
		return
	}
	l.submit(ctx, w, done)
}

// InFlight returns the number of running and waiting work items.
func (d *Dispatcher) InFlight() int {
	n := 0
	for _, l := range d.allLanes() {
		n += l.workCount()
	}
	return n
}

// LaneStatus describes one lane for the administration API. Rank is 0 at the primary dispatcher of the target, 1 at the
// secondary, and -1 if this process no longer dispatches the target.
type LaneStatus struct {
	Target      string `json:"target"`
	Rank        int    `json:"rank"`
	State       string `json:"state"`
	Level       int    `json:"level"`
	Share       int    `json:"share"`
	Running     int    `json:"running"`
	Waiting     int    `json:"waiting"`
	Incarnation uint64 `json:"incarnation"`
}

// LaneStatuses returns the status of all lanes.
func (d *Dispatcher) LaneStatuses() []LaneStatus {
	var out []LaneStatus
	for _, l := range d.allLanes() {
		out = append(out, l.laneStatus())
	}
	return out
}
