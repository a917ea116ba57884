package entry

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiarelay/fuchsiarelay/internal/table"
)

const (
	// coldFraction is the fraction of the rate limit of a cold target that the fleet uses. The rest is a margin for moments
	// in which processes disagree on which of them share the limit. A target is cold while it warms up after a start.
	coldFraction = 0.8
	// coldTransition is how long after a change of the fleet a process uses the smaller of its previous and its new limit.
	// All processes learn of the change within this time.
	coldTransition = 2 * time.Second
)

// coldLimit returns how many requests this process may send to a cold target in any second; a negative value means no limit.
//
// The limits of all processes that agree on the state of the fleet add up to at most coldFraction of the target's limit. If
// a network partition lasts longer than roster.DefaultShrinkDelay, the processes on each side no longer count those on the
// other side, and both sides together may send twice as much to a target that both reach.
func (e *Entry) coldLimit(t *table.Target) int {
	s := e.shares.Load()
	ratePerSecond := s.view.Service(t.Service).WarmupRequestsPerSecond
	if ratePerSecond <= 0 {
		return -1
	}
	fleetLimit := int(coldFraction * (ratePerSecond*e.Bounds.WarmupOverage + e.Bounds.WarmupSlack))
	limit := s.divideColdLimit(t, fleetLimit)
	if s.previous != nil && time.Since(s.since) < coldTransition {
		limit = min(limit, s.previous.divideColdLimit(t, fleetLimit))
	}
	return limit
}

// divideColdLimit returns this process's part of fleetLimit, the requests per second that the fleet may send to a cold
// target. If only some processes of the fleet are chosen, the chosen ones divide fleetLimit and the others get none. If
// fleetLimit is smaller than the number of processes that divide it, those that rank first for the target get one request
// each, and the others none; see ranksWithin. A process that doesn't know its peers yet assumes that there are
// initialFleetSize, and that its rank is a random one.
func (s *shares) divideColdLimit(t *table.Target, fleetLimit int) int {
	if !s.settled {
		if xxhash.Sum64String(t.ID+s.self.String())%initialFleetSize < uint64(max(fleetLimit, 0)) {
			return 1
		}
		return 0
	}
	senders := max(len(s.senders), 1)
	if senders < s.fleetSize && !s.selfChosen {
		return 0
	}
	if n := fleetLimit / senders; n > 0 {
		return n
	}
	if s.ranksWithin(t.ID, fleetLimit, s.senders) {
		return 1
	}
	return 0
}
