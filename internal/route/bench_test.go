package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/fuchsiarelay/fuchsiarelay/internal/route"
)

// BenchmarkPlan measures the cost of a query whose attempts all succeed, with an index of its own and with a shared one.
func BenchmarkPlan(b *testing.B) {
	for _, sets := range []int{10, 50, 150} {
		for _, shardsPerSet := range []int{1, 10} {
			b.Run(fmt.Sprintf("targets=%d/shards=%d", sets, sets*shardsPerSet), func(b *testing.B) {
				benchPlan(b, replicaSetView(sets, shardsPerSet, 3))
			})
			b.Run(fmt.Sprintf("targets=%d/shards=%d/index=shared", sets, sets*shardsPerSet), func(b *testing.B) {
				v := replicaSetView(sets, shardsPerSet, 3)
				v.Index = route.NewIndex(v.Service)
				benchPlan(b, v)
			})
		}
	}
}

func benchPlan(b *testing.B, v *route.View) {
	b.ReportAllocs()
	budget := route.NewBudget(0.05, 0.1)
	rnd := rand.New(rand.NewPCG(1, 2))
	replies := []route.Reply{}
	for _, s := range sendActions(route.New(route.Config{}, v, withDefaults(route.Query{}), budget, rnd).Start(startTime)) {
		replies = append(replies, completeReply(s))
	}
	for b.Loop() {
		p := route.New(route.Config{}, v, withDefaults(route.Query{}), budget, rnd)
		p.Start(startTime)
		for _, r := range replies {
			p.HandleReply(at(1), r)
		}
	}
}
