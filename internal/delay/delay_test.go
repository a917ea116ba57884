package delay_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsiarelay/fuchsiarelay/internal/delay"
)

const ms = time.Millisecond

// Callers are 3 ms away. One third uses an open connection, one third connects first, and one third asks for an address and
// then connects.
func TestSpent(t *testing.T) {
	b := delay.New()
	for range 20 {
		b.Record("search", 600*ms)
		b.Record("search", 593*ms)
		b.Record("search", 585*ms)
	}
	for timeLeft, want := range map[time.Duration]time.Duration{600 * ms: 0, 593 * ms: 7 * ms, 585 * ms: 15 * ms} {
		spent, oneWay := b.Record("search", timeLeft)
		assert.Equal(t, spent, want)
		assert.Equal(t, oneWay, 3500*time.Microsecond)
	}
	// The missing time of a caller's retry, or of a caller that waits for a shorter time, wasn't spent on connecting.
	spent, _ := b.Record("search", 300*ms)
	assert.Equal(t, spent, time.Duration(0))
	// Each route has its own observations.
	spent, oneWay := b.Record("order", 100*ms)
	assert.Equal(t, spent, time.Duration(0))
	assert.Equal(t, oneWay, time.Duration(0))
}

// A caller that waits for a very long time distorts the estimates for the other callers only until its request leaves the
// observations.
func TestCallerWithVeryLongTime(t *testing.T) {
	b := delay.New()
	b.Record("search", time.Minute)
	spent, _ := b.Record("search", 593*ms)
	assert.Equal(t, spent, time.Duration(0))
	for range 300 {
		b.Record("search", 600*ms)
	}
	for range 300 {
		b.Record("search", 600*ms)
	}
	spent, _ = b.Record("search", 593*ms)
	assert.Equal(t, spent, 7*ms)
}

func TestPruneRemovesUnlistedRoutes(t *testing.T) {
	b := delay.New()
	b.Record("old", 600*ms)
	b.Record("new", 600*ms)
	b.Prune(func(name string) bool { return name == "new" })
	spent, _ := b.Record("old", 593*ms)
	assert.Equal(t, spent, time.Duration(0))
	spent, _ = b.Record("new", 593*ms)
	assert.Equal(t, spent, 7*ms)
}
