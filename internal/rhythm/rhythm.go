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
	binWidth   = 10 * time.Millisecond // of the distances between ends
	maxNoise   = 24                    // ends without a rhythm after which a target is left alone
	maxEnds    = 8                     // kept for each target
	peakShare  = 0.4                   // of the votes for the best bin, that a shorter period needs
	votesAgain = 64                    // before the period is chosen again
	minWaits   = 5                     // before a long wait is ignored
	farBeyond  = 2.2                   // times the median wait, which is half of the longest
	maxShare   = 12                    // a target is avoided for one of this many parts of the time at most
	misfits    = 3                     // ends that agree with each other, and not with what is known, replace it
	maxWaits   = 64                    // kept
	dropWaits  = 20                    // the longest one in this many doesn't count
	minDepth   = 20 * time.Millisecond // a reply this far inside a predicted pause refutes it
)

// Pause is one seen or confirmed pause of a target.
type Pause struct {
	Target string
	End    time.Time
	Length time.Duration // that was seen
	Period time.Duration // 0 if it is not confirmed
}

type target struct {
	ends    []time.Time // in order of time
	noise   int         // ends without a rhythm
	known   Pause       // confirmed if Period is set
	strikes int
}

// Board is the state of one process. Use New. It is not safe for concurrent use.
type Board struct {
	cfg     Config
	targets map[string]*target
	votes   []int // by bin of the distance
	voted   int   // since the period was chosen
	period  time.Duration
	length  time.Duration // that few waits in confirmed pauses exceed
	waits   []time.Duration
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
func (b *Board) Saw(now time.Time, id string, sent time.Time, usual time.Duration) (p Pause, news bool) {
	took := now.Sub(sent)
	if t := b.targets[id]; t != nil && t.known.Period > 0 {
		b.check(t, sent, now)
	}
	if took < b.cfg.MinPause || took > b.cfg.MaxPause || took.Seconds() < b.cfg.Long*usual.Seconds() {
		return Pause{}, false
	}
	// The work itself went on when the pause had ended.
	p = Pause{Target: id, End: now.Add(-usual), Length: took - usual}
	before := b.get(id).known
	news = b.take(p)
	switch after := b.get(id).known; {
	case after.Period > 0 && after != before && news:
		return after, true
	case before.Period > 0:
		// What doesn't fit concerns nobody else before it is confirmed.
		return Pause{}, false
	}
	return p, news
}

// Heard takes what a peer has seen or confirmed. It reports whether it was new here, and other peers may lack it.
func (b *Board) Heard(p Pause) (news bool) {
	if p.Period == 0 {
		return b.take(p)
	}
	t := b.get(p.Target)
	if p.Period < b.cfg.MinPeriod || p.Period > b.cfg.MaxPeriod || t.known.Period > 0 && !b.replaces(t, p) {
		return false
	}
	t.known = p
	t.strikes, t.ends, t.noise = 0, nil, 0
	b.period = cmp.Or(b.period, p.Period)
	b.guess(p.Length)
	return true
}

// replaces reports whether a confirmed pause contradicts what is known and rests on later ends.
func (b *Board) replaces(t *target, p Pause) bool {
	d := p.End.Sub(t.known.End)
	return d > t.known.Period && offset(d, t.known.Period).Abs() > 2*b.cfg.Tolerance
}

func (b *Board) get(id string) *target {
	t := b.targets[id]
	if t == nil {
		t = &target{}
		b.targets[id] = t
	}
	return t
}

// take adds the end of a possible pause. It reports false if that was known.
func (b *Board) take(p Pause) (news bool) {
	t := b.get(p.Target)
	if t.known.Period > 0 {
		off := offset(p.End.Sub(t.known.End), t.known.Period)
		if off <= b.cfg.Tolerance && off >= -b.cfg.Tolerance {
			b.lasted(p.Length)
			if off < 0 {
				// What ended sooner shows that the pause did.
				t.known.End = t.known.End.Add(off / 2)
			}
			return false
		}
	}
	i, near := b.find(t, p.End)
	if near {
		return false
	}
	if t.noise >= maxNoise {
		// Its replies are late at any time; further ends would only keep peers busy.
		return false
	}
	t.noise++
	t.ends = slices.Insert(t.ends, i, p.End)
	for _, other := range t.ends {
		if d := p.End.Sub(other).Abs(); t.known.Period == 0 && d >= b.cfg.MinPeriod && d <= b.cfg.MaxPeriod {
			b.vote(d)
		}
	}
	if len(t.ends) > maxEnds {
		t.ends = slices.Delete(t.ends, 0, 1)
	}
	b.confirm(p.Target, t, p)
	return true
}

// find returns where an end belongs, and whether it is the end of a pause that is listed.
func (b *Board) find(t *target, end time.Time) (i int, near bool) {
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

// vote counts a distance, and chooses the period anew after some votes.
func (b *Board) vote(d time.Duration) {
	b.votes[d/binWidth]++
	b.voted++
	if b.voted < b.cfg.Votes || b.period > 0 && b.voted < votesAgain {
		return
	}
	b.voted = 0
	b.choose()
}

// choose chooses the period: the shortest of the frequent distances, since a pause that nobody met doubles the distance.
func (b *Board) choose() {
	best := 0
	for i := range b.votes {
		best = max(best, b.around(i))
	}
	if best < b.cfg.Votes {
		return
	}
	for i := range b.votes {
		if n := b.around(i); float64(n) >= peakShare*float64(best) && n >= b.cfg.Votes/2 {
			b.period = b.center(i)
			return
		}
	}
}

// around counts the votes of a bin and its two neighbours.
func (b *Board) around(i int) int {
	n := b.votes[i]
	if i > 0 {
		n += b.votes[i-1]
	}
	if i+1 < len(b.votes) {
		n += b.votes[i+1]
	}
	return n
}

// center returns the mean distance of the votes near a bin.
func (b *Board) center(i int) time.Duration {
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

// confirm looks for two ends that are whole periods apart. Where most ends aren't, the target is slow or varies, and
// two may agree by chance.
func (b *Board) confirm(id string, t *target, p Pause) {
	if b.period == 0 {
		return
	}
	agree := 1
	var period time.Duration
	for _, other := range t.ends {
		d := p.End.Sub(other).Abs()
		periods := math.Round(float64(d) / float64(b.period))
		if periods < 1 || offset(d, b.period).Abs() > b.cfg.Tolerance {
			continue
		}
		agree++
		// A long distance gives the period more precisely than one of its own.
		period = max(period, time.Duration(float64(d)/periods))
	}
	need := 2
	if t.known.Period > 0 {
		need = misfits
	}
	if agree < need || 2*agree < len(t.ends) {
		return
	}
	t.ends, t.noise = nil, 0
	t.known = Pause{Target: id, End: p.End, Length: p.Length, Period: period}
	t.strikes = 0
	b.guess(p.Length)
}

// guess takes the length of a pause that nothing but its own ends confirms, until there are better ones. It may be that of
// a slow reply; maxShare bounds what that costs.
func (b *Board) guess(length time.Duration) {
	if len(b.waits) == 0 {
		b.length = max(b.length, min(length, b.cfg.MaxPause, b.period/maxShare))
	}
}

// lasted takes the length of a wait in a confirmed pause. Waits are spread evenly over a pause, so its length is near the
// longest. A wait far beyond the others had another cause.
func (b *Board) lasted(wait time.Duration) {
	sorted := slices.Sorted(slices.Values(b.waits))
	if len(sorted) >= minWaits && float64(wait) > farBeyond*float64(sorted[len(sorted)/2]) {
		return
	}
	b.waits = append(b.waits, min(wait, b.cfg.MaxPause, b.period/maxShare))
	if len(b.waits) > maxWaits {
		b.waits = b.waits[1:]
	}
	sorted = slices.Sorted(slices.Values(b.waits))
	b.length = sorted[len(sorted)-1-len(sorted)/dropWaits]
}

// check looks whether a reply contradicts the pauses that are known.
func (b *Board) check(t *target, sent, replied time.Time) {
	start, end := b.window(t, replied)
	if sent.After(start.Add(minDepth)) && replied.Before(end.Add(-minDepth)) {
		if t.strikes++; t.strikes >= b.cfg.Strikes {
			*t = target{}
		}
	}
}

// window returns the predicted pause that contains a time, or the next one.
func (b *Board) window(t *target, at time.Time) (start, end time.Time) {
	period := t.known.Period
	n := math.Ceil(float64(at.Sub(t.known.End)) / float64(period))
	end = t.known.End.Add(time.Duration(n * float64(period)))
	return end.Add(-b.length), end
}

// Wait returns how long a send now would be held up by a pause, if it usually takes the given time; 0 if it would not.
func (b *Board) Wait(now time.Time, id string, usual time.Duration) time.Duration {
	t := b.targets[id]
	if t == nil || t.known.Period == 0 {
		return 0
	}
	start, end := b.window(t, now)
	if now.Add(usual).Before(start) {
		return 0
	}
	return end.Sub(now)
}

// Known returns the confirmed pauses, in the order of targets.
func (b *Board) Known() []Pause {
	var out []Pause
	for _, t := range b.targets {
		if t.known.Period > 0 {
			p := t.known
			p.Length = b.length
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
