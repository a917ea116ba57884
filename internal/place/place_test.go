package place

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsiarelay/fuchsiarelay/internal/table"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func targets(n int) (out []*table.Target) {
	for i := range n {
		out = append(out, &table.Target{ID: fmt.Sprint("t", i), Service: "s", Slots: 2, DataCentre: "here"})
	}
	return out
}

// pickCounts returns how often each target is picked in 1000 calls of Pick at one time.
func pickCounts(b *Balancer, now time.Time, list []*table.Target) map[string]int {
	rnd := rand.New(rand.NewPCG(1, 2))
	n := map[string]int{}
	for range 1000 {
		if t, _, ok := b.Pick(now, rnd, "r", list, nil); ok {
			n[t.ID]++
		}
	}
	return n
}

// recordAnswers records n answered requests of a target, each with the given latency.
func recordAnswers(b *Balancer, now time.Time, id string, n int, latency time.Duration) {
	for range n {
		b.RecordSend(now.Add(-latency), id)
		b.RecordEnd(now, id, "r", SendResult{Outcome: Answered, Latency: latency})
	}
}

// Equal targets get equal shares of the picks.
func TestEqualTargetsShare(t *testing.T) {
	b := New(Config{DataCentre: "here"})
	for _, t := range targets(3) {
		recordAnswers(b, at(100), t.ID, 50, ms(10))
	}
	for id, n := range pickCounts(b, at(100), targets(3)) {
		assert.Assert(t, n > 250, "%s: %d", id, n)
	}
}

// A target that becomes slow loses its share of the load within a few replies, and regains it when it is fast again.
func TestSlowTarget(t *testing.T) {
	b := New(Config{DataCentre: "here"})
	list := targets(3)
	for _, target := range list {
		recordAnswers(b, at(100), target.ID, 50, ms(10))
	}
	recordAnswers(b, at(200), "t0", 6, ms(80))
	assert.Assert(t, pickCounts(b, at(200), list)["t0"] == 0)
	recordAnswers(b, at(300), "t0", 25, ms(10))
	assert.Assert(t, pickCounts(b, at(300), list)["t0"] > 200)
}

// A target that reports a long queue isn't picked, and is picked again once the report is old.
func TestReportedLoad(t *testing.T) {
	b := New(Config{DataCentre: "here"})
	list := targets(2)
	for _, target := range list {
		recordAnswers(b, at(100), target.ID, 50, ms(10))
	}
	b.RecordSend(at(100), "t0")
	b.RecordEnd(at(110), "t0", "r", SendResult{Outcome: Answered, Latency: ms(10), Load: &Load{Running: 2, Waiting: 6, Slots: 2}})
	assert.Equal(t, pickCounts(b, at(110), list)["t0"], 0)
	assert.Assert(t, pickCounts(b, at(5000), list)["t0"] > 250)
}

// A target that holds a send and has been without a reply for unusually long is passed over until it replies.
func TestPausedTarget(t *testing.T) {
	b := New(Config{DataCentre: "here"})
	list := targets(2)
	for _, target := range list {
		recordAnswers(b, at(0), target.ID, 50, ms(10))
	}
	b.RecordSend(at(0), "t0")
	assert.Assert(t, !b.IsStalled(at(10), "r", "t0"))
	assert.Assert(t, b.IsStalled(at(60), "r", "t0"))
	assert.Equal(t, pickCounts(b, at(60), list)["t0"], 0)
	// A stalled target is picked if there is no other.
	assert.Equal(t, pickCounts(b, at(60), list[:1])["t0"], 1000)
	b.RecordEnd(at(100), "t0", "r", SendResult{Outcome: Answered, Latency: ms(100)})
	assert.Assert(t, !b.IsStalled(at(101), "r", "t0"))
}

// A refused connection takes a target out of rotation at once. The target is used again after its health page has answered.
func TestRefusedConnection(t *testing.T) {
	b := New(Config{DataCentre: "here"})
	list := targets(2)
	b.RecordSend(at(0), "t0")
	b.RecordEnd(at(1), "t0", "r", SendResult{Outcome: NotSent, Latency: ms(1)})
	assert.Equal(t, b.Availability(at(1000), list[0]), Down)
	assert.Equal(t, pickCounts(b, at(1), list)["t0"], 0)
	assert.Equal(t, len(b.DueProbes(at(1))), 0)
	assert.DeepEqual(t, b.DueProbes(at(251)), []string{"t0"})
	assert.Equal(t, len(b.DueProbes(at(252))), 0)
	b.RecordProbe(at(260), "t0", false)
	assert.Equal(t, b.Availability(at(1000), list[0]), Down)
	b.RecordProbe(at(800), "t0", true)
	assert.Equal(t, b.Availability(at(1000), list[0]), Usable)
	assert.DeepEqual(t, b.Changes(), []Change{
		{Target: "t0", Down: true, Reason: NotSent, Consecutive: 1, SinceReply: -1}, {Target: "t0", Reason: Answered, Consecutive: 1, SinceReply: -1},
	})
	assert.Equal(t, len(b.Changes()), 0)
}

// Probes of a target that stays down become less frequent, and in a large fleet each process probes less often.
func TestProbesBackOff(t *testing.T) {
	count := func(probers int) (n int) {
		b := New(Config{DataCentre: "here"})
		b.SetProbers(probers)
		b.RecordSend(at(0), "t0")
		b.RecordEnd(at(1), "t0", "r", SendResult{Outcome: NotSent, Latency: ms(1)})
		for i := range 200 {
			n += len(b.DueProbes(at(50 * i)))
		}
		return n
	}
	assert.Equal(t, count(8), 7)  // after 0.25 s, 0.75 s, 1.75 s, 3.75 s, ...
	assert.Equal(t, count(96), 3) // after 0.25 s, 2.25 s, 6.25 s
}

// One broken connection doesn't take a target out of rotation; two without a reply between them do.
func TestBrokenConnections(t *testing.T) {
	b := New(Config{DataCentre: "here"})
	list := targets(1)
	broken := func() {
		b.RecordSend(at(0), "t0")
		b.RecordEnd(at(1), "t0", "r", SendResult{Outcome: Broken, Latency: ms(1)})
	}
	broken()
	recordAnswers(b, at(2), "t0", 1, ms(1))
	broken()
	assert.Equal(t, b.Availability(at(1000), list[0]), Usable)
	broken()
	assert.Equal(t, b.Availability(at(1000), list[0]), Down)
}

// Several sends in a row without a reply take a target out of rotation, also if the sends were given up.
func TestTargetWithoutReplies(t *testing.T) {
	b := New(Config{DataCentre: "here"})
	recordAnswers(b, at(0), "t0", 50, ms(10))
	for i := range downAfterUnanswered {
		assert.Assert(t, !b.IsDown("t0"))
		b.RecordSend(at(100*i), "t0")
		b.RecordAbandoned(at(100*i+90), "t0", "r", ms(90))
	}
	assert.Assert(t, b.IsDown("t0"))
}

// A single send that gets no reply for a long time takes a target out of rotation. When many targets fail at once, waiting
// for three such sends to each of them would delay every request by a second.
func TestLongWaitWithoutReply(t *testing.T) {
	b := New(Config{DataCentre: "here"})
	recordAnswers(b, at(0), "t0", 50, ms(10))
	b.RecordSend(at(0), "t0")
	b.RecordAbandoned(at(250), "t0", "r", ms(250))
	assert.Assert(t, b.IsDown("t0"))

	// The target stays in rotation if it has replied to another send in that time.
	b.RecordSend(at(0), "t1")
	recordAnswers(b, at(200), "t1", 1, ms(10))
	b.RecordAbandoned(at(250), "t1", "r", ms(250))
	assert.Assert(t, !b.IsDown("t1"))
}

// The last target of a shard is still picked after a send without a reply: it may be slow because it does the work of the
// others.
func TestLastTargetIsSlow(t *testing.T) {
	b := New(Config{DataCentre: "here"})
	list := targets(2)
	recordAnswers(b, at(0), "t0", 50, ms(10))
	recordAnswers(b, at(0), "t1", 50, ms(10))
	b.RecordSend(at(0), "t1")
	b.RecordEnd(at(1), "t1", "r", SendResult{Outcome: NotSent, Latency: ms(1)})
	b.RecordSend(at(10), "t0")
	b.RecordAbandoned(at(270), "t0", "r", ms(260))
	assert.Assert(t, b.IsDown("t0"))
	assert.Equal(t, pickCounts(b, at(270), list)["t0"], 1000)
	// A target that refuses connections, or whose last reply is too old, isn't picked.
	assert.Equal(t, len(pickCounts(b, at(3500), list)), 0)
}

// A target that answers its health page but fails requests gets few requests, and regains its share once it has answered
// some.
func TestFailingTarget(t *testing.T) {
	b := New(Config{DataCentre: "here"})
	list := targets(2)
	for _, target := range list {
		recordAnswers(b, at(0), target.ID, 50, ms(10))
	}
	for range 5 {
		b.RecordSend(at(0), "t0")
		b.RecordEnd(at(1), "t0", "r", SendResult{Outcome: Failed, Latency: ms(1)})
	}
	assert.Equal(t, pickCounts(b, at(1), list)["t0"], 0)
	assert.Equal(t, b.Availability(at(1000), list[0]), Usable)
	recordAnswers(b, at(2), "t0", 40, ms(10))
	assert.Assert(t, pickCounts(b, at(2), list)["t0"] > 200)
}

// A process has no more sends in flight to a target than SetSendLimit allows.
func TestSendLimit(t *testing.T) {
	b := New(Config{DataCentre: "here"})
	list := targets(1)
	b.SetSendLimit(func(*table.Target) int { return 2 })
	b.RecordSend(at(0), "t0")
	assert.Equal(t, b.Availability(at(1000), list[0]), Usable)
	b.RecordSend(at(0), "t0")
	assert.Equal(t, b.Availability(at(1000), list[0]), Busy)
	b.RecordEnd(at(5), "t0", "r", SendResult{Outcome: Answered, Latency: ms(5)})
	assert.Equal(t, b.Availability(at(1000), list[0]), Usable)
}

// In a fleet with more processes than a target accepts connections, each process prefers some targets, and uses the other
// ones if its own are slow or busy.
func TestUnassignedTarget(t *testing.T) {
	b := New(Config{DataCentre: "here"})
	list := targets(2)
	b.SetSendLimit(func(t *table.Target) int {
		if t.ID == "t0" {
			return 0
		}
		return 1
	})
	for _, target := range list {
		recordAnswers(b, at(0), target.ID, 50, ms(10))
	}
	assert.Assert(t, pickCounts(b, at(0), list)["t1"] > 950)
	b.RecordSend(at(0), "t1")
	assert.Equal(t, pickCounts(b, at(0), list)["t0"], 1000)
	b.RecordEnd(at(1), "t1", "r", SendResult{Outcome: Answered, Latency: ms(1)})
	recordAnswers(b, at(100), "t1", 10, ms(60)) // t1 is slow: a new connection to t0 takes less time
	assert.Equal(t, pickCounts(b, at(100), list)["t0"], 1000)
	b.RecordSend(at(100), "t0")
	b.RecordSend(at(100), "t1")
	assert.Equal(t, len(pickCounts(b, at(100), list)), 0)
}

// A new connection costs time: among equal targets, one with an open connection is preferred.
func TestOpenConnectionIsPreferred(t *testing.T) {
	b := New(Config{DataCentre: "here", HasIdle: func(id string) bool { return id == "t1" }})
	list := targets(2)
	for _, target := range list {
		recordAnswers(b, at(100), target.ID, 50, ms(10))
	}
	assert.Assert(t, pickCounts(b, at(100), list)["t1"] > 950)
	recordAnswers(b, at(200), "t1", 10, ms(60))
	assert.Equal(t, pickCounts(b, at(200), list)["t1"], 0)
}

// A target that is about to pause is picked only if there is no other.
func TestPausingTargetIsAvoided(t *testing.T) {
	b := New(Config{DataCentre: "here", PauseDelay: func(_ time.Time, id string, _ time.Duration) time.Duration {
		if id == "t0" {
			return ms(90)
		}
		return 0
	}})
	assert.Equal(t, pickCounts(b, at(0), targets(2))["t1"], 1000)
	assert.Equal(t, pickCounts(b, at(0), targets(1))["t0"], 1000)
}

// A target that is no longer listed is dropped once it holds no sends.
func TestPruneDropsUnlisted(t *testing.T) {
	b := New(Config{DataCentre: "here"})
	b.RecordSend(at(0), "t0")
	recordAnswers(b, at(0), "t1", 1, ms(1))
	b.Prune(at(1000), func(string) bool { return false })
	assert.Equal(t, len(b.targets), 1) // t0 still holds a send
}

// A target that has asked for no requests before a time gets neither requests nor probes until then, also if an earlier time
// is recorded afterwards.
func TestTargetInBackoff(t *testing.T) {
	b := New(Config{DataCentre: "here"})
	list := targets(2)
	b.RecordSend(at(0), "t0")
	b.RecordEnd(at(1), "t0", "r", SendResult{Outcome: NotSent, Latency: ms(1)})
	b.SetBackoff("t0", at(3000))
	b.SetBackoff("t0", at(500))
	assert.Equal(t, len(b.DueProbes(at(2999))), 0)
	assert.DeepEqual(t, b.DueProbes(at(3000)), []string{"t0"})
	b.RecordProbe(at(3001), "t0", true)

	b.SetBackoff("t0", at(5000))
	assert.Equal(t, b.Availability(at(4999), list[0]), InBackoff)
	assert.Equal(t, pickCounts(b, at(4999), list)["t0"], 0)
	availability, wait := b.UnavailableReason(at(4999), list[:1], nil)
	assert.Equal(t, availability, InBackoff)
	assert.Equal(t, wait, ms(1))
	b.Prune(at(4999), func(string) bool { return false })
	assert.Equal(t, b.Availability(at(4999), list[0]), InBackoff) // in force, since the target may be listed again
	assert.Equal(t, b.Availability(at(5000), list[0]), Usable)
	b.SetBackoff("t0", at(9000))
	b.Reset("t0")
	assert.Equal(t, b.Availability(at(5000), list[0]), Usable)
}

// A cold target gets no more sends in any second than this process's share, and any number once it is warm.
func TestColdTarget(t *testing.T) {
	b := New(Config{DataCentre: "here"})
	list := targets(1)
	b.SetColdLimit(func(*table.Target) int { return 2 })
	b.SetColdUntil("t0", at(3000))
	sendTimes := []time.Time{}
	for now := 0; now < 3000; now += 7 {
		if b.Availability(at(now), list[0]) == Usable {
			b.RecordSend(at(now), "t0")
			b.RecordEnd(at(now+1), "t0", "r", SendResult{Outcome: Answered, Latency: ms(1)})
			sendTimes = append(sendTimes, at(now))
		}
	}
	for i := range len(sendTimes) - 2 {
		assert.Assert(t, sendTimes[i+2].Sub(sendTimes[i]) > time.Second)
	}
	assert.Assert(t, len(sendTimes) >= 5)
	assert.Equal(t, b.Availability(at(3000), list[0]), Usable)
	b.SetColdUntil("t0", at(9000))
	b.SetColdLimit(func(*table.Target) int { return -1 })
	assert.Equal(t, b.Availability(at(4000), list[0]), Usable)
}

// If no target can be picked, UnavailableReason returns Busy when a target that has not been tried is only at its limit, so
// that a short wait may help. Targets that have been tried don't count.
func TestUnavailableReason(t *testing.T) {
	b := New(Config{DataCentre: "here"})
	list := targets(2)
	b.SetSendLimit(func(*table.Target) int { return 1 })
	b.RecordSend(at(0), "t0")
	availability, _ := b.UnavailableReason(at(1), list, []string{"t1"})
	assert.Equal(t, availability, Busy)
	availability, _ = b.UnavailableReason(at(1), list, []string{"t0", "t1"})
	assert.Equal(t, availability, Down)
}
