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

// Guards against reporting "not run" for a query of which one sub-request was refused and another was executed. This would
// violate property P6 of the design: a query is reported as not run only if no target ran it.
func TestNotRunOnlyIfNoAttemptRan(t *testing.T) {
	p := newPlan(replicaSetView(2, 1, 1), route.Query{})
	sends := sendActions(p.Start(startTime))
	p.HandleReply(at(1), failedReply(sends[0], codes.TargetFailed))
	assert.Equal(t, finishOutcome(t, p.HandleReply(at(2), failedReply(sends[1], codes.Overloaded))).Code.Ran(), codes.Did)

	p = newPlan(replicaSetView(2, 1, 1), route.Query{})
	sends = sendActions(p.Start(startTime))
	p.HandleReply(at(1), failedReply(sends[0], codes.Overloaded))
	assert.Equal(t, finishOutcome(t, p.HandleReply(at(2), failedReply(sends[1], codes.TargetRefused))).Code.Ran(), codes.NotRun)
}

// Guards against counting parts of shards that the attempt did not request, and parts of a failed reply.
func TestPartsOfOtherShardsAreIgnored(t *testing.T) {
	p := newPlan(replicaSetView(2, 1, 1), route.Query{})
	sends := sendActions(p.Start(startTime))
	r := completeReply(sends[0])
	r.Parts = append(r.Parts, completeReply(sends[1]).Parts...)
	assert.Equal(t, len(ofKind(p.HandleReply(at(1), r), route.Finish)), 0)
	r = completeReply(sends[1])
	r.Code = codes.TargetFailed
	assert.Equal(t, finishOutcome(t, p.HandleReply(at(2), r)).Covered, uint64(10))
}

// Guards against losing the hedge when HandleTimers is called early.
func TestEarlyHandleTimersKeepsWake(t *testing.T) {
	p := newPlan(replicaSetView(1, 2, 2), route.Query{})
	p.Start(startTime)
	wakes := ofKind(p.HandleTimers(at(time.Millisecond)), route.Wake)
	assert.Equal(t, wakes[len(wakes)-1].At, at(hedgeAfter))
	assert.Equal(t, len(sendActions(p.HandleTimers(at(hedgeAfter)))), 1)
}

// Guards against an attempt that keeps its slot at the target after its hedge has answered.
func TestLoserOfHedgeIsCanceled(t *testing.T) {
	p := newPlan(replicaSetView(2, 1, 2), route.Query{})
	sends := sendActions(p.Start(startTime))
	hedges := sendActions(p.HandleTimers(at(hedgeAfter)))
	assert.Equal(t, len(hedges), 2)
	loser := sends[0]
	if loser.Shards[0] != hedges[0].Shards[0] {
		loser = sends[1]
	}
	cancels := ofKind(p.HandleReply(at(hedgeAfter+1), completeReply(hedges[0])), route.Cancel)
	assert.Equal(t, len(cancels), 1)
	assert.Equal(t, cancels[0].Attempt, loser.Attempt)
}

// Guards against a retry that goes to the replica where the hedge of the same shards is running.
func TestRetryDoesNotRepeatHedge(t *testing.T) {
	p := newPlan(replicaSetView(1, 1, 2), route.Query{})
	sends := sendActions(p.Start(startTime))
	assert.Equal(t, len(sendActions(p.HandleTimers(at(hedgeAfter)))), 1)
	assert.Equal(t, len(sendActions(p.HandleReply(at(hedgeAfter+1), failedReply(sends[0], codes.TargetFailed)))), 0)
}

// Guards against taking a hedge from the budget when there is no replica to send it to.
func TestUnsentHedgeTakesNoBudget(t *testing.T) {
	b := route.NewBudget(0, 0)
	p := route.New(route.Config{}, replicaSetView(1, 1, 1), withDefaults(route.Query{}), b, rand.New(rand.NewPCG(1, 2)))
	p.Start(startTime)
	p.HandleTimers(at(hedgeAfter))
	assert.Assert(t, b.AllowHedge())
}

// Guards against a retry of a suspect query while its first execution may still be running, and against more than one retry
// of it. A suspect query may crash each target that runs it.
func TestSuspectRetriesOnce(t *testing.T) {
	p := newPlan(replicaSetView(3, 1, 3), route.Query{Suspect: true})
	sends := sendActions(p.Start(startTime))
	assert.Equal(t, len(sendActions(p.HandleTimers(at(hedgeAfter)))), 0)
	assert.Equal(t, len(sendActions(p.HandleReply(at(hedgeAfter), failedReply(sends[0], codes.OutcomeUnknown)))), 0)
	assert.Equal(t, len(sendActions(p.HandleReply(at(hedgeAfter), failedReply(sends[1], codes.TargetFailed)))), 1)
	assert.Equal(t, len(sendActions(p.HandleReply(at(hedgeAfter), failedReply(sends[2], codes.TargetFailed)))), 0)
}

// Guards against a query that fails although all targets serve another snapshot, and against an answer that mixes the parts
// of two snapshots.
func TestReplanOnce(t *testing.T) {
	p := newPlan(replicaSetView(2, 1, 2, 1, 2), route.Query{MinCoverage: 1})
	sends := sendActions(p.Start(startTime))
	assert.Equal(t, sends[0].Version, uint64(2))
	p.HandleReply(at(1), completeReply(sends[0]))
	other := sendActions(p.HandleReply(at(2), versionRefusal(sends[1], 1)))
	assert.Equal(t, other[0].Version, uint64(2), "another replica of the pinned snapshot comes first")
	again := sendActions(p.HandleReply(at(3), versionRefusal(other[0], 1)))
	assert.Equal(t, len(again), 2)
	assert.Equal(t, again[0].Version, uint64(1))
	late := completeReply(sends[0])
	assert.Equal(t, len(p.HandleReply(at(4), late)), 0)
	p.HandleReply(at(5), completeReply(again[0]))
	out := finishOutcome(t, p.HandleReply(at(6), completeReply(again[1])))
	assert.Equal(t, out.Code, codes.Complete)
	assert.Equal(t, out.Version, uint64(1))
}

// Guards against waiting for stragglers when the class prefers latency and the minimum coverage is reached.
func TestPreferLatencyAnswersPartial(t *testing.T) {
	p := newPlan(replicaSetView(4, 1, 2), route.Query{MinCoverage: 0.5, Prefer: rules.PreferLatency})
	sends := sendActions(p.Start(startTime))
	for _, a := range sends[:3] {
		assert.Equal(t, len(ofKind(p.HandleReply(at(1), completeReply(a)), route.Finish)), 0)
	}
	assert.Equal(t, len(sendActions(p.HandleTimers(at(hedgeAfter)))), 1)
	acts := p.HandleTimers(at(2 * hedgeAfter))
	assert.Equal(t, finishOutcome(t, acts).Code, codes.Partial)
	assert.Equal(t, len(ofKind(acts, route.Cancel)), 2)
}

// Guards against running a query until its deadline when the minimum coverage can't be reached any more.
func TestFinishesWhenMinimumIsOutOfReach(t *testing.T) {
	p := newPlan(replicaSetView(4, 1, 1), route.Query{MinCoverage: 1})
	sends := sendActions(p.Start(startTime))
	p.HandleReply(at(1), completeReply(sends[0]))
	out := finishOutcome(t, p.HandleReply(at(2), failedReply(sends[1], codes.TargetFailed)))
	assert.Equal(t, out.Code, codes.CoverageTooLow)
	assert.Equal(t, out.Covered, uint64(10))
}

// Guards against floating-point rounding that accepts a minimum coverage of 1 although a document is missing.
func TestMinimumCoverageOfOneIsExact(t *testing.T) {
	v := replicaSetView(2, 1, 1)
	v.Service.Partitions[0].Shards[0].Documents = 1 << 60
	v.Service.Partitions[0].Shards[1].Documents = 1
	p := newPlan(v, route.Query{MinCoverage: 1})
	sends := sendActions(p.Start(startTime))
	big := completeReply(sends[0])
	big.Parts = []target.Part{{Shard: 0, Documents: 1 << 60}}
	p.HandleReply(at(1), big)
	assert.Equal(t, finishOutcome(t, p.HandleReply(at(2), failedReply(sends[1], codes.TargetFailed))).Code, codes.CoverageTooLow)
}

// Guards against sending sub-requests of a query that starts after its deadline, and against reporting that the query may
// have run.
func TestStartAfterDeadlineIsNotRun(t *testing.T) {
	p := newPlan(replicaSetView(1, 1, 1), route.Query{})
	acts := p.Start(at(deadline))
	assert.Equal(t, len(sendActions(acts)), 0)
	assert.Equal(t, finishOutcome(t, acts).Code, codes.DeadlineTooShort)
}

// Guards against version refusals that use up the retry budget during the roll-out of a version, so that a plan with many
// attempts can't move to the other snapshot.
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
		out = p.HandleReply(at(1), r)
		queue = append(queue[1:], sendActions(out)...)
	}
	assert.Equal(t, finishOutcome(t, out).Code, codes.Complete)
}

// Guards against an attempt without a reply that keeps its slot and blocks the retry of its shards until the deadline.
func TestAttemptTimeout(t *testing.T) {
	v := replicaSetView(1, 1, 3)
	v.HedgeAfter, v.AttemptTimeout = 0, 50*time.Millisecond
	p := newPlan(v, route.Query{})
	acts := p.Start(startTime)
	assert.Equal(t, ofKind(acts, route.Wake)[0].At, at(v.AttemptTimeout))
	for n := range 3 {
		now := at(time.Duration(n+1) * v.AttemptTimeout)
		acts = p.HandleTimers(now)
		assert.Equal(t, len(ofKind(acts, route.Cancel)), 1)
		assert.Equal(t, len(sendActions(acts)), min(1, 2-n))
	}
	assert.Equal(t, finishOutcome(t, acts).Code, codes.TargetFailed)
}

// Guards against giving up a target because one of its dispatchers may not send, and against retrying after a refusal that
// every replica would repeat.
func TestRetryByCode(t *testing.T) {
	for code, want := range map[codes.Code]int{
		codes.NotDispatcher: 1, codes.StaleView: 1, codes.Overloaded: 0, codes.TargetFailed: 0, codes.Quarantined: 0,
	} {
		p := newPlan(replicaSetView(1, 1, 1), route.Query{})
		sends := sendActions(p.Start(startTime))
		assert.Equal(t, len(sendActions(p.HandleReply(at(1), failedReply(sends[0], code)))), want, code.Name())
	}
	p := newPlan(replicaSetView(1, 1, 3), route.Query{})
	sends := sendActions(p.Start(startTime))
	out := finishOutcome(t, p.HandleReply(at(1), failedReply(sends[0], codes.Quarantined)))
	assert.Equal(t, out.Code, codes.Quarantined)
}

// Guards against refusing a query because the snapshot with the most documents can't reach the minimum coverage, although
// another snapshot can.
func TestChoosesSnapshotThatMeetsMinimum(t *testing.T) {
	v := replicaSetView(2, 1, 1, 1, 2)
	v.Service.Partitions[1].Shards[0].Documents = 30
	v.Service.Partitions[1].Shards[1].Targets = []string{"gone"}
	p := newPlan(v, route.Query{MinCoverage: 1})
	sends := sendActions(p.Start(startTime))
	assert.Equal(t, len(sends), 2)
	assert.Equal(t, sends[0].Version, uint64(1))
}

// Guards against merging parts of two generations with overlapping shard ids while the index is being repartitioned.
func TestGenerationsAreNotMerged(t *testing.T) {
	v := replicaSetView(2, 1, 2, 1, 1)
	v.Service.Partitions[1].Generation = 2
	p := newPlan(v, route.Query{})
	sends := sendActions(p.Start(startTime))
	assert.Equal(t, sends[0].Generation, uint64(2))
	old := completeReply(sends[0])
	old.Generation = 1
	assert.Equal(t, len(sendActions(p.HandleReply(at(1), old))), 1, "the shards are requested from another replica")
	out := finishOutcome(t, p.HandleTimers(at(deadline)))
	assert.Equal(t, out.Covered, uint64(0))
	assert.Equal(t, out.Code, codes.DeadlineExceeded)
}

// Guards against a hedge that is sent to a replica with a longer expected wait than another one.
func TestHedgeGoesToLeastLoaded(t *testing.T) {
	v := replicaSetView(1, 3, 4)
	v.Replicas["t0-1"] = route.Replica{Available: true, Wait: 9 * time.Millisecond}
	p := newPlan(v, route.Query{})
	p.Start(startTime)
	hedges := sendActions(p.HandleTimers(at(hedgeAfter)))
	assert.Equal(t, len(hedges), 1)
	assert.Equal(t, hedges[0].Target, "t0-2")
	assert.Equal(t, len(hedges[0].Shards), 3)
	assert.Equal(t, len(sendActions(p.HandleTimers(at(2*hedgeAfter)))), 0, "one hedge per group")
}

// Guards against retries that multiply the load when all targets fail.
func TestRetriesStayWithinBudget(t *testing.T) {
	const queries, sets, fullBucket = 200, 10, 20 // fullBucket: retries that a new budget holds
	b := route.NewBudget(route.DefaultHedgeShare, route.DefaultRetryShare)
	total := 0
	for range queries {
		p := route.New(route.Config{}, replicaSetView(sets, 1, 3), withDefaults(route.Query{}), b, rand.New(rand.NewPCG(1, 2)))
		for queue := sendActions(p.Start(startTime)); len(queue) > 0; queue = queue[1:] {
			total++
			queue = append(queue, sendActions(p.HandleReply(at(1), failedReply(queue[0], codes.TargetFailed)))...)
		}
	}
	assert.Assert(t, float64(total) <= queries*sets*(1+route.DefaultRetryShare)+fullBucket, total)
}

// ringView returns the view of a service with one target per wait. Shard i is on the targets i and i+1, modulo the number of
// targets.
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

// Guards against sub-requests that could be saved by choosing among replicas that are nearly equally fast.
func TestNearlyEqualReplicasAreGrouped(t *testing.T) {
	ms := time.Millisecond
	// The fastest of each shard are t0, t1 and t3; t1 and t3 hold all shards.
	assert.Equal(t, len(sendActions(newPlan(ringView(11*ms, 10*ms, 13*ms, 12*ms), route.Query{}).Start(startTime))), 2)
	// A replica that is much slower isn't chosen to save a sub-request.
	for _, s := range sendActions(newPlan(ringView(40*ms, 10*ms, 10*ms, 10*ms), route.Query{}).Start(startTime)) {
		assert.Assert(t, s.Target != "t0")
	}
}
