package member

import (
	"math/rand/v2"
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
)

const (
	// PollEvery is the time between the starts of two reads of a reader, and the wait of its watches.
	PollEvery = 500 * time.Millisecond
	// fleetReadRate is the planned rate of calls per second of the whole fleet. The platform bears 2,000 a second;
	// one fleet may use a tenth of it, and the rest of that tenth absorbs jitter.
	fleetReadRate = 160
	// minFallbackRate is the rate left to processes with old evidence if the readers use up fleetReads.
	minFallbackRate = 12
	// readerMaxBackoff bounds the backoff of a reader: the others learn through it that the platform is back.
	readerMaxBackoff = 2 * time.Second
	// startMaxBackoff bounds the backoff of a process that knows no list. At 16 s, 1,800 such processes whose
	// first call fails make 113 calls a second.
	startMaxBackoff = 16 * time.Second
)

// role says why this process reads the platform.
type role uint8

const (
	roleNone     role = iota
	roleReader        // ranks among the first of its data centre
	roleFallback      // its evidence is old
	roleStarting      // knows no list
)

func (v *View) role(now time.Time) role {
	if len(v.vms) == 0 {
		return roleStarting
	}
	if v.isRankedReader(now) {
		return roleReader
	}
	if v.evidence.IsZero() || now.Sub(v.evidence) > v.cfg.SelfReadAge {
		return roleFallback
	}
	return roleNone
}

// isRankedReader reports whether fewer than ReadersPer live VMs of the data centre rank before this process.
func (v *View) isRankedReader(now time.Time) bool {
	if p := v.peers[v.self]; !v.mayRead || p != nil && p.leaving {
		return false
	}
	rank := 0
	for _, id := range v.rankedHigher {
		if rank == v.cfg.ReadersPer {
			return false
		}
		p := v.peers[id]
		unknown := v.pinged != nil && !v.pinged[id] && (p == nil || !p.leaving)
		if unknown || v.Alive(now, id) {
			rank++
		}
	}
	return rank < v.cfg.ReadersPer
}

// readSchedule is the schedule of this process's platform readSchedule.
type readSchedule struct {
	role      role
	due       time.Time // zero if it must be computed
	lastStart time.Time // start of the newest finished read
	failures  int       // in a row
}

func (r *readSchedule) recordRead(started time.Time, ok bool) {
	r.lastStart = started
	r.due = time.Time{}
	r.failures++
	if ok {
		r.failures = 0
	}
}

// NextRead returns when this process starts its next read of every key; it is false if this process needs
// none. Call it again after each PlatformRead or ReadFailed and whenever the standing is computed; the time is kept
// until the role changes. A read that is still running when it falls due is not started again.
//
// Readers read every PollEvery. Processes with old evidence share what the readers leave of 160 calls a second: the
// wait grows with the fleet, so that an outage that all of them see at once doesn't turn into a burst.
func (v *View) NextRead(now time.Time, rnd *rand.Rand) (time.Time, bool) {
	role := v.role(now)
	if role == roleNone {
		v.reads.role, v.reads.due = roleNone, time.Time{}
		return time.Time{}, false
	}
	if role == v.reads.role && !v.reads.due.IsZero() {
		return v.reads.due, true
	}
	changed := role != v.reads.role
	v.reads.role = role
	v.reads.due = v.schedule(now, changed, rnd)
	return v.reads.due, true
}

func (v *View) schedule(now time.Time, changed bool, rnd *rand.Rand) time.Time {
	r := &v.reads
	switch r.role {
	case roleFallback:
		wait := max(v.fallbackWait(), r.backoff(readerMaxBackoff))
		if changed {
			return now.Add(time.Duration(rnd.Float64() * float64(wait)))
		}
		return r.lastStart.Add(jitter(wait, rnd))
	case roleStarting:
		return r.nextDue(startMaxBackoff, now, rnd)
	}
	return r.nextDue(readerMaxBackoff, now, rnd)
}

// nextDue returns one poll interval nextDue the last read, or the jittered backoff nextDue failures.
func (r *readSchedule) nextDue(maxBackoff time.Duration, now time.Time, rnd *rand.Rand) time.Time {
	switch {
	case r.lastStart.IsZero():
		return now
	case r.failures == 0:
		return r.lastStart.Add(PollEvery)
	}
	return r.lastStart.Add(jitter(r.backoff(maxBackoff), rnd))
}

func (r *readSchedule) backoff(maxBackoff time.Duration) time.Duration {
	wait := PollEvery
	for range r.failures {
		if wait *= 2; wait >= maxBackoff {
			return maxBackoff
		}
	}
	return wait
}

// jitter returns a time between half and one and a half of d.
func jitter(d time.Duration, rnd *rand.Rand) time.Duration {
	return time.Duration((0.5 + rnd.Float64()) * float64(d))
}

// fallbackWait is the mean time between two reads of one process if the whole fleet has old evidence.
func (v *View) fallbackWait() time.Duration {
	dcs := map[string]int{}
	live := 0
	for _, vm := range v.vms {
		if vm.State == plat.Live {
			live++
			dcs[vm.DataCentre]++
		}
	}
	readers := 0
	for _, n := range dcs {
		readers += min(n, v.cfg.ReadersPer)
	}
	keys := float64(len(plat.Keys))
	remainingRate := max(minFallbackRate, fleetReadRate-float64(readers)*keys/PollEvery.Seconds())
	wait := float64(live) * keys / remainingRate
	return max(PollEvery, time.Duration(wait*float64(time.Second)))
}
