// Package rhythm learns when targets pause, if they pause at regular intervals, and says how long a send would wait.
//
// # Usage
//
//	b := rhythm.New(rhythm.Config{})
//	if p, news := b.Saw(now, "t1", sent, usual); news { ... tell peers p ... }   // a reply came now
//	if b.Heard(now, p) { ... tell other peers p ... }                            // a peer told
//	wait := b.Wait(now, "t1", usual)              // how long a send now would be held up
//	for _, p := range b.Known() { ... }           // for a process that has just started
//
// # Load pattern
//
// Targets that collect garbage or compact their index stand still for a moment at regular intervals, each at its own
// time. A query over many shards meets such a pause almost always. What is sent shortly before or during a pause waits
// for its end; other targets of the shard would have answered.
//
// # Evidence
//
// A reply that took several times the usual time is the end of a possible pause. The period is the most frequent
// distance between such ends at one target, over all targets. Two ends at a target that are whole periods apart confirm
// its pauses. Processes tell each other what isn't confirmed yet, so that a fleet in which each process meets a target
// every few seconds learns as fast as a small one, and says nothing once it knows.
//
// A reply from the midst of a predicted pause refutes it; after Strikes of these it is forgotten. Ends that agree with
// each other, and not with what is known, replace it.
package rhythm

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Config holds the thresholds. Zero fields take the defaults.
type Config struct {
	Long      float64       // a reply after this many times the usual time may have met a pause
	MinPause  time.Duration // shorter waits aren't looked at
	MaxPause  time.Duration
	MinPeriod time.Duration
	MaxPeriod time.Duration
	Tolerance time.Duration // between predicted and seen ends
	Votes     int           // distances that must agree on a period
	Strikes   int
}

// Defaults of Config.
const (
	DefaultLong = 4
	// DefaultMinPause is above the longest usual replies, and below most of the waits in pauses of 100 ms.
	DefaultMinPause  = 35 * time.Millisecond
	DefaultMaxPause  = 400 * time.Millisecond
	DefaultMinPeriod = 500 * time.Millisecond
	DefaultMaxPeriod = 12 * time.Second
	// DefaultTolerance covers the variation of the work that goes on after a pause.
	DefaultTolerance = 15 * time.Millisecond
	DefaultVotes     = 6
	DefaultStrikes   = 2
)

const (
	binWidth            = 10 * time.Millisecond // of the distances between ends
	maxUnmatchedEnds    = 24                    // ends without a rhythm after which a target is left alone
	maxEnds             = 8                     // kept for each target
	minPeakShare        = 0.4                   // of the votes for the best bin, that a shorter period needs
	votesPerChoice      = 64                    // before the period is chosen again
	minWaitsForOutliers = 5                     // before a long wait is ignored
	outlierFactor       = 2.2                   // times the median wait, which is half of the longest
	maxPauseDivisor     = 12                    // a target is avoided for one of this many parts of the time at most
	endsToReplace       = 3                     // ends that agree with each other, and not with what is known, replace it
	maxWaits            = 64                    // kept
	longestWaitsDivisor = 20                    // the longest one in this many doesn't count
	contradictionMargin = 20 * time.Millisecond // a reply this far inside a predicted pause refutes it
)

// Pause is one seen or confirmed pause of a target.
type Pause struct {
	Target string
	End    time.Time
	Length time.Duration // that was seen
	Period time.Duration // 0 if it is not confirmed
}

type target struct {
	ends           []time.Time // in order of time
	unmatchedEnds  int         // ends without a rhythm
	confirmed      Pause       // confirmed if Period is set
	contradictions int
}

// Board is the state of one process. Use New. It is not safe for concurrent use.
type Board struct {
	cfg              Config
	targets          map[string]*target
	votes            []int // by bin of the distance
	votesSinceChoice int   // since the period was chosen
	period           time.Duration
	pauseLength      time.Duration // that few waits in confirmed pauses exceed
	waits            []time.Duration
}

// New returns a board that knows no pauses.
func New(cfg Config) *Board {
	cfg.Long = cmp.Or(cfg.Long, DefaultLong)
	cfg.MinPause = cmp.Or(cfg.MinPause, DefaultMinPause)
	cfg.MaxPause = cmp.Or(cfg.MaxPause, DefaultMaxPause)
	cfg.MinPeriod = cmp.Or(cfg.MinPeriod, DefaultMinPeriod)
	cfg.MaxPeriod = cmp.Or(cfg.MaxPeriod, DefaultMaxPeriod)
	cfg.Tolerance = cmp.Or(cfg.Tolerance, DefaultTolerance)
	cfg.Votes = cmp.Or(cfg.Votes, DefaultVotes)
	cfg.Strikes = cmp.Or(cfg.Strikes, DefaultStrikes)
	return &Board{cfg: cfg, targets: map[string]*target{}, votes: make([]int, cfg.MaxPeriod/binWidth+2)}
}

// Period returns the period of the pauses; 0 if it isn't known.
func (b *Board) Period() time.Duration { return b.period }

// Saw takes a reply that came now to a request sent at sent; usual is the usual time of its route. It reports whether
// peers may not know what it shows.
func (b *Board) Saw(now time.Time, id string, sent time.Time, usual time.Duration) (p Pause, isNew bool) {
	took := now.Sub(sent)
	if t := b.targets[id]; t != nil && t.confirmed.Period > 0 {
		b.checkPrediction(t, sent, now)
	}
	if took < b.cfg.MinPause || took > b.cfg.MaxPause || took.Seconds() < b.cfg.Long*usual.Seconds() {
		return Pause{}, false
	}
	// The work itself went on when the pause had ended.
	p = Pause{Target: id, End: now.Add(-usual), Length: took - usual}
	before := b.getOrAdd(id).confirmed
	isNew = b.addEnd(p)
	switch after := b.getOrAdd(id).confirmed; {
	case after.Period > 0 && after != before && isNew:
		return after, true
	case before.Period > 0:
		// What doesn't fit concerns nobody else before it is confirmed.
		return Pause{}, false
	}
	return p, isNew
}

// Heard takes what a peer has seen or confirmed. It reports whether it was new here, and other peers may lack it.
func (b *Board) Heard(p Pause) (isNew bool) {
	if p.Period == 0 {
		return b.addEnd(p)
	}
	t := b.getOrAdd(p.Target)
	if p.Period < b.cfg.MinPeriod || p.Period > b.cfg.MaxPeriod || t.confirmed.Period > 0 && !b.contradicts(t, p) {
		return false
	}
	t.confirmed = p
	t.contradictions, t.ends, t.unmatchedEnds = 0, nil, 0
	b.period = cmp.Or(b.period, p.Period)
	b.estimateLength(p.Length)
	return true
}

// contradicts reports whether a confirmed pause contradicts what is known and rests on later ends.
func (b *Board) contradicts(t *target, p Pause) bool {
	d := p.End.Sub(t.confirmed.End)
	return d > t.confirmed.Period && offset(d, t.confirmed.Period).Abs() > 2*b.cfg.Tolerance
}

func (b *Board) getOrAdd(id string) *target {
	t := b.targets[id]
	if t == nil {
		t = &target{}
		b.targets[id] = t
	}
	return t
}

// addEnd adds the end of a possible pause. It reports false if that was known.
func (b *Board) addEnd(p Pause) (added bool) {
	t := b.getOrAdd(p.Target)
	if t.confirmed.Period > 0 {
		off := offset(p.End.Sub(t.confirmed.End), t.confirmed.Period)
		if off <= b.cfg.Tolerance && off >= -b.cfg.Tolerance {
			b.addWait(p.Length)
			if off < 0 {
				// What ended sooner shows that the pause did.
				t.confirmed.End = t.confirmed.End.Add(off / 2)
			}
			return false
		}
	}
	i, near := b.findEnd(t, p.End)
	if near {
		return false
	}
	if t.unmatchedEnds >= maxUnmatchedEnds {
		// Its replies are late at any time; further ends would only keep peers busy.
		return false
	}
	t.unmatchedEnds++
	t.ends = slices.Insert(t.ends, i, p.End)
	for _, other := range t.ends {
		if d := p.End.Sub(other).Abs(); t.confirmed.Period == 0 && d >= b.cfg.MinPeriod && d <= b.cfg.MaxPeriod {
			b.addVote(d)
		}
	}
	if len(t.ends) > maxEnds {
		t.ends = slices.Delete(t.ends, 0, 1)
	}
	b.confirmPause(p.Target, t, p)
	return true
}

// findEnd returns where an end belongs, and whether it is the end of a pause that is listed.
func (b *Board) findEnd(t *target, end time.Time) (i int, near bool) {
	for i < len(t.ends) && t.ends[i].Before(end) {
		i++
	}
	for _, j := range []int{i - 1, i} {
		if j >= 0 && j < len(t.ends) && t.ends[j].Sub(end).Abs() <= 2*b.cfg.Tolerance {
			if end.Before(t.ends[j]) {
				t.ends[j] = end
			}
			return i, true
		}
	}
	return i, false
}

// addVote counts a distance, and chooses the period anew after some votes.
func (b *Board) addVote(d time.Duration) {
	b.votes[d/binWidth]++
	b.votesSinceChoice++
	if b.votesSinceChoice < b.cfg.Votes || b.period > 0 && b.votesSinceChoice < votesPerChoice {
		return
	}
	b.votesSinceChoice = 0
	b.choosePeriod()
}

// choosePeriod chooses the period: the shortest of the frequent distances, since a pause that nobody met doubles the distance.
func (b *Board) choosePeriod() {
	best := 0
	for i := range b.votes {
		best = max(best, b.votesNear(i))
	}
	if best < b.cfg.Votes {
		return
	}
	for i := range b.votes {
		if n := b.votesNear(i); float64(n) >= minPeakShare*float64(best) && n >= b.cfg.Votes/2 {
			b.period = b.meanDistance(i)
			return
		}
	}
}

// votesNear counts the votes of a bin and its two neighbours.
func (b *Board) votesNear(i int) int {
	n := b.votes[i]
	if i > 0 {
		n += b.votes[i-1]
	}
	if i+1 < len(b.votes) {
		n += b.votes[i+1]
	}
	return n
}

// meanDistance returns the mean distance of the votes near a bin.
func (b *Board) meanDistance(i int) time.Duration {
	var sum, n float64
	for j := max(i-1, 0); j <= min(i+3, len(b.votes)-1); j++ {
		sum += float64(b.votes[j]) * (float64(j) + 0.5)
		n += float64(b.votes[j])
	}
	return time.Duration(sum / n * float64(binWidth))
}

// offset returns the distance of d from the nearest multiple of the period.
func offset(d, period time.Duration) time.Duration {
	d %= period
	if d < 0 {
		d += period
	}
	if d > period/2 {
		d -= period
	}
	return d
}

// confirmPause looks for two ends that are whole periods apart. Where most ends aren't, the target is slow or varies, and
// two may agree by chance.
func (b *Board) confirmPause(id string, t *target, p Pause) {
	if b.period == 0 {
		return
	}
	matching := 1
	var period time.Duration
	for _, other := range t.ends {
		d := p.End.Sub(other).Abs()
		periods := math.Round(float64(d) / float64(b.period))
		if periods < 1 || offset(d, b.period).Abs() > b.cfg.Tolerance {
			continue
		}
		matching++
		// A long distance gives the period more precisely than one of its own.
		period = max(period, time.Duration(float64(d)/periods))
	}
	required := 2
	if t.confirmed.Period > 0 {
		required = endsToReplace
	}
	if matching < required || 2*matching < len(t.ends) {
		return
	}
	t.ends, t.unmatchedEnds = nil, 0
	t.confirmed = Pause{Target: id, End: p.End, Length: p.Length, Period: period}
	t.contradictions = 0
	b.estimateLength(p.Length)
}

// estimateLength takes the length of a pause that nothing but its own ends confirms, until there are better ones. It may be that of
// a slow reply; maxShare bounds what that costs.
func (b *Board) estimateLength(length time.Duration) {
	if len(b.waits) == 0 {
		b.pauseLength = max(b.pauseLength, min(length, b.cfg.MaxPause, b.period/maxPauseDivisor))
	}
}

// addWait takes the length of a wait in a confirmed pause. Waits are spread evenly over a pause, so its length is near the
// longest. A wait far beyond the others had another cause.
func (b *Board) addWait(wait time.Duration) {
	sorted := slices.Sorted(slices.Values(b.waits))
	if len(sorted) >= minWaitsForOutliers && float64(wait) > outlierFactor*float64(sorted[len(sorted)/2]) {
		return
	}
	b.waits = append(b.waits, min(wait, b.cfg.MaxPause, b.period/maxPauseDivisor))
	if len(b.waits) > maxWaits {
		b.waits = b.waits[1:]
	}
	sorted = slices.Sorted(slices.Values(b.waits))
	b.pauseLength = sorted[len(sorted)-1-len(sorted)/longestWaitsDivisor]
}

// checkPrediction looks whether a reply contradicts the pauses that are known.
func (b *Board) checkPrediction(t *target, sent, replied time.Time) {
	start, end := b.predictedPause(t, replied)
	if sent.After(start.Add(contradictionMargin)) && replied.Before(end.Add(-contradictionMargin)) {
		if t.contradictions++; t.contradictions >= b.cfg.Strikes {
			*t = target{}
		}
	}
}

// predictedPause returns the predicted pause that contains a time, or the next one.
func (b *Board) predictedPause(t *target, at time.Time) (start, end time.Time) {
	period := t.confirmed.Period
	n := math.Ceil(float64(at.Sub(t.confirmed.End)) / float64(period))
	end = t.confirmed.End.Add(time.Duration(n * float64(period)))
	return end.Add(-b.pauseLength), end
}

// Wait returns how long a send now would be held up by a pause, if it usually takes the given time; 0 if it would not.
func (b *Board) Wait(now time.Time, id string, usual time.Duration) time.Duration {
	t := b.targets[id]
	if t == nil || t.confirmed.Period == 0 {
		return 0
	}
	start, end := b.predictedPause(t, now)
	if now.Add(usual).Before(start) {
		return 0
	}
	return end.Sub(now)
}

// Known returns the confirmed pauses, in the order of targets.
func (b *Board) Known() []Pause {
	var out []Pause
	for _, t := range b.targets {
		if t.confirmed.Period > 0 {
			p := t.confirmed
			p.Length = b.pauseLength
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(x, y Pause) int { return cmp.Compare(x.Target, y.Target) })
	return out
}

// Forget drops what is known of a target, which has started again.
func (b *Board) Forget(id string) { delete(b.targets, id) }

// Keep forgets the targets that are not listed any more.
func (b *Board) Keep(listed func(id string) bool) {
	for id := range b.targets {
		if !listed(id) {
			delete(b.targets, id)
		}
	}
}
