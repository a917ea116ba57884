package front

import (
	"slices"
	"sync"
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/pkg/codes"
)

// Parameters of the latency estimates. The hedge delay is the hedgeQuantile of the latencyWindow newest latencies. It is
// computed again after every samplesPerUpdate samples, and is 0 while there are fewer than minLatencySamples.
const (
	latencyWindow     = 512
	samplesPerUpdate  = 32
	minLatencySamples = 32
	hedgeQuantile     = 0.95
	averageDivisor    = 8 // a new latency moves the average by 1/averageDivisor of the difference
	// censoredFactor is the ratio of the assumed latency of an attempt that was given up to its elapsed time.
	censoredFactor = 2
	// averageHalfLife is the period without a latency sample after which an average is halved, so that a target that is not
	// chosen because it was slow is chosen again.
	averageHalfLife = time.Second
)

// A target without a working dispatcher is avoided: for a time it comes last among the replicas. The first avoidance is
// short, because the cause may be a single broken link. Each further one takes twice as long, because the shares of new
// dispatchers grow only after seconds.
const (
	minAvoidDuration = 250 * time.Millisecond
	maxAvoidDuration = time.Second
	// avoidedWait is the expected wait of an avoided target. It makes any other replica preferable, and prevents hedges to the
	// target.
	avoidedWait = time.Hour
)

// targetLoad holds the latency and the open attempts of one target, as measured by this front.
type targetLoad struct {
	averageLatency   time.Duration  // moving average of latencies
	averageUpdatedAt time.Time      // time of the newest change of averageLatency
	openByDispatcher map[string]int // number of attempts without a reply, by dispatcher
	avoidUntil       time.Time      // the target is avoided until then, because no dispatcher accepted work for it
	avoidDuration    time.Duration  // length of the current or last avoidance; 0 after a successful reply
}

// decayedAverage returns the average latency as of now, halved for each averageHalfLife since its newest change.
func (t *targetLoad) decayedAverage(now time.Time) time.Duration {
	periods := min(max(now.Sub(t.averageUpdatedAt)/averageHalfLife, 0), 62)
	return t.averageLatency >> periods
}

// updateAverage moves the average latency towards a measured or assumed latency.
func (t *targetLoad) updateAverage(now time.Time, latency time.Duration) {
	current := t.decayedAverage(now)
	if current == 0 {
		t.averageLatency = latency
	} else {
		t.averageLatency = current + (latency-current)/averageDivisor
	}
	t.averageUpdatedAt = now
}

// targetLoads holds the latencies and the open attempts of all targets. It is safe for concurrent use.
type targetLoads struct {
	mu              sync.Mutex
	targets         map[string]*targetLoad
	recentLatencies []time.Duration // ring buffer of the newest latencies
	nextIndex       int             // index in recentLatencies that is overwritten next, once the buffer is full
	newSamples      int             // samples since p95 was computed
	p95             time.Duration
}

func newTargetLoads() *targetLoads { return &targetLoads{targets: map[string]*targetLoad{}} }

// loadOf returns the load of the target, which it creates if necessary. The caller holds mu.
func (l *targetLoads) loadOf(target string) *targetLoad {
	t := l.targets[target]
	if t == nil {
		t = &targetLoad{openByDispatcher: map[string]int{}}
		l.targets[target] = t
	}
	return t
}

// recordSend records the start of a sub-request or order at a dispatcher.
func (l *targetLoads) recordSend(target, dispatcher string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loadOf(target).openByDispatcher[dispatcher]++
}

// recordEnd records the end of a sub-request or order at a dispatcher.
func (l *targetLoads) recordEnd(now time.Time, target, dispatcher string, e attemptEnd) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.loadOf(target)
	t.openByDispatcher[dispatcher]--
	if t.openByDispatcher[dispatcher] <= 0 {
		delete(t.openByDispatcher, dispatcher)
	}
	switch {
	case e.isOrder:
		// Each order uses a new connection, so its latency says little about the latency of sub-requests.
	case e.code.OK():
		t.avoidDuration = 0
		t.updateAverage(now, e.elapsed)
		l.addSample(e.elapsed)
	case isGivenUp(e.code) && censoredFactor*e.elapsed > t.decayedAverage(now):
		// The latency of a given-up attempt is not known, but longer than the elapsed time. If given-up attempts were
		// ignored, a slow target whose replies always come after those of the hedges would never appear slow.
		t.updateAverage(now, censoredFactor*e.elapsed)
	}
}

// recordNotAccepted records that no dispatcher of the target accepted a work item.
func (l *targetLoads) recordNotAccepted(now time.Time, target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.loadOf(target)
	if now.Before(t.avoidUntil) {
		return // this attempt began before the failure that started the current avoidance was known
	}
	t.avoidDuration = min(max(2*t.avoidDuration, minAvoidDuration), maxAvoidDuration)
	t.avoidUntil = now.Add(t.avoidDuration)
}

// attemptEnd describes the end of a work item at a dispatcher.
type attemptEnd struct {
	elapsed time.Duration
	code    codes.Code
	isOrder bool
}

// isGivenUp reports whether an attempt with this code ended because it was canceled or its time was over.
func isGivenUp(c codes.Code) bool { return c == codes.Canceled || c == codes.DeadlineExceeded }

// addSample adds a latency to the window and updates the percentile if enough new samples have come in. The caller holds mu.
func (l *targetLoads) addSample(latency time.Duration) {
	if len(l.recentLatencies) < latencyWindow {
		l.recentLatencies = append(l.recentLatencies, latency)
	} else {
		l.recentLatencies[l.nextIndex] = latency
		l.nextIndex = (l.nextIndex + 1) % latencyWindow
	}
	l.newSamples++
	if l.newSamples < samplesPerUpdate || len(l.recentLatencies) < minLatencySamples {
		return
	}
	l.newSamples = 0
	sorted := slices.Clone(l.recentLatencies)
	slices.Sort(sorted)
	l.p95 = sorted[int(hedgeQuantile*float64(len(sorted)-1))]
}

// hedgeDelay returns the time after which a sub-request is hedged: the 95th percentile of recent latencies, or 0 while too
// few latencies are known.
func (l *targetLoads) hedgeDelay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.p95
}

// expectedWait estimates the time until a reply of the target: its average latency, plus the average latency times the
// number of open attempts per slot. It is 0 for a target without measurements, and avoidedWait for an avoided one.
func (l *targetLoads) expectedWait(now time.Time, target string, slots int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.targets[target]
	if t == nil {
		return 0
	}
	if now.Before(t.avoidUntil) && t.avoidDuration > 0 {
		return avoidedWait
	}
	open := 0
	for _, n := range t.openByDispatcher {
		open += n
	}
	average := t.decayedAverage(now)
	return average + average*time.Duration(open)/time.Duration(max(slots, 1))
}

// openAttempts returns the number of attempts without a reply at one dispatcher of the target.
func (l *targetLoads) openAttempts(target, dispatcher string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.targets[target]
	if t == nil {
		return 0
	}
	return t.openByDispatcher[dispatcher]
}
