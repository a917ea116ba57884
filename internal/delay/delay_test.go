package delay_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsiarelay/fuchsiarelay/internal/delay"
)

const ms = time.Millisecond

// Callers are 3 ms away. A third of their requests uses an open connection, a third connects first, and a third asks for an
// address and then connects.
func TestSpent(t *testing.T) {
	e := delay.New()
	for range 20 {
		e.Record("search", 600*ms)
		e.Record("search", 593*ms)
		e.Record("search", 585*ms)
	}
	for timeLeft, want := range map[time.Duration]time.Duration{600 * ms: 0, 593 * ms: 7 * ms, 585 * ms: 15 * ms} {
		spent, oneWay := e.Record("search", timeLeft)
		assert.Equal(t, spent, want)
		assert.Equal(t, oneWay, 3500*time.Microsecond)
	}
	// The time that is missing from a caller's retry, or if a caller waits for a shorter time, wasn't spent on connecting.
	spent, _ := e.Record("search", 300*ms)
	assert.Equal(t, spent, time.Duration(0))
	// Each route has its own observations.
	spent, oneWay := e.Record("order", 100*ms)
	assert.Equal(t, spent, time.Duration(0))
	assert.Equal(t, oneWay, time.Duration(0))
}

// A caller that waits for a very long time must distort the estimates for other callers only until its request is no longer
// in the current or the previous set of observations.
func TestCallerWithVeryLongTime(t *testing.T) {
	e := delay.New()
	e.Record("search", time.Minute)
	spent, _ := e.Record("search", 593*ms)
	assert.Equal(t, spent, time.Duration(0))
	for range 300 {
		e.Record("search", 600*ms)
	}
	for range 300 {
		e.Record("search", 600*ms)
	}
	spent, _ = e.Record("search", 593*ms)
	assert.Equal(t, spent, 7*ms)
}

func TestPruneRemovesUnlistedRoutes(t *testing.T) {
	e := delay.New()
	e.Record("old", 600*ms)
	e.Record("new", 600*ms)
	e.Prune(func(name string) bool { return name == "new" })
	spent, _ := e.Record("old", 593*ms)
	assert.Equal(t, spent, time.Duration(0))
	spent, _ = e.Record("new", 593*ms)
	assert.Equal(t, spent, 7*ms)
}
