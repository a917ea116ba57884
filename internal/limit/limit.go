// Package limit keeps the state of one target as one dispatcher knows it, and the target's level: the number of
// sub-requests that all entry processes together may have running at the target.
//
// # Usage
//
//	t := limit.New(limit.Config{Slots: 2})
//	change := t.Observe(now, limit.Observation{
//		Kind: limit.GoodReply, Incarnation: 7, State: target.Warm, Slots: 2,
//		Sent: sent, Latency: 4 * time.Millisecond,
//	})
//	t.Level()                 // 0..slots
//	t.SetSlots(now, 1)        // a rule or a newly published list changed the highest level
//	switch t.NextProbe(now) {   // call while Level is 0, at the primary dispatcher only
//	case limit.ProbeHealth:     // request the health page and pass its content as an Observation of kind HealthPage
//	case limit.ProbeSubRequest: // one sub-request may be sent although Level is 0
//	}
//
// The level is lowered at the first adverse observation, such as a refusal for load or a broken connection. It is raised
// by one after a run of good replies. A good reply counts only if the current incarnation of the target sent it, and
// only if its request was sent after the last change of the level and after the last adverse observation. A health page can
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
	Slots              int           // highest level: the smaller of the published value and the rule; 0 means unknown and counts as 1
	GoodRepliesPerStep int           // good replies in a row that raise the level by one
	MaxConnectFailures int           // failed connection attempts in a row after which the state is Gone
	ProbeInterval      time.Duration // minimum time between two probes at level 0
	DrainingTTL        time.Duration // time for which a health page of the same incarnation can't contradict a "draining" of the target
}

// Defaults of the fields of Config.
const (
	DefaultGoodRepliesPerStep = 8
	DefaultMaxConnectFailures = 3
	DefaultProbeInterval      = time.Second
	// DefaultDrainingTTL is longer than the time by which health pages are known to be out of date. Otherwise a health page
	// that still shows the state before the drain would cause a trial request to a target that is shutting down.
	DefaultDrainingTTL = 10 * time.Second
)

const (
	// coldLevel is the level of a target that is in a cold start.
	coldLevel = 1
	// slowFactor is the multiple of the median latency above which a reply counts as slow.
	slowFactor = 4
	// slowRepliesToHalve is the number of slow replies in a row after which the level is halved.
	slowRepliesToHalve = 3
	// defaultReportAge is the assumed age of a report that doesn't say when it was made. It equals the freshness bound,
	// because a process doesn't act on older information.
	defaultReportAge = 2 * time.Second
	// maxEarlierIncarnations is the number of earlier incarnations that are kept, in order to recognise their late replies.
	maxEarlierIncarnations = 8
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

// Kind is the kind of an Observation.
type Kind uint8

// Kinds of observations.
const (
	GoodReply       Kind = iota // the target answered with a complete reply
	Overloaded                  // the target refused the request because of its load
	ConnectionLost              // the connection was reset, was closed before a complete reply, or stayed silent
	HealthPage                  // a health page was received
	PrimaryReport               // the target's primary dispatcher reported the level and state that it has recorded
	ListedLeaving               // the published list says that the target is leaving
	Refused                     // the target refused the request for a reason other than load
	ConnectFailed               // the connection could not be opened
	NoLongerLeaving             // the published list no longer says that the target is leaving
)

// statesIncarnation reports whether observations of this kind state the incarnation of the target. Observations of the
// other kinds come from the published list or from a failed connection, and their Incarnation is ignored.
func (k Kind) statesIncarnation() bool {
	return k == GoodReply || k == Overloaded || k == Refused || k == HealthPage || k == PrimaryReport
}

// Observation is one observation of the target.
type Observation struct {
	Kind        Kind
	Incarnation uint64
	State       target.State
	// Sent is the time, by the local clock, at which the request that led to this observation was sent. For a
	// PrimaryReport it is a time before the report was made, such as the send time of the last ping that the primary
	// had answered. If Sent is zero, it is taken as Latency before now, and for a PrimaryReport as 2 s before now.
	Sent    time.Time
	Latency time.Duration
	Level   int // level that a PrimaryReport contains
	Slots   int // slots that the target states in its load; 0 means not stated
}

// Change says what an observation or a change of the slots has changed.
type Change struct {
	Lowered   bool // the level was lowered
	Raised    bool // the level was raised
	Restarted bool // the target was restarted
}

// Probe is the kind of request that may be sent to a target at level 0.
type Probe uint8

// Kinds of probes.
const (
	NoProbe         Probe = iota // nothing may be sent
	ProbeHealth                  // one request for the health page
	ProbeSubRequest              // one sub-request
)

// healthPage holds the statements of one health page.
type healthPage struct {
	incarnation uint64
	state       target.State
}

// Target holds the state and the level of one target. It isn't safe for concurrent use.
type Target struct {
	cfg                 Config
	state               State
	level               int
	statedSlots         int // slots that the target stated last; 0 means not stated
	incarnation         uint64
	incarnationSince    time.Time                      // when the current incarnation was first seen
	earlierIncarnations [maxEarlierIncarnations]uint64 // ring of earlier incarnations
	nextEarlier         int                            // index in earlierIncarnations that is overwritten next
	goodRepliesInRow    int                            // good replies in a row since countingSince
	slowRepliesInRow    int                            // slow replies in a row since countingSince
	latencyMedian       latencyMedian
	lastAdverse         time.Time  // last adverse observation
	countingSince       time.Time  // last change of the level or adverse observation; replies to earlier requests don't count
	lastHealthPage      healthPage // from the newest health page
	listedLeaving       bool       // the published list says that the target is leaving
	drainingAt          time.Time  // when the target last said draining; zero if it never did or has answered a trial since
	drainingIncarnation uint64     // incarnation that said draining
	connectFailures     int        // failed connection attempts in a row
	connectFailedAt     time.Time  // when the last failed attempt was counted in connectFailures
	lastProbe           time.Time  // last probe
	trialAllowed        bool       // the next probe may be a sub-request
}

// New returns a target whose state isn't known yet. Such a target is treated as cold.
func New(cfg Config) *Target {
	if cfg.Slots <= 0 {
		cfg.Slots = coldLevel
	}
	cfg.GoodRepliesPerStep = cmp.Or(cfg.GoodRepliesPerStep, DefaultGoodRepliesPerStep)
	cfg.MaxConnectFailures = cmp.Or(cfg.MaxConnectFailures, DefaultMaxConnectFailures)
	cfg.ProbeInterval = cmp.Or(cfg.ProbeInterval, DefaultProbeInterval)
	cfg.DrainingTTL = cmp.Or(cfg.DrainingTTL, DefaultDrainingTTL)
	return &Target{cfg: cfg, state: Cold, level: coldLevel}
}

// Observe updates the state and the level with one observation and returns what changed. An observation that comes from an
// earlier incarnation of the target is ignored.
func (t *Target) Observe(now time.Time, observation Observation) Change {
	before := t.level
	if observation.Sent.IsZero() {
		observation.Sent = now.Add(-observation.Latency)
		if observation.Kind == PrimaryReport {
			observation.Sent = now.Add(-defaultReportAge)
		}
	}
	stale, restarted := t.compareIncarnation(now, observation)
	if !stale {
		restarted = t.applyObservation(now, observation) || restarted
	}
	t.level = min(t.level, t.maxLevel())
	return Change{Lowered: t.level < before, Raised: t.level > before, Restarted: restarted}
}

// compareIncarnation compares the incarnation of an observation with the current one, and makes a new one current if a
// reply or report states it. The result stale means that the observation comes from an earlier incarnation, restarted
// that the target was restarted.
func (t *Target) compareIncarnation(now time.Time, observation Observation) (stale, restarted bool) {
	switch {
	case observation.Incarnation == 0 || observation.Incarnation == t.incarnation || !observation.Kind.statesIncarnation():
		return false, false
	case observation.Kind == HealthPage:
		// Only replies and reports decide which incarnation is current, because a health page can be out of date.
		return t.isEarlierIncarnation(observation.Incarnation), false
	case t.incarnation == 0:
		t.incarnation = observation.Incarnation
		t.incarnationSince = now
		return false, false
	case t.isEarlierIncarnation(observation.Incarnation) && observation.Sent.Before(t.incarnationSince):
		return true, false
	}
	t.earlierIncarnations[t.nextEarlier] = t.incarnation
	t.nextEarlier = (t.nextEarlier + 1) % maxEarlierIncarnations
	t.incarnation = observation.Incarnation
	t.incarnationSince = now
	t.statedSlots = 0
	t.lowerLevel(now, coldLevel)
	return false, true
}

// isEarlierIncarnation reports whether the incarnation is one of the earlier ones that are kept.
func (t *Target) isEarlierIncarnation(incarnation uint64) bool {
	for _, earlier := range t.earlierIncarnations {
		if earlier == incarnation {
			return true
		}
	}
	return false
}

// applyObservation updates the state with an observation that isn't stale. It reports whether a health page names an
// incarnation other than the current one for the first time, which means that the target was restarted.
func (t *Target) applyObservation(now time.Time, observation Observation) (restarted bool) {
	switch observation.Kind {
	case ListedLeaving:
		t.listedLeaving = true
		t.lowerLevel(now, 0)
		t.state = Draining
	case NoLongerLeaving:
		t.clearLeaving(now)
	case ConnectionLost:
		t.lowerLevel(now, coldLevel)
	case ConnectFailed:
		t.recordConnectFailure(now, observation)
	case HealthPage:
		return t.recordHealthPage(now, observation)
	case PrimaryReport:
		t.recordPrimaryReport(now, observation)
	case GoodReply, Overloaded, Refused:
		t.recordReply(now, observation)
	}
	return false
}

// lowerLevel lowers the level to at most the given one, records the adverse observation, and discards the replies counted
// so far.
func (t *Target) lowerLevel(now time.Time, level int) {
	t.level = min(t.level, level)
	t.lastAdverse = now
	t.restartCounting(now)
	switch {
	case t.state == Draining || t.state == Gone:
	case t.level <= coldLevel:
		t.state = Cold
	default:
		t.state = Warming
	}
}

// restartCounting discards the replies counted so far. Only replies to requests that are sent from now on count.
func (t *Target) restartCounting(now time.Time) {
	t.countingSince = now
	t.goodRepliesInRow = 0
	t.slowRepliesInRow = 0
}

// recordDraining records that the target says draining.
func (t *Target) recordDraining(now time.Time) {
	t.lowerLevel(now, 0)
	t.state = Draining
	t.trialAllowed = false
	t.drainingAt = now
	t.drainingIncarnation = t.incarnation
}

// clearLeaving records that the published list no longer says leaving. The level stays 0 until a trial succeeds.
func (t *Target) clearLeaving(now time.Time) {
	if !t.listedLeaving {
		return
	}
	t.listedLeaving = false
	t.trialAllowed = t.drainingExpired(now)
}

// drainingExpired reports whether the target hasn't said draining within the last DrainingTTL.
func (t *Target) drainingExpired(now time.Time) bool {
	return t.drainingAt.IsZero() || now.Sub(t.drainingAt) >= t.cfg.DrainingTTL
}

// recordConnectFailure records that a connection could not be opened.
func (t *Target) recordConnectFailure(now time.Time, observation Observation) {
	t.lowerLevel(now, coldLevel)
	t.trialAllowed = false
	// Connections that were attempted at the same time fail together and count once.
	if observation.Sent.Before(t.connectFailedAt) {
		return
	}
	t.connectFailedAt = now
	t.connectFailures++
	if t.connectFailures >= t.cfg.MaxConnectFailures {
		t.lowerLevel(now, 0)
		t.state = Gone
		t.lastProbe = now
	}
}

// recordHealthPage records a health page. It reports whether the page names an incarnation other than the current one
// for the first time. A health page never raises the level, but at level 0 it can allow a trial.
func (t *Target) recordHealthPage(now time.Time, page Observation) (restarted bool) {
	last := t.lastHealthPage
	t.lastHealthPage = healthPage{page.Incarnation, page.State}
	t.connectFailures = 0
	if page.Slots > 0 && page.Slots < t.maxLevel() {
		t.statedSlots = page.Slots
	}
	restarted = page.Incarnation != 0 && t.incarnation != 0 && page.Incarnation != t.incarnation
	switch {
	case page.State == target.Draining:
		t.recordDraining(now)
	case t.level == 0:
		if !page.Sent.Before(t.lastAdverse) && (restarted || page.Incarnation != t.drainingIncarnation || t.drainingExpired(now)) {
			t.trialAllowed = true
		}
	case t.lastHealthPage == last:
		// A health page that is out of date repeats the same content. It lowers the level only once; after that the
		// replies decide.
		return false
	case restarted || page.State == target.Cold:
		t.lowerLevel(now, coldLevel)
	}
	return restarted && last.incarnation != page.Incarnation
}

// recordPrimaryReport records the level and state that the primary dispatcher reports.
func (t *Target) recordPrimaryReport(now time.Time, report Observation) {
	if report.Incarnation == 0 {
		// The primary has received no reply of the target yet.
		return
	}
	level := report.Level
	if report.State == target.Cold {
		level = min(level, coldLevel)
	}
	switch {
	case report.State == target.Draining:
		t.recordDraining(now)
	case level < t.level:
		t.setLevel(now, max(level, 0))
	case level > t.level && !t.listedLeaving && report.Sent.After(t.lastAdverse):
		t.setLevel(now, level)
	}
}

// setLevel sets the level, bounded by the slots, and starts counting replies anew.
func (t *Target) setLevel(now time.Time, level int) {
	t.level = min(level, t.maxLevel())
	t.restartCounting(now)
	t.state = Warming
	if t.level == t.maxLevel() {
		t.state = Warm
	}
}

// recordReply records a complete reply or a refusal. At level 0, a good reply to the trial sets the level to coldLevel.
func (t *Target) recordReply(now time.Time, reply Observation) {
	t.connectFailures = 0
	if reply.Slots > 0 {
		t.statedSlots = reply.Slots
	}
	switch {
	case reply.State == target.Draining:
		t.recordDraining(now)
	case t.level == 0:
		if reply.Kind == GoodReply && t.trialAllowed && !t.listedLeaving && !reply.Sent.Before(t.lastProbe) {
			t.trialAllowed = false
			t.drainingAt = time.Time{}
			t.level = coldLevel
			t.state = Cold
			t.restartCounting(now)
		}
	case reply.State == target.Cold:
		t.lowerLevel(now, coldLevel)
	case reply.Kind == Overloaded:
		t.lowerLevel(now, max(1, t.level/2))
	case reply.Kind == GoodReply && reply.Incarnation == t.incarnation && !reply.Sent.Before(t.countingSince):
		t.countGoodReply(now, reply)
	}
}

// countGoodReply counts a good reply to a request that was sent at the current level. It raises the level after
// GoodRepliesPerStep such replies in a row and halves it after slowRepliesToHalve slow ones.
func (t *Target) countGoodReply(now time.Time, reply Observation) {
	if reply.State != target.Warm {
		t.goodRepliesInRow = 0
		return
	}
	slow := t.latencyMedian.isSlow(reply.Latency)
	t.latencyMedian.add(reply.Latency)
	if slow {
		t.goodRepliesInRow = 0
		t.slowRepliesInRow++
		if t.slowRepliesInRow >= slowRepliesToHalve {
			t.lowerLevel(now, max(1, t.level/2))
		}
		return
	}
	t.slowRepliesInRow = 0
	t.goodRepliesInRow++
	if t.goodRepliesInRow < t.cfg.GoodRepliesPerStep {
		return
	}
	if t.level < t.maxLevel() {
		t.setLevel(now, t.level+1)
		return
	}
	t.goodRepliesInRow = 0
	t.state = Warm
}

// maxLevel returns the highest level: the smaller of the configured slots and those that the target states.
func (t *Target) maxLevel() int {
	if t.statedSlots > 0 {
		return min(t.cfg.Slots, t.statedSlots)
	}
	return t.cfg.Slots
}

// SetSlots sets the highest level: the smaller of the published value and the rule. At 0 the target gets no work.
// When the highest level grows, only good replies raise the level, except that 0 slots becoming 1 or more sets level 1.
func (t *Target) SetSlots(now time.Time, slots int) Change {
	before := t.level
	t.cfg.Slots = max(slots, 0)
	t.level = min(t.level, t.maxLevel())
	switch {
	case t.level < before:
		t.restartCounting(now)
	case t.level == 0 && t.maxLevel() > 0 && t.state != Draining && t.state != Gone:
		t.level = coldLevel
		t.state = Cold
		t.restartCounting(now)
	}
	return Change{Lowered: t.level < before, Raised: t.level > before}
}

// NextProbe returns what may be sent now although the level is 0, and records the probe as sent. Only the primary
// dispatcher may call NextProbe, so that a cold target never gets two trials at once.
func (t *Target) NextProbe(now time.Time) Probe {
	if t.level > 0 || t.listedLeaving || t.maxLevel() == 0 || now.Sub(t.lastProbe) < t.cfg.ProbeInterval {
		return NoProbe
	}
	t.lastProbe = now
	if t.trialAllowed {
		return ProbeSubRequest
	}
	return ProbeHealth
}

// Level returns how many sub-requests all entry processes together may have running at the target, from 0 to its slots.
func (t *Target) Level() int { return t.level }

// State returns the current state.
func (t *Target) State() State { return t.state }

// Incarnation returns the current incarnation of the target, or 0 if none is known.
func (t *Target) Incarnation() uint64 { return t.incarnation }

// TrialAllowed reports whether the level is 0 and the next probe may be a sub-request.
func (t *Target) TrialAllowed() bool {
	return t.level == 0 && t.trialAllowed && !t.listedLeaving && t.maxLevel() > 0
}
