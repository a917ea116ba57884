package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsiarelay/fuchsiarelay/internal/route"
	"github.com/fuchsiarelay/fuchsiarelay/internal/rules"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/codes"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/target"
)

// Guards against a refusal "not run" for a query that another target has run (P6).
func TestNotRunOnlyIfNoAttemptRan(t *testing.T) {
	p := newPlan(replicaSetView(2, 1, 1), route.Query{})
	s := sendActions(p.Start(startTime))
	p.Reply(at(1), failedReply(s[0], codes.TargetFailed))
	assert.Equal(t, finishOutcome(t, p.Reply(at(2), failedReply(s[1], codes.Overloaded))).Code.Ran(), codes.Did)

	p = newPlan(replicaSetView(2, 1, 1), route.Query{})
	s = sendActions(p.Start(startTime))
	p.Reply(at(1), failedReply(s[0], codes.Overloaded))
	assert.Equal(t, finishOutcome(t, p.Reply(at(2), failedReply(s[1], codes.TargetRefused))).Code.Ran(), codes.NotRun)
}

// Guards against counting a shard that the attempt was not asked for, and parts of a failed reply.
func TestPartsOnlyOfAskedShards(t *testing.T) {
	p := newPlan(replicaSetView(2, 1, 1), route.Query{})
	s := sendActions(p.Start(startTime))
	r := completeReply(s[0])
	r.Parts = append(r.Parts, completeReply(s[1]).Parts...)
	assert.Equal(t, len(ofKind(p.Reply(at(1), r), route.Finish)), 0)
	r = completeReply(s[1])
	r.Code = codes.TargetFailed
	assert.Equal(t, finishOutcome(t, p.Reply(at(2), r)).Covered, uint64(10))
}

// Guards against losing the hedge when Tick is called early.
func TestEarlyTickKeepsWake(t *testing.T) {
	p := newPlan(replicaSetView(1, 2, 2), route.Query{})
	p.Start(startTime)
	w := ofKind(p.Tick(at(time.Millisecond)), route.Wake)
	assert.Equal(t, w[len(w)-1].At, at(hedgeAfter))
	assert.Equal(t, len(sendActions(p.Tick(at(hedgeAfter)))), 1)
}

// Guards against leaving the loser of a hedge in its slot.
func TestLoserOfHedgeIsCancelled(t *testing.T) {
	p := newPlan(replicaSetView(2, 1, 2), route.Query{})
	s := sendActions(p.Start(startTime))
	h := sendActions(p.Tick(at(hedgeAfter)))
	assert.Equal(t, len(h), 2)
	loser := s[0]
	if loser.Shards[0] != h[0].Shards[0] {
		loser = s[1]
	}
	c := ofKind(p.Reply(at(hedgeAfter+1), completeReply(h[0])), route.Cancel)
	assert.Equal(t, len(c), 1)
	assert.Equal(t, c[0].Attempt, loser.Attempt)
}

// Guards against a retry that goes to the replica where the hedge of the same shards runs.
func TestRetryDoesNotRepeatHedge(t *testing.T) {
	p := newPlan(replicaSetView(1, 1, 2), route.Query{})
	s := sendActions(p.Start(startTime))
	assert.Equal(t, len(sendActions(p.Tick(at(hedgeAfter)))), 1)
	assert.Equal(t, len(sendActions(p.Reply(at(hedgeAfter+1), failedReply(s[0], codes.TargetFailed)))), 0)
}

// Guards against taking budget for a hedge that has no replica to go to, and against several hedges for one token.
func TestBudgetIsTakenPerSend(t *testing.T) {
	b := route.NewBudget(0, 0)
	p := route.New(route.Config{}, replicaSetView(1, 1, 1), withDefaults(route.Query{}), b, rand.New(rand.NewPCG(1, 2)))
	p.Start(startTime)
	p.Tick(at(hedgeAfter))
	assert.Assert(t, b.AllowHedge())
}

// Guards against a crash suspect that runs a second time while its first run may go on, or runs on many targets again.
func TestSuspectRetriesOnce(t *testing.T) {
	p := newPlan(replicaSetView(3, 1, 3), route.Query{Suspect: true})
	s := sendActions(p.Start(startTime))
	assert.Equal(t, len(sendActions(p.Tick(at(hedgeAfter)))), 0)
	assert.Equal(t, len(sendActions(p.Reply(at(hedgeAfter), failedReply(s[0], codes.OutcomeUnknown)))), 0)
	assert.Equal(t, len(sendActions(p.Reply(at(hedgeAfter), failedReply(s[1], codes.TargetFailed)))), 1)
	assert.Equal(t, len(sendActions(p.Reply(at(hedgeAfter), failedReply(s[2], codes.TargetFailed)))), 0)
}

// Guards against a query that fails although another snapshot is served everywhere, and against a mixture of both.
func TestReplanOnce(t *testing.T) {
	p := newPlan(replicaSetView(2, 1, 2, 1, 2), route.Query{MinCoverage: 1})
	s := sendActions(p.Start(startTime))
	assert.Equal(t, s[0].Version, uint64(2))
	p.Reply(at(1), completeReply(s[0]))
	other := sendActions(p.Reply(at(2), versionRefusal(s[1], 1)))
	assert.Equal(t, other[0].Version, uint64(2), "another replica of the pinned snapshot comes first")
	again := sendActions(p.Reply(at(3), versionRefusal(other[0], 1)))
	assert.Equal(t, len(again), 2)
	assert.Equal(t, again[0].Version, uint64(1))
	late := completeReply(s[0])
	assert.Equal(t, len(p.Reply(at(4), late)), 0)
	p.Reply(at(5), completeReply(again[0]))
	out := finishOutcome(t, p.Reply(at(6), completeReply(again[1])))
	assert.Equal(t, out.Code, codes.Complete)
	assert.Equal(t, out.Version, uint64(1))
}

// Guards against waiting for stragglers of a class that prefers latency once its minimum is reached.
func TestPreferLatencyAnswersPartial(t *testing.T) {
	p := newPlan(replicaSetView(4, 1, 2), route.Query{MinCoverage: 0.5, Prefer: rules.Latency})
	s := sendActions(p.Start(startTime))
	for _, a := range s[:3] {
		assert.Equal(t, len(ofKind(p.Reply(at(1), completeReply(a)), route.Finish)), 0)
	}
	assert.Equal(t, len(sendActions(p.Tick(at(hedgeAfter)))), 1)
	acts := p.Tick(at(2 * hedgeAfter))
	assert.Equal(t, finishOutcome(t, acts).Code, codes.Partial)
	assert.Equal(t, len(ofKind(acts, route.Cancel)), 2)
}

// Guards against holding a query whose minimum can't be reached any more until its deadline.
func TestFinishesWhenMinimumIsOutOfReach(t *testing.T) {
	p := newPlan(replicaSetView(4, 1, 1), route.Query{MinCoverage: 1})
	s := sendActions(p.Start(startTime))
	p.Reply(at(1), completeReply(s[0]))
	out := finishOutcome(t, p.Reply(at(2), failedReply(s[1], codes.TargetFailed)))
	assert.Equal(t, out.Code, codes.CoverageTooLow)
	assert.Equal(t, out.Covered, uint64(10))
}

// Guards against float rounding that lets a minimum of 1 pass with a document missing, or refuses an exact minimum.
func TestMinimumIsExact(t *testing.T) {
	v := replicaSetView(2, 1, 1)
	v.Service.Partitions[0].Shards[0].Documents = 1 << 60
	v.Service.Partitions[0].Shards[1].Documents = 1
	p := newPlan(v, route.Query{MinCoverage: 1})
	s := sendActions(p.Start(startTime))
	big := completeReply(s[0])
	big.Parts = []target.Part{{Shard: 0, Documents: 1 << 60}}
	p.Reply(at(1), big)
	assert.Equal(t, finishOutcome(t, p.Reply(at(2), failedReply(s[1], codes.TargetFailed))).Code, codes.CoverageTooLow)
}

// Guards against an answer past the deadline that runs nothing but is sent, and says so wrongly.
func TestStartAfterDeadlineIsNotRun(t *testing.T) {
	p := newPlan(replicaSetView(1, 1, 1), route.Query{})
	acts := p.Start(at(deadline))
	assert.Equal(t, len(sendActions(acts)), 0)
	assert.Equal(t, finishOutcome(t, acts).Code, codes.DeadlineTooShort)
}

// Guards against a roll-out in which version refusals use up the retry budget, so that no plan can move.
func TestReplanOfWidePlan(t *testing.T) {
	v := replicaSetView(100, 1, 3, 1, 2)
	p := route.New(route.Config{}, v, withDefaults(route.Query{MinCoverage: 1}), route.NewBudget(0.05, 0.1), rand.New(rand.NewPCG(1, 2)))
	queue := sendActions(p.Start(startTime))
	var out []route.Action
	for len(queue) > 0 {
		r := completeReply(queue[0])
		if queue[0].Version == 2 {
			r = versionRefusal(queue[0], 1)
		}
		out = p.Reply(at(1), r)
		queue = append(queue[1:], sendActions(out)...)
	}
	assert.Equal(t, finishOutcome(t, out).Code, codes.Complete)
}

// Guards against an attempt that never answers and holds its slot and its shards until the deadline.
func TestAttemptTimeout(t *testing.T) {
	v := replicaSetView(1, 1, 3)
	v.HedgeAfter, v.AttemptTimeout = 0, 50*time.Millisecond
	p := newPlan(v, route.Query{})
	acts := p.Start(startTime)
	assert.Equal(t, ofKind(acts, route.Wake)[0].At, at(v.AttemptTimeout))
	for n := range 3 {
		now := at(time.Duration(n+1) * v.AttemptTimeout)
		acts = p.Tick(now)
		assert.Equal(t, len(ofKind(acts, route.Cancel)), 1)
		assert.Equal(t, len(sendActions(acts)), min(1, 2-n))
	}
	assert.Equal(t, finishOutcome(t, acts).Code, codes.TargetFailed)
}

// Guards against giving a target up because one of its dispatchers may not send, and against repeating a refusal
// that every replica would give.
func TestRetryByCode(t *testing.T) {
	for code, want := range map[codes.Code]int{
		codes.NotDispatcher: 1, codes.StaleView: 1, codes.Overloaded: 0, codes.TargetFailed: 0, codes.Quarantined: 0,
	} {
		p := newPlan(replicaSetView(1, 1, 1), route.Query{})
		s := sendActions(p.Start(startTime))
		assert.Equal(t, len(sendActions(p.Reply(at(1), failedReply(s[0], code)))), want, code.Name())
	}
	p := newPlan(replicaSetView(1, 1, 3), route.Query{})
	s := sendActions(p.Start(startTime))
	out := finishOutcome(t, p.Reply(at(1), failedReply(s[0], codes.Quarantined)))
	assert.Equal(t, out.Code, codes.Quarantined)
}

// Guards against refusing a query because the snapshot with the most documents can't reach the minimum, although
// another one can.
func TestChoosesSnapshotThatMeetsMinimum(t *testing.T) {
	v := replicaSetView(2, 1, 1, 1, 2)
	v.Service.Partitions[1].Shards[0].Documents = 30
	v.Service.Partitions[1].Shards[1].Targets = []string{"gone"}
	p := newPlan(v, route.Query{MinCoverage: 1})
	s := sendActions(p.Start(startTime))
	assert.Equal(t, len(s), 2)
	assert.Equal(t, s[0].Version, uint64(1))
}

// Guards against merging parts of two generations whose shard ids overlap while the index is repartitioned.
func TestGenerationsAreNotMerged(t *testing.T) {
	v := replicaSetView(2, 1, 2, 1, 1)
	v.Service.Partitions[1].Generation = 2
	p := newPlan(v, route.Query{})
	s := sendActions(p.Start(startTime))
	assert.Equal(t, s[0].Generation, uint64(2))
	old := completeReply(s[0])
	old.Generation = 1
	assert.Equal(t, len(sendActions(p.Reply(at(1), old))), 1, "asked again at another replica")
	out := finishOutcome(t, p.Tick(at(deadline)))
	assert.Equal(t, out.Covered, uint64(0))
	assert.Equal(t, out.Code, codes.DeadlineExceeded)
}

// Guards against a hedge that goes to a more loaded replica than necessary.
func TestHedgeGoesToLeastLoaded(t *testing.T) {
	v := replicaSetView(1, 3, 4)
	v.Replicas["t0-1"] = route.Replica{Available: true, Wait: 9 * time.Millisecond}
	p := newPlan(v, route.Query{})
	p.Start(startTime)
	h := sendActions(p.Tick(at(hedgeAfter)))
	assert.Equal(t, len(h), 1)
	assert.Equal(t, h[0].Target, "t0-2")
	assert.Equal(t, len(h[0].Shards), 3)
	assert.Equal(t, len(sendActions(p.Tick(at(2*hedgeAfter)))), 0, "one hedge per group")
}

// Guards against retries that multiply the load when all targets fail.
func TestRetriesStayWithinBudget(t *testing.T) {
	const queries, sets, savedUp = 200, 10, 20
	b := route.NewBudget(route.DefaultHedgeShare, route.DefaultRetryShare)
	total := 0
	for range queries {
		p := route.New(route.Config{}, replicaSetView(sets, 1, 3), withDefaults(route.Query{}), b, rand.New(rand.NewPCG(1, 2)))
		for queue := sendActions(p.Start(startTime)); len(queue) > 0; queue = queue[1:] {
			total++
			queue = append(queue, sendActions(p.Reply(at(1), failedReply(queue[0], codes.TargetFailed)))...)
		}
	}
	assert.Assert(t, float64(total) <= queries*sets*(1+route.DefaultRetryShare)+savedUp, total)
}

// ringView returns a service whose shard i is on the targets i and i+1 modulo the waits, which are those of the targets.
func ringView(waits ...time.Duration) *route.View {
	v := &route.View{Service: plat.Service{Name: "ledger"}, Replicas: map[string]route.Replica{}, HedgeAfter: hedgeAfter}
	part := plat.Partition{Generation: 1, Version: 1}
	for i, wait := range waits {
		id := fmt.Sprintf("t%d", i)
		v.Replicas[id] = route.Replica{Available: true, Wait: wait}
		next := fmt.Sprintf("t%d", (i+1)%len(waits))
		part.Shards = append(part.Shards, plat.Shard{ID: uint32(i), Documents: 10, Targets: []string{id, next}})
	}
	v.Service.Partitions = []plat.Partition{part}
	return v
}

// Guards against sub-requests that a choice between nearly equal replicas would spare.
func TestNearlyEqualReplicasAreGrouped(t *testing.T) {
	ms := time.Millisecond
	// The fastest of each shard are t0, t1 and t3; t1 and t3 hold all shards.
	assert.Equal(t, len(sendActions(newPlan(ringView(11*ms, 10*ms, 13*ms, 12*ms), route.Query{}).Start(startTime))), 2)
	// A replica that is much slower isn't taken to spare one.
	for _, s := range sendActions(newPlan(ringView(40*ms, 10*ms, 10*ms, 10*ms), route.Query{}).Start(startTime)) {
		assert.Assert(t, s.Target != "t0")
	}
}
