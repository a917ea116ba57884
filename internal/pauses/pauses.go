// Package pauses predicts the pauses of targets that stop working at regular intervals, for example to collect garbage. It
// tells how long a request that is sent now would wait for the end of such a pause.
//
// # Usage
//
//	pr := pauses.New(pauses.Config{})
//	if p, isNew := pr.RecordReply(now, "t1", sent, usual); isNew { ... send p to peers ... } // a reply was received now
//	if pr.RecordPeerPause(p) { ... send p to other peers ... }                               // a peer sent p
//	wait := pr.PredictedWait(now, "t1", usual)     // how long a pause would delay a request that is sent now
//	for _, p := range pr.ConfirmedPauses() { ... } // send p to a process that has just started
//
// # Load pattern
//
// Targets that collect garbage or compact their index pause for a short time at regular intervals, each at its own time. A
// query over many shards is almost always delayed by such a pause. A request that is sent shortly before or during a pause
// waits for its end, while other targets of the shard would have answered.
//
// # Evidence
//
// A reply that took several times the usual time marks the end of a possible pause. The distances between two such ends at
// one target are counted over all targets; the period is the shortest of the frequent distances. Two ends at a target that
// are a whole number of periods apart confirm the target's pauses. Processes send each other the ends at targets without
// confirmed pauses, and each newly confirmed pause. A large fleet, in which each process sends to a target only every few
// seconds, therefore learns as fast as a small one, and processes send each other almost nothing once the pauses are
// confirmed.
//
// A reply to a request that was sent and answered well inside a predicted pause contradicts the prediction. After
// Config.MaxContradictions such replies, the target's pauses are forgotten. Ends that agree with each other, but not with the
// confirmed pauses, replace the confirmed pauses.
package pauses

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Config holds the thresholds of a Predictor. Zero fields take the defaults.
type Config struct {
	LongFactor        float64       // a reply that took at least this many times the usual time may have been delayed by a pause
	MinPause          time.Duration // shorter reply times don't mark the end of a pause
	MaxPause          time.Duration // longer reply times don't mark the end of a pause
	MinPeriod         time.Duration // shorter distances between ends aren't a period
	MaxPeriod         time.Duration // longer distances between ends aren't a period
	Tolerance         time.Duration // accepted difference between predicted and observed ends
	MinVotes          int           // number of similar distances between ends that is needed to choose a period
	MaxContradictions int           // number of contradicting replies after which the pauses of a target are forgotten
}

// Defaults of Config.
const (
	DefaultLongFactor = 4
	// DefaultMinPause is longer than usual replies take, and shorter than most waits for the end of a pause of 100 ms.
	DefaultMinPause  = 35 * time.Millisecond
	DefaultMaxPause  = 400 * time.Millisecond
	DefaultMinPeriod = 500 * time.Millisecond
	DefaultMaxPeriod = 12 * time.Second
	// DefaultTolerance covers the variation of the processing time after the end of a pause.
	DefaultTolerance         = 15 * time.Millisecond
	DefaultMinVotes          = 6
	DefaultMaxContradictions = 2
)

const (
	binWidth            = 10 * time.Millisecond // bin of the histogram of distances between ends
	maxUnmatchedEnds    = 24                    // number of unmatched ends after which further ends of a target are ignored
	maxEnds             = 8                     // number of ends that are kept for each target
	minPeakFraction     = 0.4                   // fraction of the votes of the best bin that a shorter distance needs to be the period
	votesPerChoice      = 64                    // number of votes after which a known period is chosen again
	minWaitsForOutliers = 5                     // number of known waits from which on outliers are ignored
	outlierFactor       = 2.2                   // a wait of more than this many medians is an outlier; the median is about half of the longest wait
	maxPauseDivisor     = 12                    // a predicted pause is at most the period divided by this, so that targets stay usable most of the time
	endsToReplace       = 3                     // number of ends that must agree with each other to replace confirmed pauses
	maxWaits            = 64                    // number of waits kept
	longestWaitsDivisor = 20                    // one of this many waits, the longest, is ignored for the length
	contradictionMargin = 20 * time.Millisecond // to contradict a pause, a request and its reply must be this far inside it
)

// Pause is an observed or confirmed pause of a target.
type Pause struct {
	Target string
	End    time.Time
	Length time.Duration // observed wait; the estimated length if returned by ConfirmedPauses
	Period time.Duration // 0 if the pause isn't confirmed
}

// targetState holds the ends of possible pauses of a target, and its confirmed pauses.
type targetState struct {
	ends           []time.Time // in order of time
	unmatchedEnds  int         // number of ends since pauses were last confirmed that don't fit the confirmed ones
	confirmed      Pause       // latest confirmed pause; Period is 0 if there is none
	contradictions int         // number of replies that contradict the confirmed pauses
}

// Predictor holds the observed and confirmed pauses that one process knows, and predicts further ones. Use New. It is not
// safe for concurrent use.
type Predictor struct {
	cfg              Config
	targets          map[string]*targetState
	votes            []int           // histogram of the distances between ends, in bins of binWidth
	votesSinceChoice int             // number of votes since the period was last chosen
	period           time.Duration   // see Period
	pauseLength      time.Duration   // estimated length of a pause; few waits in confirmed pauses exceed it
	waits            []time.Duration // latest waits in confirmed pauses
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
	return &Predictor{cfg: cfg, targets: map[string]*targetState{}, votes: make([]int, cfg.MaxPeriod/binWidth+2)}
}

// Period returns the period that is common to the pauses of all targets; 0 if it isn't known.
func (pr *Predictor) Period() time.Duration { return pr.period }

// RecordReply records a reply that was received now, to a request that was sent to the target id at sent; usual is the usual
// time until a reply. It returns the pause that the reply shows, and whether the pause is new and should be sent to peers.
func (pr *Predictor) RecordReply(now time.Time, id string, sent time.Time, usual time.Duration) (p Pause, isNew bool) {
	replyTime := now.Sub(sent)
	if t := pr.targets[id]; t != nil && t.confirmed.Period > 0 {
		pr.checkPrediction(t, sent, now)
	}
	if replyTime < pr.cfg.MinPause || replyTime > pr.cfg.MaxPause || replyTime.Seconds() < pr.cfg.LongFactor*usual.Seconds() {
		return Pause{}, false
	}
	// The target processed the request, which takes the usual time, after the pause had ended.
	p = Pause{Target: id, End: now.Add(-usual), Length: replyTime - usual}
	before := pr.getOrAdd(id).confirmed
	isNew = pr.addEnd(p)
	switch after := pr.getOrAdd(id).confirmed; {
	case after.Period > 0 && after != before && isNew:
		return after, true
	case before.Period > 0:
		// An end that contradicts the confirmed pauses isn't sent to peers until other ends confirm it.
		return Pause{}, false
	}
	return p, isNew
}

// RecordPeerPause records a pause that a peer observed or confirmed. It reports whether the pause is new to this process, in
// which case other peers may not know it either.
func (pr *Predictor) RecordPeerPause(p Pause) (isNew bool) {
	if p.Period == 0 {
		return pr.addEnd(p)
	}
	t := pr.getOrAdd(p.Target)
	if p.Period < pr.cfg.MinPeriod || p.Period > pr.cfg.MaxPeriod || t.confirmed.Period > 0 && !pr.contradicts(t, p) {
		return false
	}
	t.confirmed = p
	t.contradictions, t.ends, t.unmatchedEnds = 0, nil, 0
	pr.period = cmp.Or(pr.period, p.Period)
	pr.estimateLength(p.Length)
	return true
}

// contradicts reports whether a pause that a peer confirmed contradicts the confirmed pauses of the target, and ended more
// than one period after the latest of these.
func (pr *Predictor) contradicts(t *targetState, p Pause) bool {
	d := p.End.Sub(t.confirmed.End)
	return d > t.confirmed.Period && offset(d, t.confirmed.Period).Abs() > 2*pr.cfg.Tolerance
}

// getOrAdd returns the state of a target, which it creates if there is none.
func (pr *Predictor) getOrAdd(id string) *targetState {
	t := pr.targets[id]
	if t == nil {
		t = &targetState{}
		pr.targets[id] = t
	}
	return t
}

// addEnd adds the end of a possible pause. It returns false if the end fits a confirmed pause or is already known, or if too
// many ends of the target remain unmatched.
func (pr *Predictor) addEnd(p Pause) (added bool) {
	t := pr.getOrAdd(p.Target)
	if t.confirmed.Period > 0 {
		deviation := offset(p.End.Sub(t.confirmed.End), t.confirmed.Period)
		if deviation <= pr.cfg.Tolerance && deviation >= -pr.cfg.Tolerance {
			pr.addWait(p.Length)
			if deviation < 0 {
				// A reply never precedes the end of the pause, so the pause ended earlier than predicted.
				t.confirmed.End = t.confirmed.End.Add(deviation / 2)
			}
			return false
		}
	}
	i, found := pr.findEnd(t, p.End)
	if found {
		return false
	}
	if t.unmatchedEnds >= maxUnmatchedEnds {
		// Replies of the target are often late without any regularity; reports of further ends would only load peers.
		return false
	}
	t.unmatchedEnds++
	t.ends = slices.Insert(t.ends, i, p.End)
	for _, other := range t.ends {
		if d := p.End.Sub(other).Abs(); t.confirmed.Period == 0 && d >= pr.cfg.MinPeriod && d <= pr.cfg.MaxPeriod {
			pr.addVote(d)
		}
	}
	if len(t.ends) > maxEnds {
		t.ends = slices.Delete(t.ends, 0, 1)
	}
	pr.confirmPause(p.Target, t, p)
	return true
}

// findEnd returns the index at which to insert an end, and whether the list has an end of the same pause. If the given end
// is earlier than the listed one, it replaces that one.
func (pr *Predictor) findEnd(t *targetState, end time.Time) (i int, found bool) {
	for i < len(t.ends) && t.ends[i].Before(end) {
		i++
	}
	for _, j := range []int{i - 1, i} {
		if j >= 0 && j < len(t.ends) && t.ends[j].Sub(end).Abs() <= 2*pr.cfg.Tolerance {
			if end.Before(t.ends[j]) {
				t.ends[j] = end
			}
			return i, true
		}
	}
	return i, false
}

// addVote counts the distance between two ends. It chooses the period every Config.MinVotes votes while the period is unknown,
// and every votesPerChoice votes later.
func (pr *Predictor) addVote(d time.Duration) {
	pr.votes[d/binWidth]++
	pr.votesSinceChoice++
	if pr.votesSinceChoice < pr.cfg.MinVotes || pr.period > 0 && pr.votesSinceChoice < votesPerChoice {
		return
	}
	pr.votesSinceChoice = 0
	pr.choosePeriod()
}

// choosePeriod chooses the period: the shortest of the frequent distances. Longer ones are multiples of the period, which
// occur if no reply was delayed by the pauses in between.
func (pr *Predictor) choosePeriod() {
	best := 0
	for i := range pr.votes {
		best = max(best, pr.votesNear(i))
	}
	if best < pr.cfg.MinVotes {
		return
	}
	for i := range pr.votes {
		if n := pr.votesNear(i); float64(n) >= minPeakFraction*float64(best) && n >= pr.cfg.MinVotes/2 {
			pr.period = pr.meanDistance(i)
			return
		}
	}
}

// votesNear returns the number of votes in a bin and its two neighbours.
func (pr *Predictor) votesNear(i int) int {
	n := pr.votes[i]
	if i > 0 {
		n += pr.votes[i-1]
	}
	if i+1 < len(pr.votes) {
		n += pr.votes[i+1]
	}
	return n
}

// meanDistance returns the mean of the distances from one bin before i to three bins after it.
func (pr *Predictor) meanDistance(i int) time.Duration {
	var sum, n float64
	for j := max(i-1, 0); j <= min(i+3, len(pr.votes)-1); j++ {
		sum += float64(pr.votes[j]) * (float64(j) + 0.5)
		n += float64(pr.votes[j])
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

// confirmPause confirms the pauses of a target if enough ends match: they are a whole number of periods apart. Two ends must
// match, or endsToReplace if other pauses are confirmed already. If fewer than half of the ends match, nothing is confirmed:
// the target is slow or its reply times vary, and the match may be chance.
func (pr *Predictor) confirmPause(id string, t *targetState, p Pause) {
	if pr.period == 0 {
		return
	}
	matching := 1
	var period time.Duration
	for _, other := range t.ends {
		d := p.End.Sub(other).Abs()
		periods := math.Round(float64(d) / float64(pr.period))
		if periods < 1 || offset(d, pr.period).Abs() > pr.cfg.Tolerance {
			continue
		}
		matching++
		// Each distance gives an estimate of the period, which is the more precise the more periods the distance spans. The
		// longest estimate is taken.
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
	pr.estimateLength(p.Length)
}

// estimateLength estimates the length of pauses from a newly confirmed pause, as long as no waits in confirmed pauses are
// known. The length may be that of a slow reply; maxPauseDivisor limits how long targets are avoided for such a reply.
func (pr *Predictor) estimateLength(length time.Duration) {
	if len(pr.waits) == 0 {
		pr.pauseLength = max(pr.pauseLength, min(length, pr.cfg.MaxPause, pr.period/maxPauseDivisor))
	}
}

// addWait adds a wait in a confirmed pause, and recomputes the length of pauses. Requests are sent at any time of a pause, so
// its length is near the longest wait. A wait that is much longer than the others had another cause and is ignored.
func (pr *Predictor) addWait(wait time.Duration) {
	sorted := slices.Sorted(slices.Values(pr.waits))
	if len(sorted) >= minWaitsForOutliers && float64(wait) > outlierFactor*float64(sorted[len(sorted)/2]) {
		return
	}
	pr.waits = append(pr.waits, min(wait, pr.cfg.MaxPause, pr.period/maxPauseDivisor))
	if len(pr.waits) > maxWaits {
		pr.waits = pr.waits[1:]
	}
	sorted = slices.Sorted(slices.Values(pr.waits))
	pr.pauseLength = sorted[len(sorted)-1-len(sorted)/longestWaitsDivisor]
}

// checkPrediction counts a reply that contradicts the confirmed pauses of the target. After Config.MaxContradictions such
// replies, it forgets the target's pauses.
func (pr *Predictor) checkPrediction(t *targetState, sent, replied time.Time) {
	start, end := pr.predictedPause(t, replied)
	if sent.After(start.Add(contradictionMargin)) && replied.Before(end.Add(-contradictionMargin)) {
		if t.contradictions++; t.contradictions >= pr.cfg.MaxContradictions {
			*t = targetState{}
		}
	}
}

// predictedPause returns the predicted pause that contains a time, or the next one after it.
func (pr *Predictor) predictedPause(t *targetState, at time.Time) (start, end time.Time) {
	period := t.confirmed.Period
	n := math.Ceil(float64(at.Sub(t.confirmed.End)) / float64(period))
	end = t.confirmed.End.Add(time.Duration(n * float64(period)))
	return end.Add(-pr.pauseLength), end
}

// PredictedWait returns the time until the end of the pause that would delay a request sent now; 0 if no pause would. The
// argument usual is the usual time until a reply.
func (pr *Predictor) PredictedWait(now time.Time, id string, usual time.Duration) time.Duration {
	t := pr.targets[id]
	if t == nil || t.confirmed.Period == 0 {
		return 0
	}
	start, end := pr.predictedPause(t, now)
	if now.Add(usual).Before(start) {
		return 0
	}
	return end.Sub(now)
}

// ConfirmedPauses returns the latest confirmed pause of each target, sorted by target.
func (pr *Predictor) ConfirmedPauses() []Pause {
	var out []Pause
	for _, t := range pr.targets {
		if t.confirmed.Period > 0 {
			p := t.confirmed
			p.Length = pr.pauseLength
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(x, y Pause) int { return cmp.Compare(x.Target, y.Target) })
	return out
}

// Forget removes the pauses of a target that has restarted.
func (pr *Predictor) Forget(id string) { delete(pr.targets, id) }

// Prune forgets the targets for which listed returns false.
func (pr *Predictor) Prune(listed func(id string) bool) {
	for id := range pr.targets {
		if !listed(id) {
			delete(pr.targets, id)
		}
	}
}
