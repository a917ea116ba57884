package fanout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsiarelay/fuchsiarelay/internal/place"
	"github.com/fuchsiarelay/fuchsiarelay/internal/table"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/codes"
)

// Guards against requests that all leave out the same scarce shard and overload the others, so that nearly no request is
// answered in time. Four of ten shards have one target left, which is slow and can serve two thirds of the load. The route can
// do without one shard, so that no policy can answer more than 4*c/(4-1) of the requests, where c is the share that a shard can
// serve, each with a coverage of 0.9. The plan must reach half of that. The baseline, which asks all shards, stays under a
// sixth.
func TestSimulatedScarceShards(t *testing.T) {
	const (
		scarceShards, perSecond, slots = 4, 100, 2
		workTime, slowdown             = 7500 * time.Microsecond, 4
	)
	served := slots / (slowdown * workTime.Seconds()) / perSecond
	bound := min(scarceShards*served/(scarceShards-1), 1) * 0.9 * 0.9
	value, baseline := simulateLoad(t, func(s *sim) {
		for i := range scarceShards {
			for j := range 3 {
				target := s.targets[fmt.Sprintf("shard-%02d-t%d", i, j)]
				target.down = j > 0
				target.slowdown = func(time.Duration) float64 { return slowdown }
			}
		}
	}, perSecond, 2*time.Second, 12*time.Second)
	assert.Assert(t, value > bound/2, "value %v, bound %v", value, bound)
	assert.Assert(t, baseline < bound/6, "baseline %v, bound %v", baseline, bound)
}

// scarcePicker is a fakePicker that shuffles, and whose sends wait in queues.
type scarcePicker struct {
	*fakePicker
	rnd    *rand.Rand
	queues map[string]time.Duration // by service
}

func (p *scarcePicker) Pick(now time.Time, service string, tried []string) (*table.Target, place.Estimate, place.Availability) {
	t, estimate, availability := p.fakePicker.Pick(now, service, tried)
	queue := p.queues[service]
	return t, place.Estimate{Time: estimate.Time + queue, Queue: queue}, availability
}

func (p *scarcePicker) Shuffle(n int, swap func(i, j int)) { p.rnd.Shuffle(n, swap) }

// newScarcePicker returns a route of ten shards that can do without one, with a goal of 100 ms, and a picker with the given
// queues. A send takes 10 ms without a queue.
func newScarcePicker(queues map[string]time.Duration) (*table.Route, *scarcePicker) {
	r, fake := gatherRouteAndPicker(10, 0.89)
	fake.expected = map[string]time.Duration{}
	for _, s := range r.Gather {
		fake.expected[s] = 10 * time.Millisecond
	}
	return r, &scarcePicker{fake, rand.New(rand.NewPCG(1, 2)), queues}
}

// Each scarce shard is left out by its share of the requests, not one shard by all of them.
func TestScarceShardsAreLeftOutInTurn(t *testing.T) {
	queue := 30 * time.Millisecond
	r, picker := newScarcePicker(map[string]time.Duration{"shard-01": queue, "shard-02": queue, "shard-03": queue, "shard-04": queue})
	leftOut := map[string]int{}
	for range 400 {
		sent := map[string]bool{}
		for _, s := range sends(newPlan(r, picker).Start(at(0))) {
			sent[s.Service] = true
		}
		assert.Equal(t, len(sent), 9)
		for _, s := range r.Gather {
			if !sent[s] {
				leftOut[s]++
			}
		}
	}
	assert.Equal(t, len(leftOut), 4)
	for s := range picker.queues {
		assert.Assert(t, leftOut[s] > 60 && leftOut[s] < 140, "%v", leftOut)
	}
}

// Guards against requests that wait in the queues of overloaded shards until their goal has passed. Such a request is refused
// before anything is sent, with a time to come back. One that would be late without queues as well is sent.
func TestOverloadedRequestIsRefused(t *testing.T) {
	long := 200 * time.Millisecond
	r, picker := newScarcePicker(map[string]time.Duration{"shard-01": long, "shard-02": long})
	actions := newPlan(r, picker).Start(at(0))
	assert.Equal(t, len(sends(actions)), 0)
	f := finishOf(t, actions)
	assert.Equal(t, f.Code, codes.Overloaded)
	assert.Equal(t, f.Reason, ReasonShardsOverloaded)
	assert.Equal(t, f.RetryAfter, long)
	assert.Equal(t, picker.recordFirstAttemptCalls, 0)

	picker.queues = map[string]time.Duration{"shard-01": long}
	assert.Equal(t, len(sends(newPlan(r, picker).Start(at(0)))), 9)

	picker.queues = map[string]time.Duration{"shard-01": long, "shard-02": long}
	picker.expected["shard-03"], picker.expected["shard-04"] = long, long
	assert.Equal(t, len(sends(newPlan(r, picker).Start(at(0)))), 9)
}
