package budget

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func TestReserveIsShared(t *testing.T) {
	b := New(Config{Ratio: 0.2, Reserve: 56})
	b.SetShare(1.0 / 8)
	n := 0
	for b.Take(start, "s", true) {
		n++
	}
	assert.Equal(t, n, 5) // 56/8, less DefaultUnusedFraction
	assert.Assert(t, b.Take(start.Add(11*time.Second), "s", true))
}

// Guards against hedges that leave no budget for retries of failed attempts.
func TestFractionIsReservedForRetriesOfFailures(t *testing.T) {
	b := New(Config{Reserve: 20})
	n := 0
	for b.Take(start, "s", false) {
		n++
	}
	assert.Equal(t, n, 11) // 20, less DefaultUnusedFraction and DefaultFailureFraction
	for b.Take(start, "s", true) {
		n++
	}
	assert.Equal(t, n, 17)
}

func TestReturnedRetryCanBeTakenAgain(t *testing.T) {
	b := New(Config{Reserve: 1.2})
	assert.Assert(t, b.Take(start, "s", true))
	assert.Assert(t, !b.Take(start, "s", true))
	b.Return(start, "s")
	assert.Assert(t, b.Take(start, "s", true))
}

// In every window, the retries and hedges of all processes together must stay within the budget of the fleet, for fleets of 1
// to 12 processes. A first attempt counts for up to one and a half windows, because its retry may be sent after it has left
// the window.
func TestFleetStaysWithinBudget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const window = 10 * time.Second
		size := rapid.IntRange(1, 12).Draw(rt, "size")
		fleet := make([]*Budget, size)
		for i := range fleet {
			fleet[i] = New(Config{Ratio: 0.2, Reserve: 56, Window: window})
			fleet[i].SetShare(1 / float64(size))
		}
		type event struct {
			at      time.Time
			isRetry bool // a retry or hedge, not a first attempt
		}
		var events []event
		now := start
		for range rapid.IntRange(100, 1500).Draw(rt, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(rt, "ms")) * time.Millisecond)
			b := fleet[rapid.IntRange(0, size-1).Draw(rt, "process")]
			if rapid.Bool().Draw(rt, "first") {
				b.RecordFirstAttempt(now, "s")
				events = append(events, event{now, false})
			} else if b.Take(now, "s", rapid.Bool().Draw(rt, "failed")) {
				events = append(events, event{now, true})
			}
		}
		for i, last := range events {
			var firstAttempts, olderFirstAttempts, retries float64
			for _, e := range events[:i+1] {
				age := last.at.Sub(e.at)
				switch {
				case e.isRetry && age < window:
					retries++
				case !e.isRetry && age < window:
					firstAttempts++
				case !e.isRetry && age < 3*window/2:
					olderFirstAttempts++
				}
			}
			if retries > 0.2*(firstAttempts+olderFirstAttempts)+56 {
				rt.Fatalf("%v retries and hedges for %v requests", retries, firstAttempts+olderFirstAttempts)
			}
		}
	})
}
