// Package place chooses the target of each send from what this process has observed of the targets: reply times, failures
// and reported load. A send is one attempt to have a target run a request or a part of it.
//
// # Usage
//
//	b := place.New(place.Config{DataCentre: "dc-a"})
//	t, estimate, ok := b.Pick(now, rnd, route, view.Targets("desk-01"), tried)
//	b.RecordSend(now, t.ID)
//	b.RecordEnd(now, t.ID, route, place.SendResult{Outcome: place.Answered, Latency: d, Load: load})
//	b.RecordAbandoned(now, t.ID, route, d)          // instead of RecordEnd: the reply is no longer needed
//	for _, id := range b.DueProbes(now) { ... }     // query the health page, then call b.RecordProbe(now, id, ok)
//
// # Load patterns
//
// Uneven targets: the expected time of a send is the mean time of the route, multiplied by the slowdown of the target and
// by a factor for its load. The slowdown is a moving average over some tens of replies, so that a target that becomes slow
// gets fewer sends, and regains its share of the load when it is fast again.
//
// Many processes and one idle target: all processes read the same reported load and would send to the same target. Expected
// times are therefore varied at random by Jitter, and a report counts less as it ages.
//
// Queues: the time in the queue of a target is estimated apart from the service time; see queue.go.
//
// Refusing targets: targets that refuse many sends are avoided; see accept.go.
//
// Pauses: a target that holds sends of this process and hasn't replied for several times the mean time of the route is
// passed over until it replies. Other targets take its share in the meantime.
//
// Lost targets: a refused connection, broken connections in a row, several sends in a row without a reply, or one send that
// gets no reply for very long take a target out of rotation: it is down, and gets no sends until its health page has answered. A target that answers its health page but fails requests is used
// less, in proportion to its failures.
//
// Cold targets, which fail under more than a few requests a second: this process sends a cold target no more than its share
// of these requests in any coldWindow. A target counts as cold for as long as its published entry or its health page has
// stated.
//
// Targets at their connection bound: new connections are opened one at a time, and not for a while after the target has reset
// one; see dial.go.
//
// Targets with a rate limit: a RateLimiter decides when this process may send to them, and learns how often it would.
//
// Targets in backoff: a target that has stated when it will be available again gets nothing before that time, not even a
// query of its health page.
package place

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/internal/table"
)

// Config holds the weights and bounds of a Balancer. Zero fields take the defaults.
type Config struct {
	// PauseDelay returns how long a pause of the target would delay a send that takes the given time; nil if no pauses are
	// known.
	PauseDelay  func(now time.Time, id string, sendTime time.Duration) time.Duration
	DataCentre  string               // of this process
	RemoteCost  time.Duration        // added to the expected time of a target in another data centre
	DialCost    time.Duration        // added to the expected time if a new connection is needed
	HasIdle     func(id string) bool // reports whether an idle connection to the target exists; nil for no preference
	IsDialing   func(id string) bool // reports whether a connection to the target is being opened; nil: never
	Jitter      float64              // width of the random variation of expected times, as a share of these times, 0..1
	StallFactor float64              // a target without a reply for this many times the expected time counts as stalled
	MinStall    time.Duration        // shortest time without a reply that counts as a stall
	// RepetitionCost is the cost of a repetition, as a multiple of the mean time of a send: the number of requests for which the
	// retry budget allows one repetition.
	RepetitionCost float64
	ProbeInterval  time.Duration // time between the first two probes; it doubles up to MaxProbeDelay
	MaxProbeDelay  time.Duration // longest time until the next probe, before it is multiplied by the factor of SetProbers
}

// Defaults of Config.
const (
	// DefaultRemoteCost is the time of a round trip between data centres of one region.
	DefaultRemoteCost = 2800 * time.Microsecond
	// DefaultDialCost is the time that a target spends on a new connection, plus a round trip.
	DefaultDialCost = 6 * time.Millisecond
	// DefaultJitter makes equal targets equally likely, and still prefers a target at half the load of another.
	DefaultJitter = 0.3
	// DefaultStallFactor is exceeded by one reply in a hundred of a target whose reply times vary as usual.
	DefaultStallFactor = 2.5
	// DefaultMinStall is above the scheduling delay of a process with a fraction of a core.
	DefaultMinStall = 15 * time.Millisecond
	// DefaultRepetitionCost is that of a retry budget with a ratio of 0.2.
	DefaultRepetitionCost = 5
	// DefaultProbeInterval is short enough to detect that a target is back within the grace period of published entries.
	DefaultProbeInterval = 500 * time.Millisecond
	// DefaultMaxProbeDelay bounds the time that a target with intermittent failures gets neither a request nor a probe.
	DefaultMaxProbeDelay = 2 * time.Second
)

const (
	initialSendTime     = 10 * time.Millisecond  // mean time of a route before its first reply
	sendTimeDecay       = 0.98                   // weight of the past in the mean time of a route
	slowdownDecay       = 0.85                   // weight of the past in the slowdown of a target
	failureDecay        = 0.85                   // weight of the past in the failure rate of a target
	failureWeight       = 12                     // a target that always fails counts as 1 + failureWeight times slower
	maxSlowdown         = 20                     // bound of the slowdown that is computed from a single reply
	loadHalfLife        = 60 * time.Millisecond  // a reported load has half its weight at this age
	initialProbeDelay   = 250 * time.Millisecond // time before the first probe of a target that has just gone down
	downAfterUnanswered = 3                      // sends without a reply, with no reply between them, after which a target is down
	minUnansweredFactor = 4                      // a send without a reply counts after this many times the mean time of its route
	// A target is down after a single send without a reply for longUnanswered, if that is also longUnansweredFactor times the
	// mean time of the route. longUnanswered is longer than the pauses of healthy targets.
	longUnanswered       = 200 * time.Millisecond
	longUnansweredFactor = 8
	downAfterBroken      = 2               // broken sends, with no reply between them, after which a target is down
	maxChanges           = 256             // bound of the changes that are kept for Changes
	lastResortAge        = 3 * time.Second // a target that is down is a last resort only if its last reply is more recent
	fullRateProbers      = 24              // number of processes up to which each of them probes at the full rate
	refusedLoad          = 4               // load that is assumed of a target that refuses a send and doesn't report its load
	unknownSlowdown      = 1.6             // slowdown that is assumed of a target that has not replied yet
	highQuantile         = 0.9             // quantile of the send times that routeTimes.high estimates
	highStep             = 0.04            // relative step of the estimate of highQuantile
	stallPenalty         = time.Hour       // added to the expected time of a stalled target, so that it comes after all others
	// coldWindow is the one second over which sends to a cold target are counted, plus a margin: varying delays on the links
	// can bring sends closer together on their way to the target.
	coldWindow = 1200 * time.Millisecond
)

// Outcome is how a send ended.
type Outcome uint8

// The outcomes of a send.
const (
	Answered Outcome = iota // the target has answered the request
	Failed                  // the target reports that the request has failed
	Refused                 // the target states that it didn't run the request
	Replaced                // another target is listening at the address
	NotSent                 // no connection was opened, or nothing was written to it
	Broken                  // the connection was lost, or the reply was invalid
	NoReply                 // no reply within the time allowed
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

// SendResult describes how a send ended.
type SendResult struct {
	Outcome Outcome
	Latency time.Duration // since the request was sent
	Load    *Load         // nil if not reported
	// NewConnReset is true if the target reset a new connection. It is set only with NotSent and Broken.
	NewConnReset bool
}

// targetState holds the observations of one target.
type targetState struct {
	slowdown              float64 // mean slowdown: time of a send relative to the mean time of its route
	hasAnswered           bool    // the target has answered at least one request
	failureRate           float64 // moving average of the failure rate, 0..1
	refusals              refusals
	inFlight              []time.Time // when the sends in flight began
	reportedLoad          float64     // reported requests that are running or waiting, per slot
	loadReportedAt        time.Time   // when reportedLoad was reported
	slots                 int
	queueTime             float64       // moving average of the time for which answered sends waited at the target, in seconds
	queueTimeAt           time.Time     // time of the last answer
	lastReply             time.Time     // time of the last reply
	consecutiveUnanswered int           // sends without a reply in a row
	consecutiveBroken     int           // broken sends in a row
	down                  bool          // out of rotation until its health page answers
	downByNoReply         bool          // down only because sends got no reply
	backoffUntil          time.Time     // the target has asked for no requests before this time
	dialPause             time.Duration // length of the latest pause after a reset of a new connection; 0 after a reply
	noDialUntil           time.Time     // no new connection is opened before this time
	coldUntil             time.Time     // end of the target's warm-up
	coldSends             []time.Time   // sends in the last coldWindow, while the target is cold
	probeDelay            time.Duration // time between going down and the first probe; doubles each time the target goes down, until a request is answered
	probeAt               time.Time     // time of the next probe
	probeInterval         time.Duration // time between the next probe and the one after it
}

// routeTimes holds the send times of one route.
type routeTimes struct {
	mean float64 // moving average of the service times, in seconds
	high float64 // estimate of the highQuantile, in seconds; a send that takes longer is late
}

// Balancer holds what one process has observed of the targets and routes. Use New. A Balancer is not safe for concurrent
// use.
type Balancer struct {
	cfg         Config
	targets     map[string]*targetState
	routes      map[string]*routeTimes
	sendLimit   func(t *table.Target) int // see SetSendLimit
	coldLimit   func(t *table.Target) int // see SetColdLimit
	rateLimiter RateLimiter               // see SetRateLimiter
	probeFactor float64                   // factor of the times between probes
	changes     []Change                  // changes since the last call of Changes
}

// RateLimiter decides which targets with a rate limit this process may send to.
type RateLimiter interface {
	// Blocked reports whether nothing may be sent to the target now.
	Blocked(now time.Time, target string) bool
	// RecordDenied records that a send to the blocked target would have had the lowest cost.
	RecordDenied(now time.Time, target string)
	// RecordSend records a send to the target.
	RecordSend(now time.Time, target string)
	// Wait returns the time until something may be sent to the blocked target again.
	Wait(now time.Time, target string) time.Duration
}

// noRateLimits is a RateLimiter without limits.
type noRateLimits struct{}

func (noRateLimits) Blocked(time.Time, string) bool       { return false }
func (noRateLimits) RecordDenied(time.Time, string)       {}
func (noRateLimits) RecordSend(time.Time, string)         {}
func (noRateLimits) Wait(time.Time, string) time.Duration { return 0 }

// SetRateLimiter sets the rate limits of targets.
func (b *Balancer) SetRateLimiter(l RateLimiter) { b.rateLimiter = l }

// Change records that a target went down or is back.
type Change struct {
	Target      string
	Down        bool          // the target went down; false: it is back
	Reason      Outcome       // outcome after which the target went down; Answered if the target is back
	Consecutive int           // sends in a row that failed before the change, at least 1
	SinceReply  time.Duration // time since the last reply of the target; negative if it has never replied
}

// Changes returns the changes since the last call, at most the first maxChanges of them.
func (b *Balancer) Changes() []Change {
	out := b.changes
	b.changes = nil
	return out
}

// recordChange records that a target went down or is back.
func (b *Balancer) recordChange(now time.Time, id string, s *targetState, reason Outcome) {
	if len(b.changes) >= maxChanges {
		return
	}
	change := Change{Target: id, Down: s.down, Reason: reason, Consecutive: max(s.consecutiveUnanswered, s.consecutiveBroken, 1), SinceReply: -1}
	if !s.lastReply.IsZero() {
		change.SinceReply = now.Sub(s.lastReply)
	}
	b.changes = append(b.changes, change)
}

// New returns a Balancer without observations.
func New(cfg Config) *Balancer {
	cfg.RemoteCost = cmp.Or(cfg.RemoteCost, DefaultRemoteCost)
	cfg.DialCost = cmp.Or(cfg.DialCost, DefaultDialCost)
	cfg.Jitter = cmp.Or(cfg.Jitter, DefaultJitter)
	cfg.StallFactor = cmp.Or(cfg.StallFactor, DefaultStallFactor)
	cfg.MinStall = cmp.Or(cfg.MinStall, DefaultMinStall)
	cfg.RepetitionCost = cmp.Or(cfg.RepetitionCost, DefaultRepetitionCost)
	cfg.ProbeInterval = cmp.Or(cfg.ProbeInterval, DefaultProbeInterval)
	cfg.MaxProbeDelay = cmp.Or(cfg.MaxProbeDelay, DefaultMaxProbeDelay)
	return &Balancer{cfg: cfg, targets: map[string]*targetState{}, routes: map[string]*routeTimes{}, probeFactor: 1, rateLimiter: noRateLimits{}}
}

// SetSendLimit sets the function that returns how many sends of this process may be in flight to a target. In a fleet with
// more processes than a target accepts connections, the function returns 0 for a target that is assigned to other processes.
// Each send to an unassigned target needs a new connection, so that the target is picked only if the targets of this process
// are slow, busy or down.
func (b *Balancer) SetSendLimit(f func(t *table.Target) int) { b.sendLimit = f }

// SetProbers sets the number of processes that probe the same targets. Above fullRateProbers, each process probes less
// often, so that a target that starts again doesn't get more probes than it has slots.
func (b *Balancer) SetProbers(n int) { b.probeFactor = max(1, float64(n)/fullRateProbers) }

// stateOf returns the observations of a target, and adds a target that is unknown.
func (b *Balancer) stateOf(id string) *targetState {
	s := b.targets[id]
	if s == nil {
		s = &targetState{slowdown: 1, slots: 1}
		b.targets[id] = s
	}
	return s
}

// timesOf returns the send times of a route, and adds a route that is unknown.
func (b *Balancer) timesOf(name string) *routeTimes {
	times := b.routes[name]
	if times == nil {
		times = &routeTimes{mean: initialSendTime.Seconds(), high: 2 * initialSendTime.Seconds()}
		b.routes[name] = times
	}
	return times
}

// RouteTimes returns the mean time of a send of a route, and the time that one send in ten exceeds (see highQuantile).
func (b *Balancer) RouteTimes(route string) (mean, high time.Duration) {
	times := b.timesOf(route)
	return fromSeconds(times.mean), fromSeconds(times.high)
}

// TargetTime returns the expected time of a send of a route to a target, from the recent replies of that target. It is at
// least the mean time of the route.
func (b *Balancer) TargetTime(route, id string) time.Duration {
	s := b.targets[id]
	if s == nil {
		return fromSeconds(b.timesOf(route).mean)
	}
	return fromSeconds(b.timesOf(route).mean * max(s.slowdown, 1))
}

func fromSeconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Availability says whether a target can be picked, and if not, why.
type Availability uint8

// The values of Availability.
const (
	Usable      Availability = iota
	Busy                     // this process has reached its limit of sends in flight, or of sends to a cold target
	Down                     // out of rotation until its health page answers
	Unassigned               // assigned to other processes, but can be picked
	InBackoff                // the target has asked for no requests until a later time
	RateLimited              // the target has named a rate limit, and this process has no permit to send to it now
)

// Availability returns whether a target can be picked now, and if not, why.
func (b *Balancer) Availability(now time.Time, t *table.Target) Availability {
	s := b.targets[t.ID]
	inFlight := 0
	if s != nil {
		inFlight = len(s.inFlight)
	}
	switch {
	case b.Backoff(now, t.ID) > 0:
		return InBackoff
	case s != nil && s.down:
		return Down
	case s != nil && b.coldLimitReached(now, t, s):
		return Busy
	case b.rateLimiter.Blocked(now, t.ID):
		return RateLimited
	case !b.hasIdle(t.ID) && !b.mayDial(now, t.ID):
		return Busy
	case b.sendLimit == nil:
		return Usable
	}
	limit := b.sendLimit(t)
	switch {
	case limit == 0 && inFlight == 0:
		return Unassigned
	case inFlight >= limit:
		return Busy
	}
	return Usable
}

// AnyUsable reports whether one of the targets can be picked now.
func (b *Balancer) AnyUsable(now time.Time, targets []*table.Target) bool {
	return slices.ContainsFunc(targets, func(t *table.Target) bool {
		availability := b.Availability(now, t)
		return availability == Usable || availability == Unassigned
	})
}

// UnavailableReason returns the reason why no target other than the tried ones can be picked: Busy if a target may become
// free soon, else InBackoff or RateLimited with the time until the first target accepts requests again, else Down.
func (b *Balancer) UnavailableReason(now time.Time, targets []*table.Target, tried []string) (Availability, time.Duration) {
	availability, wait := Down, time.Duration(0)
	for _, t := range targets {
		if slices.Contains(tried, t.ID) {
			continue
		}
		switch b.Availability(now, t) {
		case Busy:
			return Busy, 0
		case InBackoff:
			if backoff := b.Backoff(now, t.ID); availability == Down || backoff < wait {
				availability, wait = InBackoff, backoff
			}
		case RateLimited:
			if limited := b.rateLimiter.Wait(now, t.ID); availability == Down || limited < wait {
				availability, wait = RateLimited, limited
			}
		}
	}
	return availability, wait
}

// Pick returns the target with the lowest cost, and the predicted time of a send to it. It leaves out the tried targets and
// those that can't be picked now. If no target remains, Pick falls back to a target that is down only because sends got no
// reply, and that has replied recently: it may be slow because it does the work of the others.
func (b *Balancer) Pick(now time.Time, rnd *rand.Rand, route string, targets []*table.Target, tried []string) (best *table.Target, estimate Estimate, ok bool) {
	var blocked []*table.Target
	usable := func(t *table.Target) bool {
		availability := b.Availability(now, t)
		if availability == RateLimited {
			blocked = append(blocked, t)
		}
		return availability == Usable || availability == Unassigned
	}
	defer func() { b.recordDenied(now, route, blocked, best) }()
	if t, estimate, ok := b.pick(now, rnd, route, targets, tried, usable); ok {
		return t, estimate, true
	}
	return b.pick(now, rnd, route, targets, tried, func(t *table.Target) bool { return b.Availability(now, t) == Down && b.isLastResort(now, t) })
}

// recordDenied tells the rate limiter if one of the blocked targets would have had a lower cost than the one that was picked; nil
// if none was.
func (b *Balancer) recordDenied(now time.Time, route string, blocked []*table.Target, picked *table.Target) {
	if len(blocked) == 0 {
		return
	}
	times := b.timesOf(route)
	best, lowestCost := "", math.Inf(1)
	if picked != nil {
		lowestCost = b.predict(now, times, picked).cost
	}
	for _, t := range blocked {
		if p := b.predict(now, times, t); p.cost < lowestCost {
			best, lowestCost = t.ID, p.cost
		}
	}
	if best != "" {
		b.rateLimiter.RecordDenied(now, best)
	}
}

// pick returns the target with the lowest cost, and the predicted time of a send to it, among the targets that are allowed and
// not tried.
func (b *Balancer) pick(now time.Time, rnd *rand.Rand, route string, targets []*table.Target, tried []string, isAllowed func(t *table.Target) bool) (best *table.Target, estimate Estimate, ok bool) {
	var lowestCost float64
	times := b.timesOf(route)
	for _, t := range targets {
		if slices.Contains(tried, t.ID) || !isAllowed(t) {
			continue
		}
		p := b.predict(now, times, t)
		variation := 1 + b.cfg.Jitter*(rnd.Float64()-0.5)
		if best == nil || p.cost*variation < lowestCost {
			best, lowestCost = t, p.cost*variation
			estimate = Estimate{Time: min(fromSeconds(p.time*variation), stallPenalty), Queue: fromSeconds(p.queue * variation)}
		}
	}
	return best, estimate, best != nil
}

// isLastResort reports whether a target is down only because sends got no reply, has replied recently, and has a free slot
// for this process, which uses up to half of the slots of such a target.
func (b *Balancer) isLastResort(now time.Time, t *table.Target) bool {
	s := b.targets[t.ID]
	return s.downByNoReply && now.Sub(s.lastReply) < lastResortAge && len(s.inFlight) < max(s.slots/2, 1)
}

// prediction describes a send to a target, in seconds.
type prediction struct {
	time  float64 // until the reply
	queue float64 // part of time for which the request waits at the target
	cost  float64 // by which targets are compared; it also counts the failures and repetitions that the send is expected to need
}

// predict describes a send to a target.
func (b *Balancer) predict(now time.Time, times *routeTimes, t *table.Target) prediction {
	s := b.stateOf(t.ID)
	if t.Slots > 0 {
		s.slots = t.Slots
	}
	slowdown := s.slowdown
	if !s.hasAnswered {
		slowdown = unknownSlowdown
	}
	load := float64(len(s.inFlight)) / float64(s.slots)
	if age := now.Sub(s.loadReportedAt); !s.loadReportedAt.IsZero() && s.reportedLoad > 0 {
		load = max(load, s.reportedLoad*loadWeight(age))
	}
	serviceTime := times.mean * slowdown
	var delay float64
	if t.DataCentre != b.cfg.DataCentre {
		delay += b.cfg.RemoteCost.Seconds()
	}
	if b.cfg.PauseDelay != nil {
		// Even a slow send, of the high quantile, must have ended before a pause of the target begins.
		delay += b.cfg.PauseDelay(now, t.ID, fromSeconds(times.high)).Seconds()
	}
	if b.cfg.HasIdle != nil && !b.cfg.HasIdle(t.ID) {
		delay += b.cfg.DialCost.Seconds()
	}
	if b.sendLimit != nil && b.sendLimit(t) == 0 {
		delay += b.cfg.DialCost.Seconds()
	}
	if b.stalled(now, times, s) {
		// A stalled target comes after all others, and the one with the longest stall last.
		delay += stallPenalty.Seconds() + now.Sub(s.inFlight[0]).Seconds()
	}
	p := prediction{queue: s.expectedQueueTime(now, serviceTime)}
	p.time = serviceTime + p.queue + delay
	p.cost = (serviceTime*(1+load)+p.queue)*(1+failureWeight*s.failureRate) + times.mean*b.cfg.RepetitionCost*s.refusals.repetitions(now) + delay
	return p
}

// loadWeight returns the weight of a reported load of the given age.
func loadWeight(age time.Duration) float64 {
	return float64(loadHalfLife) / float64(loadHalfLife+max(age, 0))
}

// stalled reports whether a target holds a send of this process and has not replied to this process for unusually long.
func (b *Balancer) stalled(now time.Time, times *routeTimes, s *targetState) bool {
	if len(s.inFlight) == 0 {
		return false
	}
	lastActivity := s.inFlight[0]
	if s.lastReply.After(lastActivity) {
		lastActivity = s.lastReply
	}
	limit := max(fromSeconds(b.cfg.StallFactor*times.mean*s.slowdown), b.cfg.MinStall)
	return now.Sub(lastActivity) > limit
}

// IsStalled reports whether a target holds a send of this process and has not replied to this process for unusually long.
func (b *Balancer) IsStalled(now time.Time, route, id string) bool {
	s := b.targets[id]
	return s != nil && b.stalled(now, b.timesOf(route), s)
}

// RecordSend records the start of a send to a target.
func (b *Balancer) RecordSend(now time.Time, id string) {
	b.rateLimiter.RecordSend(now, id)
	s := b.stateOf(id)
	s.inFlight = append(s.inFlight, now)
	if now.Before(s.coldUntil) {
		s.coldSends = append(s.coldSends, now)
	} else {
		s.coldSends = nil
	}
}

// removeSend removes the send that began at the given time from those in flight, or the first one that began later. If there
// is none, it removes the oldest.
func (s *targetState) removeSend(sentAt time.Time) {
	for i, began := range s.inFlight {
		if !began.Before(sentAt) {
			s.inFlight = append(s.inFlight[:i], s.inFlight[i+1:]...)
			return
		}
	}
	if len(s.inFlight) > 0 {
		s.inFlight = s.inFlight[1:]
	}
}

// RecordEnd removes the send from those in flight and stores the load that its reply reported. Depending on the outcome, it
// updates the slowdown and the failure rate of the target and the send times of the route, raises the reported load, or takes
// the target out of rotation.
func (b *Balancer) RecordEnd(now time.Time, id, route string, r SendResult) {
	s := b.stateOf(id)
	s.removeSend(now.Add(-r.Latency))
	if r.Load != nil && r.Load.Slots > 0 {
		s.slots = r.Load.Slots
		s.reportedLoad = float64(r.Load.Running+r.Load.Waiting) / float64(r.Load.Slots)
		s.loadReportedAt = now
	}
	if r.Outcome <= Replaced {
		s.lastReply = now
		s.consecutiveUnanswered, s.consecutiveBroken = 0, 0
		s.dialPause = 0
	}
	if r.NewConnReset {
		if s.pauseDialing(now) {
			b.markDown(now, id, s, r.Outcome)
		}
		return
	}
	if r.Outcome <= Refused {
		s.refusals.record(now, r.Outcome == Refused)
	}
	switch r.Outcome {
	case Answered:
		s.hasAnswered = true
		b.updateTimes(s, b.timesOf(route), r.Latency, s.loadAt(now), true)
		s.failureRate *= failureDecay
		s.probeDelay = 0
	case Failed:
		s.failureRate = s.failureRate*failureDecay + (1 - failureDecay)
	case Refused:
		if r.Load == nil {
			// A target refuses a request when its queue is full, even if it reported a low load before.
			s.reportedLoad = max(s.reportedLoad, refusedLoad)
			s.loadReportedAt = now
		}
	case Replaced, NotSent:
		b.markDown(now, id, s, r.Outcome)
	case Broken:
		s.failureRate = s.failureRate*failureDecay + (1 - failureDecay)
		if s.consecutiveBroken++; s.consecutiveBroken >= downAfterBroken {
			b.markDown(now, id, s, Broken)
		}
	case NoReply:
		b.recordUnanswered(now, id, s, b.timesOf(route), r.Latency)
	}
}

// recordUnanswered records a send that got no reply for the given time. The send doesn't count if the time is shorter than
// minUnansweredFactor allows, or if the target has replied to another send in that time. A target that went down by mistake
// is used again after one probe.
func (b *Balancer) recordUnanswered(now time.Time, id string, s *targetState, times *routeTimes, waited time.Duration) {
	if waited.Seconds() < minUnansweredFactor*times.mean || s.lastReply.After(now.Add(-waited)) {
		return
	}
	s.failureRate = s.failureRate*failureDecay + (1 - failureDecay)
	s.consecutiveUnanswered++
	if !s.down && (s.consecutiveUnanswered >= downAfterUnanswered || waited >= longUnanswered && waited.Seconds() >= longUnansweredFactor*times.mean) {
		b.markDown(now, id, s, NoReply)
		s.downByNoReply = true
	}
}

// updateTimes updates the slowdown and the queue time of a target, and the send times of a route. The given load is the one that
// the target has reported with its reply. If complete is false, the send was given up before a reply, and the latency is only a
// lower bound of the send's time.
func (b *Balancer) updateTimes(s *targetState, times *routeTimes, latency time.Duration, load float64, complete bool) {
	seconds := latency.Seconds()
	serviceTime := serviceTimeOf(seconds, load)
	if complete {
		s.recordQueueTime(seconds - serviceTime)
	}
	ratio := min(serviceTime/times.mean, maxSlowdown)
	if complete || ratio > s.slowdown {
		s.slowdown = slowdownDecay*s.slowdown + (1-slowdownDecay)*ratio
	}
	if !complete && seconds < times.mean {
		return
	}
	// The bound limits how far an outlier moves the mean.
	times.mean = sendTimeDecay*times.mean + (1-sendTimeDecay)*min(serviceTime, 4*times.mean)
	if seconds > times.high {
		times.high += highStep * highQuantile * times.high
	} else {
		times.high -= highStep * (1 - highQuantile) * times.high
	}
	times.high = max(times.high, times.mean)
}

// RecordAbandoned records the end of a send that was given up after the given time, since its reply is no longer needed.
func (b *Balancer) RecordAbandoned(now time.Time, id, route string, waited time.Duration) {
	s := b.stateOf(id)
	s.removeSend(now.Add(-waited))
	b.updateTimes(s, b.timesOf(route), waited, 0, false)
	b.recordUnanswered(now, id, s, b.timesOf(route), waited)
}

// SetColdLimit sets the function that returns how many sends this process may begin to a cold target in any second; a
// negative result means no bound.
func (b *Balancer) SetColdLimit(f func(t *table.Target) int) { b.coldLimit = f }

// SetColdUntil records until when a target is cold.
func (b *Balancer) SetColdUntil(id string, until time.Time) { b.stateOf(id).coldUntil = until }

// coldLimitReached reports whether a target is cold and this process has used up its share of the requests that the cold
// target can serve.
func (b *Balancer) coldLimitReached(now time.Time, t *table.Target, s *targetState) bool {
	if b.coldLimit == nil || !now.Before(s.coldUntil) {
		return false
	}
	limit := b.coldLimit(t)
	if limit < 0 {
		return false
	}
	s.coldSends = slices.DeleteFunc(s.coldSends, func(at time.Time) bool { return now.Sub(at) >= coldWindow })
	return len(s.coldSends) >= limit
}

// SetBackoff records that a target has asked for no requests before the given time. It gets no probes either. A later time
// from an earlier call stays in force.
func (b *Balancer) SetBackoff(id string, until time.Time) {
	s := b.stateOf(id)
	if until.After(s.backoffUntil) {
		s.backoffUntil = until
	}
}

// Backoff returns the time until a target may get requests and probes again, as the target has asked; 0 if it may get them
// now.
func (b *Balancer) Backoff(now time.Time, id string) time.Duration {
	s := b.targets[id]
	if s == nil {
		return 0
	}
	return max(s.backoffUntil.Sub(now), 0)
}

// Reset drops the observations of a target that has restarted, except its slots and the sends in flight.
func (b *Balancer) Reset(id string) {
	if s := b.targets[id]; s != nil {
		*s = targetState{slowdown: 1, slots: s.slots, inFlight: s.inFlight}
	}
}

// Prune drops the targets that are no longer listed, hold no sends, and are not in backoff.
func (b *Balancer) Prune(now time.Time, isListed func(id string) bool) {
	for id, s := range b.targets {
		if len(s.inFlight) == 0 && !isListed(id) && !now.Before(s.backoffUntil) {
			delete(b.targets, id)
		}
	}
}
