package emul

import (
	"sync"
	"time"
)

// Gate is the clock of a simulated process that can be suspended. While the gate is frozen, Now blocks, and thereby suspends
// the process that calls it. The zero value is not frozen.
type Gate struct {
	mu     sync.Mutex
	thawed chan struct{} // closed by Thaw; nil while the gate is not frozen
}

// Now returns the current time. While the gate is frozen, Now blocks until Thaw.
func (g *Gate) Now() time.Time {
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

// Freeze makes Now block until Thaw.
func (g *Gate) Freeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.thawed == nil {
		g.thawed = make(chan struct{})
	}
}

// Thaw ends Freeze and wakes all blocked callers of Now.
func (g *Gate) Thaw() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.thawed != nil {
		close(g.thawed)
		g.thawed = nil
	}
}
