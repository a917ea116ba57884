package emul

import (
	"slices"
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/pkg/target"
)

// WorkKind is the kind of work of an Execution, or the kind of work or connection of an Overload.
type WorkKind string

// Kinds of work.
const (
	KindSub   WorkKind = "sub"
	KindOrder WorkKind = "order"
	KindConn  WorkKind = "conn" // a connection beyond Target.MaxConns; occurs only in an Overload
)

// Outcome states that an Execution is still running or how it ended at the target. The client may have seen another result.
type Outcome string

// Outcomes of an execution.
const (
	OutcomeRunning  Outcome = "running"
	OutcomeDone     Outcome = "done"
	OutcomeCanceled Outcome = "canceled"  // the client disconnected
	OutcomeTimedOut Outcome = "timed_out" // the deadline of the request passed
	OutcomeLost     Outcome = "lost"      // the target crashed, collapsed or was stopped
)

// Execution records one sub-request or order that a target has started. It counts as executed from Start on, however it ends.
type Execution struct {
	conn *conn // nil if another server accepted the connection

	Kind        WorkKind     `json:"kind"`
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
	Concurrency int          `json:"concurrency"` // number of executions at the start, this one included
	Bound       int          `json:"bound"`       // highest allowed concurrency at the start
	Start       time.Time    `json:"start"`
	End         time.Time    `json:"end,omitzero"` // zero while running
	Outcome     Outcome      `json:"outcome"`
	// Documents holds the number of documents that the reply reports for each shard. It is set when the work is done.
	Documents map[uint32]uint64 `json:"documents,omitempty"`
	// ReplyCut is true if the reply was cut short (Target.SetTruncateAfter), so that no client could read it.
	ReplyCut bool `json:"reply_cut,omitempty"`
}

// Overload records one sub-request, order or connection that would have exceeded the bound of a target and did not run.
type Overload struct {
	At          time.Time    `json:"at"`
	Kind        WorkKind     `json:"kind"`
	RequestID   string       `json:"request_id,omitempty"`
	Conn        uint64       `json:"conn"`
	Concurrency int          `json:"concurrency"` // including the work or connection that exceeded the bound
	Bound       int          `json:"bound"`
	State       target.State `json:"state"`
	Incarnation uint64       `json:"incarnation"`
}

// targetLog holds everything that a target has run and rejected. Target.mu guards it.
type targetLog struct {
	executions      []*Execution
	overloads       []Overload
	orders          map[string]int // started orders by token
	maxInFlight     int
	maxConns        int
	acceptedConns   int // including those reset because of Target.MaxConns
	refusedDraining int // sub-requests and orders refused while draining
	restarts        int
}

// addExecution records an execution that starts, and counts it by token if it is an order.
func (l *targetLog) addExecution(execution *Execution) {
	l.executions = append(l.executions, execution)
	l.maxInFlight = max(l.maxInFlight, execution.Concurrency)
	if execution.Kind != KindOrder {
		return
	}
	if l.orders == nil {
		l.orders = map[string]int{}
	}
	l.orders[execution.Token]++
}

// Runs returns all work that started, in the order of its start.
func (t *Target) Runs() []Execution {
	t.lock()
	defer t.mu.Unlock()
	out := make([]Execution, len(t.log.executions))
	for i, execution := range t.log.executions {
		out[i] = *execution
	}
	return out
}

// Overloads returns all work and connections that exceeded the bound, in the order of arrival.
func (t *Target) Overloads() []Overload {
	t.lock()
	defer t.mu.Unlock()
	return slices.Clone(t.log.overloads)
}

// PeakInFlight returns the highest number of executions at the same time.
func (t *Target) PeakInFlight() int {
	t.lock()
	defer t.mu.Unlock()
	return t.log.maxInFlight
}

// PeakConns returns the highest number of connections at the same time, including a connection that was reset because it
// exceeded MaxConns.
func (t *Target) PeakConns() int {
	t.lock()
	defer t.mu.Unlock()
	return t.log.maxConns
}

// Counts holds the totals of the log of a Target.
type Counts struct {
	Runs            int `json:"runs"`
	Orders          int `json:"orders"`
	Overloads       int `json:"overloads"`
	RefusedDraining int `json:"drained"`  // work refused while draining
	AcceptedConns   int `json:"accepted"` // connections, including those reset because of MaxConns
	Restarts        int `json:"restarts"` // crashes and collapses
	MaxInFlight     int `json:"max_in_flight"`
	MaxConns        int `json:"max_conns"`
}

// Counts returns the totals of the log.
func (t *Target) Counts() Counts {
	t.lock()
	defer t.mu.Unlock()
	c := Counts{
		Runs: len(t.log.executions), Overloads: len(t.log.overloads), RefusedDraining: t.log.refusedDraining, AcceptedConns: t.log.acceptedConns,
		Restarts: t.log.restarts, MaxInFlight: t.log.maxInFlight, MaxConns: t.log.maxConns,
	}
	for _, n := range t.log.orders {
		c.Orders += n
	}
	return c
}
