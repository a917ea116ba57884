// Package fanout plans one request: which targets its parts are sent to, which parts are retried or hedged, and when the
// request is answered, possibly without some parts, or given up. The package does no I/O and reads no clock: it takes events
// and returns actions for the calling code to carry out.
//
// # Usage
//
//	p := fanout.New(fanout.Config{}, route, services, picker, now, fanout.Caller{TimeLeft: 600 * time.Millisecond})
//	actions := p.Start(now)
//	actions = p.AttemptEnded(now, attemptID, outcome) // for each attempt that has ended
//	actions = p.Tick(now)                             // at p.NextTick()
//
// A gather request has one part for each shard; any other request has one part. An attempt sends one part to one target. A
// part has one open attempt at a time, unless the attempt is late: then a second attempt, the hedge, is sent to another
// target and the first reply counts. Route.MaxAttempts and the retry budget of the Picker limit the attempts.
//
// # Load patterns
//
// Stragglers: if each target pauses for one attempt in twenty-five, a pause delays one in three requests to ten shards.
// An attempt that takes longer than nearly all others is therefore hedged.
//
// Many late attempts at once: after a start, when the speed of the targets isn't known yet, or while many targets are slow,
// more attempts are late than the retry budget can hedge. Most of them still get a reply in time. Hedges are therefore
// delayed until few parts are open, or until the last moment at which a hedge can reply in time, so that the budget is left
// for the targets that pause.
//
// Late shards: the route's goal is the time within which a caller wants its answer. At the goal, less the time that the
// caller spent before the request arrived and the time that the answer needs to reach the caller, a gather request is
// answered without the missing parts if the parts that have replied reach the coverage that the route requires
// (Route.MinCoverage).
//
// Slow shards: a part whose reply is expected after the goal would be left out of the answer, and its target would do useless
// work while other requests wait there. The slowest of such parts are therefore not sent at all, up to the number of parts
// that the route can do without. A share of them, Config.SlowShardProbability, is sent nevertheless, to find out whether the
// shard is still slow.
//
// Scarce shards: if requests queue at more shards than a request can do without, each request leaves out a random selection of
// them, and is refused before anything is sent if the queues of the others would make it late; see scarce.go.
//
// Refusing targets: while many targets refuse a part of what they are sent, a request may lose more parts after its start. If
// it can't do without as many parts as before, those that were left out as too slow are sent after all: a late answer is worth
// more than none.
//
// Targets in backoff: a target that has asked with Retry-After to receive no requests receives none. If all targets of a
// shard are in backoff, its part waits if the first of them is usable again soon, and is given up otherwise. If the request
// can't succeed without these parts, it is refused at once, with the time at which the targets are usable again.
//
// Rate limits: a part whose targets all have a rate limit, and none of which may get another request now, is given up at once. If
// the request can't do without it, the request is refused before anything is sent, with the time at which it can be served.
//
// Crashing requests: a request during which targets have crashed, and which has succeeded nowhere since, is sent to one
// target at a time, so that the next crash has only one possible cause and takes down only one target. Meanwhile its other
// parts and other copies of the request wait. After one more crash the request is in quarantine, and is refused before
// anything is sent.
//
// Lost shards: the plan doesn't wait for a shard without any usable target. If too many shards are lost, the request is
// refused before any target works on it, with the time after which a retry by the caller can succeed.
package fanout

import (
	"cmp"
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/internal/place"
	"github.com/fuchsiarelay/fuchsiarelay/internal/poison"
	"github.com/fuchsiarelay/fuchsiarelay/internal/table"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/codes"
)

// Config holds the time limits and shares that a Plan works with. Zero fields take the defaults.
type Config struct {
	CallerNetworkTime    time.Duration // part of the goal left for the network round trip to the caller and for sending the answer, if Caller.OneWayTime is unknown
	AnswerSendTime       time.Duration // from the decision to answer until the answer leaves this process
	MinHedgeDelay        time.Duration // an attempt is not hedged before this time
	MaxHedgeDelayShare   float64       // upper bound of the hedge delay, as a share of the time until the answer must leave; of the route's goal for a request with one part
	MaxOpenShareForHedge float64       // largest share of parts that may be open for a hedge to be sent before the last moment
	SlowShardProbability float64       // probability with which a part is sent to a shard that is too slow for the goal, 0..1
	QueuedTimeShare      float64       // share of the time until the answer must leave that a part may take at a scarce shard, if the request can do without the part
	WaitInterval         time.Duration // interval at which a waiting part asks the Picker for a usable target
	DownRetryAfter       time.Duration // Retry-After of a refusal because targets are down
	BusyRetryAfter       time.Duration // Retry-After of a refusal because targets are busy
	MinAttemptTime       time.Duration // no attempt is started with less time than this left
	SuspectWait          time.Duration // longest wait of a part for another attempt of the same suspect request
}

// Defaults of Config.
const (
	// DefaultCallerNetworkTime covers a round trip to a caller 3 ms away, the time until the caller's process is scheduled, and
	// DefaultAnswerSendTime. A value that is too low does more harm than one that is too high: it makes answers late as a
	// whole, whereas a value that is too high only makes some parts miss the answer.
	DefaultCallerNetworkTime = 10 * time.Millisecond
	// DefaultAnswerSendTime covers the time until this process is scheduled, merges the replies and writes the answer, on a
	// shared core.
	DefaultAnswerSendTime = 3 * time.Millisecond
	// DefaultMinHedgeDelay covers a round trip between data centres and the scheduling delay at each end.
	DefaultMinHedgeDelay = 6 * time.Millisecond
	// DefaultMaxHedgeDelayShare leaves the hedge three times the time for which the first attempt ran alone.
	DefaultMaxHedgeDelayShare = 0.25
	// DefaultMaxOpenShareForHedge is the share of attempts that the retry budget of the fleet lets be hedged: a ratio of 0.2,
	// less the two parts that package budget reserves (DefaultUnusedFraction and DefaultFailureFraction).
	DefaultMaxOpenShareForHedge = 0.12
	// urgentHedgeFactor is a multiple of Picker.LateAfter. A hedge that is sent this long before Plan.answerBy nearly always
	// gets its reply in time; a later hedge may not.
	urgentHedgeFactor = 2
	// DefaultSlowShardProbability lets a process find out within a few requests that a shard has recovered.
	DefaultSlowShardProbability = 0.15
	// DefaultQueuedTimeShare keeps the queue of a scarce shard short enough for routes with a lower goal.
	DefaultQueuedTimeShare = 0.4
	DefaultWaitInterval    = 5 * time.Millisecond
	// DefaultDownRetryAfter is the interval at which targets that are down are probed.
	DefaultDownRetryAfter = 500 * time.Millisecond
	// DefaultBusyRetryAfter is the time in which a target processes the requests in its full queue.
	DefaultBusyRetryAfter = 100 * time.Millisecond
	// DefaultSuspectWait is longer than nearly all attempts take, and shorter than the time that callers leave for a retry of
	// their own.
	DefaultSuspectWait = 250 * time.Millisecond
	// DefaultMinAttemptTime is shorter than the fastest reply.
	DefaultMinAttemptTime = 4 * time.Millisecond
)

// Reason says why a request ended as it did, or why a part is missing. It is used in logs and answers.
type Reason string

// Reasons of a Finish or of a missing part.
const (
	ReasonComplete           Reason = "whole"
	ReasonGoalReached        Reason = "goal_reached_with_parts_missing"
	ReasonPartsWithoutTarget Reason = "parts_without_usable_target"
	ReasonNoTargets          Reason = "no_usable_target"
	ReasonBusy               Reason = "targets_busy"
	ReasonFailed             Reason = "target_failed"
	ReasonNoReply            Reason = "no_reply_yet"
	ReasonNotRun             Reason = "send_did_not_run"
	ReasonConnectionLost     Reason = "connection_lost_after_send"
	ReasonDeadline           Reason = "deadline"
	ReasonAttemptsUsedUp     Reason = "attempts_used_up"
	ReasonBudgetUsedUp       Reason = "retry_budget_used_up"
	ReasonShardTooSlow       Reason = "shard_too_slow_for_the_goal"
	ReasonShardsOverloaded   Reason = "shards_overloaded"
	ReasonRunsOnlyOnce       Reason = "may_run_only_once"
	ReasonQuarantined        Reason = "targets_ended_under_it"
	ReasonWaitsForSuspect    Reason = "waits_for_another_send_of_a_suspect_request"
	ReasonTargetsInBackoff   Reason = "targets_asked_to_be_left_alone"
	ReasonRateLimited        Reason = "targets_at_their_rate_limit"
	ReasonTooManyPartsLost   Reason = "too_many_parts_lost"
	ReasonTooFewParts        Reason = "too_few_parts_answered"
)

// maxMissingParts is the largest number of parts that Finish.MissingParts names.
const maxMissingParts = 4

// Action is a step for the code that runs the plan to carry out. Exactly one of Send and Finish is set.
type Action struct {
	Send   *Send
	Finish *Finish
}

// Send asks the code that runs the plan to start an attempt, which is to send one part of the request to a target.
type Send struct {
	AttemptID int // number of the attempt in the plan, for Plan.AttemptEnded
	Part      int
	Service   string
	Target    *table.Target
	TimeLeft  time.Duration  // until the deadline of the request
	Deadline  time.Time      // of the request when the attempt was planned
	Expected  place.Estimate // as estimated by the Picker
	Repeated  bool           // not the first attempt of the part
	Hedge     bool           // another attempt of the part is still open
	// The plan leaves the fields below empty. The code that runs the plan sets them.
	VerifyNew    bool     // see pool.Request
	Unassigned   bool     // the target is assigned to other processes (place.Unassigned)
	Fingerprints []uint64 // fingerprints of the request that the attempt sends
}

// Finish ends the plan. The replies of attempts that are still open are not needed any more. Code is one of codes.Complete
// and Partial, TargetFailed (the reply of the failed attempt is delivered), NoTarget, Overloaded and Quarantined (not run),
// OutcomeUnknown and DeadlineRunning (may have run).
type Finish struct {
	Code          codes.Code
	Reason        Reason
	LastFailure   Reason        // how the latest failed attempt of the last given-up part ended; empty if there is none
	AttemptIDs    []int         // attempts whose replies make the answer, one for each part that has replied
	MissingCount  int           // number of parts that the answer lacks
	MissingParts  []string      // some of the missing parts, each with the reason: "shard-07:no_usable_target"
	BudgetDenials int           // attempts that the retry budget refused
	RateLimited   []string      // services of parts that were given up because their targets are at their rate limits
	RetryAfter    time.Duration // set with codes that say that the request has not run
}

// Caller describes the caller of a request.
type Caller struct {
	TimeLeft   time.Duration // how long the caller still waits
	TimeSpent  time.Duration // how long the caller had waited when it sent the request; 0: not at all, or unknown
	OneWayTime time.Duration // one-way network latency between the caller and this process; 0: unknown
}

// Picker chooses targets and accounts for the retry budget.
type Picker interface {
	// Pick returns a target of the service whose ID isn't in tried, and the predicted time of an attempt there. If no target
	// is usable now, Pick returns nil and the reason; for place.InBackoff and place.RateLimited, Estimate.Time is then the time
	// until a target is usable again.
	Pick(now time.Time, service string, tried []string) (*table.Target, place.Estimate, place.Availability)
	// TakeRetry takes one more attempt at the service from the retry budget, and returns false if none is left. If failed is
	// true, the attempt replaces a failed one; otherwise it is a hedge.
	TakeRetry(now time.Time, service string, failed bool) bool
	// ReturnRetry returns an attempt to the retry budget, because nothing of it has reached a target.
	ReturnRetry(now time.Time, service string)
	// RecordFirstAttempt records the first attempt of a part at a service. The retry budget grows with the number of first
	// attempts.
	RecordFirstAttempt(now time.Time, service string)
	// Suspicion returns whether the request is suspected of crashing the targets of the service.
	Suspicion(now time.Time, service string) Suspicion
	// RandomBool returns true with probability p.
	RandomBool(p float64) bool
	// Shuffle shuffles n elements at random.
	Shuffle(n int, swap func(i, j int))
	// RandomFactor returns a random number from 1-width/2 to 1+width/2.
	RandomFactor(width float64) float64
	// LateAfter returns a duration that few attempts exceed. An attempt that takes longer is late.
	LateAfter() time.Duration
}

// Suspicion describes the suspicion that a request crashes targets. It combines the suspicion of the request at one service
// with that of the whole request, and has the more severe status of the two.
type Suspicion struct {
	Status        poison.Status
	WholeRequest  bool      // the suspicion concerns all parts of the request
	Running       bool      // an attempt of the same request, sent by this process, is running somewhere
	QuarantineEnd time.Time // set only if Status is Quarantined
}

// part holds the state of one part of the request.
type part struct {
	service          string
	triedTargets     []string  // IDs of the targets of all attempts
	possibleRuns     int       // attempts that a target may have run
	possibleArrivals int       // attempts of which any byte may have reached a target
	openAttempts     int       // attempts without a result
	hedgeDelayStart  time.Time // start of the hedge delay: the latest attempt, or the latest hedge that could not be sent
	hasReply         bool      // a good reply has arrived
	givenUp          bool      // no more attempts are started; the part has no reply and no open attempt
	leftOut          bool      // the part is given up because its shard is too slow for the goal
	failedAttempt    int       // an attempt that the target ran and failed, or -1
	waiting          bool      // the part has no open attempt and looks for a target at each Tick
	reason           Reason    // why the part is given up or waits
	suspectWaitStart time.Time // since when the part waits for another attempt of a suspect request; zero: not waiting for one
	retryAt          time.Time // when a target in backoff or at its rate limit is usable again, or the quarantine ends
	lastFailure      Reason    // how the latest attempt without success ended
}

// attempt holds the state of one attempt.
type attempt struct {
	part       int
	open       bool
	tookBudget bool // it was taken from the retry budget
}

// Plan is the state of one request. Use New.
type Plan struct {
	cfg               Config
	route             *table.Route
	picker            Picker
	now               time.Time // of the latest event
	deadline          time.Time
	answerBy          time.Time     // when the answer of a gather request must leave this process to meet the route's goal; zero: no goal
	maxHedgeDelay     time.Duration // upper bound of the hedge delay, zero: none; also the longest wait for a target in backoff, zero: no wait
	parts             []part
	attempts          []attempt
	answeringAttempts []int // for each part, the attempt whose reply answered it, or -1
	finished          bool
	budgetDenials     int  // attempts that the retry budget refused
	starting          bool // Start is running: its sends have not been returned yet
}

// New returns the plan of a request. Services has one entry for each part. The deadline of the request is the end of the
// caller's remaining time, or the timeout of the route if that is shorter.
func New(cfg Config, route *table.Route, services []string, picker Picker, now time.Time, caller Caller) *Plan {
	cfg.CallerNetworkTime = cmp.Or(cfg.CallerNetworkTime, DefaultCallerNetworkTime)
	cfg.AnswerSendTime = cmp.Or(cfg.AnswerSendTime, DefaultAnswerSendTime)
	cfg.MinHedgeDelay = cmp.Or(cfg.MinHedgeDelay, DefaultMinHedgeDelay)
	cfg.MaxHedgeDelayShare = cmp.Or(cfg.MaxHedgeDelayShare, DefaultMaxHedgeDelayShare)
	cfg.MaxOpenShareForHedge = cmp.Or(cfg.MaxOpenShareForHedge, DefaultMaxOpenShareForHedge)
	cfg.SlowShardProbability = cmp.Or(cfg.SlowShardProbability, DefaultSlowShardProbability)
	cfg.QueuedTimeShare = cmp.Or(cfg.QueuedTimeShare, DefaultQueuedTimeShare)
	cfg.WaitInterval = cmp.Or(cfg.WaitInterval, DefaultWaitInterval)
	cfg.DownRetryAfter = cmp.Or(cfg.DownRetryAfter, DefaultDownRetryAfter)
	cfg.BusyRetryAfter = cmp.Or(cfg.BusyRetryAfter, DefaultBusyRetryAfter)
	cfg.MinAttemptTime = cmp.Or(cfg.MinAttemptTime, DefaultMinAttemptTime)
	cfg.SuspectWait = cmp.Or(cfg.SuspectWait, DefaultSuspectWait)
	timeLeft := caller.TimeLeft
	if route.Timeout > 0 {
		timeLeft = min(timeLeft, route.Timeout)
	}
	p := &Plan{cfg: cfg, route: route, picker: picker, deadline: now.Add(timeLeft), parts: make([]part, len(services)), answeringAttempts: make([]int, len(services))}
	if route.LatencyGoal > 0 && len(route.Gather) > 0 {
		p.answerBy = now.Add(cfg.answerTimeLeft(route.LatencyGoal, caller))
		p.maxHedgeDelay = time.Duration(cfg.MaxHedgeDelayShare * float64(p.answerBy.Sub(now)))
	} else if route.LatencyGoal > 0 {
		p.maxHedgeDelay = time.Duration(cfg.MaxHedgeDelayShare * float64(route.LatencyGoal))
	}
	for i, s := range services {
		p.parts[i] = part{service: s, failedAttempt: -1}
		p.answeringAttempts[i] = -1
	}
	return p
}

// answerTimeLeft returns the time within which an answer must leave this process to reach the caller by the goal. If no time
// is left, answerTimeLeft ignores the time that the caller spent before the request arrived: the caller then gets a late
// answer, but with as many parts as other callers get.
func (cfg *Config) answerTimeLeft(goal time.Duration, caller Caller) time.Duration {
	margin := cfg.CallerNetworkTime
	if caller.OneWayTime > 0 {
		margin = 2*caller.OneWayTime + cfg.AnswerSendTime
	}
	if left := goal - caller.TimeSpent - margin; left > 0 {
		return left
	}
	return max(goal-margin, 0)
}

// Deadline returns the time by which the request has its final answer.
func (p *Plan) Deadline() time.Time { return p.deadline }

// LimitDeadline moves the deadline of the request to the given time, if that is earlier.
func (p *Plan) LimitDeadline(t time.Time) {
	if t.Before(p.deadline) {
		p.deadline = t
	}
}

// Start returns the first attempt of each part, or the Finish of a request that can't be served.
func (p *Plan) Start(now time.Time) []Action {
	p.now = now
	p.starting = true
	defer func() { p.starting = false }()
	var out []Action
	for i := range p.parts {
		out = p.startAttempt(now, i, out)
	}
	out = p.leaveOutParts(now, out)
	if f := p.overloadFinish(now, out); f != nil {
		p.attempts = nil
		return p.appendFinish(nil, f)
	}
	if f := p.dueFinish(now); f != nil {
		if len(out) > 0 && f.Code.Ran() == codes.NotRun {
			// Nothing has been sent yet, so the sends are dropped.
			out = nil
			p.attempts = nil
		}
		return p.appendFinish(out, f)
	}
	for i := range p.parts {
		if p.parts[i].openAttempts > 0 {
			p.picker.RecordFirstAttempt(now, p.parts[i].service)
		}
	}
	return out
}

// appendFinish ends the plan: it completes f with the missing parts and appends it to the actions.
func (p *Plan) appendFinish(out []Action, f *Finish) []Action {
	p.finished = true
	f.BudgetDenials = p.budgetDenials
	for i := range p.parts {
		part := &p.parts[i]
		if part.hasReply {
			continue
		}
		if part.givenUp && part.lastFailure != "" {
			f.LastFailure = part.lastFailure
		}
		if len(p.route.Gather) > 0 && len(f.MissingParts) < maxMissingParts {
			f.MissingParts = append(f.MissingParts, part.service+":"+string(part.missingReason()))
		}
	}
	return append(out, Action{Finish: f})
}

// Finished reports whether the plan has ended.
func (p *Plan) Finished() bool { return p.finished }

// missingReason returns the reason why the part is missing from the answer.
func (part *part) missingReason() Reason {
	switch {
	case part.givenUp || part.waiting:
		return part.reason
	case part.openAttempts > 0:
		return ReasonNoReply
	}
	return cmp.Or(part.lastFailure, part.reason)
}

// startAttempt appends the Send of a new attempt of part i to the actions, if a target is usable and the limits allow the
// attempt. Otherwise a part without an open attempt waits or is given up, but if less than Config.MinAttemptTime is left, it
// only stops waiting.
func (p *Plan) startAttempt(now time.Time, i int, out []Action) []Action {
	part := &p.parts[i]
	part.waiting = false
	timeLeft := p.deadline.Sub(now)
	if timeLeft < p.cfg.MinAttemptTime {
		return out
	}
	if part.possibleRuns >= max(p.route.MaxAttempts, 1) {
		p.giveUp(part, ReasonAttemptsUsedUp)
		return out
	}
	if !p.checkSuspicion(now, part) {
		return out
	}
	repeated := len(part.triedTargets) > 0
	t, expected, availability := p.picker.Pick(now, part.service, part.triedTargets)
	if t == nil {
		p.waitOrGiveUp(now, part, availability, expected.Time)
		return out
	}
	if part.openAttempts > 0 && !p.answerBy.IsZero() && now.Before(p.answerBy) && now.Add(expected.Time).After(p.answerBy) {
		return out // the reply to a hedge would arrive after the goal as well
	}
	// An attempt of which nothing reached a target put no load on the service, so the next attempt needs no retry budget.
	tookBudget := repeated && part.possibleArrivals > 0
	if tookBudget && !p.picker.TakeRetry(now, part.service, part.openAttempts == 0) {
		p.budgetDenials++
		p.giveUp(part, ReasonBudgetUsedUp)
		return out
	}
	send := p.newSend(now, i, t, timeLeft, repeated, expected)
	p.attempts[send.AttemptID].tookBudget = tookBudget
	return append(out, Action{Send: send})
}

// checkSuspicion reports whether the part may be sent now: a request that is suspected of crashing targets runs on one
// target at a time, and a request in quarantine runs on none. If the part may not be sent and has no open attempt,
// checkSuspicion makes it wait or gives it up.
func (p *Plan) checkSuspicion(now time.Time, part *part) bool {
	s := p.picker.Suspicion(now, part.service)
	running := s.Running || part.openAttempts > 0 || s.WholeRequest && p.openParts() > 0
	switch {
	case s.Status == poison.Clear || s.Status == poison.Suspect && !running:
		part.suspectWaitStart = time.Time{}
		return true
	case s.Status == poison.Quarantined:
		part.retryAt = s.QuarantineEnd
		p.giveUp(part, ReasonQuarantined)
		return false
	case part.openAttempts > 0:
		return false
	case part.suspectWaitStart.IsZero():
		part.suspectWaitStart = now
	case now.Sub(part.suspectWaitStart) >= p.cfg.SuspectWait:
		p.giveUp(part, ReasonWaitsForSuspect)
		return false
	}
	part.waiting = true
	part.reason = ReasonWaitsForSuspect
	return false
}

// waitOrGiveUp handles a part for which no target is usable now: the part waits if a target may be usable soon, and is given
// up otherwise. The time until a target in backoff is usable again is usableIn.
func (p *Plan) waitOrGiveUp(now time.Time, part *part, availability place.Availability, usableIn time.Duration) {
	switch {
	case part.openAttempts > 0:
	case availability == place.Busy:
		part.waiting = true
		part.reason = ReasonBusy
	case availability == place.InBackoff:
		part.retryAt = now.Add(usableIn)
		part.reason = ReasonTargetsInBackoff
		if part.waiting = usableIn <= p.maxHedgeDelay; !part.waiting {
			p.giveUp(part, ReasonTargetsInBackoff)
		}
	case availability == place.RateLimited:
		part.retryAt = now.Add(usableIn)
		p.giveUp(part, ReasonRateLimited)
	case part.lastFailure == ReasonNotRun:
		// All targets have refused the part.
		p.giveUp(part, ReasonBusy)
	default:
		p.giveUp(part, ReasonNoTargets)
	}
}

// giveUp gives up a part for the given reason, unless an attempt of the part is still open.
func (p *Plan) giveUp(part *part, reason Reason) {
	if part.openAttempts == 0 {
		part.givenUp = true
		part.reason = reason
	}
}

// newSend records an attempt of part i at target t and returns its Send.
func (p *Plan) newSend(now time.Time, i int, t *table.Target, timeLeft time.Duration, repeated bool, expected place.Estimate) *Send {
	part := &p.parts[i]
	part.triedTargets = append(part.triedTargets, t.ID)
	part.possibleRuns++
	part.possibleArrivals++
	part.openAttempts++
	part.hedgeDelayStart = now
	p.attempts = append(p.attempts, attempt{part: i, open: true})
	return &Send{AttemptID: len(p.attempts) - 1, Part: i, Service: part.service, Target: t, TimeLeft: timeLeft, Deadline: p.deadline, Repeated: repeated, Hedge: part.openAttempts > 1, Expected: expected}
}

// AttemptEnded records how the attempt with the given number ended, and returns the actions that follow from it.
func (p *Plan) AttemptEnded(now time.Time, attemptID int, outcome place.Outcome) []Action {
	if p.finished || !p.attempts[attemptID].open {
		return nil
	}
	p.now = now
	p.attempts[attemptID].open = false
	i := p.attempts[attemptID].part
	part := &p.parts[i]
	part.openAttempts--
	var out []Action
	switch outcome {
	case place.Answered:
		part.hasReply = true
		p.answeringAttempts[i] = attemptID
	case place.Failed:
		part.failedAttempt = attemptID
		out = p.retry(now, i, ReasonFailed, out)
	case place.Refused, place.Replaced, place.NotSent:
		part.possibleRuns--
		if outcome == place.NotSent {
			part.possibleArrivals--
			if p.attempts[attemptID].tookBudget {
				p.picker.ReturnRetry(now, part.service)
			}
		}
		part.lastFailure = ReasonNotRun
		if !part.hasReply && part.openAttempts == 0 {
			out = p.startAttempt(now, i, out)
		}
	case place.Broken, place.NoReply:
		out = p.retry(now, i, ReasonConnectionLost, out)
	}
	out = p.sendLeftOutParts(now, out)
	if f := p.dueFinish(now); f != nil {
		return p.appendFinish(out, f)
	}
	return out
}

// retry starts another attempt of part i after one that the target may have run, unless the part has a reply or another open
// attempt. If the part may run only once (the route's kind is not table.Safe), retry gives it up instead.
func (p *Plan) retry(now time.Time, i int, reason Reason, out []Action) []Action {
	part := &p.parts[i]
	part.lastFailure = reason
	switch {
	case part.hasReply || part.openAttempts > 0:
	case p.route.Kind != table.Safe:
		p.giveUp(part, ReasonRunsOnlyOnce)
	default:
		out = p.startAttempt(now, i, out)
	}
	return out
}

// Tick returns the actions that are due at the given time: attempts of waiting parts, hedges, and the answer or the failure
// of the request at its goal or deadline.
func (p *Plan) Tick(now time.Time) []Action {
	if p.finished {
		return nil
	}
	p.now = now
	var out []Action
	hedgeTime := p.hedgeTimeFunc()
	for i := range p.parts {
		part := &p.parts[i]
		switch {
		case part.hasReply || part.givenUp:
		case part.waiting:
			out = p.startAttempt(now, i, out)
			if part.openAttempts > 0 && len(part.triedTargets) == 1 {
				p.picker.RecordFirstAttempt(now, part.service)
			}
		case part.openAttempts == 1 && p.mayHedge(part) && !now.Before(hedgeTime(part)):
			out = p.startAttempt(now, i, out)
			if part.openAttempts == 1 {
				// No hedge can be sent now. The hedge delay starts again, because asking at each tick would only cost time.
				part.hedgeDelayStart = now
			}
		}
	}
	out = p.sendLeftOutParts(now, out)
	if f := p.dueFinish(now); f != nil {
		return p.appendFinish(out, f)
	}
	return out
}

// mayHedge reports whether the route allows one more attempt of the part beside an open one.
func (p *Plan) mayHedge(part *part) bool {
	return p.route.Kind == table.Safe && part.possibleRuns < p.route.MaxAttempts
}

// hedgeTimeFunc returns a function that returns the time from which a part may be hedged. The result depends on the number
// of open parts and on Picker.LateAfter, so the function is valid only until the next event.
func (p *Plan) hedgeTimeFunc() func(part *part) time.Time {
	lateAfter := p.picker.LateAfter()
	hedgeDelay := lateAfter
	if p.maxHedgeDelay > 0 {
		hedgeDelay = min(hedgeDelay, p.maxHedgeDelay)
	}
	hedgeDelay = max(hedgeDelay, p.cfg.MinHedgeDelay)
	var earliest time.Time
	if !p.answerBy.IsZero() && p.openParts() > max(int(p.cfg.MaxOpenShareForHedge*float64(len(p.parts))), 1) {
		earliest = p.answerBy.Add(-urgentHedgeFactor * lateAfter)
	}
	return func(part *part) time.Time {
		if at := part.hedgeDelayStart.Add(hedgeDelay); at.After(earliest) {
			return at
		}
		return earliest
	}
}

// openParts returns the number of parts that have an open attempt and no reply.
func (p *Plan) openParts() (n int) {
	for i := range p.parts {
		if part := &p.parts[i]; !part.hasReply && part.openAttempts > 0 {
			n++
		}
	}
	return n
}

// NextTick returns the time at which Tick is next due. It calls Picker.LateAfter.
func (p *Plan) NextTick() time.Time {
	nextTick := p.deadline
	tickBy := func(t time.Time) {
		if t.Before(nextTick) {
			nextTick = t
		}
	}
	if !p.answerBy.IsZero() && p.answerBy.After(p.now) {
		tickBy(p.answerBy)
	}
	hedgeTime := p.hedgeTimeFunc()
	for i := range p.parts {
		part := &p.parts[i]
		switch {
		case part.hasReply || part.givenUp:
		case part.waiting:
			tickBy(p.now.Add(p.cfg.WaitInterval))
		case part.openAttempts == 1 && p.mayHedge(part):
			tickBy(hedgeTime(part))
		}
	}
	return nextTick
}
