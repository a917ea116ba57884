package front

import (
	"slices"
	"sync"
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/pkg/codes"
)

// Parameters of the latency estimates. The hedge delay is a percentile of the latencyWindow newest latencies; it is
// computed again after each latencyUpdateEvery samples.
const (
	latencyWindow      = 512
	latencyUpdateEvery = 32
	minSamples         = 32
	hedgeQuantile      = 0.95
	averageDivisor     = 8
	// censoredFactor times its elapsed time is the assumed latency of an attempt that was given up.
	censoredFactor = 2
	// averageHalfLife is the period without a latency sample after which an average is halved, so that a target that is not
	// chosen because it was slow is chosen again.
	averageHalfLife = time.Second
)

// Times for which a target without a working dispatcher comes last among the replicas. The first time is short, because
// the cause may be a single broken link; later times double, because the shares of new dispatchers grow only after
// seconds.
const (
	minAvoidTime = 250 * time.Millisecond
	maxAvoidTime = time.Second
	// avoidedWait is the expected wait of such a target. It makes any other replica preferable, and prevents hedges to the
	// target.
	avoidedWait = time.Hour
)

// targetLoad holds the latency and the open attempts of one target, as measured by this front.
type targetLoad struct {
	average    time.Duration  // moving average of latencies
	updatedAt  time.Time      // time of the newest change of average
	open       map[string]int // number of attempts without a reply, by dispatcher
	avoidUntil time.Time      // the target comes last until then, because no dispatcher accepted work for it
	avoidTime  time.Duration  // length of the current or last avoidance; 0 after a successful reply
}

// decayedAverage returns the average at the time now, halved for each averageHalfLife since the newest change.
func (t *targetLoad) decayedAverage(now time.Time) time.Duration {
	periods := min(max(now.Sub(t.updatedAt)/averageHalfLife, 0), 62)
	return t.average >> periods
}

// updateAverage moves the average towards a measured latency.
func (t *targetLoad) updateAverage(now time.Time, latency time.Duration) {
	known := t.decayedAverage(now)
	if known == 0 {
		t.average = latency
	} else {
		t.average = known + (latency-known)/averageDivisor
	}
	t.updatedAt = now
}

// loads holds the latencies and the open attempts of all targets. It is safe for concurrent use.
type loads struct {
	mu         sync.Mutex
	targets    map[string]*targetLoad
	recent     []time.Duration // ring buffer of the newest latencies
	next       int
	newSamples int // samples since p95 was computed
	p95        time.Duration
}

func newLoads() *loads { return &loads{targets: map[string]*targetLoad{}} }

// get returns the load of the target, which it creates if necessary. The caller holds mu.
func (l *loads) get(target string) *targetLoad {
	t := l.targets[target]
	if t == nil {
		t = &targetLoad{open: map[string]int{}}
		l.targets[target] = t
	}
	return t
}

// recordSend records the start of a sub-request or order at a dispatcher.
func (l *loads) recordSend(target, dispatcher string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.get(target).open[dispatcher]++
}

// recordEnd records the end of a sub-request or order at a dispatcher.
func (l *loads) recordEnd(now time.Time, target, dispatcher string, e attemptEnd) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.get(target)
	t.open[dispatcher]--
	if t.open[dispatcher] <= 0 {
		delete(t.open, dispatcher)
	}
	switch {
	case e.order:
		// Each order uses a new connection, so its latency says little about the latency of sub-requests.
	case e.code.OK():
		t.avoidTime = 0
		t.updateAverage(now, e.took)
		l.addSample(e.took)
	case givenUp(e.code) && censoredFactor*e.took > t.decayedAverage(now):
		// The latency of a given-up attempt is not known, but longer than the elapsed time. If such attempts were ignored, a
		// slow target whose hedged attempts always win would never appear slow.
		t.updateAverage(now, censoredFactor*e.took)
	}
}

// recordUnserved records that no dispatcher of the target accepted a work item.
func (l *loads) recordUnserved(now time.Time, target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.get(target)
	if now.Before(t.avoidUntil) {
		return // this attempt began before the failure that started the current avoidance was known
	}
	t.avoidTime = min(max(2*t.avoidTime, minAvoidTime), maxAvoidTime)
	t.avoidUntil = now.Add(t.avoidTime)
}

// attemptEnd describes the end of a work item at a dispatcher.
type attemptEnd struct {
	took  time.Duration
	code  codes.Code
	order bool
}

// givenUp reports whether an attempt ended because it was canceled or its time was over.
func givenUp(c codes.Code) bool { return c == codes.Canceled || c == codes.DeadlineExceeded }

// addSample adds a latency to the window and updates the percentile if enough new samples have come in. The caller holds mu.
func (l *loads) addSample(took time.Duration) {
	if len(l.recent) < latencyWindow {
		l.recent = append(l.recent, took)
	} else {
		l.recent[l.next] = took
		l.next = (l.next + 1) % latencyWindow
	}
	l.newSamples++
	if l.newSamples < latencyUpdateEvery || len(l.recent) < minSamples {
		return
	}
	l.newSamples = 0
	sorted := slices.Clone(l.recent)
	slices.Sort(sorted)
	l.p95 = sorted[int(hedgeQuantile*float64(len(sorted)-1))]
}

// hedgeDelay returns the time after which a sub-request is hedged: the 95th percentile of recent latencies, or 0 while there
// are too few samples.
func (l *loads) hedgeDelay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.p95
}

// expectedWait estimates the time until a reply of the target: its average latency, plus the average latency times the
// number of open attempts per slot.
func (l *loads) expectedWait(now time.Time, target string, slots int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.targets[target]
	if t == nil {
		return 0
	}
	if now.Before(t.avoidUntil) && t.avoidTime > 0 {
		return avoidedWait
	}
	open := 0
	for _, n := range t.open {
		open += n
	}
	average := t.decayedAverage(now)
	return average + average*time.Duration(open)/time.Duration(max(slots, 1))
}

// openAttempts returns the number of attempts without a reply at one dispatcher of the target.
func (l *loads) openAttempts(target, dispatcher string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.targets[target]
	if t == nil {
		return 0
	}
	return t.open[dispatcher]
}
