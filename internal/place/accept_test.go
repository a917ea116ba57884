package place

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against targets that refuse six sends in ten, report a low load, and keep their share of the sends, until the
// repetitions have used up the retry budget. One of three targets accepts all and is busier for it; this process sends 25
// requests a second. No more than a fifth of the sends may be refused, since a budget allows one repetition for five requests.
// Once all targets accept again, and are equally busy, each has a share within eight seconds.
func TestRefusingTargets(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	b := New(Config{DataCentre: "here"})
	list := targets(3)
	load := func(id string, refuses bool) *Load {
		if id == "t0" && refuses {
			return &Load{Running: 4, Slots: 4}
		}
		return &Load{Running: 1, Slots: 4}
	}
	send := func(now time.Time, refuses bool) (id string, outcome Outcome) {
		target, estimate, ok := b.Pick(now, rnd, "r", list, nil)
		assert.Assert(t, ok)
		if target.ID != "t0" && refuses && rnd.Float64() < 0.6 {
			outcome = Refused
			assert.Assert(t, estimate.Time < ms(40), "a target that refuses isn't slow: %s", estimate.Time)
		}
		b.RecordSend(now, target.ID)
		b.RecordEnd(now.Add(ms(8)), target.ID, "r", SendResult{Outcome: outcome, Latency: ms(8), Load: load(target.ID, refuses)})
		return target.ID, outcome
	}
	refused := 0
	for i := range 1000 {
		if _, outcome := send(at(40*i), true); outcome == Refused {
			refused++
		}
	}
	assert.Assert(t, refused <= 200, "%d of 1000 sends refused", refused)
	counts := map[string]int{}
	for i := range 600 {
		id, _ := send(at(40000+40*i), false)
		if i >= 200 {
			counts[id]++
		}
	}
	for _, target := range list {
		assert.Assert(t, counts[target.ID] > 400/6, "%v", counts)
	}
}
