// Package clock provides the current time that callers pass to the decision packages.
//
// # Usage
//
//	c := clock.New()
//	now := c.Now()
//
// The monotonic clock may stop while a VM is suspended, and the wall clock may step in either direction. Now therefore
// advances by the larger of the two differences since the last call and never goes back, so that a process that was
// suspended notices that its configuration and its view of other processes are old.
package clock

import (
	"sync"
	"time"
)

// Clock is a clock that counts time spent in suspension and never goes back. It is safe for concurrent use.
type Clock struct {
	mu          sync.Mutex
	lastReading time.Time // reading of time.Now at the last call
	now         time.Time // value returned by the last call, without a monotonic part
}

// New returns a clock that starts at the current time.
func New() *Clock {
	t := time.Now()
	return &Clock{lastReading: t, now: t.Round(0)}
}

// Now returns the current time: the last returned time plus the larger of the monotonic and the wall clock difference.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := time.Now()
	elapsed := max(t.Sub(c.lastReading), t.Round(0).Sub(c.lastReading.Round(0)), 0)
	c.lastReading = t
	c.now = c.now.Add(elapsed)
	return c.now
}
