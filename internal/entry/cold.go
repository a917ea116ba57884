package entry

import (
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/internal/table"
)

const (
	// coldUsed is the part of what a cold target bears that the fleet sends it; the rest is for processes that differ for a
	// moment on who shares it.
	coldUsed = 0.8
	// coldSettle is how long a process keeps to the smaller of its parts before and after a change of the fleet: the time in
	// which all processes learn of it.
	coldSettle = 2 * time.Second
)

// coldPart returns how many requests this process may send to a cold target in any second; negative for no bound.
//
// The parts of one view of the fleet add up to coldUsed of the bound at most. Two halves of a fleet that have been apart for
// crew.DefaultShrink each take the other half for gone, and may send twice that to a target that both reach.
func (e *Entry) coldPart(t *table.Target) int {
	s := e.limits.Load()
	bound := s.view.Service(t.Service).WarmupPerSecond
	if bound <= 0 {
		return -1
	}
	most := int(coldUsed * (bound*e.Bounds.WarmupOverage + e.Bounds.WarmupSlack))
	part := s.coldPart(t, most)
	if s.before != nil && time.Since(s.since) < coldSettle {
		part = min(part, s.before.coldPart(t, most))
	}
	return part
}

// coldPart divides what a cold target bears among the processes that use it. If it isn't enough for all, those that come
// first in an order of the target's own have one each.
func (s *shares) coldPart(t *table.Target, most int) int {
	users := max(len(s.chosen), 1)
	if users < s.size && !s.named {
		return 0
	}
	if n := most / users; n > 0 {
		return n
	}
	if s.first(t.ID, most) {
		return 1
	}
	return 0
}
