package lineup

import (
	"slices"
	"time"
)

// standbyShare is the fraction of a reserve for the processes whose addresses callers don't get, since some requests
// reach these processes nevertheless.
const standbyShare = 0.2

// Reserve computes this process's part of an amount that the whole fleet may use in any Window, such as a retry budget. Set
// Window and First before the first call.
//
// A part shrinks at once and grows after a delay: it is the smallest of the parts of the last Window. What a process uses in
// a window that begins at t is therefore within its part at t, and the parts of all processes at one time add up to the whole
// amount. If all processes of the fleet are chosen, the parts are equal and follow the size of the fleet at once: the size
// still counts processes for a while after they have gone.
//
// The process that ran before on the same VM may have used its part just before it ended. A new process therefore has only
// the part of a standby for the first Window, unless First is set or all processes are chosen.
type Reserve struct {
	Window time.Duration
	First  bool // no process has run on this VM before

	started time.Time // time of the first call of Part
	changes []change  // the first one is in force at the beginning of the window
}

// change is a part that applies from the given time.
type change struct {
	at        time.Time
	part      float64
	allChosen bool // all processes of the fleet are chosen
}

// Fleet holds the numbers that a part depends on.
type Fleet struct {
	Size   int  // processes, including those that have gone less than a Window ago
	Named  int  // processes whose addresses callers get
	Others int  // processes that accept requests and aren't among the named ones
	Chosen bool // this process is among the named ones
}

// Part returns this process's part of the amount as a fraction, 0..1.
func (r *Reserve) Part(now time.Time, f Fleet) float64 {
	if r.started.IsZero() {
		r.started = now
	}
	least := standbyShare / float64(max(f.Size, 1))
	part := least
	switch {
	case f.Others == 0:
		part = 1 / float64(max(f.Size, 1))
	case f.Chosen:
		part = (1 - standbyShare) / float64(max(f.Named, 1))
	}
	allChosen := f.Others == 0
	if n := len(r.changes); n == 0 || r.changes[n-1].part != part || r.changes[n-1].allChosen != allChosen {
		r.changes = append(r.changes, change{now, part, allChosen})
	}
	for len(r.changes) > 1 && now.Sub(r.changes[1].at) >= r.Window {
		r.changes = slices.Delete(r.changes, 0, 1)
	}
	if !slices.ContainsFunc(r.changes, func(c change) bool { return !c.allChosen }) {
		return part
	}
	for _, c := range r.changes {
		part = min(part, c.part)
	}
	if !r.First && now.Sub(r.started) < r.Window {
		return min(part, least)
	}
	return part
}
