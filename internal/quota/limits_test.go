package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Anything but one decimal number is reported as an error, and is no limit.
func TestParseLimit(t *testing.T) {
	for text, want := range map[string]float64{"25": 25, "0": 0, "0.25": 0.25, "41.20": 41.2, "1000000000": 1e9} {
		limit, named, err := ParseLimit([]string{text})
		assert.NilError(t, err)
		assert.Assert(t, named && limit == want, "%s: %v", text, limit)
	}
	for _, text := range []string{"", " 5", "-1", "+5", "1e3", "0x10", "NaN", "inf", "1,5", "5 5", ".5", "5.", "1000000001", "99999999999999999999999", "ten"} {
		_, named, err := ParseLimit([]string{text})
		assert.Assert(t, err != nil && !named, text)
	}
	_, named, err := ParseLimit([]string{"5", "6"})
	assert.Assert(t, err != nil && !named)
	_, named, err = ParseLimit(nil)
	assert.Assert(t, err == nil && !named)
}

// A statement that may be older than the recorded one doesn't raise or lift the limit; one that is certainly newer does.
func TestStatementsOutOfOrder(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var l Limits
	expect := func(limit float64, named bool) {
		t.Helper()
		got, ok := l.Limit("a")
		assert.Assert(t, got == limit && ok == named, "limit %v, named %v", got, ok)
	}
	assert.Assert(t, !l.Record("a", Statement{Sent: at(0), Received: at(5)}))
	expect(0, false)
	assert.Assert(t, l.Record("a", Statement{Sent: at(10), Received: at(20), Named: true, Limit: 30}))
	// This request was sent before the last reply came, so its reply may be older.
	assert.Assert(t, !l.Record("a", Statement{Sent: at(5), Received: at(30)}))
	assert.Assert(t, !l.Record("a", Statement{Sent: at(15), Received: at(31), Named: true, Limit: 50}))
	expect(30, true)
	assert.Assert(t, l.Record("a", Statement{Sent: at(16), Received: at(32), Named: true, Limit: 20}))
	expect(20, true)
	assert.Assert(t, l.Record("a", Statement{Sent: at(32), Received: at(40), Named: true, Limit: 60}))
	expect(60, true)
	assert.Assert(t, l.Record("a", Statement{Sent: at(41), Received: at(45)}))
	expect(0, false)
	l.Record("a", Statement{Sent: at(50), Received: at(55), Named: true, Limit: 5})
	l.Forget("a")
	expect(0, false)
}
