// Package route plans the execution of one query: which snapshot it reads, which replicas it asks, when it hedges and
// retries sub-requests, and when it finishes.
//
// # Usage
//
//	view.Index = route.NewIndex(view.Service)   // once per revision of the services document
//	p := route.New(route.Config{}, view, query, budget, rnd)
//	actions := p.Start(now)
//	actions = p.HandleReply(now, reply) // one call for each attempt that ends
//	actions = p.HandleTimers(now)       // at the time of the last Wake
//
// A Plan takes events and returns the actions that its driver has to carry out. Exactly one Finish action ends the plan;
// later events return no actions. A Wake action replaces the one before it. HandleTimers may be called before or after
// the time of the Wake. If the time passed to a call is earlier than one passed before, the plan uses the latest time
// passed so far.
//
// # Snapshot
//
// A plan pins one snapshot (generation and version of the service's documents) and merges parts of that snapshot only. A
// target that doesn't serve the snapshot answers with a version refusal: Reply.Code is TargetRefused and Reply.Served is
// set. The shards of a refused attempt are first sent to other replicas that may serve the pinned snapshot. When a shard
// can't be sent again and usable replicas hold more documents of another snapshot than the pinned one can still cover, the
// plan moves to the other snapshot. It moves at most once, and only if more than HedgeAfter is left until the deadline.
// Suspect queries never move.
//
// # End
//
// The plan finishes when all documents are covered, when no attempt is running, when the minimum coverage can't be reached
// any more, or at the deadline. With prefer=latency it also finishes once the minimum coverage is reached and HedgeAfter has
// passed since the newest running attempt was sent; hedges that are due are sent before this is checked. A code that says
// "not run" (2xxx) is reported only if every attempt ended with a 2xxx code. A canceled attempt counts as possibly run.
//
// # Hedges
//
// A group is a set of shards that are requested together. It is hedged once: HedgeAfter after an attempt was sent, its
// missing shards are also sent to an untried replica, the one that holds most of the missing documents, with the shortest
// expected wait on a tie. If the hedge would use the reserve of the budget, it is put off until 1.5 times HedgeAfter. An
// attempt whose shards have all been merged in full is canceled at once.
//
// # Retries
//
// A group is retried on replicas that it has not tried before, within the Budget. The refusals NotDispatcher, StaleView,
// Stopping and Starting come from the dispatcher and not from the target. If no other replica is left after one of them, the
// plan sends to the same target again, and the driver should use the other dispatcher of the target. Refusals that every
// replica would repeat, such as BadRequest and Quarantined, are not retried. If a reply lacks shards or documents, its
// incomplete shards are retried. A suspect query is retried once in all, and only if the failed attempt has certainly ended
// (its code is not 4xxx and it did not time out).
package route

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/internal/cover"
	"github.com/fuchsiarelay/fuchsiarelay/internal/rules"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/codes"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/target"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/wire"
)

// Config holds the policy of all plans. A MaxRetries of 0 means DefaultMaxRetries.
type Config struct {
	MaxRetries int // further attempts per group after its first one fails
	NoHedge    bool
	// AttemptTimeout limits the wait for one attempt. An attempt that takes longer is canceled and counts as failed.
	// 0 means no limit.
	AttemptTimeout time.Duration

	Choice ReplicaChoice // rule for choosing replicas; rules other than Grouped serve as baselines in measurements
	// RetryTriedReplicas lets a retry go to replicas that were tried before. It serves as a baseline in measurements:
	// without a limit on retries it multiplies the load of a target that fails.
	RetryTriedReplicas bool
}

// DefaultMaxRetries is the number of further attempts per group after its first one fails.
const DefaultMaxRetries = 2

// Replica holds what the entry process knows about one target.
type Replica struct {
	Available bool            // the target is not excluded and not leaving, and one of its dispatchers can be reached
	Wait      time.Duration   // expected time until a reply under the present load of the target
	Served    []target.Served // snapshots that the target reports to serve; nil means unknown
}

// View holds the state of a service and its targets from which a plan is made. A plan does not change its View.
type View struct {
	Service    plat.Service
	Replicas   map[string]Replica
	HedgeAfter time.Duration // 95th percentile of recent sub-request latency; 0 means unknown
	// AttemptTimeout overrides Config.AttemptTimeout if it is positive.
	AttemptTimeout time.Duration
	// Index is the result of NewIndex(Service), shared by plans. If it is nil, each plan builds its own index.
	Index *Index
}

// Query holds the requirements of one query.
type Query struct {
	Deadline    time.Time
	MinCoverage float64
	Prefer      rules.Preference
	Suspect     bool // the query was running on a target when the target crashed, so it may be the cause
}

// Reply is the result of one attempt, successful or not.
type Reply struct {
	Attempt    uint64
	Code       codes.Code
	Generation uint64
	Version    uint64
	Parts      []target.Part
	Served     []target.Served // snapshots that the target serves; set if the code is a version refusal
	RetryAfter time.Duration
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// Kinds of actions.
const (
	Send   ActionKind = iota // send a sub-request
	Cancel                   // cancel a running attempt
	Wake                     // call HandleTimers at Action.At
	Finish                   // the plan has ended with Action.Outcome
)

// Action is one thing that the driver of the plan has to do. Kind says which fields are set.
type Action struct {
	Kind       ActionKind
	Attempt    uint64
	Target     string
	Shards     []uint32
	Generation uint64
	Version    uint64
	Hedge      bool
	Retry      bool // the attempt is a retry, or was sent after the plan moved to another snapshot
	At         time.Time
	Outcome    Outcome
}

// Outcome is the result of a query.
type Outcome struct {
	Code           codes.Code
	Generation     uint64
	Version        uint64
	Covered        uint64 // documents
	Total          uint64 // documents
	Complete       bool
	Hits           []wire.Hit
	RetryAfter     time.Duration
	Attempts       int     // attempts sent
	NeededAttempts int     // attempts that the query needed without hedges and retries
	Hedges         int     // hedges among Attempts
	Retries        int     // retries among Attempts, without the attempts after a move to another snapshot
	Coverage       float64 // Covered divided by Total; 1 only if no document is missing
}

// defaultRetryAfter is the RetryAfter of a failed query if no target asked for a longer one.
const defaultRetryAfter = time.Second

// Plan is the state of one query.
type Plan struct {
	cfg            Config
	view           *View
	query          Query
	budget         *Budget
	rnd            *rand.Rand
	index          *Index
	attemptTimeout time.Duration

	replicas         []replica // by target number
	usable           []bool    // by target number: may be asked for the pinned snapshot
	unassignedShards []int32   // by target number: unassigned shards that the target holds, used while shards are assigned
	batchScratch     []int32   // by target number: shards assigned so far, then 1 + index of the target's batch
	minimizeTargets  bool      // replicas that are nearly as fast as others count as equal
	pinned           *snapshot
	merge            *cover.Merge
	lostDocuments    uint64 // documents that can't be covered any more

	attempts      []attempt // by id - 1, in order of sending
	groupPool     []group   // allocated together, to save allocations
	runningCount  int
	newestRunning int    // index of an attempt; no later attempt is running
	hedgeFrom     [2]int // by round of hedges: index of an attempt; no earlier one may be hedged
	timeoutFrom   int    // index of an attempt; no earlier attempt is running

	now, wakeAt time.Time
	finished    bool

	// What the attempts so far have shown. The outcome depends on it.
	neededAttempts, hedgesSent, retriesSent, notRunCount int
	retryAfter                                           time.Duration
	mainRefusal                                          codes.Code // the 2xxx code with the highest refusalPriority
	mayHaveRun, anyFailed                                bool
	gotWrongSnapshot, gotVersionRefusal                  bool
	hasReplanned, hasRetriedSuspect                      bool
}

// New returns a plan that has not started.
func New(cfg Config, view *View, q Query, b *Budget, rnd *rand.Rand) *Plan {
	cfg.MaxRetries = cmp.Or(cfg.MaxRetries, DefaultMaxRetries)
	p := &Plan{cfg: cfg, view: view, query: q, budget: b, rnd: rnd, index: view.Index, attemptTimeout: cfg.AttemptTimeout}
	if view.AttemptTimeout > 0 {
		p.attemptTimeout = view.AttemptTimeout
	}
	return p
}

// Start returns the first actions.
func (p *Plan) Start(now time.Time) []Action {
	if p.finished || p.replicas != nil {
		return nil
	}
	p.now = now
	if !now.Before(p.query.Deadline) {
		return []Action{p.finish(codes.DeadlineTooShort)}
	}
	if p.index == nil {
		p.index = NewIndex(p.view.Service)
	}
	p.loadReplicas()
	s, _ := p.bestSnapshot(nil)
	if s == nil {
		return []Action{p.finish(codes.NoTarget)}
	}
	return p.startSnapshot(now, s)
}

// startSnapshot pins a snapshot and sends sub-requests for all of its shards.
func (p *Plan) startSnapshot(now time.Time, s *snapshot) []Action {
	isFirst := len(p.attempts) == 0
	p.pinned, p.merge, p.lostDocuments = s, cover.New(s.Partition), 0
	for n := range p.usable {
		p.usable[n] = p.mayServe(int32(n), s)
	}
	positions := make([]int32, len(s.Shards))
	for i := range positions {
		positions[i] = int32(i)
	}
	batches := p.makeBatches(positions, nil, func(pos int32) int32 {
		p.lostDocuments += s.Shards[pos].Documents
		return -1
	})
	_, total := p.merge.Coverage()
	if !p.meetsMinimum(total-p.lostDocuments, total) {
		// The minimum coverage is out of reach, so no sub-request is sent whose reply would be discarded.
		return p.cancelAndFinish(nil, p.outcomeCode(false))
	}
	return p.sendInitial(now, batches, isFirst)
}

// sendInitial sends the batches that cover a whole snapshot. The parameter isFirst is false if the plan has moved to
// another snapshot.
func (p *Plan) sendInitial(now time.Time, batches []batch, isFirst bool) []Action {
	if isFirst {
		p.neededAttempts = len(batches)
		p.attempts = make([]attempt, 0, len(batches)+len(batches)/8+2)
		p.budget.recordFirstAttempts(len(batches))
	}
	p.groupPool = make([]group, 0, len(batches))
	out := make([]Action, 0, len(batches)+1)
	for _, b := range batches {
		out = append(out, p.send(now, p.newGroup(nil), b, false, !isFirst))
	}
	return p.finishOrWake(out, true)
}

// HandleReply processes the result of an attempt and returns the next actions. It ignores the result of an attempt that has
// already ended or was canceled.
func (p *Plan) HandleReply(now time.Time, r Reply) []Action {
	if p.finished || r.Attempt == 0 || r.Attempt > uint64(len(p.attempts)) || !p.attempts[r.Attempt-1].running {
		return nil
	}
	p.advanceClock(now)
	i := int(r.Attempt - 1)
	a := &p.attempts[i]
	p.markEnded(i)
	p.recordEnd(r.Code, r.RetryAfter)
	switch {
	case r.Code.OK():
		p.mergeReply(a, r)
	case r.Code == codes.TargetRefused && len(r.Served) > 0:
		p.recordVersionRefusal(a.targetNumber, r.Served)
	}
	out := p.cancelRedundant(nil, a.group)
	if p.now.Before(p.query.Deadline) {
		out = p.retryUncovered(p.now, out, i, r.Code)
	}
	return p.finishOrWake(out, false)
}

// advanceClock sets the time of the plan unless now is earlier.
func (p *Plan) advanceClock(now time.Time) {
	if now.After(p.now) {
		p.now = now
	}
}

// HandleTimers processes the timeouts and hedges that are due at now and returns the next actions.
func (p *Plan) HandleTimers(now time.Time) []Action {
	if p.finished || p.merge == nil {
		return nil
	}
	p.advanceClock(now)
	if !p.now.Before(p.query.Deadline) {
		return p.cancelAndFinish(nil, p.outcomeCode(true))
	}
	var out []Action
	// The number of attempts is read before the loop: an attempt that is sent during this call of HandleTimers is not
	// yet due.
	for end := len(p.attempts); p.nextTimeout() < end && !p.finished; {
		i := p.timeoutFrom
		if p.now.Before(p.attempts[i].sentAt.Add(p.attemptTimeout)) {
			break
		}
		out = append(out, p.cancel(i))
		p.anyFailed = true
		out = p.retryUncovered(p.now, out, i, codes.OutcomeUnknown)
	}
	for round, reserve := range [...]float64{p.hedgeReserve(), 0} {
		out = p.hedgeDueAttempts(out, round, reserve)
	}
	return p.finishOrWake(out, true)
}

// hedgeDueAttempts hedges the attempts that are due in the given round of hedges.
func (p *Plan) hedgeDueAttempts(out []Action, round int, reserve float64) []Action {
	for end := len(p.attempts); p.nextHedge(round) < end; {
		i := p.hedgeFrom[round]
		if p.now.Before(p.hedgeAt(round, i)) {
			break
		}
		p.hedgeFrom[round]++
		out = p.hedge(p.now, out, i, reserve)
	}
	return out
}
