package entry

import (
	"context"
	"math"
	"net/netip"
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/internal/peer"
	"github.com/fuchsiarelay/fuchsiarelay/internal/place"
	"github.com/fuchsiarelay/fuchsiarelay/internal/quota"
)

// permitWait is how long a request waits for permits that were requested for it. It covers several round trips between data
// centres of one region.
const permitWait = 20 * time.Millisecond

// ratePrecision is the unit of rates in messages to peers: requests per 1,000 s.
const ratePrecision = 1000

// updateAllocators sets the processes among which the allocators of targets are chosen. They are those whose addresses callers
// get, since these send most requests. A process that doesn't know its peers yet knows of no allocators.
func (c *control) updateAllocators(now time.Time) {
	if !c.roster.Settled(now) {
		return
	}
	var ids []string
	for _, addr := range c.entry.directory.Load().chosenAddrs() {
		ids = append(ids, netip.AddrPortFrom(addr.Addr(), c.entry.PeerAddr.Port()).String())
	}
	c.permitPools.SetProcesses(now, ids)
}

// allocatorPeers returns the IDs of the allocators of the targets with a rate limit.
func (c *control) allocatorPeers() (ids []string) {
	e := c.entry
	e.mu.Lock()
	targets := e.permits.Targets()
	e.mu.Unlock()
	for _, target := range targets {
		if id := c.permitPools.Allocator(target); id != "" {
			ids = append(ids, id)
		}
	}
	return ids
}

// requestPermits requests the permits that are expected to be needed soon.
func (c *control) requestPermits(now time.Time) {
	c.entry.mu.Lock()
	due := c.entry.permits.DueRequests(now)
	c.entry.mu.Unlock()
	c.sendPermitRequests(now, due)
}

// sendPermitRequests sends each request to the allocator of its target, which may be this process.
func (c *control) sendPermitRequests(now time.Time, due []quota.Request) {
	self := c.entry.PeerAddr.String()
	byAllocator := map[string]*peer.PermitRequests{}
	for _, r := range due {
		switch id := c.permitPools.Allocator(r.Target); id {
		case "":
		case self:
			c.recordGrants(now, []quota.Grant{c.permitPools.Request(now, self, r)})
		default:
			m := byAllocator[id]
			if m == nil {
				m = &peer.PermitRequests{}
				byAllocator[id] = m
			}
			m.Requests = append(m.Requests, peer.PermitRequest{Target: r.Target, Limit: scaleRate(r.Limit), Demand: scaleRate(r.Demand), Wanted: r.Wanted})
		}
	}
	for id, m := range byAllocator {
		// A message that can't be sent is repeated, since it stays unanswered.
		c.entry.hub.SendOnAnyLink(id, peer.Frame{PermitRequests: m})
	}
}

// scaleRate converts a rate per second to the unit of messages.
func scaleRate(perSecond float64) uint64 { return uint64(math.Round(perSecond * ratePrecision)) }

// PermitRequests implements peer.Handler.
func (p *peerHandler) PermitRequests(from string, m peer.PermitRequests) {
	p.entry.control.post(func(c *control, now time.Time) {
		out := &peer.PermitGrants{}
		for _, r := range m.Requests {
			g := c.permitPools.Request(now, from, quota.Request{Target: r.Target, Limit: float64(r.Limit) / ratePrecision, Demand: float64(r.Demand) / ratePrecision, Wanted: r.Wanted})
			out.Grants = append(out.Grants, peer.PermitGrant{Target: g.Target, Permits: g.Permits, WaitMS: g.Wait.Milliseconds(), Rate: scaleRate(g.Rate), Ready: g.Ready})
		}
		c.entry.hub.SendOnAnyLink(from, peer.Frame{PermitGrants: out})
	})
}

// PermitGrants implements peer.Handler.
func (p *peerHandler) PermitGrants(_ string, m peer.PermitGrants) {
	grants := make([]quota.Grant, 0, len(m.Grants))
	for _, g := range m.Grants {
		grants = append(grants, quota.Grant{Target: g.Target, Permits: g.Permits, Wait: time.Duration(min(max(g.WaitMS, 0), math.MaxInt32)) * time.Millisecond, Rate: float64(g.Rate) / ratePrecision, Ready: g.Ready})
	}
	p.entry.control.post(func(c *control, now time.Time) { c.recordGrants(now, grants) })
}

// recordGrants records permits, and wakes the requests that wait for them.
func (c *control) recordGrants(now time.Time, grants []quota.Grant) {
	e := c.entry
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, g := range grants {
		e.permits.RecordGrant(now, g)
	}
	close(e.permitsArrived)
	e.permitsArrived = make(chan struct{})
}

// awaitPermits requests the permits without which parts of a request can't be sent, and waits for them for up to permitWait. It
// returns at once if the allocators have stated that there are none.
func (r *runner) awaitPermits(ctx context.Context) {
	timer := time.NewTimer(permitWait)
	defer timer.Stop()
	for {
		due, waiting, arrived := r.missingPermits(time.Now())
		if !waiting {
			return
		}
		if len(due) > 0 {
			r.entry.control.post(func(c *control, now time.Time) { c.sendPermitRequests(now, due) })
		}
		select {
		case <-arrived:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// missingPermits returns the permits to request for parts whose targets are all unavailable, some of them for the lack of a
// permit. It reports whether a permit has been requested that may arrive soon, and returns the channel that is closed then.
func (r *runner) missingPermits(now time.Time) (due []quota.Request, waiting bool, arrived <-chan struct{}) {
	e := r.entry
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.permits.HasTargets() {
		return nil, false, nil
	}
	for _, service := range r.services {
		targets := e.view.Load().Targets(service)
		if availability, _ := e.balancer.UnavailableReason(now, targets, nil); availability != place.RateLimited || e.balancer.AnyUsable(now, targets) {
			continue
		}
		for _, t := range targets {
			switch {
			case !e.permits.Blocked(now, t.ID):
			case e.permits.CanAsk(now, t.ID):
				due = append(due, e.permits.RequestNow(now, t.ID))
				waiting = true
			case e.permits.IsWaiting(now, t.ID):
				waiting = true
			}
		}
	}
	return due, waiting, e.permitsArrived
}

// retryAfter returns the time after which a caller should repeat a request that was refused because targets of the given services
// are at their rate limits.
func (r *runner) retryAfter(now time.Time, services []string) (wait time.Duration) {
	e := r.entry
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, service := range services {
		var ids []string
		for _, t := range e.view.Load().Targets(service) {
			ids = append(ids, t.ID)
		}
		wait = max(wait, e.permits.Promise(now, ids))
	}
	return wait
}
