package relay

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/internal/assign"
	"github.com/fuchsiarelay/fuchsiarelay/internal/drain"
	"github.com/fuchsiarelay/fuchsiarelay/internal/gossip"
	"github.com/fuchsiarelay/fuchsiarelay/internal/member"
	"github.com/fuchsiarelay/fuchsiarelay/internal/peer"
	"github.com/fuchsiarelay/fuchsiarelay/internal/poison"
	"github.com/fuchsiarelay/fuchsiarelay/internal/policy"
	"github.com/fuchsiarelay/fuchsiarelay/internal/state"
	"github.com/fuchsiarelay/fuchsiarelay/internal/trace"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
)

// eventQueueLength is the largest number of events that wait for the control loop.
const eventQueueLength = 4096

// event is an input of the control loop, such as a message of a peer or an observation of this process. Its method apply
// updates the control state.
type event interface {
	apply(c *control, now time.Time)
}

// control holds the control state of one process. Only the goroutine of its loop uses the fields, except for those that are
// safe for concurrent use.
type control struct {
	relay  *Relay
	events chan event

	policy           *policy.Store
	membership       *member.View
	assignments      *assign.Table
	gossip           *gossip.Gossip
	poisonDetector   *poison.Detector
	plannedStop      *drain.PlannedStop
	watcher          *watcher
	rnd              *rand.Rand
	readRunning      bool // a read of the platform is running
	serving          bool
	refusingRequests bool
	targetsReleased  bool
	targetStatuses   map[string]receivedStatus
	excludedSince    time.Time // time since which rules exclude this VM or its data centre; zero if they don't
	dirty            bool      // a change must be published in a snapshot at once, without waiting for the next tick

	// Parts of the newest snapshot that the next snapshot reuses if their inputs are the same.
	targetTable     targetTable
	reachability    reachability
	changedStatuses map[string]bool // by id: targets whose status or shares changed since the newest snapshot
	sendUntil       time.Time       // Permission.SendUntil of the newest snapshot

	// Values that other goroutines read.
	revisions    atomic.Pointer[policy.Revisions] // revisions of the documents in force
	evidenceTime atomic.Pointer[time.Time]        // time as of which these documents were the newest; zero if not known
	stopping     atomic.Bool

	// Values that other goroutines change.
	completions  completions
	sentStatuses sentStatuses
}

// receivedStatus is the status of a target that a dispatcher sent, and the time of its arrival.
type receivedStatus struct {
	state.TargetStatus
	primary    bool // the primary dispatcher of the target sent the status
	receivedAt time.Time
}

// newControl returns the control state of a process that has just started and holds no documents.
func newControl(r *Relay) *control {
	now := r.Now()
	c := &control{
		relay: r, events: make(chan event, eventQueueLength), policy: policy.New(),
		rnd:         rand.New(rand.NewPCG(r.Seed, r.Incarnation)),
		membership:  member.New(r.Timing.Member, r.VM, r.DataCentre, now),
		assignments: assign.New(r.Timing.Assign, r.VM, now), gossip: gossip.New(r.Timing.Gossip, r.VM),
		poisonDetector: poison.New(r.Timing.Poison), plannedStop: drain.New(r.Timing.Drain),
		targetStatuses: map[string]receivedStatus{}, changedStatuses: map[string]bool{},
	}
	c.revisions.Store(&policy.Revisions{})
	c.evidenceTime.Store(&time.Time{})
	return c
}

// post passes an event to the control loop. If the queue is full, post drops the event instead of blocking, because
// requests must not wait for the control loop. Peers repeat pings, pongs and target statuses, and the comparison of
// revisions detects a missing document. Not repeated are reports of crashes, successes and quarantines, the notice that a
// peer has released its targets, and readDone, without which scheduleRead starts no further read.
func (c *control) post(e event) {
	select {
	case c.events <- e:
	default:
		c.relay.Log.Warn("event queue of the control loop full; event dropped")
	}
}

// loop applies events and advances the timers until the process ends. It owns the control state.
func (c *control) loop(ctx context.Context) {
	tick := time.NewTicker(c.relay.Timing.TickInterval)
	defer tick.Stop()
	stopRequested := c.relay.stopRequested
	for {
		select {
		case <-ctx.Done():
			return
		case <-stopRequested:
			stopRequested = nil
			c.plannedStop.Begin(c.relay.Now())
			c.relay.Log.Info("planned stop started", "vm", c.relay.VM)
		case e := <-c.events:
			e.apply(c, c.relay.Now())
			c.applyWaitingEvents()
			if !c.dirty {
				continue // most events change nothing that is urgent; the next tick publishes them
			}
		case <-tick.C:
			localSuccesses{c.completions.takeAll()}.apply(c, c.relay.Now())
		}
		if c.step(c.relay.Now()) {
			return
		}
	}
}

// applyWaitingEvents applies all events that are waiting, so that a burst of events leads to only one snapshot.
func (c *control) applyWaitingEvents() {
	for range eventQueueLength {
		select {
		case e := <-c.events:
			e.apply(c, c.relay.Now())
		default:
			return
		}
	}
}

// step advances the timers, publishes a snapshot, and reports whether the process should exit.
func (c *control) step(now time.Time) (exit bool) {
	permission := c.membership.Permission(now)
	c.assignments.SetDeadlines(now, permission.SendUntil, permission.GrowUntil)
	if !c.serving && c.hasAllDocuments() && permission.Reason == member.ReasonNone {
		c.serving = true
		c.relay.Log.Info("configuration confirmed; serving requests", "vm", c.relay.VM, "digest", c.policy.Revisions())
	}
	c.scheduleRead(now, c.rnd)
	for _, action := range c.plannedStop.Step(now, c.inFlight(), c.relay.front.OpenTokens()) {
		switch action {
		case drain.Announce:
			c.stopping.Store(true)
			c.membership.RecordStopping(c.relay.VM)
			c.relay.hub.Broadcast(peer.Frame{StopNotice: &peer.StopNotice{VM: c.relay.VM}})
		case drain.Refuse:
			c.refusingRequests = true
			c.relay.Log.Warn("planned stop close to its time limit; refusing new requests", "in_flight", c.relay.front.InFlight())
		case drain.Release:
			c.targetsReleased = true
			c.relay.hub.Broadcast(peer.Frame{StopNotice: &peer.StopNotice{VM: c.relay.VM, Released: true}})
		case drain.Exit:
			exit = true
		}
	}
	c.publish(now)
	return exit
}

// inFlight returns the number of requests for which a planned stop waits: the requests of callers of this process, and
// after the release of its targets also the work that this process dispatches for peers.
func (c *control) inFlight() int {
	if c.targetsReleased {
		return c.relay.InFlight()
	}
	return c.relay.front.InFlight()
}

// hasAllDocuments reports whether a document of every key is known: rules, VMs and services.
func (c *control) hasAllDocuments() bool {
	revisions := c.policy.Revisions()
	return revisions.Rules > 0 && revisions.VMs > 0 && revisions.Services > 0
}

// applyDocument stores a document if it is valid and newer than the one in force, and then updates all control state that
// depends on the document.
func (c *control) applyDocument(now time.Time, d plat.Document, fromPlatform bool) {
	if fromPlatform && d.Revision > c.policy.Revisions().Revision(d.Key) {
		c.relay.Trace.Report(trace.Read, d.Key)
	}
	accepted, err := c.policy.Offer(d)
	if err != nil {
		c.relay.Log.Error("document refused; the previous revision stays in force", "key", d.Key, "revision", d.Revision, "error", err)
	}
	if !accepted {
		return
	}
	c.relay.Log.Info("document applied", "key", d.Key, "revision", d.Revision)
	revisions := c.policy.Revisions()
	c.revisions.Store(&revisions)
	if d.Key == plat.KeyVMs {
		c.membership.SetPublished(c.policy.VMs())
		c.gossip.SetPeers(c.policy.VMs())
		c.updateLinks()
	}
	c.assignments.Update(now, c.dispatcherVMs(), c.targets())
	for _, message := range c.gossip.ChangeMessages(d.Key) {
		c.sendGossip(message)
	}
	c.relay.Trace.Report(trace.Forwarded, d.Key)
	c.publish(now)
	c.relay.Trace.Report(trace.Applied, d.Key)
	c.dirty = true
}

// updateLinks sets the peers to which the hub keeps links: the neighbours that the gossip has chosen.
func (c *control) updateLinks() {
	ids := c.gossip.Neighbours()
	c.membership.SetPinged(ids)
	var peers []plat.VM
	for _, vm := range c.policy.VMs() {
		if slices.Contains(ids, vm.ID) {
			peers = append(peers, vm)
		}
	}
	c.relay.hub.SetPeers(peers)
}

// sendGossip sends a peer the message that the gossip of documents has decided on: a document, a request for one, or a ping
// that carries the revisions of this process.
func (c *control) sendGossip(message gossip.Message) {
	switch message.Kind {
	case gossip.Document:
		if d, ok := c.policy.Document(message.Key); ok {
			c.relay.hub.Send(message.To, peer.Frame{Document: &d})
		}
	case gossip.Announcement:
		c.relay.hub.Ping(message.To)
	case gossip.Request:
		c.relay.hub.Send(message.To, peer.Frame{DocumentRequest: &peer.DocumentRequest{Key: message.Key}})
	}
}
