package limit

import (
	"slices"
	"time"
)

const (
	// maxLatencies is the number of latencies kept. A lasting change of the latency becomes the new median after half
	// as many replies, so that an index that has become slower doesn't keep the level low for good.
	maxLatencies = 32
	// minLatencies is the number of latencies from which on a reply can count as slow.
	minLatencies = 8
)

// latencyMedian keeps the newest latencies of replies that state the target as warm.
type latencyMedian struct {
	latencies [maxLatencies]time.Duration
	count     int
	next      int // index in latencies that is overwritten next
}

// add records a latency and drops the oldest one if the window is full.
func (m *latencyMedian) add(latency time.Duration) {
	if latency <= 0 {
		return
	}
	m.latencies[m.next] = latency
	m.next = (m.next + 1) % maxLatencies
	m.count = min(m.count+1, maxLatencies)
}

// isSlow reports whether a latency exceeds slowFactor times the median of the latencies kept.
func (m *latencyMedian) isSlow(latency time.Duration) bool {
	if m.count < minLatencies {
		return false
	}
	sorted := m.latencies
	slices.Sort(sorted[:m.count])
	return latency > slowFactor*sorted[m.count/2]
}
