package lineup

import (
	"slices"
	"time"
)

// standby is the part of a reserve that processes share of which callers aren't told, and that are asked all the same.
const standby = 0.2

// Reserve divides an amount that the whole fleet may use in any Window, such as a retry budget. Set Window and First before
// the first call.
//
// Shrink at once, grow late: a part is the least of those of the last Window. Whatever a process uses in a window that
// begins at t is therefore within its part at t, and the parts of one time add up to the whole. In a fleet that serves as a
// whole, parts are equal, and follow the size at once: it counts those that have gone for a while.
//
// The process that ran on the same VM before may have used its part just before it ended. A new one therefore uses little
// for a Window, unless it is the First there.
type Reserve struct {
	Window time.Duration
	First  bool // no process has run on this VM before

	began   time.Time
	changes []change // the oldest is in force at the beginning of the window
}

type change struct {
	at    time.Time
	part  float64
	whole bool // the fleet served as a whole
}

// Fleet is what a part depends on.
type Fleet struct {
	Size   int  // processes, with those that have gone less than a Window ago
	Named  int  // those that callers are told of
	Others int  // those that take requests and aren't named
	Chosen bool // this process is named
}

// Part returns this process's part, 0..1.
func (r *Reserve) Part(now time.Time, f Fleet) float64 {
	if r.began.IsZero() {
		r.began = now
	}
	least := standby / float64(max(f.Size, 1))
	part := least
	switch {
	case f.Others == 0:
		part = 1 / float64(max(f.Size, 1))
	case f.Chosen:
		part = (1 - standby) / float64(max(f.Named, 1))
	}
	whole := f.Others == 0
	if n := len(r.changes); n == 0 || r.changes[n-1].part != part || r.changes[n-1].whole != whole {
		r.changes = append(r.changes, change{now, part, whole})
	}
	for len(r.changes) > 1 && now.Sub(r.changes[1].at) >= r.Window {
		r.changes = slices.Delete(r.changes, 0, 1)
	}
	if !slices.ContainsFunc(r.changes, func(c change) bool { return !c.whole }) {
		return part
	}
	for _, c := range r.changes {
		part = min(part, c.part)
	}
	if !r.First && now.Sub(r.began) < r.Window {
		return min(part, least)
	}
	return part
}
