// Package drain decides the steps of a planned stop of an entry process.
//
// # Usage
//
//	s := drain.New(drain.Config{})
//	s.Begin(now)                          // SIGTERM
//	for _, a := range s.Step(now, inFlight, openTokens) { ... }
//
// The process first tells its peers that it stops, so that its address is no longer given to callers. It goes on serving
// until every address answer with its address has expired and every request and token is finished. Then it releases its
// targets, which means that it refuses new dispatched work; finishes the dispatched work that it has; and exits.
//
// # Limit
//
// A caller that uses an address for longer than its lifetime, or a request that hangs, must not delay the stop for ever.
// Therefore Step returns Refuse if the stop would otherwise take longer than MaxDuration. From then on the process
// answers new requests with not_run while the running ones finish. Refuse is returned so early that a time of
// MaxDeadline is left for the requests, and another MaxDeadline for the dispatched work.
package drain

import (
	"cmp"
	"time"
)

// Config holds the time spans of a stop. A field that is zero takes its default.
type Config struct {
	AddressTTL      time.Duration // lifetime of an address answer
	PropagationTime time.Duration // time in which an announcement reaches every peer
	MaxDeadline     time.Duration // longest deadline of a request
	MaxDuration     time.Duration // longest time of a stop, unless the process is suspended meanwhile
}

// Defaults of the fields of Config.
const (
	DefaultAddressTTL      = 2 * time.Second
	DefaultPropagationTime = time.Second
	DefaultMaxDeadline     = 30 * time.Second
	DefaultMaxDuration     = 90 * time.Second
)

// Action is one step of the stop that the process must carry out.
type Action uint8

// Actions of Step.
const (
	Announce Action = iota // tell the peers about the stop; leave this process out of address answers
	Release                // refuse new dispatched work with not_run; tell the peers
	Exit                   // close the links to peers and exit
	Refuse                 // issue no more tokens and refuse new requests with not_run
)

// stopPhase is the part of the stop that the process is in.
type stopPhase uint8

const (
	phaseServing   stopPhase = iota
	phaseRequested           // Begin was called; nothing is announced yet
	phaseAnnounced           // Announce was returned
	phaseRefusing            // Refuse was returned
	phaseReleased            // Release was returned
	phaseDone                // Exit was returned
)

// PlannedStop holds the state of a planned stop. It isn't safe for concurrent use.
type PlannedStop struct {
	cfg         Config
	phase       stopPhase
	announcedAt time.Time // when Announce was returned
	phaseStart  time.Time // start of the current phase
}

// New returns the state of a process that is serving.
func New(cfg Config) *PlannedStop {
	cfg.AddressTTL = cmp.Or(cfg.AddressTTL, DefaultAddressTTL)
	cfg.PropagationTime = cmp.Or(cfg.PropagationTime, DefaultPropagationTime)
	cfg.MaxDeadline = cmp.Or(cfg.MaxDeadline, DefaultMaxDeadline)
	cfg.MaxDuration = cmp.Or(cfg.MaxDuration, DefaultMaxDuration)
	return &PlannedStop{cfg: cfg}
}

// Begin starts the stop. A second call changes nothing.
func (s *PlannedStop) Begin(now time.Time) {
	if s.phase == phaseServing {
		s.enterPhase(now, phaseRequested)
	}
}

// Stopping reports whether the stop has begun.
func (s *PlannedStop) Stopping() bool { return s.phase != phaseServing }

// Step returns the actions to carry out now. Until Step has returned Release, inFlight is the number of requests of this
// process's own callers; after that it also includes dispatched work. Before that, dispatched work must not be included,
// because a busy dispatcher always has some work of its peers. The number openTokens counts the tokens that callers may
// still use.
func (s *PlannedStop) Step(now time.Time, inFlight, openTokens int) []Action {
	switch s.phase {
	case phaseRequested:
		// The lifetime of the last address answers starts now and not at Begin, because until now callers could still
		// receive this address.
		s.announcedAt = now
		return s.enterPhaseWith(now, phaseAnnounced, Announce)
	case phaseAnnounced:
		addressesExpired := now.Sub(s.announcedAt) >= s.cfg.AddressTTL+s.cfg.PropagationTime
		if addressesExpired && inFlight == 0 && openTokens == 0 {
			return s.enterPhaseWith(now, phaseReleased, Release)
		}
		if now.Sub(s.announcedAt) >= s.cfg.MaxDuration-2*s.cfg.MaxDeadline {
			return s.enterPhaseWith(now, phaseRefusing, Refuse)
		}
	case phaseRefusing:
		if now.Sub(s.phaseStart) >= s.cfg.MaxDeadline || inFlight == 0 && openTokens == 0 {
			return s.enterPhaseWith(now, phaseReleased, Release)
		}
	case phaseReleased:
		// Peers that haven't received the release yet still send work. The links stay open in order to refuse it.
		releasePropagated := now.Sub(s.phaseStart) >= s.cfg.PropagationTime
		if releasePropagated && inFlight == 0 || now.Sub(s.phaseStart) >= s.cfg.MaxDeadline {
			return s.enterPhaseWith(now, phaseDone, Exit)
		}
	}
	return nil
}

// enterPhaseWith enters the next phase and returns the action as the only one.
func (s *PlannedStop) enterPhaseWith(now time.Time, next stopPhase, a Action) []Action {
	s.enterPhase(now, next)
	return []Action{a}
}

// enterPhase sets the phase and the time of its start.
func (s *PlannedStop) enterPhase(now time.Time, next stopPhase) {
	s.phase = next
	s.phaseStart = now
}
