// Package limit keeps the state of one target as one dispatcher knows it, and the target's level: the number of
// sub-requests that all entry processes together may have running at the target.
//
// # Usage
//
//	t := limit.New(limit.Config{Slots: 2})
//	change := t.Observe(now, limit.Sign{
//		Kind: limit.Good, Incarnation: 7, State: target.Warm, Slots: 2,
//		Sent: sent, Latency: 4 * time.Millisecond,
//	})
//	t.Level()                 // 0..slots
//	t.SetSlots(now, 1)        // a rule or a newly published list changed the highest level
//	switch t.Probe(now) {     // call while Level is 0, at the primary dispatcher only
//	case limit.ProbeHealth:   // request the health page and pass its content as a Sign of kind Health
//	case limit.ProbeWork:     // one sub-request may be sent although Level is 0
//	}
//
// The level is lowered at the first sign of trouble, such as a refusal for load or a broken connection. It is raised
// by one after a run of good replies. A good reply counts only if the current incarnation of the target sent it, and
// only if its request was sent after the last change of the level and after the last sign of trouble. A health page can
// lower the level but never raises it, because health pages can be out of date or wrong.
//
// A target at level 0 returns to service in three steps: a health page is received that doesn't say draining, then one
// sub-request is sent as a trial, and a good reply to the trial sets the level to 1.
package limit

import (
	"cmp"
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/pkg/target"
)

// Config holds the settings for one target. A field that is zero takes its default.
type Config struct {
	Slots      int           // highest level: the smaller of the published value and the rule; 0 means unknown and counts as 1
	RampGood   int           // good replies in a row that raise the level by one
	GoneAfter  int           // failed connection attempts in a row after which the state is Gone
	ProbeEvery time.Duration // minimum time between two probes at level 0
	DrainHold  time.Duration // time after a "draining" of the target during which a health page can't contradict it
}

// Defaults of the fields of Config.
const (
	DefaultRampGood   = 8
	DefaultGoneAfter  = 3
	DefaultProbeEvery = time.Second
	// DefaultDrainHold is longer than health pages are known to be out of date. Otherwise a health page that still
	// shows the state before the drain would cause a trial request to a target that is shutting down.
	DefaultDrainHold = 10 * time.Second
)

const (
	// coldLevel is the level of a target that is in a cold start.
	coldLevel = 1
	// slowFactor is the multiple of the median latency above which a reply counts as slow.
	slowFactor = 4
	// slowRun is the number of slow replies in a row after which the level is halved.
	slowRun = 3
	// noteAge is the assumed age of a note that doesn't say when it was made. It equals the freshness bound,
	// because a process doesn't act on older information.
	noteAge = 2 * time.Second
	// retiredKept is the number of earlier incarnations that are remembered, in order to recognise their late replies.
	retiredKept = 8
)

// State is the state of a target as one dispatcher knows it.
type State string

// States of a target.
const (
	Cold     State = "cold"
	Warming  State = "warming"
	Warm     State = "warm"
	Draining State = "draining"
	Gone     State = "gone"
)

// Kind is the kind of a Sign.
type Kind uint8

// Kinds of signs.
const (
	Good        Kind = iota // the target answered with a complete reply
	Shed                    // the target refused the request because of its load
	Broken                  // the connection was reset, was closed before a complete reply, or stayed silent
	Health                  // a health page was received
	Note                    // the target's primary dispatcher reported the level and state that it has recorded
	Leave                   // the published list says that the target is leaving
	Declined                // the target refused the request for a reason other than load
	Unreachable             // the connection could not be opened
	Return                  // the published list no longer says that the target is leaving
)

// stamped reports whether signs of this kind state the incarnation of the target. Signs of the other kinds come from
// the published list or from a failed connection, and their Incarnation is ignored.
func (k Kind) stamped() bool {
	return k == Good || k == Shed || k == Declined || k == Health || k == Note
}

// Sign is one observation of the target.
type Sign struct {
	Kind        Kind
	Incarnation uint64
	State       target.State
	// Sent is the time, by the local clock, at which the request that led to this sign was sent. For a Note it is
	// a time before the note was made, such as the send time of the last ping that the primary had answered.
	// If Sent is zero, it is taken as Latency before now, and for a Note as 2 s before now.
	Sent    time.Time
	Latency time.Duration
	Level   int // level that a Note reports
	Slots   int // slots that the target states in its load; 0 means not stated
}

// Change says what an observation changed.
type Change struct {
	Fell        bool // the level was lowered
	Rose        bool // the level was raised
	Incarnation bool // the target was restarted
}

// Probe is the kind of request that may be sent to a target at level 0.
type Probe uint8

// Kinds of probes.
const (
	NoProbe     Probe = iota // nothing
	ProbeHealth              // one request for the health page
	ProbeWork                // one sub-request
)

// page holds the statements of one health page.
type page struct {
	incarnation uint64
	state       target.State
}

// Target holds the state and the level of one target. It isn't safe for concurrent use.
type Target struct {
	cfg         Config
	state       State
	level       int
	reported    int // slots that the target stated last; 0 means not stated
	incarnation uint64
	since       time.Time           // when the current incarnation was first seen
	retired     [retiredKept]uint64 // ring of earlier incarnations
	retiredNext int                 // index in retired that is overwritten next
	good        int                 // good replies in a row since changed
	slow        int                 // slow replies in a row since changed
	median      median
	fell        time.Time // last sign of trouble
	changed     time.Time // last change of the level or sign of trouble
	page        page      // from the newest health page
	leaving     bool      // the published list says that the target is leaving
	drainAt     time.Time // when the target last said draining; zero if it never did or has served a trial since
	drainOf     uint64    // incarnation that said draining
	refusals    int       // failed connection attempts in a row
	refusedAt   time.Time // when the last failed attempt was counted in refusals
	probed      time.Time // last probe
	trial       bool      // the next probe may be a sub-request
}

// New returns a target whose state isn't known yet. Such a target is treated as cold.
func New(cfg Config) *Target {
	if cfg.Slots <= 0 {
		cfg.Slots = coldLevel
	}
	cfg.RampGood = cmp.Or(cfg.RampGood, DefaultRampGood)
	cfg.GoneAfter = cmp.Or(cfg.GoneAfter, DefaultGoneAfter)
	cfg.ProbeEvery = cmp.Or(cfg.ProbeEvery, DefaultProbeEvery)
	cfg.DrainHold = cmp.Or(cfg.DrainHold, DefaultDrainHold)
	return &Target{cfg: cfg, state: Cold, level: coldLevel}
}

// Observe updates the state and the level with one sign and returns what changed.
func (t *Target) Observe(now time.Time, s Sign) Change {
	before := t.level
	if s.Sent.IsZero() {
		s.Sent = now.Add(-s.Latency)
		if s.Kind == Note {
			s.Sent = now.Add(-noteAge)
		}
	}
	stale, restarted := t.identify(now, s)
	if !stale {
		restarted = t.apply(now, s) || restarted
	}
	t.level = min(t.level, t.slots())
	return Change{Fell: t.level < before, Rose: t.level > before, Incarnation: restarted}
}

// identify compares the incarnation of a sign with the current one, and makes a new one current if a reply or note
// states it. The result stale means that the sign comes from an earlier incarnation, restarted that the target was
// restarted.
func (t *Target) identify(now time.Time, s Sign) (stale, restarted bool) {
	switch {
	case s.Incarnation == 0 || s.Incarnation == t.incarnation || !s.Kind.stamped():
		return false, false
	case s.Kind == Health:
		// Only replies and notes decide which incarnation is current, because a health page can be out of date.
		return t.isRetired(s.Incarnation), false
	case t.incarnation == 0:
		t.incarnation = s.Incarnation
		t.since = now
		return false, false
	case t.isRetired(s.Incarnation) && s.Sent.Before(t.since):
		return true, false
	}
	t.retired[t.retiredNext] = t.incarnation
	t.retiredNext = (t.retiredNext + 1) % retiredKept
	t.incarnation = s.Incarnation
	t.since = now
	t.reported = 0
	t.fall(now, coldLevel)
	return false, true
}

// isRetired reports whether the incarnation is one of the remembered earlier ones.
func (t *Target) isRetired(incarnation uint64) bool {
	for _, r := range t.retired {
		if r == incarnation {
			return true
		}
	}
	return false
}

// apply updates the state with a sign that isn't stale. It reports whether a health page names an incarnation other
// than the current one for the first time, which means that the target was restarted.
func (t *Target) apply(now time.Time, s Sign) (restarted bool) {
	switch s.Kind {
	case Leave:
		t.leaving = true
		t.fall(now, 0)
		t.state = Draining
	case Return:
		t.listedAgain(now)
	case Broken:
		t.fall(now, coldLevel)
	case Unreachable:
		t.unreachable(now, s)
	case Health:
		return t.health(now, s)
	case Note:
		t.note(now, s)
	case Good, Shed, Declined:
		t.reply(now, s)
	}
	return false
}

// fall lowers the level to at most the given one, records a sign of trouble, and discards the replies counted so far.
func (t *Target) fall(now time.Time, level int) {
	t.level = min(t.level, level)
	t.fell = now
	t.resetEvidence(now)
	switch {
	case t.state == Draining || t.state == Gone:
	case t.level <= coldLevel:
		t.state = Cold
	default:
		t.state = Warming
	}
}

// resetEvidence discards the replies counted so far. Only replies to requests that are sent from now on count.
func (t *Target) resetEvidence(now time.Time) {
	t.changed = now
	t.good = 0
	t.slow = 0
}

// drain records that the target says draining.
func (t *Target) drain(now time.Time) {
	t.fall(now, 0)
	t.state = Draining
	t.trial = false
	t.drainAt = now
	t.drainOf = t.incarnation
}

// listedAgain records that the published list no longer says leaving. The level stays 0 until a trial succeeds.
func (t *Target) listedAgain(now time.Time) {
	if !t.leaving {
		return
	}
	t.leaving = false
	t.trial = t.drainOver(now)
}

// drainOver reports whether the target hasn't said draining within the last DrainHold.
func (t *Target) drainOver(now time.Time) bool {
	return t.drainAt.IsZero() || now.Sub(t.drainAt) >= t.cfg.DrainHold
}

// unreachable records that a connection could not be opened.
func (t *Target) unreachable(now time.Time, s Sign) {
	t.fall(now, coldLevel)
	t.trial = false
	// Connections that were attempted at the same time fail together and count once.
	if s.Sent.Before(t.refusedAt) {
		return
	}
	t.refusedAt = now
	t.refusals++
	if t.refusals >= t.cfg.GoneAfter {
		t.fall(now, 0)
		t.state = Gone
		t.probed = now
	}
}

// health records a health page. It reports whether the page names an incarnation other than the current one for the
// first time. A page can raise no level, but allow a trial at level 0.
func (t *Target) health(now time.Time, s Sign) (restarted bool) {
	last := t.page
	t.page = page{s.Incarnation, s.State}
	t.refusals = 0
	if s.Slots > 0 && s.Slots < t.slots() {
		t.reported = s.Slots
	}
	restarted = s.Incarnation != 0 && t.incarnation != 0 && s.Incarnation != t.incarnation
	switch {
	case s.State == target.Draining:
		t.drain(now)
	case t.level == 0:
		if !s.Sent.Before(t.fell) && (restarted || s.Incarnation != t.drainOf || t.drainOver(now)) {
			t.trial = true
		}
	case t.page == last:
		// A health page that is out of date repeats the same content. It lowers the level only once; after that the
		// replies decide.
		return false
	case restarted || s.State == target.Cold:
		t.fall(now, coldLevel)
	}
	return restarted && last.incarnation != s.Incarnation
}

// note records the level and state that the primary dispatcher reports.
func (t *Target) note(now time.Time, s Sign) {
	if s.Incarnation == 0 {
		// The primary has received no reply of the target yet.
		return
	}
	level := s.Level
	if s.State == target.Cold {
		level = min(level, coldLevel)
	}
	switch {
	case s.State == target.Draining:
		t.drain(now)
	case level < t.level:
		t.setLevel(now, max(level, 0))
	case level > t.level && !t.leaving && s.Sent.After(t.fell):
		t.setLevel(now, level)
	}
}

// setLevel sets the level, bounded by the slots, and starts counting replies anew.
func (t *Target) setLevel(now time.Time, level int) {
	t.level = min(level, t.slots())
	t.resetEvidence(now)
	t.state = Warming
	if t.level == t.slots() {
		t.state = Warm
	}
}

// reply records a reply of the current incarnation: a complete one or a refusal.
func (t *Target) reply(now time.Time, s Sign) {
	t.refusals = 0
	if s.Slots > 0 {
		t.reported = s.Slots
	}
	switch {
	case s.State == target.Draining:
		t.drain(now)
	case t.level == 0:
		if s.Kind == Good && t.trial && !t.leaving && !s.Sent.Before(t.probed) {
			t.trial = false
			t.drainAt = time.Time{}
			t.level = coldLevel
			t.state = Cold
			t.resetEvidence(now)
		}
	case s.State == target.Cold:
		t.fall(now, coldLevel)
	case s.Kind == Shed:
		t.fall(now, max(1, t.level/2))
	case s.Kind == Good && s.Incarnation == t.incarnation && !s.Sent.Before(t.changed):
		t.evidence(now, s)
	}
}

// evidence records a good reply to a request that was sent at the current level. It raises the level after RampGood such
// replies in a row and halves it after slowRun slow ones.
func (t *Target) evidence(now time.Time, s Sign) {
	if s.State != target.Warm {
		t.good = 0
		return
	}
	slow := t.median.slow(s.Latency)
	t.median.add(s.Latency)
	if slow {
		t.good = 0
		t.slow++
		if t.slow >= slowRun {
			t.fall(now, max(1, t.level/2))
		}
		return
	}
	t.slow = 0
	t.good++
	if t.good < t.cfg.RampGood {
		return
	}
	if t.level < t.slots() {
		t.setLevel(now, t.level+1)
		return
	}
	t.good = 0
	t.state = Warm
}

// slots returns the highest level: the smaller of the configured slots and those that the target states.
func (t *Target) slots() int {
	if t.reported > 0 {
		return min(t.cfg.Slots, t.reported)
	}
	return t.cfg.Slots
}

// SetSlots sets the highest level: the smaller of the published value and the rule. At 0 the target gets no work.
// When the highest level grows, only good replies raise the level, except that 0 slots becoming 1 or more sets level 1.
func (t *Target) SetSlots(now time.Time, slots int) Change {
	before := t.level
	t.cfg.Slots = max(slots, 0)
	t.level = min(t.level, t.slots())
	switch {
	case t.level < before:
		t.resetEvidence(now)
	case t.level == 0 && t.slots() > 0 && t.state != Draining && t.state != Gone:
		t.level = coldLevel
		t.state = Cold
		t.resetEvidence(now)
	}
	return Change{Fell: t.level < before, Rose: t.level > before}
}

// Probe returns what may be sent now although the level is 0, and records the probe as sent. Only the primary
// dispatcher may call Probe, so that a cold target never gets two trials at once.
func (t *Target) Probe(now time.Time) Probe {
	if t.level > 0 || t.leaving || t.slots() == 0 || now.Sub(t.probed) < t.cfg.ProbeEvery {
		return NoProbe
	}
	t.probed = now
	if t.trial {
		return ProbeWork
	}
	return ProbeHealth
}

// Level returns how many sub-requests all entry processes together may have running at the target, from 0 to its slots.
func (t *Target) Level() int { return t.level }

// State returns the current state.
func (t *Target) State() State { return t.state }

// Incarnation returns the current incarnation of the target, or 0 if none is known.
func (t *Target) Incarnation() uint64 { return t.incarnation }

// WantsTrial reports whether the level is 0 and the next probe may be a sub-request.
func (t *Target) WantsTrial() bool { return t.level == 0 && t.trial && !t.leaving && t.slots() > 0 }
