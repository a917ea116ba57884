package place

import (
	"time"
)

// markDown takes a target out of rotation until its health page answers.
func (b *Balancer) markDown(now time.Time, id string, s *targetState, reason Outcome) {
	s.downByNoReply = false
	if s.down {
		return
	}
	s.down = true
	s.probeDelay = min(max(2*s.probeDelay, initialProbeDelay), b.cfg.MaxProbeDelay)
	s.probeAt = now.Add(s.probeDelay)
	s.probeInterval = b.cfg.ProbeInterval
	b.recordChange(now, id, s, reason)
}

// DueProbes returns the targets whose health page is due to be queried now, and schedules their next probes.
func (b *Balancer) DueProbes(now time.Time) []string {
	var out []string
	for id, s := range b.targets {
		if s.down && !now.Before(s.probeAt) && !now.Before(s.backoffUntil) {
			s.probeAt = now.Add(time.Duration(float64(s.probeInterval) * b.probeFactor))
			s.probeInterval = min(2*s.probeInterval, b.cfg.MaxProbeDelay)
			out = append(out, id)
		}
	}
	return out
}

// RecordProbe records the result of a query of a health page. Only a healthy result changes anything.
func (b *Balancer) RecordProbe(now time.Time, id string, ok bool) {
	s := b.targets[id]
	if s == nil || !s.down || !ok {
		return
	}
	s.down = false
	b.recordChange(now, id, s, Answered)
	s.consecutiveUnanswered, s.consecutiveBroken = 0, 0
	s.lastReply = now
	s.reportedLoad, s.loadReportedAt = 0, time.Time{}
	s.slowdown = max(s.slowdown, unknownSlowdown)
	s.failureRate = min(s.failureRate, 0.3)
}

// IsDown reports whether a target is out of rotation.
func (b *Balancer) IsDown(id string) bool {
	s := b.targets[id]
	return s != nil && s.down
}
