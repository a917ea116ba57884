package limit_test

import (
	"math/rand"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsiarelay/fuchsiarelay/internal/limit"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/target"
)

// targetModel simulates a target. The target can run one request at a time while cold and as many as its slots while
// warm. It becomes warm after 40 requests, returns to a cold start at random times, and crashes if it receives more
// requests than it can run while cold. One step is 1 ms.
type targetModel struct {
	rnd               *rand.Rand
	slots             int
	incarnation       uint64
	finishedSinceCold int // requests finished since the last cold start
	downUntil         int
	running           []request
	coldSince         int // step of the last cold start

	// Excess requests are those above the capacity of the target. They are counted separately for senders that had received
	// an observation of the current cold start, and for those that had not.
	crashCount, finishedCount, excessBeforeObservation, excessAfterObservation int
}

// request is a request that the target is running, with the steps at which it was sent and at which it finishes.
type request struct{ sent, finish int }

// arrival is an observation on its way to the dispatcher, or a request on its way to the target.
type arrival struct {
	receivedAt  int // step at which the observation or the request is received
	sentAt      int // step at which the observation or the request was sent
	observation limit.Observation
}

func (m *targetModel) isCold() bool { return m.finishedSinceCold < 40 }

// state returns the state that the target states in its replies.
func (m *targetModel) state() target.State {
	if m.isCold() {
		return target.Cold
	}
	return target.Warm
}

// newObservation returns an observation of a reply to a request that was sent at the step.
func (m *targetModel) newObservation(kind limit.ObservationKind, sent int) limit.Observation {
	return limit.Observation{Kind: kind, Incarnation: m.incarnation, State: m.state(), Slots: m.slots, Sent: timeOfStep(sent)}
}

// timeOfStep returns the simulated time of a step.
func timeOfStep(step int) time.Time { return time.Unix(1000, 0).Add(time.Duration(step) * ms) }

// crash ends the simulated process and returns an observation for each request that was running.
func (m *targetModel) crash(step int) (observations []limit.Observation) {
	for _, r := range m.running {
		observations = append(observations, limit.Observation{Kind: limit.ConnectionLost, Sent: timeOfStep(r.sent)})
	}
	m.running, m.finishedSinceCold, m.coldSince = nil, 0, step
	m.incarnation++
	m.downUntil = step + 100
	return observations
}

// receiveRequest handles one request and returns the observations that result at once. If informed is true, the sender had
// received an observation of the current cold start before it sent the request.
func (m *targetModel) receiveRequest(step, sent int, informed bool) []limit.Observation {
	if step < m.downUntil {
		return []limit.Observation{{Kind: limit.ConnectFailed, Sent: timeOfStep(sent)}}
	}
	capacity, service := m.slots, 4+m.rnd.Intn(2)
	if m.isCold() {
		capacity, service = 1, 20
	}
	if len(m.running) >= capacity {
		if informed {
			m.excessAfterObservation++
		} else {
			m.excessBeforeObservation++
		}
		if m.isCold() {
			m.crashCount++
			return append(m.crash(step), limit.Observation{Kind: limit.ConnectionLost, Sent: timeOfStep(sent)})
		}
		return []limit.Observation{m.newObservation(limit.Overloaded, sent)}
	}
	m.running = append(m.running, request{sent, step + service})
	return nil
}

// step finishes the requests that are due and returns the observations that result.
func (m *targetModel) step(step int) (observations []limit.Observation) {
	kept := m.running[:0]
	for _, r := range m.running {
		if r.finish > step {
			kept = append(kept, r)
			continue
		}
		m.finishedCount++
		m.finishedSinceCold++
		observation := m.newObservation(limit.GoodReply, r.sent)
		observation.Latency = time.Duration(step-r.sent) * ms
		observations = append(observations, observation)
	}
	m.running = kept
	if m.rnd.Intn(3000) == 0 && step >= m.downUntil {
		// The replies of this step were sent before the cold start.
		m.finishedSinceCold, m.coldSince = 0, step+1
		if m.rnd.Intn(2) == 0 {
			observations = append(observations, m.crash(step)...)
		}
	}
	return observations
}

// levelPolicy sets the level that the only dispatcher of the simulation uses.
type levelPolicy interface {
	Observe(now time.Time, observation limit.Observation) limit.Change
	Level() int
	NextProbe(now time.Time) limit.Probe
}

// fixedLevel is a policy whose level is always the number of slots. It never lowers the level for a cold target.
type fixedLevel struct{ slots int }

func (f fixedLevel) Observe(time.Time, limit.Observation) limit.Change { return limit.Change{} }
func (f fixedLevel) Level() int                                        { return f.slots }
func (f fixedLevel) NextProbe(time.Time) limit.Probe                   { return limit.NoProbe }

// aimdLevel is a policy that raises the level by one after 8 good replies and halves it on any other observation. It ignores
// incarnation, state and send time.
type aimdLevel struct {
	fixedLevel
	level, goodReplies int
}

func (a *aimdLevel) Level() int { return a.level }

func (a *aimdLevel) Observe(_ time.Time, observation limit.Observation) limit.Change {
	a.goodReplies++
	if observation.Kind != limit.GoodReply {
		a.level, a.goodReplies = max(1, a.level/2), 0
	}
	if a.goodReplies == 8 {
		a.level, a.goodReplies = min(a.level+1, a.slots), 0
	}
	return limit.Change{}
}

// splitDue divides the arrivals into those that are due at the step and the rest.
func splitDue(arrivals []arrival, step int) (due, rest []arrival) {
	for _, a := range arrivals {
		if a.receivedAt <= step {
			due = append(due, a)
		} else {
			rest = append(rest, a)
		}
	}
	return due, rest
}

// simulate runs a policy with more work than the target can take, and returns the model after the last step. A request
// takes 1 ms to arrive, a reply 1 to 3 ms.
func simulate(policy levelPolicy, seed int64, steps int) *targetModel {
	m := &targetModel{rnd: rand.New(rand.NewSource(seed)), slots: 6, incarnation: 1}
	var replies, requests []arrival
	open, knownColdStart := 0, -1 // knownColdStart is the step of the newest cold start of which an observation has arrived
	for step := range steps {
		observations := m.step(step)
		var due []arrival
		due, requests = splitDue(requests, step)
		for _, r := range due {
			switch {
			case r.observation.Kind != limit.HealthPage:
				observations = append(observations, m.receiveRequest(step, r.sentAt, r.observation.Level == m.coldSince)...)
			case step >= m.downUntil:
				observations = append(observations, m.newObservation(limit.HealthPage, r.sentAt))
			}
		}
		for _, observation := range observations {
			replies = append(replies, arrival{step + 1 + m.rnd.Intn(3), step, observation})
		}
		due, replies = splitDue(replies, step)
		for _, r := range due {
			if r.observation.Kind != limit.HealthPage {
				open--
			}
			if r.sentAt >= m.coldSince {
				knownColdStart = m.coldSince
			}
			policy.Observe(timeOfStep(step), r.observation)
		}
		send := func(kind limit.ObservationKind) {
			// A request has no level, so the field holds the cold start that the sender knew of.
			requests = append(requests, arrival{step + 1, step, limit.Observation{Kind: kind, Level: knownColdStart}})
		}
		switch policy.NextProbe(timeOfStep(step)) {
		case limit.ProbeHealth:
			send(limit.HealthPage)
		case limit.ProbeSubRequest:
			open++
			send(limit.GoodReply)
		}
		for open < policy.Level() {
			open++
			send(limit.GoodReply)
		}
	}
	return m
}

// Guards against sending a cold target more requests than it can run after the first observation of the cold start has
// arrived, and against a policy that avoids this excess only because it sends hardly any requests.
func TestColdTargetGetsNoExcessRequests(t *testing.T) {
	const steps = 60_000
	totals := map[string]*targetModel{}
	for seed := range int64(8) {
		for name, policy := range map[string]levelPolicy{
			"limit.Limiter": limit.New(limit.Config{Slots: 6}),
			"no ramp":       fixedLevel{6},
			"AIMD":          &aimdLevel{fixedLevel: fixedLevel{6}, level: 1},
		} {
			m := simulate(policy, seed, steps)
			if totals[name] == nil {
				totals[name] = &targetModel{}
			}
			total := totals[name]
			total.finishedCount += m.finishedCount
			total.crashCount += m.crashCount
			total.excessBeforeObservation += m.excessBeforeObservation
			total.excessAfterObservation += m.excessAfterObservation
		}
	}
	for name, total := range totals {
		t.Logf("%-12s 8 runs of 60 s: done %7d  crashes from overload %6d  requests above capacity: before the first observation %4d, after %6d",
			name, total.finishedCount, total.crashCount, total.excessBeforeObservation, total.excessAfterObservation)
	}
	limited := totals["limit.Limiter"]
	assert.Equal(t, limited.excessAfterObservation, 0)
	assert.Assert(t, limited.finishedCount > 2*totals["AIMD"].finishedCount)
	// Unless the two other policies cause excess, the check above proves nothing.
	assert.Assert(t, totals["AIMD"].excessAfterObservation > 0 && totals["no ramp"].excessAfterObservation > 0)
}

// Guards against a level that rises so slowly after the start of a process that a warm target stays underused.
func TestWarmTargetRamp(t *testing.T) {
	for slots, maxReplies := range map[int]int{2: 8, 6: 48} {
		limiter := limit.New(limit.Config{Slots: slots})
		model := &targetModel{rnd: rand.New(rand.NewSource(1)), slots: slots, incarnation: 1, finishedSinceCold: 1000}
		step := 0
		for ; limiter.Level() < slots && step < 10_000; step++ {
			for _, observation := range model.step(step) {
				limiter.Observe(timeOfStep(step), observation)
			}
			for len(model.running) < limiter.Level() {
				model.receiveRequest(step, step, true)
			}
		}
		t.Logf("%d slots: %d replies in %d ms, about 4.5 ms each", slots, model.finishedCount, step)
		assert.Assert(t, model.finishedCount <= maxReplies, "level %d was reached only after %d replies", slots, model.finishedCount)
	}
}

// Guards against a target that never returns to service after it was unreachable, draining or listed as leaving, and against
// too many probes.
func TestReturnToService(t *testing.T) {
	health := limit.Observation{Kind: limit.HealthPage, Incarnation: 1, State: target.Warm}
	reply := limit.Observation{Kind: limit.GoodReply, Incarnation: 1, State: target.Warm, Latency: ms}
	for name, testCase := range map[string]struct {
		observations []limit.Observation // set the level to 0
		minWait      time.Duration       // minimum time until the trial is allowed
		wantState    limit.State         // after the observations
	}{
		"gone":           {[]limit.Observation{{Kind: limit.ConnectFailed}, {Kind: limit.ConnectFailed}, {Kind: limit.ConnectFailed}}, 0, limit.Unreachable},
		"said draining":  {[]limit.Observation{{Kind: limit.Overloaded, Incarnation: 1, State: target.Draining}}, 10 * time.Second, limit.Draining},
		"listed leaving": {[]limit.Observation{{Kind: limit.ListedLeaving}, {Kind: limit.NoLongerLeaving}}, 0, limit.Draining},
	} {
		f := newFixture(6)
		f.goodReplies(80, 1)
		for _, observation := range testCase.observations {
			f.observe(observation)
		}
		assert.Equal(t, f.limiter.Level(), 0, name)
		assert.Equal(t, f.limiter.State(), testCase.wantState, name)
		start, probes, trialSent := f.now, 0, false
		for ; !trialSent && f.now.Sub(start) < 20*time.Second; f.observe(health) {
			probe := f.limiter.NextProbe(f.now)
			trialSent = probe == limit.ProbeSubRequest
			if probe != limit.NoProbe {
				probes++
			}
		}
		took := f.now.Sub(start)
		assert.Assert(t, trialSent && took >= testCase.minWait && took < testCase.minWait+2*time.Second, "%s: %v", name, took)
		assert.Assert(t, probes <= 2+int(took/time.Second), "%s: %d probes in %v", name, probes, took)
		assert.Equal(t, f.limiter.Level(), 0, name+": a health page doesn't raise the level")
		f.observe(reply)
		assert.Equal(t, f.limiter.Level(), 1, name)
		f.goodReplies(8, 1)
		assert.Equal(t, f.limiter.Level(), 2, name)
	}
}

// Guards against a level above the smallest of the published slots, the slots of the rule and those that the target
// states.
func TestLevelBoundBySmallestSlots(t *testing.T) {
	f := newFixture(6)
	f.goodReplies(80, 1)
	f.observe(limit.Observation{Kind: limit.HealthPage, Incarnation: 1, State: target.Warm, Slots: 4})
	assert.Equal(t, f.limiter.Level(), 4)
	f.observe(limit.Observation{Kind: limit.HealthPage, Incarnation: 1, State: target.Warm, Slots: 6})
	f.goodReplies(80, 1)
	assert.Equal(t, f.limiter.Level(), 4, "a health page doesn't raise the level")
	f.limiter.SetSlots(f.now, 2)
	assert.Equal(t, f.limiter.Level(), 2)
	f.observe(limit.Observation{Kind: limit.GoodReply, Incarnation: 1, State: target.Warm, Latency: ms, Slots: 9})
	f.limiter.SetSlots(f.now, 3)
	assert.Equal(t, f.limiter.Level(), 2, "more slots don't raise the level without good replies")
	f.goodReplies(80, 1)
	assert.Equal(t, f.limiter.Level(), 3)
	f.limiter.SetSlots(f.now, 0)
	assert.Equal(t, f.limiter.Level(), 0)
}
