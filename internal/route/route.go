// Package route is the plan of one query: which snapshot, which replicas, when to hedge, when to retry, and when
// to finish.
//
// # Usage
//
//	view.Index = route.NewIndex(view.Service)   // once per revision of the services document
//	p := route.New(route.Config{}, view, query, budget, rnd)
//	actions := p.Start(now)
//	actions = p.Reply(now, reply)   // one call for each attempt that ends
//	actions = p.Tick(now)           // at the time of the last Wake
//
// A Plan is driven by events and returns actions; exactly one Finish action ends it, and events after that return
// nothing. A Wake replaces the one before; Tick may be called early or late without harm. Times that go backwards count as
// the latest time seen.
//
// # Snapshot
//
// A version refusal is Reply.Code TargetRefused with Served set. Its shards first go to other replicas of the pinned
// snapshot. When a shard can't be sent again and another snapshot reaches more documents than are still possible, the
// plan moves there once, if at least HedgeAfter is left until the deadline. Suspect queries never move.
//
// # End
//
// The plan finishes when it is complete, when nothing runs, when the minimum coverage can't be reached any more, or at
// the deadline. With prefer=latency it also finishes once the minimum is reached and HedgeAfter has passed since the
// newest running attempt was sent; a hedge is sent before that is checked. "Not run" (2xxx) is reported only if
// every attempt ended with a 2xxx code; a cancelled attempt counts as possibly run.
//
// # Hedges
//
// A group is hedged once, HedgeAfter after an attempt was sent, to an untried replica: the one that holds most of what is
// missing, the least loaded on a tie. If that would take the budget's reserve, the group waits until 1.5 times HedgeAfter.
// An attempt whose shards are all merged in full is cancelled at once.
//
// # Retries
//
// A group is retried on replicas not tried before, within Budget. NotDispatcher, StaleView, Stopping and Starting come
// from the dispatcher itself, so if no other replica is left the same target is asked for again and the driver should use its
// other dispatcher. Refusals that any replica would repeat, such as BadRequest and Quarantined, are not retried. A short or
// incomplete reply is retried for what it lacks. A suspect query is retried once in all, only if the failed attempt has
// surely ended (its code is not 4xxx and it did not time out).
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

// Config holds the policy of all plans. Zero fields take the defaults.
type Config struct {
	MaxRetries int // further attempts per group after its first one fails
	NoHedge    bool
	// AttemptTimeout bounds the wait for one attempt; afterwards it is cancelled and counts as lost. 0 means no bound.
	AttemptTimeout time.Duration

	Choice Choice // rule for choosing replicas; the others are baselines
	// TryAgain lets a retry go to replicas that were tried before. It is a baseline: without a bound on retries it
	// multiplies the load of a target that fails.
	TryAgain bool
}

// DefaultMaxRetries is the number of further attempts per group after its first one fails.
const DefaultMaxRetries = 2

// Replica is what the front knows of one target.
type Replica struct {
	Available bool            // not excluded, not leaving, a dispatcher can be reached
	Wait      time.Duration   // expected time until a reply under its present load
	Served    []target.Served // snapshots it says it serves; nil means unknown
}

// View is what a plan is made from. It is not changed by the plan.
type View struct {
	Service    plat.Service
	Replicas   map[string]Replica
	HedgeAfter time.Duration // 95th percentile of recent sub-request latency; 0 means unknown
	// AttemptTimeout replaces Config.AttemptTimeout if it is not 0.
	AttemptTimeout time.Duration
	// Index is NewIndex(Service), shared by plans. If it is nil, each plan builds its own.
	Index *Index
}

// Query is one query to plan.
type Query struct {
	Deadline    time.Time
	MinCoverage float64
	Prefer      rules.Prefer
	Suspect     bool // it was running when a target crashed
}

// Reply is the end of one attempt.
type Reply struct {
	Attempt    uint64
	Code       codes.Code
	Generation uint64
	Version    uint64
	Parts      []target.Part
	Served     []target.Served // of a version refusal
	RetryAfter time.Duration
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// Kinds of actions.
const (
	Send   ActionKind = iota // send a sub-request
	Cancel                   // cancel a running attempt
	Wake                     // call Tick at Action.At
	Finish                   // the plan has ended with Action.Outcome
)

// Action is one thing to do.
type Action struct {
	Kind       ActionKind
	Attempt    uint64
	Target     string
	Shards     []uint32
	Generation uint64
	Version    uint64
	Hedge      bool
	Retry      bool // a retry, or any attempt after a re-plan
	At         time.Time
	Outcome    Outcome
}

// Outcome is the result of a query.
type Outcome struct {
	Code       codes.Code
	Generation uint64
	Version    uint64
	Covered    uint64 // documents
	Total      uint64 // documents
	Complete   bool
	Hits       []wire.Hit
	RetryAfter time.Duration
	Sent       int     // attempts sent
	Needed     int     // attempts of a run without hedges and retries
	Hedges     int     // of Sent
	Retries    int     // of Sent, without those of a re-plan
	Coverage   float64 // Covered over Total; 1 only if no document is missing
}

// defaultRetryAfter is what a caller is told when nothing better is known.
const defaultRetryAfter = time.Second

// Plan is the state of one query.
type Plan struct {
	cfg     Config
	view    *View
	query   Query
	budget  *Budget
	rnd     *rand.Rand
	index   *Index
	timeout time.Duration

	replicas        []replica // by target number
	usable          []bool    // by target number: may be asked for the pinned snapshot
	unassigned      []int32   // by target number: shards without a target that it holds, while batches are made
	batchScratch    []int32   // by target number: shards it has, then 1 + its batch, while batches are made
	minimizeTargets bool      // replicas that are nearly as fast count as equal
	pinned          *snapshot
	merge           *cover.Merge
	lost            uint64 // documents that can't be covered any more

	attempts    []attempt // by id - 1, in order of sending
	groupPool   []group
	openCount   int
	newestOpen  int    // no running attempt is after this one
	hedgeFrom   [2]int // by look: no attempt before this one may be hedged
	timeoutFrom int    // no attempt before this one runs

	now, wakeAt time.Time
	done        bool

	needed, hedges, retriesSent, notRun int
	retryAfter                          time.Duration
	refusal                             codes.Code // the most telling 2xxx code
	maybeRan, failed                    bool
	wrongSnapshot, refusedVersion       bool
	replanned, suspectRetried           bool
}

// New returns a plan that has not started.
func New(cfg Config, view *View, q Query, b *Budget, rnd *rand.Rand) *Plan {
	cfg.MaxRetries = cmp.Or(cfg.MaxRetries, DefaultMaxRetries)
	p := &Plan{cfg: cfg, view: view, query: q, budget: b, rnd: rnd, index: view.Index, timeout: cfg.AttemptTimeout}
	if view.AttemptTimeout > 0 {
		p.timeout = view.AttemptTimeout
	}
	return p
}

// Start returns the first actions.
func (p *Plan) Start(now time.Time) []Action {
	if p.done || p.replicas != nil {
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

// startSnapshot pins a snapshot and sends all of its shards.
func (p *Plan) startSnapshot(now time.Time, s *snapshot) []Action {
	first := len(p.attempts) == 0
	p.pinned, p.merge, p.lost = s, cover.New(s.Partition), 0
	for n := range p.usable {
		p.usable[n] = p.mayServe(int32(n), s)
	}
	positions := make([]int32, len(s.Shards))
	for i := range positions {
		positions[i] = int32(i)
	}
	batches := p.batches(positions, nil, func(pos int32) int32 {
		p.lost += s.Shards[pos].Documents
		return -1
	})
	_, total := p.merge.Coverage()
	if !p.meetsMinimum(total-p.lost, total) {
		// Targets are spared work whose answer would be refused.
		return p.cancelAndFinish(nil, p.outcomeCode(false))
	}
	return p.sendFirst(now, batches, first)
}

func (p *Plan) sendFirst(now time.Time, batches []batch, first bool) []Action {
	if first {
		p.needed = len(batches)
		p.attempts = make([]attempt, 0, len(batches)+len(batches)/8+2)
		p.budget.credit(len(batches))
	}
	p.groupPool = make([]group, 0, len(batches))
	out := make([]Action, 0, len(batches)+1)
	for _, b := range batches {
		out = append(out, p.send(now, p.newGroup(nil), b, false, !first))
	}
	return p.finishOrWake(out, true)
}

// Reply takes the end of an attempt. A second end of the same attempt, or of one that was cancelled, is ignored.
func (p *Plan) Reply(now time.Time, r Reply) []Action {
	if p.done || r.Attempt == 0 || r.Attempt > uint64(len(p.attempts)) || !p.attempts[r.Attempt-1].open {
		return nil
	}
	p.advanceClock(now)
	i := int(r.Attempt - 1)
	a := &p.attempts[i]
	p.close(i)
	p.recordEnd(r.Code, r.RetryAfter)
	switch {
	case r.Code.OK():
		p.mergeReply(a, r)
	case r.Code == codes.TargetRefused && len(r.Served) > 0:
		p.recordVersionRefusal(a.target, r.Served)
	}
	out := p.cancelRedundant(nil, a.group)
	if p.now.Before(p.query.Deadline) {
		out = p.retryOrphans(p.now, out, i, r.Code)
	}
	return p.finishOrWake(out, false)
}

func (p *Plan) advanceClock(now time.Time) {
	if now.After(p.now) {
		p.now = now
	}
}

// Tick takes the passing of time.
func (p *Plan) Tick(now time.Time) []Action {
	if p.done || p.merge == nil {
		return nil
	}
	p.advanceClock(now)
	if !p.now.Before(p.query.Deadline) {
		return p.cancelAndFinish(nil, p.outcomeCode(true))
	}
	var out []Action
	// The bounds are taken once: what this Tick sends is not due in it.
	for end := len(p.attempts); p.nextTimeout() < end && !p.done; {
		i := p.timeoutFrom
		if p.now.Before(p.attempts[i].sentAt.Add(p.timeout)) {
			break
		}
		out = append(out, p.cancel(i))
		p.failed = true
		out = p.retryOrphans(p.now, out, i, codes.OutcomeUnknown)
	}
	for round, reserve := range [...]float64{p.hedgeReserve(), 0} {
		out = p.hedgeDue(out, round, reserve)
	}
	return p.finishOrWake(out, true)
}

// hedgeDue hedges the attempts whose look of that number is due.
func (p *Plan) hedgeDue(out []Action, round int, reserve float64) []Action {
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
