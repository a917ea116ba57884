// Package place chooses the target of each send from what this process has observed of the targets: reply times, failures
// and reported load.
//
// # Usage
//
//	b := place.New(place.Config{DataCentre: "dc-a"})
//	t, expected, ok := b.Pick(now, rnd, route, view.Targets("desk-01"), tried)
//	b.Sent(now, t.ID)
//	b.Done(now, t.ID, route, place.Reply{Outcome: place.Good, Latency: d, Load: load})
//	b.Abandoned(now, t.ID, route, d)                // instead of Done: the reply is no longer needed
//	for _, id := range b.Probes(now) { ... }       // query the health page, then call b.Probed(now, id, ok)
//
// # Load patterns
//
// Uneven targets: the expected time of a send is the mean time of the route, multiplied by the slowdown of the target and
// by a factor for its queue. The slowdown is a moving average over some tens of replies, so that a target that becomes slow
// loses its share of the load, and regains it when it is fast again.
//
// Many processes and one idle target: all processes read the same reported load and would send to the same target. Expected
// times are therefore varied at random by Spread, and a report counts less as it ages.
//
// Pauses: a target that holds sends of this process and hasn't replied for several times the mean time of the route is
// passed over until it replies. Other targets take its share in the meantime.
//
// Lost targets: refused connections, or several sends in a row without a reply, take a target out. The target is used again
// after its health page has answered. A target that answers its health page but fails requests is used less, in proportion
// to its failures.
//
// Cold targets, which fail under more than a few requests a second: this process sends a cold target no more than its share
// of these requests in any coldWindow. A target counts as cold for as long as its entry or its health page has stated.
//
// A target that has stated when it will be available again gets nothing before that time, not even a query of its health
// page.
package place

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/internal/table"
)

// Config holds the weights and bounds of a Board. Zero fields take the defaults.
type Config struct {
	// Wait returns how long a pause of the target would delay a send that takes the given time; nil if no pauses are known.
	Wait       func(now time.Time, id string, sendTime time.Duration) time.Duration
	DataCentre string               // of this process
	Crossing   time.Duration        // added to the expected time of a target in another data centre
	Dial       time.Duration        // added to the expected time if a new connection is needed
	Open       func(id string) bool // reports whether an idle connection to the target exists; nil for no preference
	Spread     float64              // width of the random variation of expected times, 0..1
	StallAfter float64              // a target without a reply for this many times the expected time counts as stalled
	StallFloor time.Duration        // shortest time without a reply that counts as a stall
	ProbeEvery time.Duration        // time between the first two probes; it doubles up to MaxDown
	MaxDown    time.Duration        // longest time until the next probe, before the factor of SetProbers
}

// Defaults of Config.
const (
	// DefaultCrossing is the time of a round trip between data centres of one region.
	DefaultCrossing = 2800 * time.Microsecond
	// DefaultDial is the time that a target spends on a new connection, plus a round trip.
	DefaultDial = 6 * time.Millisecond
	// DefaultSpread makes equal targets equally likely, and still prefers a target at half the load of another.
	DefaultSpread = 0.3
	// DefaultStallAfter is exceeded by one reply in a hundred of a target with the usual variation.
	DefaultStallAfter = 2.5
	// DefaultStallFloor is above the scheduling delay of a process with a fraction of a core.
	DefaultStallFloor = 15 * time.Millisecond
	// DefaultProbeEvery notices that a target is back within the grace period of published entries.
	DefaultProbeEvery = 500 * time.Millisecond
	// DefaultMaxDown bounds the time that a target with intermittent failures gets neither a request nor a probe.
	DefaultMaxDown = 2 * time.Second
)

const (
	usualStart  = 10 * time.Millisecond  // mean time of a route before its first reply
	usualKeep   = 0.98                   // weight of the past in the mean time of a route
	speedKeep   = 0.85                   // weight of the past in the slowdown of a target
	faultKeep   = 0.85                   // weight of the past in the failure rate of a target
	faultWeight = 12                     // a target that always fails counts as 1 + faultWeight times slower
	maxSpeed    = 20                     // bound of the slowdown that a single reply can show
	reportHalf  = 60 * time.Millisecond  // a reported load has half its weight at this age
	downStart   = 250 * time.Millisecond // time before the first probe of a target that has just been taken out
	silentInRow = 3                      // sends without a reply, with no reply between them, that take a target out
	silentShort = 4                      // a send without a reply counts only after this many times the mean time of the route
	// A single send without a reply for silentLong takes a target out if that is also silentMany times the mean time of
	// the route. silentLong is longer than the pauses of healthy targets.
	silentLong    = 200 * time.Millisecond
	silentMany    = 8
	brokenInRow   = 2               // broken sends, with no reply between them, that take a target out
	maxTurns      = 256             // bound of the changes that are kept for Turns
	resortFor     = 3 * time.Second // a silent target is a last resort only if its last reply is more recent
	freeProbers   = 24              // number of processes up to which each of them probes at the full rate
	coldFactor    = 1.6             // slowdown that is assumed of a target that has not replied yet
	highPercent   = 0.9             // quantile of the send times that usual.high estimates
	highStep      = 0.04            // relative step of that estimate
	unseenStalled = time.Hour       // added to the expected time of a stalled target, so that it comes after all others
	// coldWindow is the one second over which sends to a cold target are counted, plus a margin: varying delays on the links
	// can bring sends closer together on their way to the target.
	coldWindow = 1200 * time.Millisecond
)

// Outcome is how a send ended.
type Outcome uint8

// The outcomes of a send.
const (
	Good     Outcome = iota // the target has answered the request
	Fault                   // the target reports that the request has failed
	Refused                 // the target states that it didn't run the request
	Replaced                // another target is listening at the address
	Unsent                  // no connection was made, or nothing was written to it
	Broken                  // the connection was lost, or the reply was invalid
	Silent                  // no reply within the time allowed
)

// String returns the name of the outcome, as in log lines.
func (o Outcome) String() string {
	names := [...]string{"good", "fault", "refused", "replaced", "unsent", "broken", "silent"}
	if int(o) < len(names) {
		return names[o]
	}
	return fmt.Sprintf("outcome(%d)", uint8(o))
}

// Load is the load that a target reports with a reply: requests that are running and waiting, and its slots.
type Load struct {
	Running, Waiting, Slots int
}

// Reply describes how a send ended.
type Reply struct {
	Outcome Outcome
	Latency time.Duration // since the request was sent
	Load    *Load         // nil if not reported
}

// target holds the observations of one target.
type target struct {
	speed    float64     // mean slowdown: time of a send relative to the mean time of its route
	seen     bool        // has answered at least one request
	faults   float64     // moving average of the failure rate, 0..1
	open     []time.Time // when the sends in flight began
	load     float64     // reported requests that are running or waiting, per slot
	loadAt   time.Time   // when load was reported
	slots    int
	last     time.Time     // time of the last reply
	silences int           // sends without a reply in a row
	broken   int           // broken sends in a row
	down     bool          // taken out until its health page answers
	quiet    bool          // taken out only because sends got no reply
	mutedTo  time.Time     // the target has asked for no requests before this time
	coldTo   time.Time     // end of its warm-up
	coldSent []time.Time   // sends in the last coldWindow, while the target is cold
	downFor  time.Duration // time before the first probe; doubles until a request is answered
	probeAt  time.Time     // time of the next probe
	probeFor time.Duration // time between the next probe and the one after it
}

// usual holds the send times of one route.
type usual struct {
	mean float64 // moving average, in seconds
	high float64 // estimate of the highPercent quantile, in seconds; a send that takes longer is late
}

// Board holds what one process has observed of the targets and routes. Use New. A Board is not safe for concurrent use.
type Board struct {
	cfg     Config
	targets map[string]*target
	routes  map[string]*usual
	limits  func(t *table.Target) int // see SetLimits
	cold    func(t *table.Target) int // see SetCold
	probeX  float64                   // factor of the times between probes
	turns   []Turn                    // changes since the last call of Turns
}

// Turn records that a target was taken out or is used again.
type Turn struct {
	Target  string
	Out     bool          // the target was taken out
	Why     Outcome       // outcome that took the target out; Good if the target is back
	InRow   int           // sends in a row that failed before the change, at least 1
	LastAge time.Duration // time since the last reply of the target; negative if it has never replied
}

// Turns returns the changes since the last call, at most the first maxTurns of them.
func (b *Board) Turns() []Turn {
	out := b.turns
	b.turns = nil
	return out
}

// turn records that a target was taken out or is back.
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

// New returns a Board without observations.
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

// SetLimits sets the function that returns how many sends of this process may be in flight to a target. In a fleet with
// more processes than a target accepts connections, the function returns 0 for a target that is left to other processes.
// Each send to such a target needs a new connection, so that the target is picked only if the other targets of this process
// are slow, busy or out.
func (b *Board) SetLimits(f func(t *table.Target) int) { b.limits = f }

// SetProbers sets the number of processes that probe the same targets. Above freeProbers, each process probes less often, so
// that a target which starts again doesn't get more probes than it has slots.
func (b *Board) SetProbers(n int) { b.probeX = max(1, float64(n)/freeProbers) }

// get returns the observations of a target, and adds a target that is unknown.
func (b *Board) get(id string) *target {
	t := b.targets[id]
	if t == nil {
		t = &target{speed: 1, slots: 1}
		b.targets[id] = t
	}
	return t
}

// route returns the send times of a route, and adds a route that is unknown.
func (b *Board) route(name string) *usual {
	u := b.routes[name]
	if u == nil {
		u = &usual{mean: usualStart.Seconds(), high: 2 * usualStart.Seconds()}
		b.routes[name] = u
	}
	return u
}

// Usual returns the mean time of a send of a route, and the time that one send in ten exceeds.
func (b *Board) Usual(route string) (mean, high time.Duration) {
	u := b.route(route)
	return seconds(u.mean), seconds(u.high)
}

// UsualAt returns the expected time of a send of a route to a target, from the recent replies of that target. It is at least
// the mean time of the route.
func (b *Board) UsualAt(route, id string) time.Duration {
	s := b.targets[id]
	if s == nil {
		return seconds(b.route(route).mean)
	}
	return seconds(b.route(route).mean * max(s.speed, 1))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Standing says whether a target can be picked, and if not, why.
type Standing uint8

// The values of Standing.
const (
	Usable  Standing = iota
	Busy             // this process has reached its limit of sends in flight, or of sends to a cold target
	Down             // taken out until its health page answers
	Foreign          // left to other processes, but can be picked
	Muted            // the target has asked for no requests until a later time
)

// Standing returns whether a target can be picked now, and if not, why.
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

// Why returns the reason why no target can be picked, apart from the tried ones: Busy if a target may become free soon,
// else Muted with the time until the first target accepts requests again, else Down.
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

// Pick returns the target with the shortest expected time, and that time. Targets that can't be picked now and the tried
// ones are left out. If no target remains, Pick falls back to a target that was taken out only because sends got no reply,
// and that has replied recently: it may be slow because it does the work of the others.
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

// pick returns the target with the shortest expected time among those that the function allows, without the tried ones.
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

// lastResort reports whether a target was taken out only because sends got no reply, has replied recently, and has a free
// slot for this process, which uses up to half of the slots.
func (b *Board) lastResort(now time.Time, t *table.Target) bool {
	s := b.targets[t.ID]
	return s.quiet && now.Sub(s.last) < resortFor && len(s.open) < max(s.slots/2, 1)
}

// expected returns the expected time of a send to a target, in seconds.
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
		// Even a slow send, of the high quantile, must have ended before a pause of the target begins.
		e += b.cfg.Wait(now, t.ID, seconds(u.high)).Seconds()
	}
	if b.cfg.Open != nil && !b.cfg.Open(t.ID) {
		e += b.cfg.Dial.Seconds()
	}
	if b.limits != nil && b.limits(t) == 0 {
		e += b.cfg.Dial.Seconds()
	}
	if b.stalled(now, u, s) {
		// A stalled target comes after all others, and the one with the longest stall last.
		e += unseenStalled.Seconds() + now.Sub(s.open[0]).Seconds()
	}
	return e
}

// decay returns the weight of a reported load of the given age.
func decay(age time.Duration) float64 {
	return float64(reportHalf) / float64(reportHalf+max(age, 0))
}

// stalled reports whether a target holds a send of this process and has been without a reply for unusually long.
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

// Stalled reports whether a target holds a send of this process and has been without a reply for unusually long.
func (b *Board) Stalled(now time.Time, route, id string) bool {
	s := b.targets[id]
	return s != nil && b.stalled(now, b.route(route), s)
}

// Sent records the start of a send to a target.
func (b *Board) Sent(now time.Time, id string) {
	s := b.get(id)
	s.open = append(s.open, now)
	if now.Before(s.coldTo) {
		s.coldSent = append(s.coldSent, now)
	} else {
		s.coldSent = nil
	}
}

// closed removes the send that began at the given time from those in flight, or else the oldest one.
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

// Done records the end of a send.
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
		// A target refuses a request when its queue is full, even if it reported a low load before.
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

// silent records a send that got no reply for the given time. The send doesn't count if the target has replied to another
// send in that time. A target that was wrongly taken out is used again after one probe.
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

// observe updates the slowdown of a target and the send times of a route. If whole is false, the send was given up before a
// reply, and the latency is only a lower bound of the send's time.
func (b *Board) observe(s *target, u *usual, latency time.Duration, whole bool) {
	sec := latency.Seconds()
	ratio := min(sec/u.mean, maxSpeed)
	if whole || ratio > s.speed {
		s.speed = speedKeep*s.speed + (1-speedKeep)*ratio
	}
	if !whole && sec < u.mean {
		return
	}
	// The bound limits how far an outlier moves the mean.
	u.mean = usualKeep*u.mean + (1-usualKeep)*min(sec, 4*u.mean)
	if sec > u.high {
		u.high += highStep * highPercent * u.high
	} else {
		u.high -= highStep * (1 - highPercent) * u.high
	}
	u.high = max(u.high, u.mean)
}

// Abandoned records the end of a send that was given up after the given time, since its reply is no longer needed.
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

// Probes returns the targets whose health page is due to be queried now, and schedules their next probes.
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

// Probed records the result of a query of a health page. Only a healthy result changes anything.
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

// Down reports whether a target is taken out.
func (b *Board) Down(id string) bool {
	s := b.targets[id]
	return s != nil && s.down
}

// SetCold sets the function that returns how many sends this process may begin to a cold target in any second; a negative
// result means no bound.
func (b *Board) SetCold(f func(t *table.Target) int) { b.cold = f }

// Cold records until when a target is cold.
func (b *Board) Cold(id string, until time.Time) { b.get(id).coldTo = until }

// coldFull reports whether a target is cold and this process has used up its share of the requests that the target bears.
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

// Mute keeps requests and probes from a target until the time that the target has asked for. A later time from an earlier
// call stays in force.
func (b *Board) Mute(id string, until time.Time) {
	s := b.get(id)
	if until.After(s.mutedTo) {
		s.mutedTo = until
	}
}

// Muted returns how much longer a target is to get no requests and probes, as it has asked; 0 if it may get them now.
func (b *Board) Muted(now time.Time, id string) time.Duration {
	s := b.targets[id]
	if s == nil {
		return 0
	}
	return max(s.mutedTo.Sub(now), 0)
}

// Forget drops the observations of a target that has restarted, except its slots and the sends in flight.
func (b *Board) Forget(id string) {
	if s := b.targets[id]; s != nil {
		*s = target{speed: 1, slots: s.slots, open: s.open}
	}
}

// Keep drops the targets that are no longer listed, hold no sends, and have no time in force before which they asked for no
// requests.
func (b *Board) Keep(now time.Time, listed func(id string) bool) {
	for id, s := range b.targets {
		if len(s.open) == 0 && !listed(id) && !now.Before(s.mutedTo) {
			delete(b.targets, id)
		}
	}
}
