// Package quest is the plan of one request: which targets it is sent to, what is sent again, when it is answered with
// what there is, and when it is given up. It is pure: events in, actions out.
//
// # Usage
//
//	p := quest.New(quest.Config{}, route, services, picker, now, quest.Caller{Patience: 600 * time.Millisecond})
//	actions := p.Start(now)
//	actions = p.Done(now, try, reply)   // for each send
//	actions = p.Tick(now)               // at p.Wake()
//
// A gather request has one part for each shard; any other request has one part. A part is sent to one target at a
// time, except that a late send is backed by a second one, within Route.Attempts and the budget of the Picker.
//
// # Load patterns
//
// Stragglers: with ten shards and targets that pause one time in twenty-five, four requests in ten meet a pause.
// A send that has taken longer than nearly all do is repeated at another target; the first reply counts.
//
// Many late sends at once: targets whose speed isn't known yet, or a slow spell, make more sends late than the budget can
// back. Most of them reply in time all the same. Second sends wait until few parts are open, or it is urgent, so that the
// budget is left for the targets that pause.
//
// Late shards: at the route's goal, less what the caller spent before the request arrived and the time that an answer needs
// to reach it, a gather request that covers the route's least share is answered as it is and says what is missing.
//
// Overloaded shards: a part that is expected to come after the goal would only be left out of the answer then, and its
// target would work for nothing while others wait there. Up to the number of parts that the route can do without, the
// slowest of these are left out at once, except for a few that show whether the shard is still slow.
//
// Muted shards: targets that have asked to be left alone get nothing. A part waits if the first of them is back soon, and is
// left out otherwise; if too many are, the request is refused at once, with the time at which they are back.
//
// Crashing requests: a request under which targets have ended, and which has succeeded nowhere, is sent to one target at a time,
// so that the next end has one explanation and costs one target; the other parts and copies wait for it. After one more it is
// in quarantine, and refused before anything is sent.
//
// Lost shards: a shard without any usable target is not waited for. If too many are lost, the request is refused
// before any target works on it, with the time after which trying again makes sense.
package quest

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/internal/place"
	"github.com/fuchsiarelay/fuchsiarelay/internal/poison"
	"github.com/fuchsiarelay/fuchsiarelay/internal/table"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/codes"
)

// Config holds the weights. Zero fields take the defaults.
type Config struct {
	AnswerTime time.Duration // that a request and its answer need to and from the caller, where that isn't known
	WakeTime   time.Duration // that an answer needs to leave this process
	HedgeFloor time.Duration // no send is backed by a second one sooner
	HedgeShare float64       // of the time until the answer must leave; a send is backed by a second one after it at the latest
	HedgeMost  float64       // share of the parts that may be open for a second send to be made before it is urgent
	TrySlow    float64       // share of the sends to shards that are too slow, 0..1
	WaitStep   time.Duration // a part without a usable target looks again this often
	DownAfter  time.Duration // Retry-After when targets are out
	BusyAfter  time.Duration // Retry-After when targets have no room
	MinTry     time.Duration // a send with less time than this is not made
	HoldFor    time.Duration // a part waits this long for what a send of the same suspect request shows
}

// Defaults of Config.
const (
	// DefaultAnswerTime is a round trip to a caller 3 ms away, a wake-up at its end, and DefaultWakeTime. Too little is worse
	// than too much: it makes whole answers late.
	DefaultAnswerTime = 10 * time.Millisecond
	// DefaultWakeTime is a wake-up, a merge and a write on a shared core.
	DefaultWakeTime = 3 * time.Millisecond
	// DefaultHedgeFloor is a round trip between data centres and a wake-up at each end.
	DefaultHedgeFloor = 6 * time.Millisecond
	// DefaultHedgeShare leaves the second send three times the time of the first.
	DefaultHedgeShare = 0.25
	// DefaultHedgeMost is what the budget of a fleet allows for each request, a ratio of 0.2 less margins.
	DefaultHedgeMost = 0.12
	// urgentTimes the time that few sends exceed, before the goal, is the last moment at which a second send comes in time.
	urgentTimes = 2
	// DefaultTrySlow shows a process within some requests that a shard has recovered.
	DefaultTrySlow  = 0.15
	DefaultWaitStep = 5 * time.Millisecond
	// DefaultDownAfter is the interval at which targets that are out are probed.
	DefaultDownAfter = 500 * time.Millisecond
	// DefaultBusyAfter is the time in which a full queue of a target drains.
	DefaultBusyAfter = 100 * time.Millisecond
	// DefaultHoldFor is above the time of nearly all sends, and below the time that callers spare for a second attempt.
	DefaultHoldFor = 250 * time.Millisecond
	// DefaultMinTry is below the fastest reply.
	DefaultMinTry = 4 * time.Millisecond
)

// Reason says why a request ended as it did, for logs.
type Reason string

// Reasons.
const (
	ReasonWhole       Reason = "whole"
	ReasonGoal        Reason = "goal_reached_with_parts_missing"
	ReasonLost        Reason = "parts_without_usable_target"
	ReasonNoTargets   Reason = "no_usable_target"
	ReasonBusy        Reason = "targets_busy"
	ReasonFailed      Reason = "target_failed"
	ReasonNoReply     Reason = "no_reply_yet"
	ReasonRefused     Reason = "send_did_not_run"
	ReasonBroken      Reason = "connection_lost_after_send"
	ReasonDeadline    Reason = "deadline"
	ReasonAttempts    Reason = "attempts_used_up"
	ReasonBudget      Reason = "retry_budget_used_up"
	ReasonSlow        Reason = "shard_too_slow_for_the_goal"
	ReasonUnsafe      Reason = "may_run_only_once"
	ReasonQuarantined Reason = "targets_ended_under_it"
	ReasonSuspect     Reason = "waits_for_another_send_of_a_suspect_request"
	ReasonMuted       Reason = "targets_asked_to_be_left_alone"
	ReasonUnservable  Reason = "too_many_parts_lost"
	ReasonLeastFailed Reason = "too_few_parts_answered"
)

// maxMissed bounds the parts that Finish.Missed names.
const maxMissed = 4

// Action is what the caller of the plan must do. Exactly one of Send and Finish is set.
type Action struct {
	Send   *Send
	Finish *Finish
}

// Send asks to send the request to a target.
type Send struct {
	Try      int
	Part     int
	Service  string
	Target   *table.Target
	Left     time.Duration // that the target may take
	Expected time.Duration // that the reply will take
	Again    bool          // not the first send of the part
	Hedge    bool          // backs up one that is still open
	// For the caller of the plan: the target is left to other processes; fingerprints of what the send runs.
	Foreign      bool
	Fingerprints []uint64
}

// Finish ends the plan. Sends that are still open are not needed any more. Code is one of codes.Complete and Partial,
// TargetFailed (the reply of the only try is delivered), NoTarget and Overloaded (not run), OutcomeUnknown and
// DeadlineRunning (may have run).
type Finish struct {
	Code       codes.Code
	Reason     Reason
	After      Reason // how the last send ended that made the plan give up a part
	Tries      []int  // whose replies make the answer, one for each covered part
	Missing    int
	Missed     []string      // some of the missing parts, each with the reason: "shard-07:no_usable_target"
	Denied     int           // sends that the budget refused
	RetryAfter time.Duration // with a code that says not run
}

// Caller is what is known of the caller of a request.
type Caller struct {
	Patience time.Duration // how long it still waits
	Spent    time.Duration // what it had spent when it sent the request; 0: nothing, or unknown
	Way      time.Duration // one way between it and this process; 0: unknown
}

// Picker chooses targets and keeps the budget.
type Picker interface {
	// Pick returns a target for the service and the time that a send to it is expected to take; nil and the reason if
	// there is none now, with the time until there is one again if the reason is place.Muted.
	Pick(now time.Time, service string, tried []string) (*table.Target, time.Duration, place.Standing)
	// Repeat takes one more send to the service from the budget. Failed says that it replaces one that has failed.
	Repeat(now time.Time, service string, failed bool) bool
	// First counts the first send to a service.
	First(now time.Time, service string)
	// Suspicion says whether targets have ended under the request.
	Suspicion(now time.Time, service string) Suspicion
	// Chance returns true with a probability.
	Chance(p float64) bool
	// Late returns the time after which a send is later than nearly all.
	Late() time.Duration
}

// Suspicion is what the ends of targets say of a request at one service, or of the whole request, whichever is worse.
type Suspicion struct {
	Standing poison.Standing
	Whole    bool      // it concerns all parts of the request
	Running  bool      // a copy is running somewhere, sent by this process
	Until    time.Time // end of the quarantine
}

type part struct {
	service string
	tried   []string // targets of all sends
	ran     int      // sends that the target may have run
	arrived int      // sends of which something may have reached the target
	open    int
	sentAt  time.Time // latest send
	done    bool
	lost    bool
	failed  int // a try with a target's own failure, or -1
	waiting bool
	why     Reason    // why it is lost or waits
	held    time.Time // since when it waits for another send of the request
	back    time.Time // when its targets may be used again, if they have asked to be left alone, or the end of the quarantine
	after   Reason    // how its last send ended
}

type try struct {
	part int
	open bool
}

// Plan is the state of one request. Use New.
type Plan struct {
	cfg        Config
	route      *table.Route
	picker     Picker
	now        time.Time // of the latest event
	deadline   time.Time
	goal       time.Time     // zero: none
	hedgeAfter time.Duration // a send is backed by a second one after it at the latest; zero: no bound
	parts      []part
	tries      []try
	good       []int // a try for each part, or -1
	finished   bool
	denied     int  // sends that the budget refused
	starting   bool // the sends of Start haven't been handed out
}

// New returns the plan of a request. Services has one entry for each part. The route's time-out bounds the caller's patience.
func New(cfg Config, route *table.Route, services []string, picker Picker, now time.Time, caller Caller) *Plan {
	cfg.AnswerTime = cmp.Or(cfg.AnswerTime, DefaultAnswerTime)
	cfg.WakeTime = cmp.Or(cfg.WakeTime, DefaultWakeTime)
	cfg.HedgeFloor = cmp.Or(cfg.HedgeFloor, DefaultHedgeFloor)
	cfg.HedgeShare = cmp.Or(cfg.HedgeShare, DefaultHedgeShare)
	cfg.HedgeMost = cmp.Or(cfg.HedgeMost, DefaultHedgeMost)
	cfg.TrySlow = cmp.Or(cfg.TrySlow, DefaultTrySlow)
	cfg.WaitStep = cmp.Or(cfg.WaitStep, DefaultWaitStep)
	cfg.DownAfter = cmp.Or(cfg.DownAfter, DefaultDownAfter)
	cfg.BusyAfter = cmp.Or(cfg.BusyAfter, DefaultBusyAfter)
	cfg.MinTry = cmp.Or(cfg.MinTry, DefaultMinTry)
	cfg.HoldFor = cmp.Or(cfg.HoldFor, DefaultHoldFor)
	patience := caller.Patience
	if route.Timeout > 0 {
		patience = min(patience, route.Timeout)
	}
	p := &Plan{cfg: cfg, route: route, picker: picker, deadline: now.Add(patience), parts: make([]part, len(services)), good: make([]int, len(services))}
	if route.Goal > 0 && len(route.Gather) > 0 {
		p.goal = now.Add(cfg.room(route.Goal, caller))
		p.hedgeAfter = time.Duration(cfg.HedgeShare * float64(p.goal.Sub(now)))
	} else if route.Goal > 0 {
		p.hedgeAfter = time.Duration(cfg.HedgeShare * float64(route.Goal))
	}
	for i, s := range services {
		p.parts[i] = part{service: s, failed: -1}
		p.good[i] = -1
	}
	return p
}

// room returns the time in which an answer is still in time for the caller. If there is none left, it is that of a request
// that has just begun: the caller gets a late answer, with as many parts.
func (cfg *Config) room(goal time.Duration, caller Caller) time.Duration {
	answer := cfg.AnswerTime
	if caller.Way > 0 {
		answer = 2*caller.Way + cfg.WakeTime
	}
	if left := goal - caller.Spent - answer; left > 0 {
		return left
	}
	return max(goal-answer, 0)
}

// Deadline returns when the request has its final answer at the latest.
func (p *Plan) Deadline() time.Time { return p.deadline }

// Start returns the first sends, or the refusal of a request that can't be served.
func (p *Plan) Start(now time.Time) []Action {
	p.now = now
	p.starting = true
	defer func() { p.starting = false }()
	var out []Action
	for i := range p.parts {
		out = p.dispatch(now, i, out)
	}
	out = p.spare(now, out)
	if f := p.judge(now); f != nil {
		if len(out) > 0 && f.Code.Ran() == codes.NotRun {
			// Nothing has been sent yet: the sends are dropped.
			out = nil
			p.tries = nil
		}
		return p.finish(out, f)
	}
	for i := range p.parts {
		if p.parts[i].open > 0 {
			p.picker.First(now, p.parts[i].service)
		}
	}
	return out
}

func (p *Plan) finish(out []Action, f *Finish) []Action {
	p.finished = true
	f.Denied = p.denied
	for i := range p.parts {
		part := &p.parts[i]
		if part.done {
			continue
		}
		if part.lost && part.after != "" {
			f.After = part.after
		}
		if len(p.route.Gather) > 0 && len(f.Missed) < maxMissed {
			f.Missed = append(f.Missed, part.service+":"+string(part.state()))
		}
	}
	return append(out, Action{Finish: f})
}

// Finished reports whether the plan has ended.
func (p *Plan) Finished() bool { return p.finished }

// state says why a part is missing.
func (part *part) state() Reason {
	switch {
	case part.lost || part.waiting:
		return part.why
	case part.open > 0:
		return ReasonNoReply
	}
	return part.after
}

// dispatch sends a part to a target if one is usable.
func (p *Plan) dispatch(now time.Time, i int, out []Action) []Action {
	part := &p.parts[i]
	part.waiting = false
	left := p.deadline.Sub(now)
	if left < p.cfg.MinTry {
		return out
	}
	if part.ran >= max(p.route.Attempts, 1) {
		p.lose(part, ReasonAttempts)
		return out
	}
	if !p.mayRun(now, part) {
		return out
	}
	again := len(part.tried) > 0
	t, expected, standing := p.picker.Pick(now, part.service, part.tried)
	if t == nil {
		p.wait(now, part, standing, expected)
		return out
	}
	if part.open > 0 && !p.goal.IsZero() && now.Before(p.goal) && now.Add(expected).After(p.goal) {
		return out // a second send would come too late as well
	}
	// A send of which nothing has arrived is no load on the service; the next one is the first there.
	if again && part.arrived > 0 && !p.picker.Repeat(now, part.service, part.open == 0) {
		p.denied++
		p.lose(part, ReasonBudget)
		return out
	}
	return append(out, Action{Send: p.send(now, i, t, left, again, expected)})
}

// mayRun reports whether a part may be sent now, as far as targets have not ended under the request. If not, the part is lost
// or waits.
func (p *Plan) mayRun(now time.Time, part *part) bool {
	s := p.picker.Suspicion(now, part.service)
	running := s.Running || part.open > 0 || s.Whole && p.open() > 0
	switch {
	case s.Standing == poison.Clear || s.Standing == poison.Suspect && !running:
		part.held = time.Time{}
		return true
	case s.Standing == poison.Blocked:
		part.back = s.Until
		p.lose(part, ReasonQuarantined)
		return false
	case part.open > 0:
		return false
	case part.held.IsZero():
		part.held = now
	case now.Sub(part.held) >= p.cfg.HoldFor:
		p.lose(part, ReasonSuspect)
		return false
	}
	part.waiting = true
	part.why = ReasonSuspect
	return false
}

// wait decides what becomes of a part without a target: it waits if one may be usable soon.
func (p *Plan) wait(now time.Time, part *part, standing place.Standing, usable time.Duration) {
	switch {
	case part.open > 0:
	case standing == place.Busy:
		part.waiting = true
		part.why = ReasonBusy
	case standing == place.Muted:
		part.back = now.Add(usable)
		part.why = ReasonMuted
		if part.waiting = usable <= p.hedgeAfter; !part.waiting {
			p.lose(part, ReasonMuted)
		}
	case part.after == ReasonRefused:
		// All have refused it.
		p.lose(part, ReasonBusy)
	default:
		p.lose(part, ReasonNoTargets)
	}
}

// spare takes back the first sends of the slowest parts that would come after the goal, as far as the route can do
// without them.
func (p *Plan) spare(now time.Time, out []Action) []Action {
	if p.goal.IsZero() {
		return out
	}
	lost := 0
	for i := range p.parts {
		if p.parts[i].lost {
			lost++
		}
	}
	spare := len(p.parts) - p.need() - lost
	slow := slices.Clone(out)
	slow = slices.DeleteFunc(slow, func(a Action) bool { return !now.Add(a.Send.Expected).After(p.goal) })
	slices.SortFunc(slow, func(a, b Action) int { return cmp.Compare(b.Send.Expected, a.Send.Expected) })
	for _, a := range slow[:max(min(spare, len(slow)), 0)] {
		if p.picker.Chance(p.cfg.TrySlow) {
			continue
		}
		part := &p.parts[a.Send.Part]
		part.tried, part.ran, part.arrived, part.open = nil, 0, 0, 0
		p.tries[a.Send.Try].open = false
		p.lose(part, ReasonSlow)
		out = slices.DeleteFunc(out, func(b Action) bool { return b.Send.Try == a.Send.Try })
	}
	return out
}

func (p *Plan) lose(part *part, why Reason) {
	if part.open == 0 {
		part.lost = true
		part.why = why
	}
}

func (p *Plan) send(now time.Time, i int, t *table.Target, left time.Duration, again bool, expected time.Duration) *Send {
	part := &p.parts[i]
	part.tried = append(part.tried, t.ID)
	part.ran++
	part.arrived++
	part.open++
	part.sentAt = now
	p.tries = append(p.tries, try{part: i, open: true})
	return &Send{Try: len(p.tries) - 1, Part: i, Service: part.service, Target: t, Left: left, Again: again, Hedge: part.open > 1, Expected: expected}
}

// Done takes the end of a send. Ran says whether the target may have run it.
func (p *Plan) Done(now time.Time, id int, outcome place.Outcome) []Action {
	if p.finished || !p.tries[id].open {
		return nil
	}
	p.now = now
	p.tries[id].open = false
	i := p.tries[id].part
	part := &p.parts[i]
	part.open--
	var out []Action
	switch outcome {
	case place.Good:
		part.done = true
		p.good[i] = id
	case place.Fault:
		part.failed = id
		out = p.again(now, i, ReasonFailed, out)
	case place.Refused, place.Replaced, place.Unsent:
		part.ran--
		if outcome == place.Unsent {
			part.arrived--
		}
		part.after = ReasonRefused
		if !part.done && part.open == 0 {
			out = p.dispatch(now, i, out)
		}
	case place.Broken, place.Silent:
		out = p.again(now, i, ReasonBroken, out)
	}
	if f := p.judge(now); f != nil {
		return p.finish(out, f)
	}
	return out
}

// again sends a part that failed to another target, if it may run again.
func (p *Plan) again(now time.Time, i int, why Reason, out []Action) []Action {
	part := &p.parts[i]
	part.after = why
	switch {
	case part.done || part.open > 0:
	case p.route.Kind != table.Safe:
		p.lose(part, ReasonUnsafe)
	default:
		out = p.dispatch(now, i, out)
	}
	return out
}

// Tick does what is due.
func (p *Plan) Tick(now time.Time) []Action {
	if p.finished {
		return nil
	}
	p.now = now
	var out []Action
	hedgeFrom := p.hedgeFrom()
	for i := range p.parts {
		part := &p.parts[i]
		switch {
		case part.done || part.lost:
		case part.waiting:
			out = p.dispatch(now, i, out)
			if part.open > 0 && len(part.tried) == 1 {
				p.picker.First(now, part.service)
			}
		case part.open == 1 && p.hedgeable(part) && !now.Before(hedgeFrom(part)):
			out = p.dispatch(now, i, out)
			if part.open == 1 {
				// Nothing to back it with now; asking again at each tick would only cost time.
				part.sentAt = now
			}
		}
	}
	if f := p.judge(now); f != nil {
		return p.finish(out, f)
	}
	return out
}

func (p *Plan) hedgeable(part *part) bool {
	return p.route.Kind == table.Safe && part.ran < p.route.Attempts
}

// hedgeFrom returns the function that says from when on a part is backed by a second send, as things are now.
func (p *Plan) hedgeFrom() func(part *part) time.Time {
	high := p.picker.Late()
	late := high
	if p.hedgeAfter > 0 {
		late = min(late, p.hedgeAfter)
	}
	late = max(late, p.cfg.HedgeFloor)
	var least time.Time
	if !p.goal.IsZero() && p.open() > max(int(p.cfg.HedgeMost*float64(len(p.parts))), 1) {
		least = p.goal.Add(-urgentTimes * high)
	}
	return func(part *part) time.Time {
		if at := part.sentAt.Add(late); at.After(least) {
			return at
		}
		return least
	}
}

// open returns the number of parts that have a send open and no reply.
func (p *Plan) open() (n int) {
	for i := range p.parts {
		if part := &p.parts[i]; !part.done && part.open > 0 {
			n++
		}
	}
	return n
}

// Wake returns when Tick is next due. It asks the Picker.
func (p *Plan) Wake() time.Time {
	wake := p.deadline
	sooner := func(t time.Time) {
		if t.Before(wake) {
			wake = t
		}
	}
	if !p.goal.IsZero() && p.goal.After(p.now) {
		sooner(p.goal)
	}
	hedgeFrom := p.hedgeFrom()
	for i := range p.parts {
		part := &p.parts[i]
		switch {
		case part.done || part.lost:
		case part.waiting:
			sooner(p.now.Add(p.cfg.WaitStep))
		case part.open == 1 && p.hedgeable(part):
			sooner(hedgeFrom(part))
		}
	}
	return wake
}

// judge decides whether the request can be answered now.
func (p *Plan) judge(now time.Time) *Finish {
	done, lost, open := 0, 0, 0
	for i := range p.parts {
		switch part := &p.parts[i]; {
		case part.done:
			done++
		case part.lost:
			lost++
		default:
			open++
		}
	}
	if len(p.route.Gather) == 0 {
		return p.judgeOne(now)
	}
	total := len(p.parts)
	need := p.need()
	switch {
	case done == total:
		return p.answer(ReasonWhole)
	case open == 0 && done >= need:
		return p.answer(ReasonLost)
	case total-lost < need:
		return p.refuse(ReasonUnservable)
	case done >= need && !p.goal.IsZero() && !now.Before(p.goal):
		return p.answer(ReasonGoal)
	case now.Before(p.deadline):
		return nil
	case done >= need:
		return p.answer(ReasonDeadline)
	}
	return &Finish{Code: codes.DeadlineRunning, Reason: ReasonDeadline, Missing: total - done}
}

// need returns how many parts make an answer a success.
func (p *Plan) need() int {
	total := len(p.parts)
	for n := 1; n < total; n++ {
		if float64(n)/float64(total) >= p.route.Least {
			return n
		}
	}
	return total
}

func (p *Plan) answer(why Reason) *Finish {
	f := &Finish{Code: codes.Complete, Reason: why}
	for _, id := range p.good {
		if id >= 0 {
			f.Tries = append(f.Tries, id)
		}
	}
	f.Missing = len(p.parts) - len(f.Tries)
	if f.Missing > 0 {
		f.Code = codes.Partial
	}
	return f
}

// refuse ends a request that can't be served any more.
func (p *Plan) refuse(why Reason) *Finish {
	if p.mayHaveRun() {
		return &Finish{Code: codes.OutcomeUnknown, Reason: why, Missing: len(p.parts)}
	}
	f := &Finish{Code: codes.NoTarget, Reason: why, Missing: len(p.parts), RetryAfter: p.cfg.DownAfter}
	for i := range p.parts {
		if part := &p.parts[i]; part.lost && (part.why == ReasonBusy || part.why == ReasonMuted || part.why == ReasonSuspect) {
			f.Code, f.RetryAfter = codes.Overloaded, p.cfg.BusyAfter
		}
	}
	// Coming back before the last of them would be in vain.
	for i := range p.parts {
		part := &p.parts[i]
		if part.lost && part.why == ReasonQuarantined {
			f.Code, f.Reason = codes.Quarantined, ReasonQuarantined
		}
		if part.lost && (part.why == ReasonMuted || part.why == ReasonQuarantined) {
			f.RetryAfter = max(f.RetryAfter, part.back.Sub(p.now))
		}
	}
	return f
}

// mayHaveRun reports whether any send may have reached a target that ran it. Sends that Start is about to hand out
// don't count, since refusing drops them.
func (p *Plan) mayHaveRun() bool {
	for i := range p.parts {
		if p.parts[i].done || p.parts[i].failed >= 0 {
			return true
		}
	}
	if p.starting {
		return false
	}
	for i := range p.parts {
		if p.parts[i].ran > 0 {
			return true
		}
	}
	return false
}

func (p *Plan) judgeOne(now time.Time) *Finish {
	part := &p.parts[0]
	switch {
	case part.done:
		return p.answer(ReasonWhole)
	case part.lost && part.failed >= 0:
		return &Finish{Code: codes.TargetFailed, Reason: part.why, Tries: []int{part.failed}}
	case part.lost && part.ran > 0:
		return &Finish{Code: codes.OutcomeUnknown, Reason: part.why}
	case part.lost:
		return p.refuse(part.why)
	case now.Before(p.deadline):
		return nil
	case part.ran > 0:
		return &Finish{Code: codes.DeadlineRunning, Reason: ReasonDeadline}
	}
	return &Finish{Code: codes.Overloaded, Reason: part.why, RetryAfter: p.cfg.BusyAfter}
}
