package place

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a queue that is taken for a slow target: the time in the queue isn't part of the service time, fades when no
// answers come, and is predicted for the next send.
func TestQueueTime(t *testing.T) {
	b := New(Config{DataCentre: "here"})
	rnd := rand.New(rand.NewPCG(1, 2))
	list := targets(1)
	now := at(0)
	for i := range 200 {
		now = at(10 * i)
		b.RecordSend(now.Add(-ms(60)), "t0")
		b.RecordEnd(now, "t0", "r", SendResult{Outcome: Answered, Latency: ms(60), Load: &Load{Running: 2, Waiting: 10, Slots: 2}})
	}
	mean, _ := b.RouteTimes("r")
	assert.Assert(t, mean > ms(8) && mean < ms(12), "%s", mean)
	_, estimate, ok := b.Pick(now, rnd, "r", list, nil)
	assert.Assert(t, ok)
	assert.Assert(t, estimate.Queue > ms(40) && estimate.Queue < ms(60), "%s", estimate.Queue)
	assert.Assert(t, estimate.Time > estimate.Queue)
	_, estimate, _ = b.Pick(now.Add(5*queueHalfLife), rnd, "r", list, nil)
	assert.Assert(t, estimate.Queue < ms(3), "%s", estimate.Queue)
}

// Guards against a pause of a target that is taken for a queue: several replies are late together, and the next one
// isn't. Each of them seems to have queued for 100 ms; after one prompt reply, less than a quarter of that is expected.
func TestPauseIsNoQueue(t *testing.T) {
	b := New(Config{DataCentre: "here"})
	rnd := rand.New(rand.NewPCG(1, 2))
	list := targets(1)
	recordAnswers(b, at(0), "t0", 50, ms(10))
	for range 4 {
		b.RecordSend(at(0), "t0")
	}
	for range 4 {
		b.RecordEnd(at(200), "t0", "r", SendResult{Outcome: Answered, Latency: ms(200), Load: &Load{Running: 2, Waiting: 2, Slots: 2}})
	}
	b.RecordSend(at(210), "t0")
	b.RecordEnd(at(220), "t0", "r", SendResult{Outcome: Answered, Latency: ms(10), Load: &Load{Running: 1, Slots: 2}})
	_, estimate, ok := b.Pick(at(220), rnd, "r", list, nil)
	assert.Assert(t, ok)
	assert.Assert(t, estimate.Queue < ms(100)/4, "%s", estimate.Queue)
}
