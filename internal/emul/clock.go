package emul

import (
	"sync"
	"time"
)

// SuspendableClock is the clock of a simulated process that can be suspended. While the clock is suspended, Now blocks, and
// thereby suspends the process that calls it. The zero value is not suspended.
type SuspendableClock struct {
	mu      sync.Mutex
	resumed chan struct{} // closed by Resume; nil while the clock is not suspended
}

// Now returns the current time. While the clock is suspended, Now blocks until Resume.
func (c *SuspendableClock) Now() time.Time {
	for {
		c.mu.Lock()
		wait := c.resumed
		c.mu.Unlock()
		if wait == nil {
			return time.Now()
		}
		<-wait
	}
}

// Suspend makes Now block until Resume.
func (c *SuspendableClock) Suspend() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.resumed == nil {
		c.resumed = make(chan struct{})
	}
}

// Resume ends Suspend and wakes all blocked callers of Now.
func (c *SuspendableClock) Resume() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.resumed != nil {
		close(c.resumed)
		c.resumed = nil
	}
}
