package route_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/fuchsiarelay/fuchsiarelay/internal/route"
	"github.com/fuchsiarelay/fuchsiarelay/internal/rules"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/codes"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/target"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/wire"
)

// planner is a Plan, or a Plan wrapped to violate an invariant on purpose.
type planner interface {
	Start(now time.Time) []route.Action
	HandleReply(now time.Time, r route.Reply) []route.Action
	HandleTimers(now time.Time) []route.Action
}

// drawFunc returns a number from 0 to n-1.
type drawFunc func(n int) int

// sentAttempt holds what the checker knows about one attempt.
type sentAttempt struct {
	route.Action
	sentAt   time.Time
	code     codes.Code // code of the first reply that was passed to the plan while the attempt was running
	ended    bool
	canceled bool
}

// history drives a plan with generated events and checks each action of the plan against the attempts that were sent and
// the replies that were generated.
type history struct {
	draw             drawFunc
	view             *route.View
	query            route.Query
	plan             planner
	now              time.Time
	wakeAt           time.Time
	attempts         []*sentAttempt
	repliedDocuments map[string]uint64 // most documents in a successful reply to a running attempt, by snapshot and shard
	outcomes         []route.Outcome
}

// newHistory returns a history with a generated view and query.
func newHistory(draw drawFunc) *history {
	h := &history{draw: draw, now: startTime, repliedDocuments: map[string]uint64{}, view: replicaSetView(1+draw(4), 1+draw(3), 1+draw(3))}
	first := &h.view.Service.Partitions[0]
	for i := range first.Shards {
		first.Shards[i].Documents = uint64(draw(3) * 10)
	}
	if draw(2) == 0 {
		second := plat.Partition{Generation: uint64(1 + draw(2)), Version: 2}
		for i, s := range first.Shards {
			if i%2 == 0 || second.Generation == 1 {
				second.Shards = append(second.Shards, plat.Shard{ID: s.ID, Documents: s.Documents + uint64(draw(3)), Targets: s.Targets})
			}
		}
		h.view.Service.Partitions = append(h.view.Service.Partitions, second)
	}
	h.view.AttemptTimeout = time.Duration(draw(2)) * 100 * time.Millisecond
	h.query = route.Query{
		Deadline: at(deadline), MinCoverage: float64(draw(5)) / 4, Suspect: draw(4) == 0,
		Prefer: []rules.Preference{rules.PreferLatency, rules.PreferCoverage}[draw(2)],
	}
	return h
}

// run passes 60 generated events and the end of the query to the plan that wrap returns, and returns the first violation of
// an invariant.
func (h *history) run(wrap func(*route.Plan, *history) planner) error {
	p := route.New(route.Config{}, h.view, h.query, route.NewBudget(0.5, 0.5), rand.New(rand.NewPCG(1, 2)))
	h.plan = wrap(p, h)
	if err := h.check(h.plan.Start(h.now)); err != nil {
		return err
	}
	for range 60 {
		if err := h.step(); err != nil {
			return err
		}
	}
	h.now = h.query.Deadline
	if err := h.check(h.plan.HandleTimers(h.now)); err != nil {
		return err
	}
	for _, a := range h.attempts {
		if err := h.check(h.plan.HandleReply(h.now, h.reply(a))); err != nil {
			return err
		}
	}
	if len(h.outcomes) != 1 {
		return fmt.Errorf("finish: %d outcomes", len(h.outcomes))
	}
	return h.checkOutcome(h.outcomes[0])
}

// step passes one generated event to the plan and checks the actions.
func (h *history) step() error {
	if h.draw(3) == 0 || len(h.attempts) == 0 {
		h.now = h.now.Add(time.Duration(h.draw(12)) * time.Millisecond)
	}
	if len(h.outcomes) == 0 && !h.now.Before(h.wakeAt) {
		return h.check(h.plan.HandleTimers(h.now))
	}
	if len(h.attempts) == 0 {
		return nil
	}
	a := h.attempts[h.draw(len(h.attempts))]
	return h.check(h.plan.HandleReply(h.now, h.reply(a)))
}

// reply generates a reply to an attempt, which may have ended already, and records the documents that the plan has to count.
func (h *history) reply(a *sentAttempt) route.Reply {
	r := route.Reply{Attempt: a.Attempt, Code: codes.Complete, Generation: a.Generation, Version: a.Version}
	shards := slices.Clone(a.Shards)
	switch h.draw(8) {
	case 0:
		r.Code = []codes.Code{codes.Overloaded, codes.NotDispatcher, codes.NotConnected, codes.TargetFailed, codes.OutcomeUnknown, 0}[h.draw(6)]
	case 1:
		r.Code = codes.TargetRefused
		r.Served = []target.Served{{Service: "ledger", Generation: uint64(1 + h.draw(2)), Version: uint64(1 + h.draw(2))}}
	case 2:
		r.Version = 3 - r.Version
	case 3:
		r.Generation = 3 - r.Generation
	case 4:
		shards = shards[h.draw(len(shards)):]
	case 5:
		shards = append(shards, uint32(h.draw(14)))
	}
	open := !a.ended && !a.canceled && len(h.outcomes) == 0
	for _, id := range shards {
		docs := uint64(h.draw(4) * 10)
		if h.draw(2) == 0 {
			docs = 1000
		}
		key := fmt.Sprintf("%d/%d/%d", r.Generation, r.Version, id)
		r.Parts = append(r.Parts, target.Part{Shard: id, Documents: docs, Hits: []wire.Hit{{Shard: id, ID: key}}})
		own := r.Generation == a.Generation && r.Version == a.Version && slices.Contains(a.Shards, id)
		if open && r.Code.OK() && own {
			h.repliedDocuments[key] = max(h.repliedDocuments[key], docs)
		}
	}
	if open {
		a.ended, a.code = true, r.Code
	}
	return r
}

// check compares the actions with the history and records them.
func (h *history) check(acts []route.Action) error {
	for _, a := range acts {
		if len(h.outcomes) > 0 {
			return fmt.Errorf("after finish: %+v", a)
		}
		switch a.Kind {
		case route.Send:
			if err := h.checkSend(a); err != nil {
				return err
			}
			h.attempts = append(h.attempts, &sentAttempt{Action: a, sentAt: h.now})
		case route.Cancel:
			s := h.attempts[a.Attempt-1]
			if s.ended || s.canceled {
				return fmt.Errorf("cancel: attempt %d has ended", a.Attempt)
			}
			s.canceled = true
		case route.Wake:
			h.wakeAt = a.At
		case route.Finish:
			h.outcomes = append(h.outcomes, a.Outcome)
		}
	}
	open := slices.ContainsFunc(h.attempts, func(a *sentAttempt) bool { return !a.ended && !a.canceled })
	if len(h.outcomes) == 0 && !open {
		return fmt.Errorf("finish: no attempt is running and the plan has not finished")
	}
	if due := h.latestWake(); len(h.outcomes) == 0 && (h.wakeAt.IsZero() || h.wakeAt.After(due)) {
		return fmt.Errorf("wake: at %v, due at %v", h.wakeAt, due)
	}
	return nil
}

// latestWake returns the time at which HandleTimers must have been called at the latest: the deadline, the timeout of a
// running attempt, or the time to hedge a running attempt none of whose shards has been hedged.
func (h *history) latestWake() time.Time {
	due := h.query.Deadline
	for _, a := range h.attempts {
		if a.ended || a.canceled {
			continue
		}
		if end := a.sentAt.Add(h.view.AttemptTimeout); h.view.AttemptTimeout > 0 && end.Before(due) {
			due = end
		}
		if hedgeDue := a.sentAt.Add(hedgeAfter); !h.query.Suspect && hedgeDue.After(h.now) && hedgeDue.Before(due) && !h.isHedged(a) {
			due = hedgeDue
		}
	}
	return due
}

// isHedged reports whether a hedge requested a shard of the attempt.
func (h *history) isHedged(a *sentAttempt) bool {
	return slices.ContainsFunc(h.attempts, func(s *sentAttempt) bool { return s.Hedge && sharesShard(s.Action, a.Action) })
}

// sharesShard reports whether two attempts request the same shard of the same snapshot.
func sharesShard(a, b route.Action) bool {
	return a.Generation == b.Generation && a.Version == b.Version &&
		slices.ContainsFunc(a.Shards, func(id uint32) bool { return slices.Contains(b.Shards, id) })
}

// checkSend checks a Send action against the earlier attempts for the same shards.
func (h *history) checkSend(a route.Action) error {
	if a.Hedge && h.query.Suspect {
		return fmt.Errorf("hedge: hedge of a suspect query")
	}
	for _, s := range h.attempts {
		if !sharesShard(s.Action, a) {
			continue
		}
		if s.Target == a.Target && s.code != codes.NotDispatcher {
			return fmt.Errorf("tried: target %s was sent the same shard twice", a.Target)
		}
		if s.Hedge && a.Hedge {
			return fmt.Errorf("hedge: second hedge of the same shard")
		}
		if h.query.Suspect && s.code.Ran() == codes.Unknown {
			return fmt.Errorf("suspect: query retried while its first execution may still be running")
		}
	}
	return nil
}

// checkOutcome compares the outcome with the coverage computed from the replies.
func (h *history) checkOutcome(o route.Outcome) error {
	var covered, total uint64
	complete := false
	for _, part := range h.view.Service.Partitions {
		if part.Generation != o.Generation || part.Version != o.Version {
			continue
		}
		complete = len(part.Shards) > 0
		for _, s := range part.Shards {
			docs, replied := h.repliedDocuments[fmt.Sprintf("%d/%d/%d", o.Generation, o.Version, s.ID)]
			covered += min(docs, s.Documents)
			total += s.Documents
			complete = complete && replied && docs >= s.Documents
		}
	}
	if o.Covered != covered || o.Total != total || o.Complete != complete || (o.Code == codes.Complete) != complete {
		return fmt.Errorf("coverage: got %d/%d %v %v, want %d/%d %v", o.Covered, o.Total, o.Complete, o.Code, covered, total, complete)
	}
	for _, hit := range o.Hits {
		if !strings.HasPrefix(hit.ID, fmt.Sprintf("%d/%d/", o.Generation, o.Version)) {
			return fmt.Errorf("snapshot: hit %s in the answer from snapshot %d/%d", hit.ID, o.Generation, o.Version)
		}
	}
	if o.Code == codes.Partial && (covered == 0 || float64(covered) < h.query.MinCoverage*float64(total)) {
		return fmt.Errorf("minimum: partial answer with %d of %d documents", covered, total)
	}
	return h.checkRan(o)
}

// checkRan checks that an outcome says "not run" only if no attempt may have run.
func (h *history) checkRan(o route.Outcome) error {
	for _, a := range h.attempts {
		if o.Code.Ran() == codes.NotRun && (!a.ended || a.code.Ran() != codes.NotRun) {
			return fmt.Errorf("not run: outcome %v although attempt %d may have run", o.Code, a.Attempt)
		}
	}
	if o.Code.Ran() == codes.Unknown {
		return fmt.Errorf("not run: unknown execution after the end of the query: %v", o.Code)
	}
	return nil
}

// noWrapper returns the plan without a wrapper.
func noWrapper(p *route.Plan, _ *history) planner { return p }

// Guards against a sequence of late, repeated, reordered, wrong, short and missing replies that violates a property of the
// design: an answer holds parts of one snapshot only (P1), its coverage is exact (P2), it answers the request that was made
// (P5), and "not run" is reported only if no target ran the query (P6).
func TestRandomHistoriesKeepInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "choice") }
		if err := newHistory(draw).run(noWrapper); err != nil {
			rt.Fatal(err)
		}
	})
}

// brokenPlan changes the replies that a plan receives or the actions that it returns, so that it violates an invariant.
type brokenPlan struct {
	planner
	changeReply   func(r route.Reply) route.Reply
	changeActions func(a []route.Action) []route.Action
}

func (b brokenPlan) Start(now time.Time) []route.Action { return b.changeActions(b.planner.Start(now)) }

func (b brokenPlan) HandleTimers(now time.Time) []route.Action {
	return b.changeActions(b.planner.HandleTimers(now))
}

func (b brokenPlan) HandleReply(now time.Time, r route.Reply) []route.Action {
	return b.changeActions(b.planner.HandleReply(now, b.changeReply(r)))
}

// onFinish returns a function that replaces a trailing Finish action by the result of change.
func onFinish(change func(f route.Action) []route.Action) func([]route.Action) []route.Action {
	return func(acts []route.Action) []route.Action {
		if n := len(acts) - 1; n >= 0 && acts[n].Kind == route.Finish {
			return append(acts[:n:n], change(acts[n])...)
		}
		return acts
	}
}

// Guards against a checker that misses violations: each brokenPlan of this test violates one invariant, and the checker has
// to report the violation with the name of the invariant as prefix.
func TestCheckerCatchesBrokenPolicies(t *testing.T) {
	same := func(r route.Reply) route.Reply { return r }
	keep := func(a []route.Action) []route.Action { return a }
	setCode := func(c codes.Code, when func(route.Outcome) bool) func([]route.Action) []route.Action {
		return onFinish(func(f route.Action) []route.Action {
			if when(f.Outcome) {
				f.Outcome.Code = c
			}
			return []route.Action{f}
		})
	}
	policies := map[string]func(h *history) (func(route.Reply) route.Reply, func([]route.Action) []route.Action){
		"finish": func(*history) (func(route.Reply) route.Reply, func([]route.Action) []route.Action) {
			return same, onFinish(func(route.Action) []route.Action { return nil })
		},
		"after finish": func(*history) (func(route.Reply) route.Reply, func([]route.Action) []route.Action) {
			return same, onFinish(func(f route.Action) []route.Action { return []route.Action{f, f} })
		},
		"snapshot": func(h *history) (func(route.Reply) route.Reply, func([]route.Action) []route.Action) {
			return func(r route.Reply) route.Reply {
				r.Generation, r.Version = h.attempts[r.Attempt-1].Generation, h.attempts[r.Attempt-1].Version
				for i := range r.Parts {
					r.Parts[i].Documents = 0 // keeps the coverage correct, so that only the hits show the mixture of snapshots
				}
				return r
			}, keep
		},
		"coverage": func(*history) (func(route.Reply) route.Reply, func([]route.Action) []route.Action) {
			return func(r route.Reply) route.Reply {
				for i := range r.Parts {
					r.Parts[i].Documents = 1000 // makes the plan count an incomplete part as complete
				}
				return r
			}, keep
		},
		"minimum": func(*history) (func(route.Reply) route.Reply, func([]route.Action) []route.Action) {
			return same, setCode(codes.Partial, func(o route.Outcome) bool { return o.Code == codes.CoverageTooLow })
		},
		"not run": func(*history) (func(route.Reply) route.Reply, func([]route.Action) []route.Action) {
			return same, setCode(codes.Overloaded, func(o route.Outcome) bool { return o.Code == codes.TargetFailed })
		},
		"wake": func(h *history) (func(route.Reply) route.Reply, func([]route.Action) []route.Action) {
			return same, func(acts []route.Action) []route.Action {
				for i := range acts {
					acts[i].At = h.query.Deadline // leaves out the wake-ups for hedges and timeouts
				}
				return acts
			}
		},
	}
	for want, policy := range policies {
		caught := false
		for seed := uint64(0); seed < 2000 && !caught; seed++ {
			rnd := rand.New(rand.NewPCG(seed, 1))
			err := newHistory(rnd.IntN).run(func(p *route.Plan, h *history) planner {
				in, out := policy(h)
				return brokenPlan{planner: p, changeReply: in, changeActions: out}
			})
			caught = err != nil && strings.HasPrefix(err.Error(), want)
		}
		assert.Assert(t, caught, want)
	}
}
