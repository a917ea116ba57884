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

const (
	hedgeAfter = 20 * time.Millisecond
	deadline   = 300 * time.Millisecond
)

var startTime = time.Unix(1000, 0)

// at returns the time that is d after the start of the query.
func at(d time.Duration) time.Time { return startTime.Add(d) }

// replicaSetView returns the view of a service whose shards of 10 documents are spread over sets of replicas: shard i is on
// set i modulo sets, and set k consists of the targets tk-0 to tk-(replicas-1). The service has one partition of generation
// 1 for each version, or only version 1 if none is given.
func replicaSetView(sets, shardsPerSet, replicas int, versions ...uint64) *route.View {
	if len(versions) == 0 {
		versions = []uint64{1}
	}
	v := &route.View{Service: plat.Service{Name: "ledger"}, Replicas: map[string]route.Replica{}, HedgeAfter: hedgeAfter}
	for _, version := range versions {
		part := plat.Partition{Generation: 1, Version: version}
		for i := range sets * shardsPerSet {
			s := plat.Shard{ID: uint32(i), Documents: 10}
			for r := range replicas {
				id := fmt.Sprintf("t%d-%d", i%sets, r)
				s.Targets = append(s.Targets, id)
				v.Replicas[id] = route.Replica{Available: true, Wait: time.Duration(1+r) * time.Millisecond}
			}
			part.Shards = append(part.Shards, s)
		}
		v.Service.Partitions = append(v.Service.Partitions, part)
	}
	for id := range v.Replicas {
		v.Service.Targets = append(v.Service.Targets, plat.Target{ID: id})
	}
	return v
}

// newPlan returns a plan with default settings and its own budget, which allows one hedge and one retry per first attempt.
func newPlan(v *route.View, q route.Query) *route.Plan {
	return route.New(route.Config{}, v, withDefaults(q), route.NewBudget(1, 1), rand.New(rand.NewPCG(1, 2)))
}

// withDefaults fills in the deadline and the preference of the query if they are not set.
func withDefaults(q route.Query) route.Query {
	if q.Deadline.IsZero() {
		q.Deadline = at(deadline)
	}
	if q.Prefer == "" {
		q.Prefer = rules.PreferCoverage
	}
	return q
}

func sendActions(acts []route.Action) []route.Action { return ofKind(acts, route.Send) }

// ofKind returns the actions of the kind.
func ofKind(acts []route.Action, k route.ActionKind) []route.Action {
	var out []route.Action
	for _, a := range acts {
		if a.Kind == k {
			out = append(out, a)
		}
	}
	return out
}

// finishOutcome returns the outcome of the only Finish action, and fails the test if there is not exactly one.
func finishOutcome(t *testing.T, acts []route.Action) route.Outcome {
	t.Helper()
	f := ofKind(acts, route.Finish)
	assert.Equal(t, len(f), 1, "%+v", acts)
	return f[0].Outcome
}

// completeReply returns a reply that covers all documents of all shards of the attempt.
func completeReply(a route.Action) route.Reply {
	r := route.Reply{Attempt: a.Attempt, Code: codes.Complete, Generation: a.Generation, Version: a.Version}
	for _, id := range a.Shards {
		r.Parts = append(r.Parts, target.Part{Shard: id, Documents: 10})
	}
	return r
}

// failedReply returns a reply without parts and with the code.
func failedReply(a route.Action, c codes.Code) route.Reply {
	return route.Reply{Attempt: a.Attempt, Code: c}
}

// versionRefusal returns the reply of a target that refuses the snapshot of the attempt and serves the given versions of
// generation 1.
func versionRefusal(a route.Action, versions ...uint64) route.Reply {
	r := failedReply(a, codes.TargetRefused)
	for _, v := range versions {
		r.Served = append(r.Served, target.Served{Service: "ledger", Generation: 1, Version: v})
	}
	return r
}
