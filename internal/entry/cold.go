package entry

import (
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/internal/table"
)

const (
	// coldShare is the part of what a cold target bears that the fleet sends it; the rest is for processes that differ for a
	// moment on who shares it.
	coldShare = 0.8
	// coldTransition is how long a process keeps to the smaller of its parts before and after a change of the fleet: the time in
	// which all processes learn of it.
	coldTransition = 2 * time.Second
)

// coldLimit returns how many requests this process may send to a cold target in any second; negative for no bound.
//
// The parts of one view of the fleet add up to coldUsed of the bound at most. Two halves of a fleet that have been apart for
// crew.DefaultShrink each take the other half for gone, and may send twice that to a target that both reach.
func (e *Entry) coldLimit(t *table.Target) int {
	s := e.shares.Load()
	bound := s.view.Service(t.Service).WarmupPerSecond
	if bound <= 0 {
		return -1
	}
	fleetLimit := int(coldShare * (bound*e.Bounds.WarmupOverage + e.Bounds.WarmupSlack))
	limit := s.coldLimit(t, fleetLimit)
	if s.previous != nil && time.Since(s.since) < coldTransition {
		limit = min(limit, s.previous.coldLimit(t, fleetLimit))
	}
	return limit
}

// coldLimit divides what a cold target bears among the processes that use it. If it isn't enough for all, those that come
// first in an order of the target's own have one each.
func (s *shares) coldLimit(t *table.Target, fleetLimit int) int {
	users := max(len(s.chosen), 1)
	if users < s.size && !s.selfChosen {
		return 0
	}
	if n := fleetLimit / users; n > 0 {
		return n
	}
	if s.ranksWithin(t.ID, fleetLimit) {
		return 1
	}
	return 0
}
