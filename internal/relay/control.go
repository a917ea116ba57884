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

// eventQueueLength bounds the events that wait for the control goroutine.
const eventQueueLength = 4096

// event is something that happened; its type says what.
type event interface {
	apply(c *control, now time.Time)
}

// control is the control state of one process. Only its loop touches it.
type control struct {
	relay  *Relay
	events chan event

	policy        *policy.Store
	member        *member.View
	assign        *assign.Table
	gossip        *gossip.Gossip
	poison        *poison.Detector
	stop          *drain.Stop
	watcher       *watcher
	rnd           *rand.Rand
	readRunning   bool // a read of the platform is running
	serving       bool
	refusing      bool
	released      bool
	statuses      map[string]statusEntry
	excludedSince time.Time // since when rules exclude this VM or its data centre
	dirty         bool      // something changed that traffic must learn of before the next tick

	// Parts of the newest snapshot that the next one reuses if their inputs are the same.
	table           targetTable
	reachability    reachability
	changedStatuses map[string]bool // targets with a new note since the newest snapshot
	sendUntil       time.Time

	// Read by other goroutines.
	digest   atomic.Pointer[policy.Digest]
	evidence atomic.Pointer[time.Time]
	stopping atomic.Bool

	completed    completions
	sentStatuses sentStatuses
}

// statusEntry is a dispatcher's word on a target together with the time it arrived.
type statusEntry struct {
	state.Note
	primary bool
	at      time.Time
}

func newControl(r *Relay) *control {
	now := r.Now()
	c := &control{
		relay: r, events: make(chan event, eventQueueLength), policy: policy.New(),
		rnd:    rand.New(rand.NewPCG(r.Seed, r.Incarnation)),
		member: member.New(r.Timing.Member, r.VM, r.DataCentre, now),
		assign: assign.New(r.Timing.Assign, r.VM, now), gossip: gossip.New(r.Timing.Gossip, r.VM),
		poison: poison.New(r.Timing.Poison), stop: drain.New(r.Timing.Drain),
		statuses: map[string]statusEntry{}, changedStatuses: map[string]bool{},
	}
	c.digest.Store(&policy.Digest{})
	c.evidence.Store(&time.Time{})
	return c
}

// post hands an event to the loop. It drops the event if the queue is full: every event is repeated or repaired by
// digests, and traffic must not wait for control.
func (c *control) post(e event) {
	select {
	case c.events <- e:
	default:
		c.relay.Log.Warn("control queue full; event dropped")
	}
}

// loop owns the control state until the process ends.
func (c *control) loop(ctx context.Context) {
	tick := time.NewTicker(c.relay.Timing.Tick)
	defer tick.Stop()
	stop := c.relay.stop
	for {
		select {
		case <-ctx.Done():
			return
		case <-stop:
			stop = nil
			c.stop.Begin(c.relay.Now())
			c.relay.Log.Info("planned stop begins", "vm", c.relay.VM)
		case e := <-c.events:
			e.apply(c, c.relay.Now())
			c.applyWaitingEvents()
			if !c.dirty {
				continue // most events only confirm what is known; the next tick takes them up
			}
		case <-tick.C:
			localSuccesses{c.completed.take()}.apply(c, c.relay.Now())
		}
		if c.step(c.relay.Now()) {
			return
		}
	}
}

// applyWaitingEvents applies what else is waiting, so that a burst costs one snapshot.
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
	st := c.member.Standing(now)
	c.assign.Allow(now, st.SendUntil, st.GrowUntil)
	if !c.serving && c.hasAllDocuments() && st.Reason == member.ReasonNone {
		c.serving = true
		c.relay.Log.Info("configuration confirmed; serving", "vm", c.relay.VM, "digest", c.policy.Digest())
	}
	c.scheduleRead(now, c.rnd)
	for _, a := range c.stop.Step(now, c.inFlight(), c.relay.front.OpenTokens()) {
		switch a {
		case drain.Announce:
			c.stopping.Store(true)
			c.member.Leaving(c.relay.VM)
			c.relay.hub.Broadcast(peer.Frame{StopNotice: &peer.StopNotice{VM: c.relay.VM}})
		case drain.Refuse:
			c.refusing = true
			c.relay.Log.Warn("planned stop nears its limit; refusing new requests", "in_flight", c.relay.front.InFlight())
		case drain.Release:
			c.released = true
			c.relay.hub.Broadcast(peer.Frame{StopNotice: &peer.StopNotice{VM: c.relay.VM, Released: true}})
		case drain.Exit:
			exit = true
		}
	}
	c.publish(now)
	return exit
}

// inFlight counts what a planned stop waits for: the requests of own callers, and after the release also the work
// dispatched for peers.
func (c *control) inFlight() int {
	if c.released {
		return c.relay.InFlight()
	}
	return c.relay.front.InFlight()
}

// hasAllDocuments reports whether a document of every key is in force.
func (c *control) hasAllDocuments() bool {
	d := c.policy.Digest()
	return d.Rules > 0 && d.VMs > 0 && d.Services > 0
}

// applyDocument offers a document and adopts it.
func (c *control) applyDocument(now time.Time, d plat.Document, fromPlatform bool) {
	if fromPlatform && d.Revision > c.policy.Digest().Of(d.Key) {
		c.relay.Trace.At(trace.Read, d.Key)
	}
	accepted, err := c.policy.Offer(d)
	if err != nil {
		c.relay.Log.Error("document refused; the last good one stays in force", "key", d.Key, "revision", d.Revision, "error", err)
	}
	if !accepted {
		return
	}
	c.relay.Log.Info("document in force", "key", d.Key, "revision", d.Revision)
	digest := c.policy.Digest()
	c.digest.Store(&digest)
	if d.Key == plat.KeyVMs {
		c.member.Published(c.policy.VMs())
		c.gossip.Peers(c.policy.VMs())
		c.updateLinks()
	}
	c.assign.Update(now, c.dispatcherVMs(), c.targets())
	for _, p := range c.gossip.Changed(d.Key) {
		c.sendPush(p)
	}
	c.relay.Trace.At(trace.PassedOn, d.Key)
	c.publish(now)
	c.relay.Trace.At(trace.Applied, d.Key)
	c.dirty = true
}

// updateLinks keeps links to the neighbours only.
func (c *control) updateLinks() {
	ids := c.gossip.Neighbours()
	c.member.Pinged(ids)
	var peers []plat.VM
	for _, vm := range c.policy.VMs() {
		if slices.Contains(ids, vm.ID) {
			peers = append(peers, vm)
		}
	}
	c.relay.hub.SetPeers(peers)
}

// sendPush sends what the dissemination asks for.
func (c *control) sendPush(p gossip.Push) {
	switch p.Kind {
	case gossip.Document:
		if d, ok := c.policy.Document(p.Key); ok {
			c.relay.hub.Send(p.To, peer.Frame{Document: &d})
		}
	case gossip.Announce:
		c.relay.hub.Ping(p.To)
	case gossip.Request:
		c.relay.hub.Send(p.To, peer.Frame{DocumentRequest: &peer.DocumentRequest{Key: p.Key}})
	}
}
