// Package wire defines the protocol between callers and entry processes: HTTP/1.1 with JSON bodies.
//
// # Usage
//
//	GET  /v1/addresses  -> Addresses
//	POST /v1/query      Query -> Answer
//	POST /v1/tokens     TokenRequest -> Token
//	POST /v1/orders     Order -> OrderAnswer
//
// Every refusal states a result code and whether the request was executed. If it states a time after which the request
// may be sent again, retry_after_ms holds that time, and the HTTP header Retry-After holds it in whole seconds, rounded up.
// Durations in bodies are in milliseconds.
package wire

import (
	"net/netip"

	"github.com/fuchsiarelay/fuchsiarelay/pkg/codes"
)

// Paths of the caller protocol.
const (
	PathAddresses = "/v1/addresses"
	PathQuery     = "/v1/query"
	PathTokens    = "/v1/tokens"
	PathOrders    = "/v1/orders"
)

// MaxBody is the largest request body that an entry process reads, in bytes, unless its configuration sets another limit.
const MaxBody = 256 << 10

// Address is the address of one entry process that a caller may use.
type Address struct {
	Addr       netip.AddrPort `json:"addr"`
	DataCentre string         `json:"data_centre"`
}

// Addresses lists the addresses that a caller may use, nearest first. The caller may use the list for ValidForMS, and must then
// request a new one.
type Addresses struct {
	Addresses  []Address `json:"addresses"`
	ValidForMS int64     `json:"valid_for_ms"`
}

// Query is an idempotent search over all shards of one service.
type Query struct {
	RequestID   string   `json:"request_id"`
	Service     string   `json:"service"`
	Class       string   `json:"class"`
	Tenant      string   `json:"tenant"`
	DeadlineMS  int64    `json:"deadline_ms,omitempty"`  // 0 means the deadline of the class
	MinCoverage *float64 `json:"min_coverage,omitempty"` // 0..1; can raise the minimum of the class, but not lower it
	Text        string   `json:"query"`
}

// Hit is one search result. Shard is the id of the shard that holds the result.
type Hit struct {
	Shard uint32 `json:"shard" cbor:"shard"`
	ID    string `json:"id" cbor:"id"`
	Body  string `json:"body,omitempty" cbor:"body,omitempty"`
}

// Status holds the fields that all kinds of answers have in common.
type Status struct {
	Code         codes.Code `json:"code" cbor:"code"`
	Name         string     `json:"name" cbor:"name"`
	Ran          codes.Ran  `json:"ran" cbor:"ran"`
	RequestID    string     `json:"request_id" cbor:"request_id"`
	Message      string     `json:"message,omitempty" cbor:"message,omitempty"`
	RetryAfterMS int64      `json:"retry_after_ms,omitempty" cbor:"retry_after_ms,omitempty"`
	RuleLine     int        `json:"rule_line,omitempty" cbor:"rule_line,omitempty"` // line of the rule that caused the result
}

// NewStatus returns a Status with the code c, and with the name and the Ran value of that code.
func NewStatus(c codes.Code, requestID, message string) Status {
	return Status{Code: c, Name: c.Name(), Ran: c.Ran(), RequestID: requestID, Message: message}
}

// Answer is the reply to a Query. All hits come from one snapshot, which PartitionGeneration and IndexVersion identify.
// Coverage is DocumentsCovered, the number of documents that were searched, divided by DocumentsTotal, the number of
// documents in the snapshot.
type Answer struct {
	Status
	Complete            bool    `json:"complete"`
	Coverage            float64 `json:"coverage"`
	DocumentsCovered    uint64  `json:"documents_covered"`
	DocumentsTotal      uint64  `json:"documents_total"`
	IndexVersion        uint64  `json:"index_version"`
	PartitionGeneration uint64  `json:"partition_generation"`
	Hits                []Hit   `json:"hits"`
}

// TokenRequest requests a token for one order.
type TokenRequest struct {
	Tenant string `json:"tenant"`
}

// Token allows one execution of one order, by the entry process that issued the token. If the request for a token was
// refused, the field Token is empty and Status states why.
type Token struct {
	Status
	Token      string         `json:"token"`
	Addr       netip.AddrPort `json:"addr"` // address of the entry process that issued the token
	ValidForMS int64          `json:"valid_for_ms"`
}

// Order is a non-idempotent request. Key selects the shard; the order runs on one of the targets that hold the shard.
type Order struct {
	Token      string `json:"token" cbor:"token"`
	RequestID  string `json:"request_id" cbor:"request_id"`
	Service    string `json:"service" cbor:"service"`
	Class      string `json:"class" cbor:"class"`
	Tenant     string `json:"tenant" cbor:"tenant"`
	Key        string `json:"key" cbor:"key"`
	DeadlineMS int64  `json:"deadline_ms,omitempty" cbor:"deadline_ms,omitempty"`
	Body       string `json:"body" cbor:"body"`
}

// OrderAnswer is the reply to an Order. An order that is sent again with the same token isn't executed again; the reply
// states the outcome of its only execution.
type OrderAnswer struct {
	Status
	Result string `json:"result,omitempty" cbor:"result,omitempty"`
}
