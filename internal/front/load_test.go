package front

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsiarelay/fuchsiarelay/pkg/codes"
)

var start = time.Date(2026, 5, 4, 12, 0, 0, 0, time.UTC)

// sendAndEnd records an attempt at target t that ended with the code after the elapsed time.
func sendAndEnd(l *targetLoads, now time.Time, elapsed time.Duration, code codes.Code) {
	l.recordSend("t", "vm")
	l.recordEnd(now, "t", "vm", attemptEnd{elapsed: elapsed, code: code})
}

// Guards against a slow target that keeps the expected wait of a fast one. Its attempts are given up because the hedges
// sent to other replicas always answer first, so the latency of the slow target is never measured.
func TestGivenUpAttemptsRaiseExpectedWait(t *testing.T) {
	l := newTargetLoads()
	sendAndEnd(l, start, 8*time.Millisecond, codes.Complete)
	before := l.expectedWait(start, "t", 1)
	sendAndEnd(l, start, 25*time.Millisecond, codes.Canceled)
	assert.Assert(t, l.expectedWait(start, "t", 1) > before)
	// A hedged attempt that was given up early says nothing about the latency of its target.
	slow := l.expectedWait(start, "t", 1)
	sendAndEnd(l, start, time.Millisecond, codes.Canceled)
	assert.Equal(t, l.expectedWait(start, "t", 1), slow)
}

// Guards against a replica that is never chosen again after it was slow once.
func TestOldAverageDecays(t *testing.T) {
	l := newTargetLoads()
	sendAndEnd(l, start, 160*time.Millisecond, codes.Complete)
	assert.Equal(t, l.expectedWait(start.Add(4*averageHalfLife), "t", 1), 10*time.Millisecond)
}

// Guards against queries that use up their retries because they repeatedly choose a replica whose dispatchers have no
// share.
func TestTargetWithoutDispatcherComesLast(t *testing.T) {
	l := newTargetLoads()
	sendAndEnd(l, start, 8*time.Millisecond, codes.Complete)
	l.recordNotAccepted(start, "t")
	assert.Equal(t, l.expectedWait(start, "t", 1), avoidedWait)
	l.recordNotAccepted(start, "t") // a second failure at the same time must not prolong the avoidance
	again := start.Add(minAvoidDuration)
	assert.Assert(t, l.expectedWait(again, "t", 1) < avoidedWait)
	l.recordNotAccepted(again, "t")
	assert.Equal(t, l.expectedWait(again.Add(minAvoidDuration), "t", 1), avoidedWait)
	sendAndEnd(l, again, 8*time.Millisecond, codes.Complete)
	assert.Assert(t, l.expectedWait(again, "t", 1) < avoidedWait)
}
