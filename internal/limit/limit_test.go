package limit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/fuchsiarelay/fuchsiarelay/internal/limit"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/target"
)

const ms = time.Millisecond

// fixture holds a limiter and a simulated clock that every observation advances by 10 ms.
type fixture struct {
	limiter *limit.Limiter
	now     time.Time
}

// newFixture returns a fixture whose target has the published slots.
func newFixture(slots int) *fixture {
	return &fixture{limiter: limit.New(limit.Config{Slots: slots}), now: time.Unix(1000, 0)}
}

// observe advances the clock and passes the observation to the limiter.
func (f *fixture) observe(observation limit.Observation) limit.Change {
	f.now = f.now.Add(10 * ms)
	return f.limiter.Observe(f.now, observation)
}

// goodReplies passes n good replies of a warm target with the incarnation.
func (f *fixture) goodReplies(n int, incarnation uint64) {
	for range n {
		f.observe(limit.Observation{Kind: limit.GoodReply, Incarnation: incarnation, State: target.Warm, Latency: 4 * ms})
	}
}

// Guards against raising the level of a target that is leaving because of an observation that doesn't show its return.
func TestLeavingTargetStaysAtZero(t *testing.T) {
	for name, observation := range map[string]limit.Observation{
		"shed":                         {Kind: limit.Overloaded, Incarnation: 1, State: target.Warm, Latency: ms},
		"health cold":                  {Kind: limit.HealthPage, Incarnation: 1, State: target.Cold},
		"health restarted":             {Kind: limit.HealthPage, Incarnation: 2, State: target.Warm},
		"report made before the leave": {Kind: limit.PrimaryReport, Incarnation: 1, State: target.Warm, Level: 4},
		"reply sent earlier":           {Kind: limit.GoodReply, Incarnation: 1, State: target.Warm, Latency: 50 * ms},
		"broken":                       {Kind: limit.ConnectionLost},
	} {
		f := newFixture(6)
		f.goodReplies(30, 1)
		f.observe(limit.Observation{Kind: limit.ListedLeaving})
		f.observe(observation)
		f.goodReplies(20, 1)
		assert.Equal(t, f.limiter.Level(), 0, name)
	}
}

// Guards against a late reply of a process that has ended making the incarnation of that process current again.
func TestLateReplyOfOldIncarnation(t *testing.T) {
	f := newFixture(6)
	f.goodReplies(30, 1)
	f.goodReplies(1, 2)
	late := f.observe(limit.Observation{Kind: limit.GoodReply, Incarnation: 1, State: target.Warm, Latency: 100 * ms})
	assert.Equal(t, f.limiter.Incarnation(), uint64(2))
	assert.Assert(t, !late.Restarted)
	for range 30 {
		f.observe(limit.Observation{Kind: limit.GoodReply, Incarnation: 1, State: target.Warm, Latency: 900 * ms})
	}
	assert.Equal(t, f.limiter.Level(), 1)
	// A request sent after the current incarnation was seen can't have run on an earlier one.
	f.goodReplies(1, 1)
	assert.Equal(t, f.limiter.Incarnation(), uint64(1))
}

// Guards against raising the level because of replies to requests that were sent before the level was last lowered.
func TestRepliesSentBeforeLoweredLevel(t *testing.T) {
	f := newFixture(6)
	f.goodReplies(30, 1)
	f.observe(limit.Observation{Kind: limit.ConnectionLost})
	for i := range 8 {
		f.observe(limit.Observation{Kind: limit.GoodReply, Incarnation: 1, State: target.Warm, Latency: time.Duration(20+10*i) * ms})
	}
	assert.Equal(t, f.limiter.Level(), 1)
}

// Guards against only halving the level of a target that refuses for load and states that it is cold.
func TestOverloadOfColdTargetSetsLevelOne(t *testing.T) {
	f := newFixture(6)
	f.goodReplies(80, 1)
	f.observe(limit.Observation{Kind: limit.Overloaded, Incarnation: 1, State: target.Warm, Latency: ms})
	assert.Equal(t, f.limiter.Level(), 3)
	f.goodReplies(8, 1)
	f.observe(limit.Observation{Kind: limit.Overloaded, Incarnation: 1, State: target.Cold, Latency: ms})
	assert.Equal(t, f.limiter.Level(), 1)
}

// Guards against raising the level by replies that don't say that the target is warm.
func TestGrowthNeedsWarmReplies(t *testing.T) {
	f := newFixture(6)
	for range 30 {
		f.observe(limit.Observation{Kind: limit.GoodReply, Incarnation: 1, Latency: 4 * ms})
	}
	assert.Equal(t, f.limiter.Level(), 1)
}

// Guards against keeping the level of a target that becomes slow while its replies are otherwise good.
func TestSlowRepliesHalveLevel(t *testing.T) {
	f := newFixture(6)
	f.goodReplies(80, 1)
	slow := limit.Observation{Kind: limit.GoodReply, Incarnation: 1, State: target.Warm, Latency: 17 * ms}
	for range 2 {
		f.observe(slow)
	}
	f.goodReplies(1, 1)
	for range 2 {
		f.observe(slow)
	}
	assert.Equal(t, f.limiter.Level(), 6, "fewer than three slow replies in a row keep the level")
	f.observe(slow)
	assert.Equal(t, f.limiter.Level(), 3)
}

// Guards against raising the level by a report about another incarnation, or by a report that was made before the last
// adverse observation of this dispatcher.
func TestStalePrimaryReportsDoNotRaiseLevel(t *testing.T) {
	report := func(incarnation uint64, level int) limit.Observation {
		return limit.Observation{Kind: limit.PrimaryReport, Incarnation: incarnation, State: target.Warm, Level: level}
	}
	f := newFixture(6)
	f.observe(report(1, 4))
	assert.Equal(t, f.limiter.Level(), 4, "a secondary without replies of its own takes the level of the report")
	f.observe(report(2, 6))
	assert.Equal(t, f.limiter.Level(), 1, "a report about a new incarnation")
	f.observe(report(1, 6))
	assert.Equal(t, f.limiter.Level(), 1, "a report about an earlier incarnation")
	f.observe(limit.Observation{Kind: limit.ConnectionLost})
	f.observe(report(2, 6))
	assert.Equal(t, f.limiter.Level(), 1, "a report made before the adverse observation")
	f.now = f.now.Add(time.Minute)
	f.observe(report(2, 6))
	assert.Equal(t, f.limiter.Level(), 6)
	f.observe(report(0, 1))
	assert.Equal(t, f.limiter.Level(), 6, "a report of a primary that has received no reply")
}

// Guards against a level of 0 for a target without published slots after a run of good replies.
func TestUnpublishedSlots(t *testing.T) {
	f := newFixture(0)
	f.goodReplies(20, 1)
	assert.Equal(t, f.limiter.Level(), 1)
}

// Guards against a sequence of observations that takes the level out of its bounds, raises it by more than one for a reply,
// raises it for a health page or an adverse observation, or raises it while the published list says leaving.
func TestRandomObservations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "draw") }
		f, leaving := newFixture(4), false
		for range 200 {
			observation := limit.Observation{
				Kind: limit.ObservationKind([]int{0, 0, 0, 0, 0, 0, 1, 2, 3, 3, 4, 5, 6, 7, 8, 8}[draw(16)]), Incarnation: uint64(draw(20) / 18),
				State: []target.State{target.Warm, target.Warm, target.Warm, target.Cold, target.Draining, ""}[draw(6)],
				Level: draw(6), Slots: draw(6), Latency: time.Duration(draw(30)) * ms,
			}
			observation.Incarnation++
			if draw(4) > 0 {
				observation.State, observation.Kind = target.Warm, limit.GoodReply
			}
			f.limiter.NextProbe(f.now)
			before := f.limiter.Level()
			f.observe(observation)
			leaving = observation.Kind == limit.ListedLeaving || leaving && observation.Kind != limit.NoLongerLeaving
			level := f.limiter.Level()
			assert.Assert(t, level >= 0 && level <= 4)
			assert.Assert(t, !leaving || level == 0)
			assert.Assert(t, level <= before || observation.Kind == limit.PrimaryReport || observation.Kind == limit.GoodReply && level == before+1, "%+v", observation)
		}
	})
}
