package fanout

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsiarelay/fuchsiarelay/internal/place"
	"github.com/fuchsiarelay/fuchsiarelay/internal/table"
)

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
