package place

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a restart of the whole fleet after which all targets are out of rotation because they have reset connections
// over their bound. Each of three targets has 11 connections left for six processes, which send a request every 5 ms for a
// second. No target goes down, all 11 connections come into use, and a process tries at most six more times to open one: the
// pauses of 50, 100, 200, 400 and 800 ms fill the second.
func TestRestartOfAllProcesses(t *testing.T) {
	const processes, freeConns, replyTime = 6, 11, 20 * time.Millisecond
	free := map[string]int{}
	rnd := rand.New(rand.NewPCG(1, 2))
	list := targets(3)
	var fleet [processes]*Balancer
	var idle, resets [processes]map[string]int
	type send struct {
		process int
		id      string
		endsAt  time.Time
	}
	var running []send
	for i := range fleet {
		idle[i], resets[i] = map[string]int{}, map[string]int{}
		fleet[i] = New(Config{DataCentre: "here", HasIdle: func(id string) bool { return idle[i][id] > 0 }})
	}
	for _, target := range list {
		free[target.ID] = freeConns
	}
	for now := start; now.Before(start.Add(time.Second)); now = now.Add(5 * time.Millisecond) {
		left := running[:0]
		for _, s := range running {
			if s.endsAt.After(now) {
				left = append(left, s)
				continue
			}
			idle[s.process][s.id]++
			fleet[s.process].RecordEnd(now, s.id, "r", SendResult{Outcome: Answered, Latency: replyTime})
		}
		running = left
		for i, b := range fleet {
			target, _, ok := b.Pick(now, rnd, "r", list, nil)
			if !ok {
				continue
			}
			b.RecordSend(now, target.ID)
			switch {
			case idle[i][target.ID] > 0:
				idle[i][target.ID]--
			case free[target.ID] > 0:
				free[target.ID]--
			default:
				resets[i][target.ID]++
				b.RecordEnd(now, target.ID, "r", SendResult{Outcome: NotSent, NewConnReset: true})
				continue
			}
			running = append(running, send{i, target.ID, now.Add(replyTime)})
		}
	}
	for i, b := range fleet {
		assert.Equal(t, len(b.Changes()), 0)
		for _, target := range list {
			assert.Assert(t, resets[i][target.ID] <= 6, "%d resets", resets[i][target.ID])
			assert.Equal(t, free[target.ID], 0)
		}
	}
}

// A target is dialed once at a time, and used without a pause over connections that exist.
func TestOneDialAtATime(t *testing.T) {
	idle, dialing := false, true
	b := New(Config{DataCentre: "here", HasIdle: func(string) bool { return idle }, IsDialing: func(string) bool { return dialing }})
	list := targets(1)
	assert.Equal(t, b.Availability(at(0), list[0]), Busy)
	dialing = false
	assert.Equal(t, b.Availability(at(0), list[0]), Usable)
	b.RecordConnReset(at(0), "t0")
	assert.Assert(t, b.ResetsNewConns("t0"))
	assert.Equal(t, b.Availability(at(49), list[0]), Busy)
	idle = true
	assert.Equal(t, b.Availability(at(49), list[0]), Usable)
	idle = false
	assert.Equal(t, b.Availability(at(50), list[0]), Usable)
	recordAnswers(b, at(60), "t0", 1, ms(10))
	assert.Assert(t, !b.ResetsNewConns("t0"))
}

// Guards against a target that resets all connections for good, and is tried again and again because a reset isn't taken for a
// failure.
func TestTargetThatResetsForGood(t *testing.T) {
	b := New(Config{DataCentre: "here"})
	list := targets(1)
	resets := 0
	for now := at(0); now.Before(at(5000)); now = now.Add(ms(5)) {
		if b.Availability(now, list[0]) == Usable {
			resets++
			b.RecordSend(now, "t0")
			b.RecordEnd(now, "t0", "r", SendResult{Outcome: Broken, NewConnReset: true})
		}
	}
	assert.Equal(t, resets, 6)
	assert.Assert(t, b.IsDown("t0"))
}
