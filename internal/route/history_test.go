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

// planner is a Plan or a deliberately broken one.
type planner interface {
	Start(now time.Time) []route.Action
	Reply(now time.Time, r route.Reply) []route.Action
	Tick(now time.Time) []route.Action
}

// drawFunc returns a number from 0 to n-1.
type drawFunc func(n int) int

// sent is what the checker knows of one attempt.
type sent struct {
	route.Action
	at        time.Time
	code      codes.Code // of the end that reached the plan
	ended     bool
	cancelled bool
}

// history drives a plan with generated events and checks each action against what was really sent and replied.
type history struct {
	draw     drawFunc
	view     *route.View
	query    route.Query
	plan     planner
	now      time.Time
	wake     time.Time
	attempts []*sent
	replied  map[string]uint64 // documents by snapshot and shard, as truly replied to an open attempt
	outcomes []route.Outcome
}

func generate(d drawFunc) *history {
	h := &history{draw: d, now: startTime, replied: map[string]uint64{}, view: replicaSetView(1+d(4), 1+d(3), 1+d(3))}
	first := &h.view.Service.Partitions[0]
	for i := range first.Shards {
		first.Shards[i].Documents = uint64(d(3) * 10)
	}
	if d(2) == 0 {
		second := plat.Partition{Generation: uint64(1 + d(2)), Version: 2}
		for i, s := range first.Shards {
			if i%2 == 0 || second.Generation == 1 {
				second.Shards = append(second.Shards, plat.Shard{ID: s.ID, Documents: s.Documents + uint64(d(3)), Targets: s.Targets})
			}
		}
		h.view.Service.Partitions = append(h.view.Service.Partitions, second)
	}
	h.view.AttemptTimeout = time.Duration(d(2)) * 100 * time.Millisecond
	h.query = route.Query{
		Deadline: at(deadline), MinCoverage: float64(d(5)) / 4, Suspect: d(4) == 0,
		Prefer: []rules.Prefer{rules.Latency, rules.Coverage}[d(2)],
	}
	return h
}

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
	if err := h.check(h.plan.Tick(h.now)); err != nil {
		return err
	}
	for _, a := range h.attempts {
		if err := h.check(h.plan.Reply(h.now, h.reply(a))); err != nil {
			return err
		}
	}
	if len(h.outcomes) != 1 {
		return fmt.Errorf("finish: %d outcomes", len(h.outcomes))
	}
	return h.checkOutcome(h.outcomes[0])
}

func (h *history) step() error {
	if h.draw(3) == 0 || len(h.attempts) == 0 {
		h.now = h.now.Add(time.Duration(h.draw(12)) * time.Millisecond)
	}
	if len(h.outcomes) == 0 && !h.now.Before(h.wake) {
		return h.check(h.plan.Tick(h.now))
	}
	if len(h.attempts) == 0 {
		return nil
	}
	a := h.attempts[h.draw(len(h.attempts))]
	return h.check(h.plan.Reply(h.now, h.reply(a)))
}

// reply makes a reply to any attempt, also to one that has ended, and records what it truly covers.
func (h *history) reply(a *sent) route.Reply {
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
	open := !a.ended && !a.cancelled && len(h.outcomes) == 0
	for _, id := range shards {
		docs := uint64(h.draw(4) * 10)
		if h.draw(2) == 0 {
			docs = 1000
		}
		key := fmt.Sprintf("%d/%d/%d", r.Generation, r.Version, id)
		r.Parts = append(r.Parts, target.Part{Shard: id, Documents: docs, Hits: []wire.Hit{{Shard: id, ID: key}}})
		own := r.Generation == a.Generation && r.Version == a.Version && slices.Contains(a.Shards, id)
		if open && r.Code.OK() && own {
			h.replied[key] = max(h.replied[key], docs)
		}
	}
	if open {
		a.ended, a.code = true, r.Code
	}
	return r
}

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
			h.attempts = append(h.attempts, &sent{Action: a, at: h.now})
		case route.Cancel:
			s := h.attempts[a.Attempt-1]
			if s.ended || s.cancelled {
				return fmt.Errorf("cancel: attempt %d has ended", a.Attempt)
			}
			s.cancelled = true
		case route.Wake:
			h.wake = a.At
		case route.Finish:
			h.outcomes = append(h.outcomes, a.Outcome)
		}
	}
	open := slices.ContainsFunc(h.attempts, func(a *sent) bool { return !a.ended && !a.cancelled })
	if len(h.outcomes) == 0 && !open {
		return fmt.Errorf("finish: nothing runs")
	}
	if due := h.latestWake(); len(h.outcomes) == 0 && (h.wake.IsZero() || h.wake.After(due)) {
		return fmt.Errorf("wake: at %v, due at %v", h.wake, due)
	}
	return nil
}

// latestWake is the latest time at which the plan must be called: the deadline, the timeout of a running attempt, or the
// time to hedge one whose shards have had no hedge.
func (h *history) latestWake() time.Time {
	due := h.query.Deadline
	for _, a := range h.attempts {
		if a.ended || a.cancelled {
			continue
		}
		if end := a.at.Add(h.view.AttemptTimeout); h.view.AttemptTimeout > 0 && end.Before(due) {
			due = end
		}
		if look := a.at.Add(hedgeAfter); !h.query.Suspect && look.After(h.now) && look.Before(due) && !h.hedged(a) {
			due = look
		}
	}
	return due
}

func (h *history) hedged(a *sent) bool {
	return slices.ContainsFunc(h.attempts, func(s *sent) bool { return s.Hedge && overlap(s.Action, a.Action) })
}

// overlap reports whether two attempts ask for a shard of the same snapshot.
func overlap(a, b route.Action) bool {
	return a.Generation == b.Generation && a.Version == b.Version &&
		slices.ContainsFunc(a.Shards, func(id uint32) bool { return slices.Contains(b.Shards, id) })
}

func (h *history) checkSend(a route.Action) error {
	if a.Hedge && h.query.Suspect {
		return fmt.Errorf("hedge: of a suspect")
	}
	for _, s := range h.attempts {
		if !overlap(s.Action, a) {
			continue
		}
		if s.Target == a.Target && s.code != codes.NotDispatcher {
			return fmt.Errorf("tried: %s twice", a.Target)
		}
		if s.Hedge && a.Hedge {
			return fmt.Errorf("hedge: second one")
		}
		if h.query.Suspect && s.code.Ran() == codes.Unknown {
			return fmt.Errorf("suspect: retried while its first run may go on")
		}
	}
	return nil
}

func (h *history) checkOutcome(o route.Outcome) error {
	var covered, total uint64
	complete := false
	for _, part := range h.view.Service.Partitions {
		if part.Generation != o.Generation || part.Version != o.Version {
			continue
		}
		complete = len(part.Shards) > 0
		for _, s := range part.Shards {
			docs, got := h.replied[fmt.Sprintf("%d/%d/%d", o.Generation, o.Version, s.ID)]
			covered += min(docs, s.Documents)
			total += s.Documents
			complete = complete && got && docs >= s.Documents
		}
	}
	if o.Covered != covered || o.Total != total || o.Complete != complete || (o.Code == codes.Complete) != complete {
		return fmt.Errorf("coverage: %d/%d %v %v, truly %d/%d %v", o.Covered, o.Total, o.Complete, o.Code, covered, total, complete)
	}
	for _, hit := range o.Hits {
		if !strings.HasPrefix(hit.ID, fmt.Sprintf("%d/%d/", o.Generation, o.Version)) {
			return fmt.Errorf("snapshot: hit %s in %d/%d", hit.ID, o.Generation, o.Version)
		}
	}
	if o.Code == codes.Partial && (covered == 0 || float64(covered) < h.query.MinCoverage*float64(total)) {
		return fmt.Errorf("minimum: partial with %d of %d", covered, total)
	}
	return h.checkRan(o)
}

func (h *history) checkRan(o route.Outcome) error {
	for _, a := range h.attempts {
		if o.Code.Ran() == codes.NotRun && (!a.ended || a.code.Ran() != codes.NotRun) {
			return fmt.Errorf("not run: %v although attempt %d may have run", o.Code, a.Attempt)
		}
	}
	if o.Code.Ran() == codes.Unknown {
		return fmt.Errorf("not run: a query that ended is %v", o.Code)
	}
	return nil
}

func unchanged(p *route.Plan, _ *history) planner { return p }

// Guards against any history of late, repeated, reordered, wrong, short and missing replies that breaks P1, P2, P5 or P6.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d := func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "choice") }
		if err := generate(d).run(unchanged); err != nil {
			rt.Fatal(err)
		}
	})
}

// broken changes what goes into or comes out of a plan.
type broken struct {
	planner
	in  func(r route.Reply) route.Reply
	out func(a []route.Action) []route.Action
}

func (b broken) Start(now time.Time) []route.Action { return b.out(b.planner.Start(now)) }
func (b broken) Tick(now time.Time) []route.Action  { return b.out(b.planner.Tick(now)) }
func (b broken) Reply(now time.Time, r route.Reply) []route.Action {
	return b.out(b.planner.Reply(now, b.in(r)))
}

func onFinish(change func(f route.Action) []route.Action) func([]route.Action) []route.Action {
	return func(acts []route.Action) []route.Action {
		if n := len(acts) - 1; n >= 0 && acts[n].Kind == route.Finish {
			return append(acts[:n:n], change(acts[n])...)
		}
		return acts
	}
}

// Guards against a checker that can't fail: each of these policies breaks one invariant and has to be caught.
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
					r.Parts[i].Documents = 0 // keeps the coverage true, so that only the hits show the mixture
				}
				return r
			}, keep
		},
		"coverage": func(*history) (func(route.Reply) route.Reply, func([]route.Action) []route.Action) {
			return func(r route.Reply) route.Reply {
				for i := range r.Parts {
					r.Parts[i].Documents = 1000 // counts a short part in full
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
					acts[i].At = h.query.Deadline // forgets hedges and timeouts
				}
				return acts
			}
		},
	}
	for want, policy := range policies {
		caught := false
		for seed := uint64(0); seed < 2000 && !caught; seed++ {
			rnd := rand.New(rand.NewPCG(seed, 1))
			err := generate(rnd.IntN).run(func(p *route.Plan, h *history) planner {
				in, out := policy(h)
				return broken{planner: p, in: in, out: out}
			})
			caught = err != nil && strings.HasPrefix(err.Error(), want)
		}
		assert.Assert(t, caught, want)
	}
}
