// Package place chooses the target for each send, from what this process has seen of the targets.
//
// # Usage
//
//	b := place.New(place.Config{DataCentre: "dc-a"})
//	t, ok := b.Pick(now, rnd, route, view.Targets("desk-01"), tried)
//	b.Sent(now, t.ID)
//	b.Done(now, t.ID, route, place.Reply{Outcome: place.Good, Latency: d, Load: load})
//	b.Abandoned(now, t.ID, route, d)                // the caller's answer no longer needs the reply
//	for _, id := range b.Probes(now) { ... }       // ask the health page, then b.Probed(now, id, ok)
//
// # Load patterns
//
// Uneven targets: the expected time of a target is the usual time of the route, times the target's own speed, times
// its queue. Its speed is an average that forgets within some tens of replies, so that a target which turns slow loses
// its share and gets it back.
//
// Many processes, one idle target: each reads the same reported load. Expected times are therefore varied at random
// by Spread, and a report counts less with its age.
//
// Pauses: a target that has been silent for several times the usual time of the route, with work of this process
// outstanding, is passed over until it replies; others hold its share meanwhile.
//
// Lost targets: refused connections, or silence in a row, take a target out. It comes back after its health page
// has answered. A target that answers its health page and fails requests is used less, in proportion.
//
// Cold targets, which fail under more than a few requests a second: this process sends them no more than its part in any
// coldWindow. A target counts as cold for as long as its entry or its health page has said.
//
// Targets that say when to come back get nothing until then, not even a question for their health.
package place

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/internal/table"
)

// Config holds the weights. Zero fields take the defaults.
type Config struct {
	// Wait returns how long a target would hold up a send that takes the usual time; nil for none.
	Wait       func(now time.Time, id string, usual time.Duration) time.Duration
	DataCentre string               // of this process
	Crossing   time.Duration        // what a target in another data centre costs more
	Dial       time.Duration        // what a new connection costs
	Open       func(id string) bool // whether a connection to a target is idle; nil for no preference
	Spread     float64              // of the random variation, 0..1
	StallAfter float64              // times the usual time of the route without a reply
	StallFloor time.Duration
	ProbeEvery time.Duration
	MaxDown    time.Duration // the longest pause after failures in a row
}

// Defaults of Config.
const (
	// DefaultCrossing is a round trip between data centres of one region.
	DefaultCrossing = 2800 * time.Microsecond
	// DefaultDial is the time that targets spend on a new connection, and a round trip.
	DefaultDial = 6 * time.Millisecond
	// DefaultSpread keeps two equal targets equally likely while one at half the load is still preferred.
	DefaultSpread = 0.3
	// DefaultStallAfter leaves out one reply in a hundred of a target with the usual variation.
	DefaultStallAfter = 2.5
	// DefaultStallFloor is above the scheduling delay of a process with a fraction of a core.
	DefaultStallFloor = 15 * time.Millisecond
	// DefaultProbeEvery notices a return within the grace that published entries have.
	DefaultProbeEvery = 500 * time.Millisecond
	// DefaultMaxDown is the longest time without a chance for a target that fails on and off.
	DefaultMaxDown = 2 * time.Second
)

const (
	usualStart  = 10 * time.Millisecond // of a route before its first reply
	usualKeep   = 0.98                  // weight of the past in the usual time of a route
	speedKeep   = 0.85                  // weight of the past in the speed of a target
	faultKeep   = 0.85                  // weight of the past in the share of failures
	faultWeight = 12                    // a target that always fails counts as this many times slower, and one more
	maxSpeed    = 20
	reportHalf  = 60 * time.Millisecond // a reported load counts half after this long
	downStart   = 250 * time.Millisecond
	silentInRow = 3 // silences without any reply between them
	silentShort = 4 // times the usual time of the route; less is no silence
	// One silence of silentLong, which is above the pauses of healthy targets, is enough if it is also silentMany times
	// the usual time of the route.
	silentLong    = 200 * time.Millisecond
	silentMany    = 8
	brokenInRow   = 2
	maxTurns      = 256
	resortFor     = 3 * time.Second
	freeProbers   = 24
	coldFactor    = 1.6 // a target without a reply yet is assumed to be this much slower
	highPercent   = 0.9
	highStep      = 0.04
	unseenStalled = time.Hour
	// coldWindow is the second in which the requests to a cold target are counted, and what links may take to bring them
	// closer together.
	coldWindow = 1200 * time.Millisecond
)

// Outcome is how a send ended.
type Outcome uint8

// Outcomes.
const (
	Good     Outcome = iota // an answer
	Fault                   // the target's own failure
	Refused                 // the target says that it didn't run the request
	Replaced                // another target has the address
	Unsent                  // no connection, or nothing written
	Broken                  // the connection ended, or the reply was no answer
	Silent                  // no reply in the time allowed
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	names := [...]string{"good", "fault", "refused", "replaced", "unsent", "broken", "silent"}
	if int(o) < len(names) {
		return names[o]
	}
	return fmt.Sprintf("outcome(%d)", uint8(o))
}

// Load is what a target reports of itself.
type Load struct {
	Running, Waiting, Slots int
}

// Reply is the end of a send.
type Reply struct {
	Outcome Outcome
	Latency time.Duration
	Load    *Load // nil if not reported
}

type target struct {
	speed    float64 // times the usual time of the routes
	seen     bool    // has replied
	faults   float64 // share of failures lately
	open     []time.Time
	load     float64 // reported running and waiting, per slot
	loadAt   time.Time
	slots    int
	last     time.Time // last reply
	silences int
	broken   int
	down     bool
	quiet    bool      // out for its silence only
	mutedTo  time.Time // it has asked to be left alone until then
	coldTo   time.Time
	coldSent []time.Time // sends of the last coldWindow, while it is cold
	downFor  time.Duration
	probeAt  time.Time
	probeFor time.Duration // pause before the probe after the next
}

type usual struct {
	mean float64 // seconds
	high float64 // seconds; the percentile that makes a send late
}

// Board is the state of one process. Use New. It is not safe for concurrent use.
type Board struct {
	cfg     Config
	targets map[string]*target
	routes  map[string]*usual
	limits  func(t *table.Target) int
	cold    func(t *table.Target) int
	probeX  float64 // factor of the pauses between probes
	turns   []Turn
}

// Turn says that a target was taken out or is back.
type Turn struct {
	Target  string
	Out     bool
	Why     Outcome       // of the last send, if it is out
	InRow   int           // sends that ended so, one after the other
	LastAge time.Duration // since its last reply; negative: it has never replied
}

// Turns returns what has changed since the last call, at most maxTurns of it.
func (b *Board) Turns() []Turn {
	out := b.turns
	b.turns = nil
	return out
}

func (b *Board) turn(now time.Time, id string, s *target, why Outcome) {
	if len(b.turns) >= maxTurns {
		return
	}
	t := Turn{Target: id, Out: s.down, Why: why, InRow: max(s.silences, s.broken, 1), LastAge: -1}
	if !s.last.IsZero() {
		t.LastAge = now.Sub(s.last)
	}
	b.turns = append(b.turns, t)
}

// New returns a board without observations.
func New(cfg Config) *Board {
	cfg.Crossing = cmp.Or(cfg.Crossing, DefaultCrossing)
	cfg.Dial = cmp.Or(cfg.Dial, DefaultDial)
	cfg.Spread = cmp.Or(cfg.Spread, DefaultSpread)
	cfg.StallAfter = cmp.Or(cfg.StallAfter, DefaultStallAfter)
	cfg.StallFloor = cmp.Or(cfg.StallFloor, DefaultStallFloor)
	cfg.ProbeEvery = cmp.Or(cfg.ProbeEvery, DefaultProbeEvery)
	cfg.MaxDown = cmp.Or(cfg.MaxDown, DefaultMaxDown)
	return &Board{cfg: cfg, targets: map[string]*target{}, routes: map[string]*usual{}, probeX: 1}
}

// SetLimits sets the function that bounds the sends of this process to one target at a time. Where a fleet is larger
// than the connections of a target, it returns 0 for a target that is left to others; each send to it needs a connection
// of its own, so that it is picked if those of this process are slow, busy or out.
func (b *Board) SetLimits(f func(t *table.Target) int) { b.limits = f }

// SetProbers sets the number of processes that probe the same targets. Beyond freeProbers, each probes less often, so that
// a target which comes back isn't met by more probes than it has slots.
func (b *Board) SetProbers(n int) { b.probeX = max(1, float64(n)/freeProbers) }

func (b *Board) get(id string) *target {
	t := b.targets[id]
	if t == nil {
		t = &target{speed: 1, slots: 1}
		b.targets[id] = t
	}
	return t
}

func (b *Board) route(name string) *usual {
	u := b.routes[name]
	if u == nil {
		u = &usual{mean: usualStart.Seconds(), high: 2 * usualStart.Seconds()}
		b.routes[name] = u
	}
	return u
}

// Usual returns the mean time of a send of a route, and the time that few sends exceed.
func (b *Board) Usual(route string) (mean, high time.Duration) {
	u := b.route(route)
	return seconds(u.mean), seconds(u.high)
}

// UsualAt returns the mean time of a send of a route to a target, as it has replied lately.
func (b *Board) UsualAt(route, id string) time.Duration {
	s := b.targets[id]
	if s == nil {
		return seconds(b.route(route).mean)
	}
	return seconds(b.route(route).mean * max(s.speed, 1))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Standing says why a target can't be picked.
type Standing uint8

// Standings.
const (
	Usable  Standing = iota
	Busy             // as many sends as this process may have there
	Down             // out until its health page answers
	Foreign          // left to other processes, but usable
	Muted            // has asked to be left alone for a while
)

// Standing returns whether a target can be picked now.
func (b *Board) Standing(now time.Time, t *table.Target) Standing {
	s := b.targets[t.ID]
	open := 0
	if s != nil {
		open = len(s.open)
	}
	switch {
	case b.Muted(now, t.ID) > 0:
		return Muted
	case s != nil && s.down:
		return Down
	case s != nil && b.coldFull(now, t, s):
		return Busy
	case b.limits == nil:
		return Usable
	}
	limit := b.limits(t)
	switch {
	case limit == 0 && open == 0:
		return Foreign
	case open >= limit:
		return Busy
	}
	return Usable
}

// Why says why none of the targets can be picked beside the tried ones: Busy if waiting a little may help, Muted with the
// time until the first one may be used again, or else Down.
func (b *Board) Why(now time.Time, targets []*table.Target, tried []string) (Standing, time.Duration) {
	standing, wait := Down, time.Duration(0)
	for _, t := range targets {
		if slices.Contains(tried, t.ID) {
			continue
		}
		switch b.Standing(now, t) {
		case Busy:
			return Busy, 0
		case Muted:
			if muted := b.Muted(now, t.ID); standing != Muted || muted < wait {
				standing, wait = Muted, muted
			}
		}
	}
	return standing, wait
}

// Pick returns the target with the shortest expected time among those that may be sent to, without the tried ones, and
// that time. If all are out, one that has only been silent, and has replied lately, is better than none: it may be slow
// because it does the work of the others.
func (b *Board) Pick(now time.Time, rnd *rand.Rand, route string, targets []*table.Target, tried []string) (*table.Target, time.Duration, bool) {
	usable := func(t *table.Target) bool {
		standing := b.Standing(now, t)
		return standing == Usable || standing == Foreign
	}
	if t, expected, ok := b.pick(now, rnd, route, targets, tried, usable); ok {
		return t, expected, true
	}
	return b.pick(now, rnd, route, targets, tried, func(t *table.Target) bool { return b.Standing(now, t) == Down && b.lastResort(now, t) })
}

func (b *Board) pick(now time.Time, rnd *rand.Rand, route string, targets []*table.Target, tried []string, may func(t *table.Target) bool) (*table.Target, time.Duration, bool) {
	var best *table.Target
	var bestTime float64
	u := b.route(route)
	for _, t := range targets {
		if slices.Contains(tried, t.ID) || !may(t) {
			continue
		}
		expected := b.expected(now, u, t) * (1 + b.cfg.Spread*(rnd.Float64()-0.5))
		if best == nil || expected < bestTime {
			best, bestTime = t, expected
		}
	}
	return best, min(seconds(bestTime), unseenStalled), best != nil
}

// lastResort reports whether a target that is out for its silence has replied lately and has room.
func (b *Board) lastResort(now time.Time, t *table.Target) bool {
	s := b.targets[t.ID]
	return s.quiet && now.Sub(s.last) < resortFor && len(s.open) < max(s.slots/2, 1)
}

// expected returns the expected time of a send, in seconds.
func (b *Board) expected(now time.Time, u *usual, t *table.Target) float64 {
	s := b.get(t.ID)
	if t.Slots > 0 {
		s.slots = t.Slots
	}
	speed := s.speed
	if !s.seen {
		speed = coldFactor
	}
	queue := float64(len(s.open)) / float64(s.slots)
	if age := now.Sub(s.loadAt); !s.loadAt.IsZero() && s.load > 0 {
		queue = max(queue, s.load*decay(age))
	}
	e := u.mean * speed * (1 + queue) * (1 + faultWeight*s.faults)
	if t.DataCentre != b.cfg.DataCentre {
		e += b.cfg.Crossing.Seconds()
	}
	if b.cfg.Wait != nil {
		// A send that few exceed must have ended before a pause begins.
		e += b.cfg.Wait(now, t.ID, seconds(u.high)).Seconds()
	}
	if b.cfg.Open != nil && !b.cfg.Open(t.ID) {
		e += b.cfg.Dial.Seconds()
	}
	if b.limits != nil && b.limits(t) == 0 {
		e += b.cfg.Dial.Seconds()
	}
	if b.stalled(now, u, s) {
		// Behind all others, the longest stall last.
		e += unseenStalled.Seconds() + now.Sub(s.open[0]).Seconds()
	}
	return e
}

func decay(age time.Duration) float64 {
	return float64(reportHalf) / float64(reportHalf+max(age, 0))
}

// stalled reports whether the target holds work without a reply for unusually long.
func (b *Board) stalled(now time.Time, u *usual, s *target) bool {
	if len(s.open) == 0 {
		return false
	}
	since := s.open[0]
	if s.last.After(since) {
		since = s.last
	}
	limit := max(time.Duration(b.cfg.StallAfter*u.mean*s.speed*float64(time.Second)), b.cfg.StallFloor)
	return now.Sub(since) > limit
}

// Stalled reports whether the target holds work of this process without a reply for unusually long.
func (b *Board) Stalled(now time.Time, route, id string) bool {
	s := b.targets[id]
	return s != nil && b.stalled(now, b.route(route), s)
}

// Sent counts a send.
func (b *Board) Sent(now time.Time, id string) {
	s := b.get(id)
	s.open = append(s.open, now)
	if now.Before(s.coldTo) {
		s.coldSent = append(s.coldSent, now)
	} else {
		s.coldSent = nil
	}
}

func (s *target) closed(sent time.Time) {
	for i, at := range s.open {
		if !at.Before(sent) {
			s.open = append(s.open[:i], s.open[i+1:]...)
			return
		}
	}
	if len(s.open) > 0 {
		s.open = s.open[1:]
	}
}

// Done takes the end of a send.
func (b *Board) Done(now time.Time, id, route string, r Reply) {
	s := b.get(id)
	s.closed(now.Add(-r.Latency))
	if r.Load != nil && r.Load.Slots > 0 {
		s.slots = r.Load.Slots
		s.load = float64(r.Load.Running+r.Load.Waiting) / float64(r.Load.Slots)
		s.loadAt = now
	}
	if r.Outcome <= Replaced {
		s.last = now
		s.silences, s.broken = 0, 0
	}
	switch r.Outcome {
	case Good:
		s.seen = true
		b.observe(s, b.route(route), r.Latency, true)
		s.faults *= faultKeep
		s.downFor = 0
	case Fault:
		s.faults = s.faults*faultKeep + (1 - faultKeep)
	case Refused:
		// The queue was full, whatever was reported before.
		s.load = max(s.load, 4)
		s.loadAt = now
	case Replaced, Unsent:
		b.takeDown(now, id, s, r.Outcome)
	case Broken:
		s.faults = s.faults*faultKeep + (1 - faultKeep)
		if s.broken++; s.broken >= brokenInRow {
			b.takeDown(now, id, s, Broken)
		}
	case Silent:
		b.silent(now, id, s, b.route(route), r.Latency)
	}
}

// silent takes a send without a reply for the given time. A target that has replied to others meanwhile is not silent;
// one that was wrongly taken out is back after one probe.
func (b *Board) silent(now time.Time, id string, s *target, u *usual, after time.Duration) {
	if after.Seconds() < silentShort*u.mean || s.last.After(now.Add(-after)) {
		return
	}
	s.faults = s.faults*faultKeep + (1 - faultKeep)
	s.silences++
	if !s.down && (s.silences >= silentInRow || after >= silentLong && after.Seconds() >= silentMany*u.mean) {
		b.takeDown(now, id, s, Silent)
		s.quiet = true
	}
}

// observe updates the speed of a target and the usual time of a route. A reply that nobody waited for counts for the
// target only as a lower bound of its time.
func (b *Board) observe(s *target, u *usual, latency time.Duration, whole bool) {
	sec := latency.Seconds()
	ratio := min(sec/u.mean, maxSpeed)
	if whole || ratio > s.speed {
		s.speed = speedKeep*s.speed + (1-speedKeep)*ratio
	}
	if !whole && sec < u.mean {
		return
	}
	// Outliers move the mean by a bounded amount.
	u.mean = usualKeep*u.mean + (1-usualKeep)*min(sec, 4*u.mean)
	if sec > u.high {
		u.high += highStep * highPercent * u.high
	} else {
		u.high -= highStep * (1 - highPercent) * u.high
	}
	u.high = max(u.high, u.mean)
}

// Abandoned takes a send whose reply nobody waits for any more, after the given time.
func (b *Board) Abandoned(now time.Time, id, route string, after time.Duration) {
	s := b.get(id)
	s.closed(now.Add(-after))
	b.observe(s, b.route(route), after, false)
	b.silent(now, id, s, b.route(route), after)
}

// takeDown takes a target out until its health page answers.
func (b *Board) takeDown(now time.Time, id string, s *target, why Outcome) {
	s.quiet = false
	if s.down {
		return
	}
	s.down = true
	s.downFor = min(max(2*s.downFor, downStart), b.cfg.MaxDown)
	s.probeAt = now.Add(s.downFor)
	s.probeFor = b.cfg.ProbeEvery
	b.turn(now, id, s, why)
}

// Probes returns the targets whose health page is to be asked now; each counts as asked.
func (b *Board) Probes(now time.Time) []string {
	var out []string
	for id, s := range b.targets {
		if s.down && !now.Before(s.probeAt) && !now.Before(s.mutedTo) {
			s.probeAt = now.Add(time.Duration(float64(s.probeFor) * b.probeX))
			s.probeFor = min(2*s.probeFor, b.cfg.MaxDown)
			out = append(out, id)
		}
	}
	return out
}

// Probed takes the answer of a health page.
func (b *Board) Probed(now time.Time, id string, ok bool) {
	s := b.targets[id]
	if s == nil || !s.down || !ok {
		return
	}
	s.down = false
	b.turn(now, id, s, Good)
	s.silences, s.broken = 0, 0
	s.last = now
	s.load, s.loadAt = 0, time.Time{}
	s.speed = max(s.speed, coldFactor)
	s.faults = min(s.faults, 0.3)
}

// Down reports whether a target is out.
func (b *Board) Down(id string) bool {
	s := b.targets[id]
	return s != nil && s.down
}

// SetCold sets the function that bounds the sends of this process to a cold target in any second; negative for no bound.
func (b *Board) SetCold(f func(t *table.Target) int) { b.cold = f }

// Cold says until when a target is cold.
func (b *Board) Cold(id string, until time.Time) { b.get(id).coldTo = until }

// coldFull reports whether a target is cold and has had this process's part of what it bears.
func (b *Board) coldFull(now time.Time, t *table.Target, s *target) bool {
	if b.cold == nil || !now.Before(s.coldTo) {
		return false
	}
	most := b.cold(t)
	if most < 0 {
		return false
	}
	s.coldSent = slices.DeleteFunc(s.coldSent, func(at time.Time) bool { return now.Sub(at) >= coldWindow })
	return len(s.coldSent) >= most
}

// Mute leaves a target alone until a time, as it has asked. A later time that it has named before stands.
func (b *Board) Mute(id string, until time.Time) {
	s := b.get(id)
	if until.After(s.mutedTo) {
		s.mutedTo = until
	}
}

// Muted returns how much longer a target is to be left alone; 0 for not at all.
func (b *Board) Muted(now time.Time, id string) time.Duration {
	s := b.targets[id]
	if s == nil {
		return 0
	}
	return max(s.mutedTo.Sub(now), 0)
}

// Forget drops what is known of a target: it has started anew.
func (b *Board) Forget(id string) {
	if s := b.targets[id]; s != nil {
		*s = target{speed: 1, slots: s.slots, open: s.open}
	}
}

// Keep forgets the targets that are not listed any more, have no work and haven't asked to be left alone.
func (b *Board) Keep(now time.Time, listed func(id string) bool) {
	for id, s := range b.targets {
		if len(s.open) == 0 && !listed(id) && !now.Before(s.mutedTo) {
			delete(b.targets, id)
		}
	}
}
