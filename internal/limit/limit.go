// Package limit keeps the state of one target as one dispatcher knows it, and the target's level: the number of
// sub-requests that all entry processes together may have running at the target.
//
// # Usage
//
//	l := limit.New(limit.Config{Slots: 2})
//	change := l.Observe(now, limit.Observation{
//		Kind: limit.GoodReply, Incarnation: 7, State: target.Warm, Slots: 2,
//		Sent: sent, Latency: 4 * time.Millisecond,
//	})
//	l.Level()                 // 0..slots
//	l.SetSlots(now, 1)        // a rule or a newly published list changed the highest level
//	switch l.NextProbe(now) {   // call while Level is 0, at the primary dispatcher only
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
// sub-request is sent as a trial, and a good reply to the trial sets the level to 1. The first step is left out when the
// published list no longer says that the target is leaving, unless the target itself said draining within DrainingTTL.
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
	MaxConnectFailures int           // failed connection attempts in a row after which the state is Unreachable
	ProbeInterval      time.Duration // minimum time between two probes at level 0
	DrainingTTL        time.Duration // time after the target said draining in which no health page of the same incarnation allows a trial
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
	Cold        State = "cold"
	Warming     State = "warming"
	Warm        State = "warm"
	Draining    State = "draining"
	Unreachable State = "gone"
)

// ObservationKind is the kind of an Observation.
type ObservationKind uint8

// Kinds of observations.
const (
	GoodReply       ObservationKind = iota // the target answered with a complete reply
	Overloaded                             // the target refused the request because of its load
	ConnectionLost                         // the connection was reset, was closed before a complete reply, or stayed silent
	HealthPage                             // a health page was received
	PrimaryReport                          // the target's primary dispatcher reported the level and state that it has recorded
	ListedLeaving                          // the published list says that the target is leaving
	Refused                                // the target refused the request for a reason other than load
	ConnectFailed                          // the connection could not be opened
	NoLongerLeaving                        // the published list no longer says that the target is leaving
)

// statesIncarnation reports whether observations of this kind state the incarnation of the target. Observations of the
// other kinds come from the published list or from a failed connection, and their Incarnation is ignored.
func (k ObservationKind) statesIncarnation() bool {
	return k == GoodReply || k == Overloaded || k == Refused || k == HealthPage || k == PrimaryReport
}

// Observation is one observation of the target.
type Observation struct {
	Kind        ObservationKind
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

// Limiter holds the state and the level of one target. It isn't safe for concurrent use.
type Limiter struct {
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
	lastProbe           time.Time
	trialAllowed        bool // the next probe may be a sub-request
}

// New returns a Limiter for a target whose state isn't known yet. Such a target is treated as cold.
func New(cfg Config) *Limiter {
	if cfg.Slots <= 0 {
		cfg.Slots = coldLevel
	}
	cfg.GoodRepliesPerStep = cmp.Or(cfg.GoodRepliesPerStep, DefaultGoodRepliesPerStep)
	cfg.MaxConnectFailures = cmp.Or(cfg.MaxConnectFailures, DefaultMaxConnectFailures)
	cfg.ProbeInterval = cmp.Or(cfg.ProbeInterval, DefaultProbeInterval)
	cfg.DrainingTTL = cmp.Or(cfg.DrainingTTL, DefaultDrainingTTL)
	return &Limiter{cfg: cfg, state: Cold, level: coldLevel}
}

// Observe updates the state and the level with one observation and returns what changed. An observation that comes from an
// earlier incarnation of the target is ignored.
func (l *Limiter) Observe(now time.Time, observation Observation) Change {
	before := l.level
	if observation.Sent.IsZero() {
		observation.Sent = now.Add(-observation.Latency)
		if observation.Kind == PrimaryReport {
			observation.Sent = now.Add(-defaultReportAge)
		}
	}
	stale, restarted := l.compareIncarnation(now, observation)
	if !stale {
		restarted = l.applyObservation(now, observation) || restarted
	}
	l.level = min(l.level, l.maxLevel())
	return Change{Lowered: l.level < before, Raised: l.level > before, Restarted: restarted}
}

// compareIncarnation compares the incarnation of an observation with the current one, and makes a new one current if a
// reply or report states it. The result stale means that the observation comes from an earlier incarnation, restarted
// that the target was restarted.
func (l *Limiter) compareIncarnation(now time.Time, observation Observation) (stale, restarted bool) {
	switch {
	case observation.Incarnation == 0 || observation.Incarnation == l.incarnation || !observation.Kind.statesIncarnation():
		return false, false
	case observation.Kind == HealthPage:
		// Only replies and reports decide which incarnation is current, because a health page can be out of date.
		return l.isEarlierIncarnation(observation.Incarnation), false
	case l.incarnation == 0:
		l.incarnation = observation.Incarnation
		l.incarnationSince = now
		return false, false
	case l.isEarlierIncarnation(observation.Incarnation) && observation.Sent.Before(l.incarnationSince):
		return true, false
	}
	l.earlierIncarnations[l.nextEarlier] = l.incarnation
	l.nextEarlier = (l.nextEarlier + 1) % maxEarlierIncarnations
	l.incarnation = observation.Incarnation
	l.incarnationSince = now
	l.statedSlots = 0
	l.lowerLevel(now, coldLevel)
	return false, true
}

// isEarlierIncarnation reports whether the incarnation is one of the earlier ones that are kept.
func (l *Limiter) isEarlierIncarnation(incarnation uint64) bool {
	for _, earlier := range l.earlierIncarnations {
		if earlier == incarnation {
			return true
		}
	}
	return false
}

// applyObservation updates the state with an observation that isn't stale. It reports whether a health page names an
// incarnation other than the current one for the first time, which means that the target was restarted.
func (l *Limiter) applyObservation(now time.Time, observation Observation) (restarted bool) {
	switch observation.Kind {
	case ListedLeaving:
		l.listedLeaving = true
		l.lowerLevel(now, 0)
		l.state = Draining
	case NoLongerLeaving:
		l.clearLeaving(now)
	case ConnectionLost:
		l.lowerLevel(now, coldLevel)
	case ConnectFailed:
		l.recordConnectFailure(now, observation)
	case HealthPage:
		return l.recordHealthPage(now, observation)
	case PrimaryReport:
		l.recordPrimaryReport(now, observation)
	case GoodReply, Overloaded, Refused:
		l.recordReply(now, observation)
	}
	return false
}

// lowerLevel lowers the level to at most the given one, records the adverse observation, and discards the replies counted
// so far.
func (l *Limiter) lowerLevel(now time.Time, level int) {
	l.level = min(l.level, level)
	l.lastAdverse = now
	l.restartCounting(now)
	switch {
	case l.state == Draining || l.state == Unreachable:
	case l.level <= coldLevel:
		l.state = Cold
	default:
		l.state = Warming
	}
}

// restartCounting discards the replies counted so far. Only replies to requests that are sent from now on count.
func (l *Limiter) restartCounting(now time.Time) {
	l.countingSince = now
	l.goodRepliesInRow = 0
	l.slowRepliesInRow = 0
}

// recordDraining records that the target says draining.
func (l *Limiter) recordDraining(now time.Time) {
	l.lowerLevel(now, 0)
	l.state = Draining
	l.trialAllowed = false
	l.drainingAt = now
	l.drainingIncarnation = l.incarnation
}

// clearLeaving records that the published list no longer says leaving. The level stays 0 until a trial succeeds.
func (l *Limiter) clearLeaving(now time.Time) {
	if !l.listedLeaving {
		return
	}
	l.listedLeaving = false
	l.trialAllowed = l.drainingExpired(now)
}

// drainingExpired reports whether the target hasn't said draining within the last DrainingTTL.
func (l *Limiter) drainingExpired(now time.Time) bool {
	return l.drainingAt.IsZero() || now.Sub(l.drainingAt) >= l.cfg.DrainingTTL
}

// recordConnectFailure records that a connection could not be opened.
func (l *Limiter) recordConnectFailure(now time.Time, observation Observation) {
	l.lowerLevel(now, coldLevel)
	l.trialAllowed = false
	// Connections that were attempted at the same time fail together and count once.
	if observation.Sent.Before(l.connectFailedAt) {
		return
	}
	l.connectFailedAt = now
	l.connectFailures++
	if l.connectFailures >= l.cfg.MaxConnectFailures {
		l.lowerLevel(now, 0)
		l.state = Unreachable
		l.lastProbe = now
	}
}

// recordHealthPage records a health page. It reports whether the page names an incarnation other than the current one
// for the first time. A health page never raises the level, but at level 0 it can allow a trial.
func (l *Limiter) recordHealthPage(now time.Time, page Observation) (restarted bool) {
	last := l.lastHealthPage
	l.lastHealthPage = healthPage{page.Incarnation, page.State}
	l.connectFailures = 0
	if page.Slots > 0 && page.Slots < l.maxLevel() {
		l.statedSlots = page.Slots
	}
	restarted = page.Incarnation != 0 && l.incarnation != 0 && page.Incarnation != l.incarnation
	switch {
	case page.State == target.Draining:
		l.recordDraining(now)
	case l.level == 0:
		if !page.Sent.Before(l.lastAdverse) && (restarted || page.Incarnation != l.drainingIncarnation || l.drainingExpired(now)) {
			l.trialAllowed = true
		}
	case l.lastHealthPage == last:
		// A health page that is out of date repeats the same content. It lowers the level only once; after that the
		// replies decide.
		return false
	case restarted || page.State == target.Cold:
		l.lowerLevel(now, coldLevel)
	}
	return restarted && last.incarnation != page.Incarnation
}

// recordPrimaryReport records the level and state that the primary dispatcher reports.
func (l *Limiter) recordPrimaryReport(now time.Time, report Observation) {
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
		l.recordDraining(now)
	case level < l.level:
		l.setLevel(now, max(level, 0))
	case level > l.level && !l.listedLeaving && report.Sent.After(l.lastAdverse):
		l.setLevel(now, level)
	}
}

// setLevel sets the level, bounded by the slots, and starts counting replies anew.
func (l *Limiter) setLevel(now time.Time, level int) {
	l.level = min(level, l.maxLevel())
	l.restartCounting(now)
	l.state = Warming
	if l.level == l.maxLevel() {
		l.state = Warm
	}
}

// recordReply records a complete reply or a refusal. At level 0, a good reply to the trial sets the level to coldLevel.
func (l *Limiter) recordReply(now time.Time, reply Observation) {
	l.connectFailures = 0
	if reply.Slots > 0 {
		l.statedSlots = reply.Slots
	}
	switch {
	case reply.State == target.Draining:
		l.recordDraining(now)
	case l.level == 0:
		if reply.Kind == GoodReply && l.trialAllowed && !l.listedLeaving && !reply.Sent.Before(l.lastProbe) {
			l.trialAllowed = false
			l.drainingAt = time.Time{}
			l.level = coldLevel
			l.state = Cold
			l.restartCounting(now)
		}
	case reply.State == target.Cold:
		l.lowerLevel(now, coldLevel)
	case reply.Kind == Overloaded:
		l.lowerLevel(now, max(1, l.level/2))
	case reply.Kind == GoodReply && reply.Incarnation == l.incarnation && !reply.Sent.Before(l.countingSince):
		l.countGoodReply(now, reply)
	}
}

// countGoodReply counts a good reply to a request that was sent at the current level. It raises the level after
// GoodRepliesPerStep such replies in a row and halves it after slowRepliesToHalve slow ones.
func (l *Limiter) countGoodReply(now time.Time, reply Observation) {
	if reply.State != target.Warm {
		l.goodRepliesInRow = 0
		return
	}
	slow := l.latencyMedian.isSlow(reply.Latency)
	l.latencyMedian.add(reply.Latency)
	if slow {
		l.goodRepliesInRow = 0
		l.slowRepliesInRow++
		if l.slowRepliesInRow >= slowRepliesToHalve {
			l.lowerLevel(now, max(1, l.level/2))
		}
		return
	}
	l.slowRepliesInRow = 0
	l.goodRepliesInRow++
	if l.goodRepliesInRow < l.cfg.GoodRepliesPerStep {
		return
	}
	if l.level < l.maxLevel() {
		l.setLevel(now, l.level+1)
		return
	}
	l.goodRepliesInRow = 0
	l.state = Warm
}

// maxLevel returns the highest level: the smaller of the configured slots and those that the target states.
func (l *Limiter) maxLevel() int {
	if l.statedSlots > 0 {
		return min(l.cfg.Slots, l.statedSlots)
	}
	return l.cfg.Slots
}

// SetSlots sets the highest level: the smaller of the published value and the rule. At 0 the target gets no work.
// When the highest level grows, only good replies raise the level, except that 0 slots becoming 1 or more sets level 1.
func (l *Limiter) SetSlots(now time.Time, slots int) Change {
	before := l.level
	l.cfg.Slots = max(slots, 0)
	l.level = min(l.level, l.maxLevel())
	switch {
	case l.level < before:
		l.restartCounting(now)
	case l.level == 0 && l.maxLevel() > 0 && l.state != Draining && l.state != Unreachable:
		l.level = coldLevel
		l.state = Cold
		l.restartCounting(now)
	}
	return Change{Lowered: l.level < before, Raised: l.level > before}
}

// NextProbe returns what may be sent now although the level is 0, and records the probe as sent. Only the primary
// dispatcher may call NextProbe, so that a cold target never gets two trials at once.
func (l *Limiter) NextProbe(now time.Time) Probe {
	if l.level > 0 || l.listedLeaving || l.maxLevel() == 0 || now.Sub(l.lastProbe) < l.cfg.ProbeInterval {
		return NoProbe
	}
	l.lastProbe = now
	if l.trialAllowed {
		return ProbeSubRequest
	}
	return ProbeHealth
}

// Level returns how many sub-requests all entry processes together may have running at the target, from 0 to its slots.
func (l *Limiter) Level() int { return l.level }

// State returns the current state.
func (l *Limiter) State() State { return l.state }

// Incarnation returns the current incarnation of the target, or 0 if none is known.
func (l *Limiter) Incarnation() uint64 { return l.incarnation }

// TrialAllowed reports whether the level is 0 and the next probe may be a sub-request.
func (l *Limiter) TrialAllowed() bool {
	return l.level == 0 && l.trialAllowed && !l.listedLeaving && l.maxLevel() > 0
}
