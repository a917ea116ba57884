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

// fixture holds a target and a simulated clock that every sign advances by 10 ms.
type fixture struct {
	t   *limit.Target
	now time.Time
}

func newFixture(slots int) *fixture {
	return &fixture{t: limit.New(limit.Config{Slots: slots}), now: time.Unix(1000, 0)}
}

// sign advances the clock and passes the sign to the target.
func (b *fixture) sign(s limit.Sign) limit.Change {
	b.now = b.now.Add(10 * ms)
	return b.t.Observe(b.now, s)
}

// good passes n good replies of a warm target with the incarnation.
func (b *fixture) good(n int, inc uint64) {
	for range n {
		b.sign(limit.Sign{Kind: limit.Good, Incarnation: inc, State: target.Warm, Latency: 4 * ms})
	}
}

// Guards against raising the level of a target that is leaving because of a sign that doesn't show its return.
func TestDrainedTargetIsNotRaised(t *testing.T) {
	for name, s := range map[string]limit.Sign{
		"shed":                       {Kind: limit.Shed, Incarnation: 1, State: target.Warm, Latency: ms},
		"health cold":                {Kind: limit.Health, Incarnation: 1, State: target.Cold},
		"health restarted":           {Kind: limit.Health, Incarnation: 2, State: target.Warm},
		"note made before the leave": {Kind: limit.Note, Incarnation: 1, State: target.Warm, Level: 4},
		"reply sent earlier":         {Kind: limit.Good, Incarnation: 1, State: target.Warm, Latency: 50 * ms},
		"broken":                     {Kind: limit.Broken},
	} {
		b := newFixture(6)
		b.good(30, 1)
		b.sign(limit.Sign{Kind: limit.Leave})
		b.sign(s)
		b.good(20, 1)
		assert.Equal(t, b.t.Level(), 0, name)
	}
}

// Guards against a late reply of a process that has ended making the incarnation of that process current again.
func TestLateReplyOfOldIncarnation(t *testing.T) {
	b := newFixture(6)
	b.good(30, 1)
	b.good(1, 2)
	late := b.sign(limit.Sign{Kind: limit.Good, Incarnation: 1, State: target.Warm, Latency: 100 * ms})
	assert.Equal(t, b.t.Incarnation(), uint64(2))
	assert.Assert(t, !late.Incarnation)
	for range 30 {
		b.sign(limit.Sign{Kind: limit.Good, Incarnation: 1, State: target.Warm, Latency: 900 * ms})
	}
	assert.Equal(t, b.t.Level(), 1)
	// A request sent after the current incarnation was seen can't have run on an earlier one.
	b.good(1, 1)
	assert.Equal(t, b.t.Incarnation(), uint64(1))
}

// Guards against raising the level because of replies to requests that were sent before the level was last lowered.
func TestRepliesSentBeforeTheFall(t *testing.T) {
	b := newFixture(6)
	b.good(30, 1)
	b.sign(limit.Sign{Kind: limit.Broken})
	for i := range 8 {
		b.sign(limit.Sign{Kind: limit.Good, Incarnation: 1, State: target.Warm, Latency: time.Duration(20+10*i) * ms})
	}
	assert.Equal(t, b.t.Level(), 1)
}

// Guards against only halving the level of a target that refuses for load and states that it is cold.
func TestShedWhileCold(t *testing.T) {
	b := newFixture(6)
	b.good(80, 1)
	b.sign(limit.Sign{Kind: limit.Shed, Incarnation: 1, State: target.Warm, Latency: ms})
	assert.Equal(t, b.t.Level(), 3)
	b.good(8, 1)
	b.sign(limit.Sign{Kind: limit.Shed, Incarnation: 1, State: target.Cold, Latency: ms})
	assert.Equal(t, b.t.Level(), 1)
}

// Guards against raising the level while replies don't say that the target is warm.
func TestGrowthNeedsWarmReplies(t *testing.T) {
	b := newFixture(6)
	for range 30 {
		b.sign(limit.Sign{Kind: limit.Good, Incarnation: 1, Latency: 4 * ms})
	}
	assert.Equal(t, b.t.Level(), 1)
}

// Guards against keeping the level of a target that becomes slow and shows no other trouble.
func TestSlowReplies(t *testing.T) {
	b := newFixture(6)
	b.good(80, 1)
	slow := limit.Sign{Kind: limit.Good, Incarnation: 1, State: target.Warm, Latency: 17 * ms}
	for range 2 {
		b.sign(slow)
	}
	b.good(1, 1)
	for range 2 {
		b.sign(slow)
	}
	assert.Equal(t, b.t.Level(), 6, "fewer than three slow replies in a row keep the level")
	b.sign(slow)
	assert.Equal(t, b.t.Level(), 3)
}

// Guards against raising the level by a note about another incarnation, or by a note that was made before the last
// trouble that this dispatcher saw.
func TestNotes(t *testing.T) {
	note := func(inc uint64, level int) limit.Sign {
		return limit.Sign{Kind: limit.Note, Incarnation: inc, State: target.Warm, Level: level}
	}
	b := newFixture(6)
	b.sign(note(1, 4))
	assert.Equal(t, b.t.Level(), 4, "a secondary without replies of its own takes the level of the note")
	b.sign(note(2, 6))
	assert.Equal(t, b.t.Level(), 1, "a note about a new incarnation")
	b.sign(note(1, 6))
	assert.Equal(t, b.t.Level(), 1, "a note about an earlier incarnation")
	b.sign(limit.Sign{Kind: limit.Broken})
	b.sign(note(2, 6))
	assert.Equal(t, b.t.Level(), 1, "a note made before the trouble")
	b.now = b.now.Add(time.Minute)
	b.sign(note(2, 6))
	assert.Equal(t, b.t.Level(), 6)
	b.sign(note(0, 1))
	assert.Equal(t, b.t.Level(), 6, "a note of a primary that has received no reply")
}

// Guards against a level of 0 for a target without published slots after a run of good replies.
func TestUnpublishedSlots(t *testing.T) {
	b := newFixture(0)
	b.good(20, 1)
	assert.Equal(t, b.t.Level(), 1)
}

// Guards against a sequence of signs that takes the level out of its bounds, raises it by more than one for a reply,
// raises it for a health page or a sign of trouble, or raises it while the published list says leaving.
func TestAnySigns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "draw") }
		b, leaving := newFixture(4), false
		for range 200 {
			s := limit.Sign{
				Kind: limit.Kind([]int{0, 0, 0, 0, 0, 0, 1, 2, 3, 3, 4, 5, 6, 7, 8, 8}[draw(16)]), Incarnation: uint64(draw(20) / 18),
				State: []target.State{target.Warm, target.Warm, target.Warm, target.Cold, target.Draining, ""}[draw(6)],
				Level: draw(6), Slots: draw(6), Latency: time.Duration(draw(30)) * ms,
			}
			s.Incarnation++
			if draw(4) > 0 {
				s.State, s.Kind = target.Warm, limit.Good
			}
			b.t.Probe(b.now)
			before := b.t.Level()
			b.sign(s)
			leaving = s.Kind == limit.Leave || leaving && s.Kind != limit.Return
			level := b.t.Level()
			assert.Assert(t, level >= 0 && level <= 4)
			assert.Assert(t, !leaving || level == 0)
			assert.Assert(t, level <= before || s.Kind == limit.Note || s.Kind == limit.Good && level == before+1, "%+v", s)
		}
	})
}
