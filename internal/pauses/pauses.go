// Package pauses predicts the pauses of targets that pause at regular intervals, and how long a request that is sent now
// would wait for the end of such a pause.
//
// # Usage
//
//	b := pauses.New(pauses.Config{})
//	if p, isNew := b.RecordReply(now, "t1", sent, usual); isNew { ... send p to peers ... } // a reply was received now
//	if b.RecordPeerPause(p) { ... send p to other peers ... }                               // a peer sent p
//	wait := b.PredictedWait(now, "t1", usual)     // how long a pause would delay a request that is sent now
//	for _, p := range b.ConfirmedPauses() { ... } // send p to a process that has just started
//
// # Load pattern
//
// Targets that collect garbage or compact their index pause for a short time at regular intervals, each at its own time. A
// query over many shards is almost always delayed by such a pause. A request that is sent shortly before or during a pause
// waits for its end, while other targets of the shard would have answered.
//
// # Evidence
//
// A reply that took several times the usual time marks the end of a possible pause. The period is the shortest of the
// frequent distances between two such ends at one target, counted over all targets. Two ends at a target that are a whole
// number of periods apart confirm its pauses. Processes send each other the ends that aren't explained by a confirmed pause.
// So a large fleet, in which each process sends to a target only every few seconds, learns as fast as a small one, and
// sends almost nothing once the pauses are confirmed.
//
// A reply to a request that was sent and answered well inside a predicted pause contradicts the prediction. After
// Config.MaxContradictions of these, the target's pauses are forgotten. Ends that agree with each other, but not with the
// confirmed pauses, replace these.
package pauses

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Config holds the thresholds. Zero fields take the defaults.
type Config struct {
	LongFactor        float64       // a reply that took at least this many times the usual time may have been delayed by a pause
	MinPause          time.Duration // shorter reply times are ignored
	MaxPause          time.Duration // longer reply times are ignored
	MinPeriod         time.Duration // shorter distances between ends aren't a period
	MaxPeriod         time.Duration // longer distances between ends aren't a period
	Tolerance         time.Duration // accepted difference between predicted and observed ends
	MinVotes          int           // number of similar distances that is needed to choose a period
	MaxContradictions int           // number of contradicting replies after which the pauses of a target are forgotten
}

// Defaults of Config.
const (
	DefaultLongFactor = 4
	// DefaultMinPause is longer than usual replies take, and shorter than most of the waits in pauses of 100 ms.
	DefaultMinPause  = 35 * time.Millisecond
	DefaultMaxPause  = 400 * time.Millisecond
	DefaultMinPeriod = 500 * time.Millisecond
	DefaultMaxPeriod = 12 * time.Second
	// DefaultTolerance covers the variation of the processing time that remains after a pause.
	DefaultTolerance         = 15 * time.Millisecond
	DefaultMinVotes          = 6
	DefaultMaxContradictions = 2
)

const (
	binWidth            = 10 * time.Millisecond // bin of the histogram of distances between ends
	maxUnmatchedEnds    = 24                    // number of unmatched ends after which further ends of a target are ignored
	maxEnds             = 8                     // number of ends kept for each target
	minPeakShare        = 0.4                   // share of the votes of the best bin that a shorter period needs
	votesPerChoice      = 64                    // number of votes after which the period is chosen again
	minWaitsForOutliers = 5                     // number of waits from which on outliers are ignored
	outlierFactor       = 2.2                   // a wait of more than this many medians is an outlier; a median is half of the longest
	maxPauseDivisor     = 12                    // a predicted pause is at most the period divided by this: targets stay usable
	endsToReplace       = 3                     // number of ends that must agree with each other to replace confirmed pauses
	maxWaits            = 64                    // number of waits kept
	longestWaitsDivisor = 20                    // the longest of every so many waits is ignored for the length
	contradictionMargin = 20 * time.Millisecond // distance of a request and its reply from both ends of a pause to contradict it
)

// Pause is an observed or confirmed pause of a target.
type Pause struct {
	Target string
	End    time.Time
	Length time.Duration // observed wait; the estimated length if returned by ConfirmedPauses
	Period time.Duration // 0 if the pause isn't confirmed
}

// target holds the ends of possible pauses of a target, and its confirmed pauses.
type target struct {
	ends           []time.Time // in order of time
	unmatchedEnds  int         // number of ends since pauses were last confirmed that don't fit the confirmed ones
	confirmed      Pause       // latest confirmed pause; Period is 0 if there is none
	contradictions int
}

// Predictor holds the observed and confirmed pauses that one process knows, and predicts further ones. Use New. It is not
// safe for concurrent use.
type Predictor struct {
	cfg              Config
	targets          map[string]*target
	votes            []int // histogram of the distances between ends, in bins of binWidth
	votesSinceChoice int   // number of votes since the period was last chosen
	period           time.Duration
	pauseLength      time.Duration // estimated length of a pause; few waits in confirmed pauses exceed it
	waits            []time.Duration
}

// New returns a Predictor that knows no pauses.
func New(cfg Config) *Predictor {
	cfg.LongFactor = cmp.Or(cfg.LongFactor, DefaultLongFactor)
	cfg.MinPause = cmp.Or(cfg.MinPause, DefaultMinPause)
	cfg.MaxPause = cmp.Or(cfg.MaxPause, DefaultMaxPause)
	cfg.MinPeriod = cmp.Or(cfg.MinPeriod, DefaultMinPeriod)
	cfg.MaxPeriod = cmp.Or(cfg.MaxPeriod, DefaultMaxPeriod)
	cfg.Tolerance = cmp.Or(cfg.Tolerance, DefaultTolerance)
	cfg.MinVotes = cmp.Or(cfg.MinVotes, DefaultMinVotes)
	cfg.MaxContradictions = cmp.Or(cfg.MaxContradictions, DefaultMaxContradictions)
	return &Predictor{cfg: cfg, targets: map[string]*target{}, votes: make([]int, cfg.MaxPeriod/binWidth+2)}
}

// Period returns the period that is common to the pauses of all targets; 0 if it isn't known.
func (b *Predictor) Period() time.Duration { return b.period }

// RecordReply records a reply that was received now, to a request that was sent to the target id at sent; usual is the usual
// time until a reply. It returns the pause that the reply shows, and whether the pause is new and should be sent to peers.
func (b *Predictor) RecordReply(now time.Time, id string, sent time.Time, usual time.Duration) (p Pause, isNew bool) {
	took := now.Sub(sent)
	if t := b.targets[id]; t != nil && t.confirmed.Period > 0 {
		b.checkPrediction(t, sent, now)
	}
	if took < b.cfg.MinPause || took > b.cfg.MaxPause || took.Seconds() < b.cfg.LongFactor*usual.Seconds() {
		return Pause{}, false
	}
	// The target processed the request after the pause had ended.
	p = Pause{Target: id, End: now.Add(-usual), Length: took - usual}
	before := b.getOrAdd(id).confirmed
	isNew = b.addEnd(p)
	switch after := b.getOrAdd(id).confirmed; {
	case after.Period > 0 && after != before && isNew:
		return after, true
	case before.Period > 0:
		// An end that contradicts the confirmed pauses isn't sent to peers until others confirm it.
		return Pause{}, false
	}
	return p, isNew
}

// RecordPeerPause records a pause that a peer observed or confirmed. It reports whether the pause was unknown here; other
// peers may not know it then.
func (b *Predictor) RecordPeerPause(p Pause) (isNew bool) {
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

// contradicts reports whether a pause that a peer confirmed contradicts the confirmed pauses of the target, and is later.
func (b *Predictor) contradicts(t *target, p Pause) bool {
	d := p.End.Sub(t.confirmed.End)
	return d > t.confirmed.Period && offset(d, t.confirmed.Period).Abs() > 2*b.cfg.Tolerance
}

// getOrAdd returns the entry of a target, which it creates if there is none.
func (b *Predictor) getOrAdd(id string) *target {
	t := b.targets[id]
	if t == nil {
		t = &target{}
		b.targets[id] = t
	}
	return t
}

// addEnd adds the end of a possible pause. It returns false if the end fits a confirmed pause or is known, or if too many
// ends of the target remain unmatched.
func (b *Predictor) addEnd(p Pause) (added bool) {
	t := b.getOrAdd(p.Target)
	if t.confirmed.Period > 0 {
		off := offset(p.End.Sub(t.confirmed.End), t.confirmed.Period)
		if off <= b.cfg.Tolerance && off >= -b.cfg.Tolerance {
			b.addWait(p.Length)
			if off < 0 {
				// A reply never precedes the end of the pause, so the pause ended earlier than predicted.
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
		// Replies of the target are often late without any regularity; reports of further ends would only load peers.
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

// findEnd returns the index at which to insert an end, and whether the list has an end of the same pause. If the given end
// is earlier than the listed one, it replaces that one.
func (b *Predictor) findEnd(t *target, end time.Time) (i int, near bool) {
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

// addVote counts the distance between two ends, and chooses the period again after a number of votes.
func (b *Predictor) addVote(d time.Duration) {
	b.votes[d/binWidth]++
	b.votesSinceChoice++
	if b.votesSinceChoice < b.cfg.MinVotes || b.period > 0 && b.votesSinceChoice < votesPerChoice {
		return
	}
	b.votesSinceChoice = 0
	b.choosePeriod()
}

// choosePeriod chooses the period: the shortest of the frequent distances, since the distance doubles if no reply was
// delayed by the pause in between.
func (b *Predictor) choosePeriod() {
	best := 0
	for i := range b.votes {
		best = max(best, b.votesNear(i))
	}
	if best < b.cfg.MinVotes {
		return
	}
	for i := range b.votes {
		if n := b.votesNear(i); float64(n) >= minPeakShare*float64(best) && n >= b.cfg.MinVotes/2 {
			b.period = b.meanDistance(i)
			return
		}
	}
}

// votesNear returns the number of votes in a bin and its two neighbours.
func (b *Predictor) votesNear(i int) int {
	n := b.votes[i]
	if i > 0 {
		n += b.votes[i-1]
	}
	if i+1 < len(b.votes) {
		n += b.votes[i+1]
	}
	return n
}

// meanDistance returns the mean of the distances from one bin before i to three bins after it.
func (b *Predictor) meanDistance(i int) time.Duration {
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

// confirmPause confirms the pauses of a target if enough ends are a whole number of periods apart from the end of p: two, or
// endsToReplace if other pauses are confirmed. If fewer than half of the ends are, the target is slow or its reply times
// vary, and two ends may agree by chance.
func (b *Predictor) confirmPause(id string, t *target, p Pause) {
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
		// A distance of many periods gives the period more precisely than that of a single one.
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

// estimateLength sets the length of pauses from a newly confirmed pause, until waits in confirmed pauses are known. The
// length may be that of a slow reply; maxPauseDivisor limits how long targets are avoided because of it.
func (b *Predictor) estimateLength(length time.Duration) {
	if len(b.waits) == 0 {
		b.pauseLength = max(b.pauseLength, min(length, b.cfg.MaxPause, b.period/maxPauseDivisor))
	}
}

// addWait adds a wait in a confirmed pause, and computes the length of pauses. Requests are sent at any time of a pause, so
// its length is near the longest wait. A wait that is much longer than the others had another cause.
func (b *Predictor) addWait(wait time.Duration) {
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

// checkPrediction counts a reply that contradicts the confirmed pauses of the target, and forgets these after
// Config.MaxContradictions.
func (b *Predictor) checkPrediction(t *target, sent, replied time.Time) {
	start, end := b.predictedPause(t, replied)
	if sent.After(start.Add(contradictionMargin)) && replied.Before(end.Add(-contradictionMargin)) {
		if t.contradictions++; t.contradictions >= b.cfg.MaxContradictions {
			*t = target{}
		}
	}
}

// predictedPause returns the predicted pause that contains a time, or the next one after it.
func (b *Predictor) predictedPause(t *target, at time.Time) (start, end time.Time) {
	period := t.confirmed.Period
	n := math.Ceil(float64(at.Sub(t.confirmed.End)) / float64(period))
	end = t.confirmed.End.Add(time.Duration(n * float64(period)))
	return end.Add(-b.pauseLength), end
}

// PredictedWait returns the time until the end of the pause that would delay a request sent now, if a reply usually takes
// the given time; 0 if no pause would.
func (b *Predictor) PredictedWait(now time.Time, id string, usual time.Duration) time.Duration {
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

// ConfirmedPauses returns the latest confirmed pause of each target, sorted by target.
func (b *Predictor) ConfirmedPauses() []Pause {
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

// Forget removes the pauses of a target, which has restarted.
func (b *Predictor) Forget(id string) { delete(b.targets, id) }

// Prune forgets the targets for which listed returns false.
func (b *Predictor) Prune(listed func(id string) bool) {
	for id := range b.targets {
		if !listed(id) {
			delete(b.targets, id)
		}
	}
}
