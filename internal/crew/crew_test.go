package crew

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

func ready(incarnation uint64) Sign { return Sign{Incarnation: incarnation, Ready: true} }

// fleet returns a view that has just heard n ready processes.
func fleet(n int) *View {
	v := New(Config{}, "self", nil, start)
	for i := range n {
		v.Pong(start, fmt.Sprint("vm-", i), ready(1))
	}
	return v
}

func TestOnlyProcessesThatAnswerAreNamed(t *testing.T) {
	v := New(Config{}, "self", []string{"self", "seed"}, start)
	assert.Assert(t, v.Heard(start, []string{"self", "x"}))
	assert.Assert(t, !v.Heard(start, []string{"x"}))
	assert.DeepEqual(t, v.Peers(start), []string{"seed", "x"})
	assert.Equal(t, len(v.Callable(start)), 0)
	assert.Assert(t, v.Pong(start, "x", ready(1)))
	assert.Assert(t, !v.Pong(start, "seed", Sign{Incarnation: 1}))
	assert.DeepEqual(t, v.Callable(start), []string{"x"})
}

// A process that was killed must not be named to callers for longer than 7 s; one alone is left out much sooner.
func TestSilentProcessIsLeftOut(t *testing.T) {
	v := fleet(4)
	later := start.Add(DefaultSilence + time.Millisecond)
	for i := range 3 {
		v.Pong(later, fmt.Sprint("vm-", i), ready(1))
	}
	assert.DeepEqual(t, v.Callable(later), []string{"vm-0", "vm-1", "vm-2"})
}

// When most fall silent at once, this process is more likely cut off than they are dead; within 7 s they are dropped
// all the same.
func TestMostSilentAtOnce(t *testing.T) {
	v := fleet(6)
	v.Pong(start.Add(3*time.Second), "vm-0", ready(1))
	assert.Equal(t, len(v.Callable(start.Add(3*time.Second))), 6)
	assert.Equal(t, len(v.Callable(start.Add(7*time.Second))), 0)
}

// A stopping process is dropped at its word, and is back with its next incarnation.
func TestPlannedStop(t *testing.T) {
	v := fleet(3)
	v.Leaving("vm-1")
	assert.DeepEqual(t, v.Callable(start), []string{"vm-0", "vm-2"})
	v.Pong(start, "vm-1", ready(1)) // sent before the stop
	assert.DeepEqual(t, v.Callable(start), []string{"vm-0", "vm-2"})
	v.Pong(start, "vm-1", ready(2))
	assert.DeepEqual(t, v.Callable(start), []string{"vm-0", "vm-1", "vm-2"})
}

// Shares of fleet-wide limits must not grow before a silent process can have used up its own.
func TestSizeShrinksLate(t *testing.T) {
	v := fleet(3)
	assert.Equal(t, v.Size(start.Add(9*time.Second)), 4)
	assert.Equal(t, v.Size(start.Add(11*time.Second)), 1)
	assert.Assert(t, !v.Settled(start))
	assert.Assert(t, v.Settled(start.Add(DefaultStart)))
}

func TestRankCountsRunningProcesses(t *testing.T) {
	v := New(Config{}, "c", nil, start)
	v.Pong(start, "a", ready(1))
	v.Pong(start, "b", ready(1))
	v.Pong(start, "d", ready(1))
	assert.Equal(t, v.Rank(start), 2)
	later := start.Add(2 * time.Second)
	v.Pong(later, "b", ready(1))
	assert.Equal(t, v.Rank(later), 1)
}

func TestForgottenAfterLongSilence(t *testing.T) {
	v := New(Config{}, "self", []string{"seed"}, start)
	v.Pong(start, "x", ready(1))
	assert.DeepEqual(t, v.Peers(start.Add(DefaultForget+time.Second)), []string{"seed"})
}
