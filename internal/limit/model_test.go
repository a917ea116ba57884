package limit_test

import (
	"math/rand"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsiarelay/fuchsiarelay/internal/limit"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/target"
)

// model simulates a target. The target can run one request at a time while cold and as many as its slots while warm. It
// becomes warm after 40 requests, returns to a cold start at random times, and crashes if it receives more requests
// than it can run while cold. One step is 1 ms.
type model struct {
	rnd       *rand.Rand
	slots     int
	inc       uint64
	work      int // requests finished since the last cold start
	downUntil int
	running   []job
	coldSince int // step of the last cold start

	crashes, done, early, excess int
}

type job struct{ sent, finish int }

type arrival struct {
	at   int
	made int // step at which the sign or the request was sent
	s    limit.Sign
}

func (m *model) cold() bool { return m.work < 40 }

func (m *model) state() target.State {
	if m.cold() {
		return target.Cold
	}
	return target.Warm
}

func (m *model) stamp(kind limit.Kind, sent int) limit.Sign {
	return limit.Sign{Kind: kind, Incarnation: m.inc, State: m.state(), Slots: m.slots, Sent: at(sent)}
}

func at(step int) time.Time { return time.Unix(1000, 0).Add(time.Duration(step) * ms) }

func (m *model) crash(step int) (broken []limit.Sign) {
	for _, j := range m.running {
		broken = append(broken, limit.Sign{Kind: limit.Broken, Sent: at(j.sent)})
	}
	m.running, m.work, m.coldSince = nil, 0, step
	m.inc++
	m.downUntil = step + 100
	return broken
}

// receive handles one request and returns the signs that result at once. If informed is true, the sender had received
// a sign of the current cold start before it sent the request.
func (m *model) receive(step, sent int, informed bool) []limit.Sign {
	if step < m.downUntil {
		return []limit.Sign{{Kind: limit.Unreachable, Sent: at(sent)}}
	}
	bears, service := m.slots, 4+m.rnd.Intn(2)
	if m.cold() {
		bears, service = 1, 20
	}
	if len(m.running) >= bears {
		if informed {
			m.excess++
		} else {
			m.early++
		}
		if m.cold() {
			m.crashes++
			return append(m.crash(step), limit.Sign{Kind: limit.Broken, Sent: at(sent)})
		}
		return []limit.Sign{m.stamp(limit.Shed, sent)}
	}
	m.running = append(m.running, job{sent, step + service})
	return nil
}

func (m *model) step(step int) (signs []limit.Sign) {
	kept := m.running[:0]
	for _, j := range m.running {
		if j.finish > step {
			kept = append(kept, j)
			continue
		}
		m.done++
		m.work++
		s := m.stamp(limit.Good, j.sent)
		s.Latency = time.Duration(step-j.sent) * ms
		signs = append(signs, s)
	}
	m.running = kept
	if m.rnd.Intn(3000) == 0 && step >= m.downUntil {
		// The replies of this step were sent before the cold start.
		m.work, m.coldSince = 0, step+1
		if m.rnd.Intn(2) == 0 {
			signs = append(signs, m.crash(step)...)
		}
	}
	return signs
}

// policy sets the level that the only dispatcher of the simulation uses.
type policy interface {
	Observe(now time.Time, s limit.Sign) limit.Change
	Level() int
	Probe(now time.Time) limit.Probe
}

// fixed is a policy whose level is always the number of slots.
type fixed struct{ slots int }

func (f fixed) Observe(time.Time, limit.Sign) limit.Change { return limit.Change{} }
func (f fixed) Level() int                                 { return f.slots }
func (f fixed) Probe(time.Time) limit.Probe                { return limit.NoProbe }

// aimd is a policy that raises the level by one after 8 good replies and halves it on any other sign. It ignores
// incarnation, state and send time.
type aimd struct {
	fixed
	level, good int
}

func (a *aimd) Level() int { return a.level }

func (a *aimd) Observe(_ time.Time, s limit.Sign) limit.Change {
	a.good++
	if s.Kind != limit.Good {
		a.level, a.good = max(1, a.level/2), 0
	}
	if a.good == 8 {
		a.level, a.good = min(a.level+1, a.slots), 0
	}
	return limit.Change{}
}

// split divides the arrivals into those that are due at the step and the rest.
func split(all []arrival, step int) (due, rest []arrival) {
	for _, a := range all {
		if a.at <= step {
			due = append(due, a)
		} else {
			rest = append(rest, a)
		}
	}
	return due, rest
}

// drive runs a policy with more work than the target can take, and returns the model after the last step. A request
// takes 1 ms to arrive, a reply 1 to 3 ms.
func drive(p policy, seed int64, steps int) *model {
	m := &model{rnd: rand.New(rand.NewSource(seed)), slots: 6, inc: 1}
	var replies, requests []arrival
	open, known := 0, -1 // known is the step of the newest cold start of which a sign has arrived
	for step := range steps {
		signs := m.step(step)
		var due []arrival
		due, requests = split(requests, step)
		for _, r := range due {
			switch {
			case r.s.Kind != limit.Health:
				signs = append(signs, m.receive(step, r.made, r.s.Level == m.coldSince)...)
			case step >= m.downUntil:
				signs = append(signs, m.stamp(limit.Health, r.made))
			}
		}
		for _, s := range signs {
			replies = append(replies, arrival{step + 1 + m.rnd.Intn(3), step, s})
		}
		due, replies = split(replies, step)
		for _, r := range due {
			if r.s.Kind != limit.Health {
				open--
			}
			if r.made >= m.coldSince {
				known = m.coldSince
			}
			p.Observe(at(step), r.s)
		}
		send := func(kind limit.Kind) {
			// A request has no level, so the field holds the cold start that the sender knew of.
			requests = append(requests, arrival{step + 1, step, limit.Sign{Kind: kind, Level: known}})
		}
		switch p.Probe(at(step)) {
		case limit.ProbeHealth:
			send(limit.Health)
		case limit.ProbeWork:
			open++
			send(limit.Good)
		}
		for open < p.Level() {
			open++
			send(limit.Good)
		}
	}
	return m
}

// Guards against sending a cold target more requests than it can run after the first sign of the cold start has
// arrived, and against a policy that avoids such excess only because it sends hardly any requests.
func TestColdTargetModel(t *testing.T) {
	const steps = 60_000
	sum := map[string]*model{}
	for seed := range int64(8) {
		for name, p := range map[string]policy{
			"limit.Target": limit.New(limit.Config{Slots: 6}),
			"no ramp":      fixed{6},
			"AIMD":         &aimd{fixed: fixed{6}, level: 1},
		} {
			m := drive(p, seed, steps)
			if sum[name] == nil {
				sum[name] = &model{}
			}
			s := sum[name]
			s.done += m.done
			s.crashes += m.crashes
			s.early += m.early
			s.excess += m.excess
		}
	}
	for name, s := range sum {
		t.Logf("%-12s 8 runs of 60 s: done %7d  crashes from overload %6d  requests above capacity: before the first sign %4d, after %6d",
			name, s.done, s.crashes, s.early, s.excess)
	}
	ours := sum["limit.Target"]
	assert.Equal(t, ours.excess, 0)
	assert.Assert(t, ours.done > 2*sum["AIMD"].done)
	// Unless the two other policies cause excess, the check above proves nothing.
	assert.Assert(t, sum["AIMD"].excess > 0 && sum["no ramp"].excess > 0)
}

// Guards against a level that rises so slowly after the start of a process that a warm target stays underused.
func TestWarmTargetRamp(t *testing.T) {
	for slots, most := range map[int]int{2: 8, 6: 48} {
		lim := limit.New(limit.Config{Slots: slots})
		m := &model{rnd: rand.New(rand.NewSource(1)), slots: slots, inc: 1, work: 1000}
		step := 0
		for ; lim.Level() < slots && step < 10_000; step++ {
			for _, s := range m.step(step) {
				lim.Observe(at(step), s)
			}
			for len(m.running) < lim.Level() {
				m.receive(step, step, true)
			}
		}
		t.Logf("%d slots: %d replies in %d ms, about 4.5 ms each", slots, m.done, step)
		assert.Assert(t, m.done <= most, "level %d was reached only after %d replies", slots, m.done)
	}
}

// Guards against a target that never returns to service after it was gone or draining, and against too many probes.
func TestReturn(t *testing.T) {
	health := limit.Sign{Kind: limit.Health, Incarnation: 1, State: target.Warm}
	reply := limit.Sign{Kind: limit.Good, Incarnation: 1, State: target.Warm, Latency: ms}
	for name, c := range map[string]struct {
		out  []limit.Sign
		wait time.Duration // minimum time until a health page allows the trial
		end  limit.State
	}{
		"gone":           {[]limit.Sign{{Kind: limit.Unreachable}, {Kind: limit.Unreachable}, {Kind: limit.Unreachable}}, 0, limit.Gone},
		"said draining":  {[]limit.Sign{{Kind: limit.Shed, Incarnation: 1, State: target.Draining}}, 10 * time.Second, limit.Draining},
		"listed leaving": {[]limit.Sign{{Kind: limit.Leave}, {Kind: limit.Return}}, 0, limit.Draining},
	} {
		b := newFixture(6)
		b.good(80, 1)
		for _, s := range c.out {
			b.sign(s)
		}
		assert.Equal(t, b.t.Level(), 0, name)
		assert.Equal(t, b.t.State(), c.end, name)
		start, probes, work := b.now, 0, false
		for ; !work && b.now.Sub(start) < 20*time.Second; b.sign(health) {
			probe := b.t.Probe(b.now)
			work = probe == limit.ProbeWork
			if probe != limit.NoProbe {
				probes++
			}
		}
		took := b.now.Sub(start)
		assert.Assert(t, work && took >= c.wait && took < c.wait+2*time.Second, "%s: %v", name, took)
		assert.Assert(t, probes <= 2+int(took/time.Second), "%s: %d probes in %v", name, probes, took)
		assert.Equal(t, b.t.Level(), 0, name+": a health page doesn't raise the level")
		b.sign(reply)
		assert.Equal(t, b.t.Level(), 1, name)
		b.good(8, 1)
		assert.Equal(t, b.t.Level(), 2, name)
	}
}

// Guards against a level above the smallest of the published slots, the slots of the rule and those that the target
// states.
func TestSmallestSlotsWin(t *testing.T) {
	b := newFixture(6)
	b.good(80, 1)
	b.sign(limit.Sign{Kind: limit.Health, Incarnation: 1, State: target.Warm, Slots: 4})
	assert.Equal(t, b.t.Level(), 4)
	b.sign(limit.Sign{Kind: limit.Health, Incarnation: 1, State: target.Warm, Slots: 6})
	b.good(80, 1)
	assert.Equal(t, b.t.Level(), 4, "a health page doesn't raise the level")
	b.t.SetSlots(b.now, 2)
	assert.Equal(t, b.t.Level(), 2)
	b.sign(limit.Sign{Kind: limit.Good, Incarnation: 1, State: target.Warm, Latency: ms, Slots: 9})
	b.t.SetSlots(b.now, 3)
	assert.Equal(t, b.t.Level(), 2, "more slots don't raise the level without good replies")
	b.good(80, 1)
	assert.Equal(t, b.t.Level(), 3)
	b.t.SetSlots(b.now, 0)
	assert.Equal(t, b.t.Level(), 0)
}
