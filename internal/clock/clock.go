// Package clock provides the current time for packages that take the time as a parameter instead of reading a clock.
//
// # Usage
//
//	c := clock.New()
//	now := c.Now()
//
// The monotonic clock may stop while a VM is suspended, and the wall clock may be set forward or back. The time that Now returns
// therefore advances by the larger of the two differences since the last call, and never goes back. A process that was suspended
// thus notices that its configuration and its knowledge of other processes are outdated.
package clock

import (
	"sync"
	"time"
)

// Clock is a clock that includes time spent in suspension and never goes back. It is safe for concurrent use.
type Clock struct {
	mu          sync.Mutex
	lastReading time.Time // reading of time.Now at the last call
	now         time.Time // time returned by the last call, without a monotonic reading
}

// New returns a clock that starts at the current time.
func New() *Clock {
	reading := time.Now()
	return &Clock{lastReading: reading, now: reading.Round(0)}
}

// Now returns the current time: the last returned time, plus the larger of the differences that the monotonic clock and the wall
// clock measured since then.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	reading := time.Now()
	elapsed := max(reading.Sub(c.lastReading), reading.Round(0).Sub(c.lastReading.Round(0)), 0)
	c.lastReading = reading
	c.now = c.now.Add(elapsed)
	return c.now
}
