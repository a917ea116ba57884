package emul

import (
	"sync"
	"time"
)

// SuspendableClock is the clock of a simulated process that can be suspended. While the clock is suspended, Now blocks, and
// thereby suspends the process that calls it. The zero value is not suspended.
type SuspendableClock struct {
	mu     sync.Mutex
	thawed chan struct{} // closed by Resume; nil while the clock is not suspended
}

// Now returns the current time. While the clock is suspended, Now blocks until Resume.
func (g *SuspendableClock) Now() time.Time {
	for {
		g.mu.Lock()
		wait := g.thawed
		g.mu.Unlock()
		if wait == nil {
			return time.Now()
		}
		<-wait
	}
}

// Suspend makes Now block until Resume.
func (g *SuspendableClock) Suspend() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.thawed == nil {
		g.thawed = make(chan struct{})
	}
}

// Resume ends Suspend and wakes all blocked callers of Now.
func (g *SuspendableClock) Resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.thawed != nil {
		close(g.thawed)
		g.thawed = nil
	}
}
