// Package target is the client of the targets. It contains everything that depends on the target protocol, so that a
// target with another protocol needs only another implementation of the interface Client.
//
// # Usage
//
//	c, closeClient := target.NewHTTP(addr, target.Options{MaxConns: 12})
//	defer closeClient()
//	reply, err := c.Sub(ctx, target.Sub{...})
//	var fault *target.Error
//	if errors.As(err, &fault) && fault.Kind == target.Refused { ... fault.Refusal.State ... }
//
// Every reply states the incarnation of the target, a number that differs after each restart, and the target's state and
// load. A deadline is sent as the time that remains, in milliseconds.
package target

import (
	"context"
	"fmt"

	"github.com/fuchsiarelay/fuchsiarelay/pkg/wire"
)

// Paths of the target protocol.
const (
	PathSub    = "/v1/sub"
	PathOrder  = "/v1/order"
	PathHealth = "/v1/health"
)

// State is the state that a target reports about itself. The reported state may be outdated or wrong.
type State string

// Values of State.
const (
	Cold     State = "cold"
	Warm     State = "warm"
	Draining State = "draining"
)

// Load is the load that a target reports: its running requests, the number that it can run at the same time, and its open
// connections.
type Load struct {
	InFlight    int `json:"in_flight" cbor:"in_flight"`
	Slots       int `json:"slots" cbor:"slots"`
	Connections int `json:"connections" cbor:"connections"`
}

// Stamp holds the fields that all replies of a target have in common. Incarnation differs after each restart of the target.
type Stamp struct {
	Incarnation uint64 `json:"incarnation" cbor:"incarnation"`
	State       State  `json:"state" cbor:"state"`
	Load        Load   `json:"load" cbor:"load"`
}

// Sub is one sub-request: a query over some shards of one snapshot. Generation is the generation of the partition and
// Version the index version of the snapshot. DeadlineMS is the time that remains.
type Sub struct {
	RequestID  string   `json:"request_id" cbor:"request_id"`
	SubID      uint64   `json:"sub_id" cbor:"sub_id"`
	Service    string   `json:"service" cbor:"service"`
	Generation uint64   `json:"generation" cbor:"generation"`
	Version    uint64   `json:"version" cbor:"version"`
	Shards     []uint32 `json:"shards" cbor:"shards"`
	Query      string   `json:"query" cbor:"query"`
	DeadlineMS int64    `json:"deadline_ms" cbor:"deadline_ms"`
}

// Part is the result of a sub-request for one shard. Documents is the number of documents that were searched.
type Part struct {
	Shard     uint32     `json:"shard" cbor:"shard"`
	Documents uint64     `json:"documents" cbor:"documents"`
	Hits      []wire.Hit `json:"hits" cbor:"hits"`
}

// SubReply is the reply to a Sub that ran. RequestID and SubID repeat those of the Sub.
type SubReply struct {
	Stamp
	RequestID  string `json:"request_id" cbor:"request_id"`
	SubID      uint64 `json:"sub_id" cbor:"sub_id"`
	Generation uint64 `json:"generation" cbor:"generation"`
	Version    uint64 `json:"version" cbor:"version"`
	Parts      []Part `json:"parts" cbor:"parts"`
}

// Order is a non-idempotent request to one target. DeadlineMS is the time that remains.
type Order struct {
	RequestID  string `json:"request_id"`
	Token      string `json:"token"`
	Service    string `json:"service"`
	Key        string `json:"key"`
	Body       string `json:"body"`
	DeadlineMS int64  `json:"deadline_ms"`
}

// OrderReply is the reply to an Order that ran. RequestID and Token repeat those of the Order. Failed is set if the order
// ran and failed.
type OrderReply struct {
	Stamp
	RequestID string `json:"request_id"`
	Token     string `json:"token"`
	Failed    bool   `json:"failed,omitempty"`
	Result    string `json:"result"`
}

// Served identifies one snapshot that a target serves: a service, a generation of the partition and an index version.
type Served struct {
	Service    string `json:"service" cbor:"service"`
	Generation uint64 `json:"generation" cbor:"generation"`
	Version    uint64 `json:"version" cbor:"version"`
}

// Health is the body of a target's health page. The page may be outdated or wrong.
type Health struct {
	Stamp
	Target string   `json:"target"`
	Served []Served `json:"served"`
}

// Reason states why a target refused a request before running it.
type Reason string

// Values of Reason.
const (
	ReasonShed     Reason = "shed" // the target is overloaded
	ReasonDraining Reason = "draining"
	ReasonVersion  Reason = "version"     // the target doesn't serve the requested snapshot
	ReasonTooLate  Reason = "too_late"    // the time that remains until the deadline is too short
	ReasonBad      Reason = "bad_request" // the request is malformed
)

// Refusal is the body of a reply that states that the target did not run the request.
type Refusal struct {
	Stamp
	Reason       Reason   `json:"reason" cbor:"reason"`
	Served       []Served `json:"served,omitempty" cbor:"served,omitempty"`
	RetryAfterMS int64    `json:"retry_after_ms,omitempty" cbor:"retry_after_ms,omitempty"`
}

// Kind classifies a failed call by what is known about the execution of its request.
type Kind string

// Values of Kind.
const (
	NotSent  Kind = "not_sent"  // no connection could be opened, or Options.Gate refused the write; the request did not run
	Refused  Kind = "refused"   // the target replied that it did not run the request
	Broken   Kind = "broken"    // the connection failed before the whole reply arrived; the request may have run
	TimedOut Kind = "timed_out" // the context ended before the whole reply arrived; the request may have run
	Garbled  Kind = "garbled"   // the reply was malformed, too large, or belongs to another request; the request may have run
	Failed   Kind = "failed"    // the target replied with an error that isn't a refusal; the request may have run
)

// Error is the type of the errors that the methods of Client return.
type Error struct {
	Kind    Kind
	Refusal Refusal // set if Kind is Refused
	Err     error
	// NewConn is set if no reply arrived and the call had opened a new connection. The target may then start the request later
	// than on an open connection, by the time that the target takes to accept a new connection.
	NewConn bool
}

// Error implements error.
func (e *Error) Error() string {
	if e.Kind == Refused {
		return fmt.Sprintf("target refused: %s (state %s)", e.Refusal.Reason, e.Refusal.State)
	}
	return fmt.Sprintf("target call %s: %v", e.Kind, e.Err)
}

// Unwrap returns Err, the cause of the failure.
func (e *Error) Unwrap() error { return e.Err }

// Client sends requests to one target. All methods return *Error on failure and are safe for concurrent use.
type Client interface {
	Sub(ctx context.Context, s Sub) (SubReply, error)
	// Order sends an order over a new connection that carries no other request, and never sends it twice.
	Order(ctx context.Context, o Order) (OrderReply, error)
	Health(ctx context.Context) (Health, error)
	// Reset closes all idle connections, so that the next call opens a new connection.
	Reset()
}
