package front

import (
	"slices"
	"sync"
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/pkg/codes"
)

// Size of the window of recent latencies, and how often its percentile is computed anew.
const (
	latencyWindow      = 512
	latencyUpdateEvery = 32
	minSamples         = 32
	hedgeQuantile      = 0.95
	averageDivisor     = 8
	// censoredFactor is how much longer than its elapsed time a given-up attempt is assumed to have taken.
	censoredFactor = 2
	// averageHalfLife halves an average for each such period without news of the target, so that a target that nobody
	// asks because it was slow is asked again.
	averageHalfLife = time.Second
)

// Times for which a target without a working dispatcher comes last among the replicas. The first is short because a
// link may have broken; later ones double, because shares of new dispatchers grow only after seconds.
const (
	minAvoidTime = 250 * time.Millisecond
	maxAvoidTime = time.Second
	// avoidedWait is the expected wait of such a target: any other replica is better, and hedges don't go there.
	avoidedWait = time.Hour
)

// targetLoad is what this front knows of one target.
type targetLoad struct {
	average    time.Duration  // moving average of replies
	updatedAt  time.Time      // of the last change of average
	open       map[string]int // attempts without a reply, by dispatcher
	avoidUntil time.Time      // no dispatcher served it; it comes last until then
	avoidTime  time.Duration  // for how long; 0 if a dispatcher served it last
}

// decayedAverage returns the average as of now.
func (t *targetLoad) decayedAverage(now time.Time) time.Duration {
	periods := min(max(now.Sub(t.updatedAt)/averageHalfLife, 0), 62)
	return t.average >> periods
}

// updateAverage moves the average towards a latency.
func (t *targetLoad) updateAverage(now time.Time, latency time.Duration) {
	known := t.decayedAverage(now)
	if known == 0 {
		t.average = latency
	} else {
		t.average = known + (latency-known)/averageDivisor
	}
	t.updatedAt = now
}

// loads holds latencies and open attempts of all targets. It is safe for concurrent use.
type loads struct {
	mu         sync.Mutex
	targets    map[string]*targetLoad
	recent     []time.Duration // ring
	next       int
	newSamples int // samples since the last computation
	p95        time.Duration
}

func newLoads() *loads { return &loads{targets: map[string]*targetLoad{}} }

func (l *loads) get(target string) *targetLoad {
	t := l.targets[target]
	if t == nil {
		t = &targetLoad{open: map[string]int{}}
		l.targets[target] = t
	}
	return t
}

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
		// An order has a new connection each time; its latency says little of sub-requests.
	case e.code.OK():
		t.avoidTime = 0
		t.updateAverage(now, e.took)
		l.addSample(e.took)
	case givenUp(e.code) && censoredFactor*e.took > t.decayedAverage(now):
		// The latency is not known, but longer. Without this a straggler whose hedges always win never looks slow.
		t.updateAverage(now, censoredFactor*e.took)
	}
}

// recordUnserved records that no dispatcher of the target took a work item.
func (l *loads) recordUnserved(now time.Time, target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.get(target)
	if now.Before(t.avoidUntil) {
		return // sent before the last one came back
	}
	t.avoidTime = min(max(2*t.avoidTime, minAvoidTime), maxAvoidTime)
	t.avoidUntil = now.Add(t.avoidTime)
}

// attemptEnd is the end of a work item at a dispatcher.
type attemptEnd struct {
	took  time.Duration
	code  codes.Code
	order bool
}

// givenUp reports whether an attempt ended because nobody waited for it any longer.
func givenUp(c codes.Code) bool { return c == codes.Canceled || c == codes.DeadlineExceeded }

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

// hedgeDelay returns the 95th percentile of recent latencies; 0 while too few are known.
func (l *loads) hedgeDelay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.p95
}

// expectedWait estimates the time until a reply of the target: its average times the attempts ahead per slot.
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

// openAttempts returns the attempts without a reply at one dispatcher of the target.
func (l *loads) openAttempts(target, dispatcher string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.targets[target]
	if t == nil {
		return 0
	}
	return t.open[dispatcher]
}
