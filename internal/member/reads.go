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
	// minFallbackRate is the number of calls per second that processes with old evidence may make together, even if the
	// readers use up fleetReadRate.
	minFallbackRate = 12
	// readerMaxBackoff limits the backoff of a reader, because the other processes learn from the readers that the platform
	// answers again.
	readerMaxBackoff = 2 * time.Second
	// startingMaxBackoff limits the backoff of a process that knows no list of VMs. With 16 s, 1,800 such processes whose first
	// call fails make 113 calls per second.
	startingMaxBackoff = 16 * time.Second
)

// readReason is the reason why this process reads the platform.
type readReason uint8

const (
	noRead          readReason = iota
	readAsReader               // the process ranks among the first ReadersPerDataCentre alive VMs of its data centre
	readAsFallback             // the evidence of the process is old
	readWithoutList            // the process knows no list of VMs
)

// readReason returns the reason why this process should read the platform as of now.
func (v *View) readReason(now time.Time) readReason {
	if len(v.vms) == 0 {
		return readWithoutList
	}
	if v.isRankedReader(now) {
		return readAsReader
	}
	if v.evidenceTime.IsZero() || now.Sub(v.evidenceTime) > v.cfg.FallbackReadAge {
		return readAsFallback
	}
	return noRead
}

// isRankedReader reports whether this process is listed as live and not stopping, and fewer than ReadersPerDataCentre alive
// VMs of its data centre rank before it.
func (v *View) isRankedReader(now time.Time) bool {
	if peer := v.peers[v.self]; !v.isListedLive || peer != nil && peer.stopping {
		return false
	}
	rank := 0
	for _, id := range v.rankedHigher {
		if rank == v.cfg.ReadersPerDataCentre {
			return false
		}
		peer := v.peers[id]
		notPinged := v.isPinged != nil && !v.isPinged[id] && (peer == nil || !peer.stopping)
		if notPinged || v.Alive(now, id) {
			rank++
		}
	}
	return rank < v.cfg.ReadersPerDataCentre
}

// readSchedule holds the state from which the next platform read of this process is scheduled.
type readSchedule struct {
	reason    readReason
	nextStart time.Time // start of the next read; zero if it must be computed
	lastStart time.Time // start of the read that finished last
	failures  int       // number of failed reads since the last successful one
}

// recordRead records the end of a read that began at started.
func (r *readSchedule) recordRead(started time.Time, ok bool) {
	r.lastStart = started
	r.nextStart = time.Time{}
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
	reason := v.readReason(now)
	if reason == noRead {
		v.readSchedule.reason, v.readSchedule.nextStart = noRead, time.Time{}
		return time.Time{}, false
	}
	if reason == v.readSchedule.reason && !v.readSchedule.nextStart.IsZero() {
		return v.readSchedule.nextStart, true
	}
	reasonChanged := reason != v.readSchedule.reason
	v.readSchedule.reason = reason
	v.readSchedule.nextStart = v.computeNextStart(now, reasonChanged, rnd)
	return v.readSchedule.nextStart, true
}

// computeNextStart returns the start of the next read for the current reason; reasonChanged says that the reason is new.
func (v *View) computeNextStart(now time.Time, reasonChanged bool, rnd *rand.Rand) time.Time {
	r := &v.readSchedule
	switch r.reason {
	case readAsFallback:
		wait := max(v.fallbackWait(), r.backoff(readerMaxBackoff))
		if reasonChanged {
			return now.Add(time.Duration(rnd.Float64() * float64(wait)))
		}
		return r.lastStart.Add(jitter(wait, rnd))
	case readWithoutList:
		return r.nextReadStart(startingMaxBackoff, now, rnd)
	}
	return r.nextReadStart(readerMaxBackoff, now, rnd)
}

// nextReadStart returns the start of the next read: at once if there was none, PollInterval after the start of a successful
// read, or a jittered backoff after the start of a failed one.
func (r *readSchedule) nextReadStart(maxBackoff time.Duration, now time.Time, rnd *rand.Rand) time.Time {
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
	liveByDataCentre := map[string]int{}
	live := 0
	for _, vm := range v.vms {
		if vm.State == plat.Live {
			live++
			liveByDataCentre[vm.DataCentre]++
		}
	}
	readers := 0
	for _, n := range liveByDataCentre {
		readers += min(n, v.cfg.ReadersPerDataCentre)
	}
	keys := float64(len(plat.Keys))
	remainingRate := max(minFallbackRate, fleetReadRate-float64(readers)*keys/PollInterval.Seconds())
	wait := float64(live) * keys / remainingRate
	return max(PollInterval, time.Duration(wait*float64(time.Second)))
}
