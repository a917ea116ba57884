package drain

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// config holds the time spans on which the expected times of the tests are based.
var config = Config{AddressTTL: 5 * time.Second, PropagationTime: time.Second, MaxDeadline: 10 * time.Second, MaxDuration: 60 * time.Second}

// simulate runs a stop and returns each action with the second at which it was returned. The function load returns the
// numbers of requests and tokens at a second, given whether Refuse and Release were returned before.
func simulate(load func(second int, refused, released bool) (inFlight, tokens int)) string {
	epoch := time.Unix(1_000_000, 0)
	s := New(config)
	s.Begin(epoch)
	refused, released := false, false
	var steps []string
	for second := range 200 {
		inFlight, tokens := load(second, refused, released)
		for _, a := range s.Step(epoch.Add(time.Duration(second)*time.Second), inFlight, tokens) {
			refused = refused || a == Refuse
			released = released || a == Release
			name := map[Action]string{Announce: "announce", Release: "release", Exit: "exit", Refuse: "refuse"}[a]
			steps = append(steps, fmt.Sprintf("%s@%d", name, second))
		}
	}
	return strings.Join(steps, " ")
}

// Guards against a stop that ends before requests, tokens or dispatched work are finished, and against a stop that never
// ends.
func TestStopSteps(t *testing.T) {
	idle := simulate(func(int, bool, bool) (int, int) { return 0, 0 })
	assert.Equal(t, idle, "announce@0 release@6 exit@7")
	openToken := simulate(func(second int, _, _ bool) (int, int) { return 0, max(0, 15-second) })
	assert.Equal(t, openToken, "announce@0 release@15 exit@16")
	dispatchedWork := simulate(func(second int, _, released bool) (int, int) {
		if released {
			return max(0, 9-second), 0
		}
		return 0, 0
	})
	assert.Equal(t, dispatchedWork, "announce@0 release@6 exit@9")
	// Callers that use the address beyond its lifetime stop only after Refuse. Refuse comes so late that it doesn't affect
	// callers that respect the lifetime.
	ignoresLifetime := simulate(func(_ int, refused, _ bool) (int, int) {
		if refused {
			return 0, 0
		}
		return 1, 1
	})
	assert.Equal(t, ignoresLifetime, "announce@0 refuse@40 release@41 exit@42")
	hangs := simulate(func(int, bool, bool) (int, int) { return 1, 0 })
	assert.Equal(t, hangs, "announce@0 refuse@40 release@50 exit@60")
}

// Guards against a process that was suspended for longer than the limit of the stop, and then exits before its requests are
// finished.
func TestSuspendedStopRefusesBeforeRelease(t *testing.T) {
	epoch := time.Unix(1_000_000, 0)
	s := New(config)
	s.Begin(epoch)
	s.Step(epoch, 1, 1)
	resumed := epoch.Add(time.Hour)
	assert.DeepEqual(t, s.Step(resumed, 1, 1), []Action{Refuse})
	assert.Equal(t, len(s.Step(resumed.Add(time.Second), 1, 0)), 0)
	assert.DeepEqual(t, s.Step(resumed.Add(2*time.Second), 0, 0), []Action{Release})
}
