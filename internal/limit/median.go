package limit

import (
	"slices"
	"time"
)

const (
	// medianWindow is the number of latencies kept. A lasting change of the latency becomes the new median after half
	// as many replies, so that an index that has become slower doesn't keep the level low for good.
	medianWindow = 32
	// medianLeast is the number of latencies from which on a reply can count as slow.
	medianLeast = 8
)

// median keeps the newest latencies of replies that state the target as warm.
type median struct {
	ring  [medianWindow]time.Duration
	count int
	next  int
}

// add records a latency and drops the oldest one if the window is full.
func (m *median) add(latency time.Duration) {
	if latency <= 0 {
		return
	}
	m.ring[m.next] = latency
	m.next = (m.next + 1) % medianWindow
	m.count = min(m.count+1, medianWindow)
}

// slow reports whether a latency exceeds slowFactor times the median of the latencies kept.
func (m *median) slow(latency time.Duration) bool {
	if m.count < medianLeast {
		return false
	}
	sorted := m.ring
	slices.Sort(sorted[:m.count])
	return latency > slowFactor*sorted[m.count/2]
}
