package member

import (
	"math/rand/v2"
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
)

const (
	// PollInterval is the time between the starts of two reads by a reader, and the time that its watches wait for a
	// change.
	PollInterval = 500 * time.Millisecond
	// fleetReadRate is the planned number of platform calls per second of the whole fleet. The platform can serve 2,000
	// calls per second, and one fleet may use a tenth of them. The rest of the tenth is left for jitter.
	fleetReadRate = 160
	// minFallbackRate is the number of calls per second for processes with old evidence if the readers use up fleetReadRate.
	minFallbackRate = 12
	// readerMaxBackoff limits the backoff of a reader, because the other processes learn from the readers that the platform
	// answers again.
	readerMaxBackoff = 2 * time.Second
	// startMaxBackoff limits the backoff of a process that knows no list of VMs. With 16 s, 1,800 such processes whose first
	// call fails make 113 calls per second.
	startMaxBackoff = 16 * time.Second
)

// role is the reason why this process reads the platform.
type role uint8

const (
	roleNone     role = iota
	roleReader        // the process ranks among the first ReadersPerDataCentre VMs of its data centre
	roleFallback      // the evidence of the process is old
	roleStarting      // the process knows no list of VMs
)

// role returns the role of this process at now.
func (v *View) role(now time.Time) role {
	if len(v.vms) == 0 {
		return roleStarting
	}
	if v.isRankedReader(now) {
		return roleReader
	}
	if v.evidence.IsZero() || now.Sub(v.evidence) > v.cfg.FallbackReadAge {
		return roleFallback
	}
	return roleNone
}

// isRankedReader reports whether this process may read and fewer than ReadersPerDataCentre live VMs of its data centre
// rank before it.
func (v *View) isRankedReader(now time.Time) bool {
	if p := v.peers[v.self]; !v.mayRead || p != nil && p.leaving {
		return false
	}
	rank := 0
	for _, id := range v.rankedHigher {
		if rank == v.cfg.ReadersPerDataCentre {
			return false
		}
		p := v.peers[id]
		unknown := v.pinged != nil && !v.pinged[id] && (p == nil || !p.leaving)
		if unknown || v.Alive(now, id) {
			rank++
		}
	}
	return rank < v.cfg.ReadersPerDataCentre
}

// readSchedule holds the schedule of the platform reads of this process.
type readSchedule struct {
	role      role
	due       time.Time // start of the next read; zero if it must be computed
	lastStart time.Time // start of the read that finished last
	failures  int       // number of failed reads since the last successful one
}

// recordRead records the end of a read that began at started.
func (r *readSchedule) recordRead(started time.Time, ok bool) {
	r.lastStart = started
	r.due = time.Time{}
	r.failures++
	if ok {
		r.failures = 0
	}
}

// NextRead returns when this process should start its next read of every key. The second result is false if this process
// needs no read. It must be called again after each RecordRead or RecordFailedRead and whenever the Permission is
// computed; until then the time changes only if the reason for reading changes. If a read is still running at the time
// returned, the caller must not start another one.
//
// Readers read every PollInterval. Processes with old evidence share the calls that the readers leave of the 160 calls per
// second planned for the fleet. Their wait grows with the size of the fleet, so that an outage that all of them notice at
// once doesn't cause a burst of calls.
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

// schedule returns the start of the next read for the current role; changed says that the role is new.
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

// nextDue returns the start of the next read: at once if there was none, PollInterval after the start of a successful
// read, or a jittered backoff after the start of a failed one.
func (r *readSchedule) nextDue(maxBackoff time.Duration, now time.Time, rnd *rand.Rand) time.Time {
	switch {
	case r.lastStart.IsZero():
		return now
	case r.failures == 0:
		return r.lastStart.Add(PollInterval)
	}
	return r.lastStart.Add(jitter(r.backoff(maxBackoff), rnd))
}

// backoff returns PollInterval doubled for each failure in a row, at most maxBackoff.
func (r *readSchedule) backoff(maxBackoff time.Duration) time.Duration {
	wait := PollInterval
	for range r.failures {
		if wait *= 2; wait >= maxBackoff {
			return maxBackoff
		}
	}
	return wait
}

// jitter returns a random duration between 0.5 and 1.5 times d.
func jitter(d time.Duration, rnd *rand.Rand) time.Duration {
	return time.Duration((0.5 + rnd.Float64()) * float64(d))
}

// fallbackWait returns the mean time between two reads of one process if all processes of the fleet have old evidence.
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
		readers += min(n, v.cfg.ReadersPerDataCentre)
	}
	keys := float64(len(plat.Keys))
	remainingRate := max(minFallbackRate, fleetReadRate-float64(readers)*keys/PollInterval.Seconds())
	wait := float64(live) * keys / remainingRate
	return max(PollInterval, time.Duration(wait*float64(time.Second)))
}
