package subset

import (
	"slices"
	"time"
)

// standbyFraction is the fraction of a reserve for all standbys together, the processes whose addresses callers don't get.
// Some requests reach these processes nevertheless.
const standbyFraction = 0.2

// ReserveShare computes this process's share of an amount that the whole fleet may use in any Window, such as the reserve of
// retries. Set Window and FirstOnVM before the first call of Share.
//
// A share shrinks at once and grows after a delay: it is the smallest of the shares of the last Window. What a process uses
// in a window that begins at t is therefore within its share at t, and the shares of all processes at t add up to the whole
// amount. If all processes of the fleet have been chosen throughout the last Window, the shares are equal and follow the size
// of the fleet at once. This is safe because the size still counts processes for a while after they have gone.
//
// The process that ran before on the same VM may have used its share just before it ended. A new process therefore has only
// the share of a standby for the first Window, unless FirstOnVM is set or all processes have been chosen since its start.
type ReserveShare struct {
	Window    time.Duration
	FirstOnVM bool // no process has run on this VM before

	started time.Time     // time of the first call of Share
	changes []shareChange // in order of time; the first one was in force when the window began
}

// shareChange is a share that applies from the given time.
type shareChange struct {
	at        time.Time
	share     float64
	allChosen bool // there were no standbys
}

// FleetCounts holds the numbers that a share depends on.
type FleetCounts struct {
	Size         int  // number of processes, including those that have gone less than a Window ago
	ChosenCount  int  // number of chosen processes, whose addresses callers get
	StandbyCount int  // number of standbys, which accept requests and aren't chosen
	IsChosen     bool // this process is chosen
}

// Share returns this process's share of the amount as a fraction, 0..1.
func (r *ReserveShare) Share(now time.Time, f FleetCounts) float64 {
	if r.started.IsZero() {
		r.started = now
	}
	shareOfStandby := standbyFraction / float64(max(f.Size, 1))
	share := shareOfStandby
	switch {
	case f.StandbyCount == 0:
		share = 1 / float64(max(f.Size, 1))
	case f.IsChosen:
		share = (1 - standbyFraction) / float64(max(f.ChosenCount, 1))
	}
	allChosen := f.StandbyCount == 0
	if n := len(r.changes); n == 0 || r.changes[n-1].share != share || r.changes[n-1].allChosen != allChosen {
		r.changes = append(r.changes, shareChange{now, share, allChosen})
	}
	for len(r.changes) > 1 && now.Sub(r.changes[1].at) >= r.Window {
		r.changes = slices.Delete(r.changes, 0, 1)
	}
	if !slices.ContainsFunc(r.changes, func(c shareChange) bool { return !c.allChosen }) {
		return share
	}
	for _, c := range r.changes {
		share = min(share, c.share)
	}
	if !r.FirstOnVM && now.Sub(r.started) < r.Window {
		return min(share, shareOfStandby)
	}
	return share
}
