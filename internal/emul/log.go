package emul

import (
	"slices"
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/pkg/target"
)

// Kind is the kind of work.
type Kind string

// Kinds of work.
const (
	KindSub   Kind = "sub"
	KindOrder Kind = "order"
	KindConn  Kind = "conn" // only in an Overload: a connection beyond MaxConns
)

// Outcome says how a run ended at the target, whatever its client saw.
type Outcome string

// Outcomes of a run.
const (
	Running  Outcome = "running"
	Done     Outcome = "done"
	Canceled Outcome = "canceled"  // the client disconnected
	TimedOut Outcome = "timed_out" // the deadline of the request passed
	Lost     Outcome = "lost"      // the target crashed or collapsed
)

// Run is one piece of work that started. It counts as run from Start on.
type Run struct {
	conn *conn // nil if another server accepted the connection

	Kind        Kind         `json:"kind"`
	RequestID   string       `json:"request_id"`
	SubID       uint64       `json:"sub_id,omitempty"`
	Token       string       `json:"token,omitempty"`
	Query       string       `json:"query"`
	Generation  uint64       `json:"generation,omitempty"`
	Version     uint64       `json:"version,omitempty"`
	Shards      []uint32     `json:"shards,omitempty"`
	Conn        uint64       `json:"conn"`
	Incarnation uint64       `json:"incarnation"` // at the start
	State       target.State `json:"state"`       // at the start
	Concurrency int          `json:"concurrency"` // at the start, this run included
	Bound       int          `json:"bound"`       // at the start
	Start       time.Time    `json:"start"`
	End         time.Time    `json:"end,omitzero"` // zero while running
	Outcome     Outcome      `json:"outcome"`
	// Documents says per shard what the reply reports, once the work is done.
	Documents map[uint32]uint64 `json:"documents,omitempty"`
}

// Overload is one piece of work, or one connection, that came beyond the bound. It did not run.
type Overload struct {
	At          time.Time    `json:"at"`
	Kind        Kind         `json:"kind"`
	RequestID   string       `json:"request_id,omitempty"`
	Conn        uint64       `json:"conn"`
	Concurrency int          `json:"concurrency"` // including the work that was too much
	Bound       int          `json:"bound"`
	State       target.State `json:"state"`
	Incarnation uint64       `json:"incarnation"`
}

type targetLog struct {
	runs            []*Run
	overloads       []Overload
	orders          map[string]int
	maxInFlight     int
	maxConns        int
	accepted        int
	refusedDraining int
	restarts        int
}

func (l *targetLog) addRun(run *Run) {
	l.runs = append(l.runs, run)
	l.maxInFlight = max(l.maxInFlight, run.Concurrency)
	if run.Kind != KindOrder {
		return
	}
	if l.orders == nil {
		l.orders = map[string]int{}
	}
	l.orders[run.Token]++
}

// Runs returns all work that started, in the order of its start.
func (t *Target) Runs() []Run {
	t.lock()
	defer t.mu.Unlock()
	out := make([]Run, len(t.log.runs))
	for i, run := range t.log.runs {
		out[i] = *run
	}
	return out
}

// Overloads returns all work and connections that came beyond the bound.
func (t *Target) Overloads() []Overload {
	t.lock()
	defer t.mu.Unlock()
	return slices.Clone(t.log.overloads)
}

// MaxInFlight is the highest number of runs at the same time.
func (t *Target) MaxInFlight() int {
	t.lock()
	defer t.mu.Unlock()
	return t.log.maxInFlight
}

// MaxConnsSeen is the highest number of connections open at the same time.
func (t *Target) MaxConnsSeen() int {
	t.lock()
	defer t.mu.Unlock()
	return t.log.maxConns
}

// Counts are totals of a target's log.
type Counts struct {
	Runs        int `json:"runs"`
	Orders      int `json:"orders"`
	Overloads   int `json:"overloads"`
	Drained     int `json:"drained"`  // work refused while draining
	Accepted    int `json:"accepted"` // connections
	Restarts    int `json:"restarts"` // crashes and collapses
	MaxInFlight int `json:"max_in_flight"`
	MaxConns    int `json:"max_conns"`
}

// Counts returns totals of the log.
func (t *Target) Counts() Counts {
	t.lock()
	defer t.mu.Unlock()
	c := Counts{
		Runs: len(t.log.runs), Overloads: len(t.log.overloads), Drained: t.log.refusedDraining, Accepted: t.log.accepted,
		Restarts: t.log.restarts, MaxInFlight: t.log.maxInFlight, MaxConns: t.log.maxConns,
	}
	for _, n := range t.log.orders {
		c.Orders += n
	}
	return c
}
