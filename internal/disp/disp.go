// Package disp sends sub-requests and orders to the targets for which this process is a dispatcher.
//
// # Usage
//
//	d, closeDisp := disp.New(disp.Config{State: cell, Now: clk.Now, NewClient: newClient, Log: logger})
//	defer closeDisp()
//	d.Update()                                  // after each new snapshot
//	d.Submit(ctx, work, func(r peer.WorkReply) { ... })
//
// All work for a target passes through one lane: a queue, a limit and the target's connections. The lane asks the
// newest snapshot for its share and for permission at the moment of sending.
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
	DefaultTick          = 20 * time.Millisecond
	DefaultProbeInterval = time.Second
	DefaultQueueLength   = 64
)

// Events takes what lanes learn. Its methods must not block.
type Events interface {
	// TargetChanged is called after the state of a target changed, and once per probe.
	TargetChanged(n peer.TargetStatus)
	// TargetCrashed is called when a connection broke while the fingerprints were running.
	TargetCrashed(c peer.Crash)
	// Succeeded is called when a fingerprint completed on a target.
	Succeeded(fingerprint uint64)
	// Survived is called when a target that was reported as crashed answers under the same incarnation.
	Survived(target string, incarnation uint64)
}

// Config configures a Disp. State, Now, NewClient, Events and Log are required.
type Config struct {
	State         *state.Cell
	Now           func() time.Time
	NewClient     func(t plat.Target, opt target.Options) (target.Client, func())
	Events        Events
	Log           *log.Logger
	Tick          time.Duration
	ProbeInterval time.Duration
	QueueLength   int
	Trace         trace.Func
}

// Disp holds the lanes of one process.
type Disp struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu    sync.Mutex
	lanes map[string]*lane
}

// New returns a dispatcher without lanes, and a function that cancels all work and closes it.
func New(cfg Config) (*Disp, func()) {
	cfg.Tick = cmp.Or(cfg.Tick, DefaultTick)
	cfg.ProbeInterval = cmp.Or(cfg.ProbeInterval, DefaultProbeInterval)
	cfg.QueueLength = cmp.Or(cfg.QueueLength, DefaultQueueLength)
	d := &Disp{cfg: cfg, lanes: map[string]*lane{}}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.wg.Go(d.loop)
	return d, d.close
}

func (d *Disp) close() {
	d.cancel()
	d.wg.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, l := range d.lanes {
		l.close()
	}
}

// loop expires waiting work and probes targets.
func (d *Disp) loop() {
	tick := time.NewTicker(d.cfg.Tick)
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

func (d *Disp) allLanes() []*lane {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]*lane, 0, len(d.lanes))
	for _, l := range d.lanes {
		out = append(out, l)
	}
	return out
}

// Update adopts the newest snapshot: lanes appear, change their share, recall work, or close once they are idle.
func (d *Disp) Update() {
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
	for _, id := range snap.Dispatched {
		if d.lanes[id] == nil && d.ctx.Err() == nil {
			d.lanes[id] = newLane(d, snap.Targets[id])
		}
	}
	d.mu.Unlock()
	for _, l := range d.allLanes() {
		l.applySnapshot(snap)
	}
}

// Note passes a peer's word on a target to its lane.
func (d *Disp) Note(n peer.TargetStatus) {
	if l := d.lane(n.Target); l != nil {
		l.applyPeerStatus(n)
	}
}

func (d *Disp) lane(id string) *lane {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lanes[id]
}

// Submit queues work. Done is called once, possibly before Submit returns. Canceling the context removes queued work
// and aborts a running sub-request, but never a running order.
func (d *Disp) Submit(ctx context.Context, w peer.Work, done func(peer.WorkReply)) {
	l := d.lane(w.Target)
	if l == nil {
		done(peer.WorkReply{ID: w.ID, Code: codes.NotDispatcher, Message: "not a dispatcher of " + w.Target, RetryAfterMS: defaultRetryAfter.Milliseconds()})
		return
	}
	l.submit(ctx, w, done)
}

// InFlight returns the number of running and waiting work items.
func (d *Disp) InFlight() int {
	n := 0
	for _, l := range d.allLanes() {
		n += l.workCount()
	}
	return n
}

// Status describes one lane for the administration API.
type Status struct {
	Target      string `json:"target"`
	Rank        int    `json:"rank"`
	State       string `json:"state"`
	Level       int    `json:"level"`
	Share       int    `json:"share"`
	Running     int    `json:"running"`
	Waiting     int    `json:"waiting"`
	Incarnation uint64 `json:"incarnation"`
}

// Status lists all lanes.
func (d *Disp) Status() []Status {
	var out []Status
	for _, l := range d.allLanes() {
		out = append(out, l.status())
	}
	return out
}
