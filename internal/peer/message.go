// Package peer carries messages between entry processes: CBOR over WebSocket, one frame a message.
//
// # Usage
//
//	hub, closeHub := peer.New(peer.Config{Self: hello, Handler: h, Now: clk.Now, Log: logger})
//	defer closeHub()
//	mux.Handle(peer.Path, hub)          // accepts links of other processes
//	hub.SetPeers(vms)                   // keeps one outgoing link to each
//	hub.Work("vm-2", work, func(r peer.WorkReply) { ... })
//
// Each process dials a link of its own to each peer. Requests travel on the link of the process that asks, and
// their replies come back on the same link. A link on which no pong arrives is closed and dialled anew.
package peer

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/fuchsiarelay/fuchsiarelay/internal/crew"
	"github.com/fuchsiarelay/fuchsiarelay/internal/policy"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/codes"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/target"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/wire"
)

// Version is the version of the protocol between entry processes.
const Version = 1

// Path is the HTTP path that accepts links.
const Path = "/v1/peer"

// MaxMessage is the largest message, in bytes: a document of 1 MiB and its envelope.
const MaxMessage = 3 << 19

// Hello is the first message each way.
type Hello struct {
	Version     int    `cbor:"version"`
	VM          string `cbor:"vm"`
	DataCentre  string `cbor:"data_centre"`
	Incarnation uint64 `cbor:"incarnation"`
}

// Ping asks for a sign of life. A pong repeats the sequence number.
type Ping struct {
	Seq    uint64        `cbor:"seq"`
	Digest policy.Digest `cbor:"digest"`
}

// Pong answers a Ping. EvidenceAgeMS is the age of the peer's configuration evidence, -1 if it has none.
type Pong struct {
	Seq           uint64        `cbor:"seq"`
	Digest        policy.Digest `cbor:"digest"`
	EvidenceAgeMS int64         `cbor:"evidence_age_ms"`
	Leaving       bool          `cbor:"leaving"`
	Incarnation   uint64        `cbor:"incarnation"`
	AsOf          uint64        `cbor:"as_of,omitempty"` // platform revision of the peer's documents
	Crew          uint64        `cbor:"crew,omitempty"`  // digest of the statements that the peer knows
}

// Crew passes statements on. A summary asks for those that the sender lacks.
type Crew struct {
	Statements []crew.Statement `cbor:"statements,omitempty"`
	Summary    []crew.Stamp     `cbor:"summary,omitempty"`
}

// Pauses says when targets pause.
type Pauses struct {
	Pauses []Pause `cbor:"pauses"`
}

// Pause is one pause of a target that was seen, or a confirmed one with its period. Times are in microseconds.
type Pause struct {
	_        struct{} `cbor:",toarray"`
	Target   string
	EndAgeUS int64
	LengthUS int64
	PeriodUS int64 // 0: not confirmed
}

// Departures says which targets have told callers that they leave.
type Departures struct {
	Departures []Departure `cbor:"departures"`
}

// Departure is one target that leaves. Started is the start of its lifetime in Unix milliseconds; 0 if it isn't known.
type Departure struct {
	_         struct{} `cbor:",toarray"`
	Target    string
	StartedMS int64
}

// Unlink says that the sender closes its link on purpose; its silence on it means nothing.
type Unlink struct{}

// Sync asks for the documents that have changed after a platform revision. The reply waits up to WaitMS for one.
type Sync struct {
	ID     uint64 `cbor:"id"`
	After  uint64 `cbor:"after"`
	WaitMS int64  `cbor:"wait_ms"`
}

// SyncReply ends one Sync. AgeMS is the time since the platform confirmed the documents, -1 if it never has.
type SyncReply struct {
	ID        uint64          `cbor:"id"`
	Documents []plat.Document `cbor:"documents"`
	AsOf      uint64          `cbor:"as_of"`
	Whole     bool            `cbor:"whole"`            // everything that exists, not only changes
	Lapsed    []string        `cbor:"lapsed,omitempty"` // keys that disappeared while the platform was away
	AgeMS     int64           `cbor:"age_ms"`
	Down      bool            `cbor:"down,omitempty"` // the link broke; nothing else is set
}

// Request asks for the document of a key.
type Request struct {
	Key string `cbor:"key"`
}

// TargetNote says what a dispatcher knows of a target.
type TargetNote struct {
	Target      string       `cbor:"target"`
	Incarnation uint64       `cbor:"incarnation"`
	State       target.State `cbor:"state"`
	Level       int          `cbor:"level"`
	Primary     bool         `cbor:"primary"`
	// Ask numbers the falls of the level that the primary has seen. The secondary repeats the newest number in Kept as soon
	// as it has no more running than its share of that level.
	Ask    uint64          `cbor:"ask,omitempty"`
	Kept   uint64          `cbor:"kept,omitempty"`
	Served []target.Served `cbor:"served,omitempty"`
}

// Crash says that a target broke off while the fingerprints were running there. ID tells one report from others where peers
// pass it on; 0 where they don't.
type Crash struct {
	ID           uint64   `cbor:"id,omitempty"`
	Target       string   `cbor:"target"`
	Incarnation  uint64   `cbor:"incarnation"`
	AgeMS        int64    `cbor:"age_ms"`
	Fingerprints []uint64 `cbor:"fingerprints"`
}

// Success says that a fingerprint under suspicion completed on a target.
type Success struct {
	Fingerprint uint64 `cbor:"fingerprint"`
	AgeMS       int64  `cbor:"age_ms"`
}

// Survived takes back a Crash: the target answers under the same incarnation.
type Survived struct {
	Target      string `cbor:"target"`
	Incarnation uint64 `cbor:"incarnation"`
}

// Quarantine blocks a fingerprint for the remaining time; 0 lifts the quarantine. ID is as in Crash.
type Quarantine struct {
	ID          uint64 `cbor:"id,omitempty"`
	Fingerprint uint64 `cbor:"fingerprint"`
	RemainingMS int64  `cbor:"remaining_ms"`
	SinceAgeMS  int64  `cbor:"since_age_ms"` // age of the first crash that it rests on
}

// Leaving announces a planned stop.
type Leaving struct {
	VM       string `cbor:"vm"`
	Released bool   `cbor:"released"`
}

// Work asks a dispatcher to send one sub-request or order.
type Work struct {
	ID          uint64        `cbor:"id"`
	Target      string        `cbor:"target"`
	Sub         *target.Sub   `cbor:"sub,omitempty"`
	Order       *target.Order `cbor:"order,omitempty"`
	Priority    int           `cbor:"priority"`
	DeadlineMS  int64         `cbor:"deadline_ms"` // remaining
	Fingerprint uint64        `cbor:"fingerprint"`
}

// WorkReply ends one Work.
type WorkReply struct {
	ID           uint64             `cbor:"id"`
	Code         codes.Code         `cbor:"code"`
	Message      string             `cbor:"message,omitempty"`
	Sub          *target.SubReply   `cbor:"sub,omitempty"`
	Order        *target.OrderReply `cbor:"order,omitempty"`
	Served       []target.Served    `cbor:"served,omitempty"`
	RetryAfterMS int64              `cbor:"retry_after_ms,omitempty"`
	Level        int                `cbor:"level"`
}

// Cancel says that nobody waits for a Work any more.
type Cancel struct {
	ID uint64 `cbor:"id"`
}

// Order forwards an order to the process that issued its token.
type Order struct {
	ID          uint64     `cbor:"id"`
	Incarnation uint64     `cbor:"incarnation"` // of the issuer, as the token says
	Order       wire.Order `cbor:"order"`
}

// OrderReply ends one Order.
type OrderReply struct {
	ID     uint64           `cbor:"id"`
	Answer wire.OrderAnswer `cbor:"answer"`
}

// Frame is one message; exactly one field is set.
type Frame struct {
	Hello      *Hello         `cbor:"hello,omitempty"`
	Ping       *Ping          `cbor:"ping,omitempty"`
	Pong       *Pong          `cbor:"pong,omitempty"`
	Document   *plat.Document `cbor:"document,omitempty"`
	Request    *Request       `cbor:"request,omitempty"`
	TargetNote *TargetNote    `cbor:"target_note,omitempty"`
	Crash      *Crash         `cbor:"crash,omitempty"`
	Success    *Success       `cbor:"success,omitempty"`
	Survived   *Survived      `cbor:"survived,omitempty"`
	Quarantine *Quarantine    `cbor:"quarantine,omitempty"`
	Leaving    *Leaving       `cbor:"leaving,omitempty"`
	Work       *Work          `cbor:"work,omitempty"`
	WorkReply  *WorkReply     `cbor:"work_reply,omitempty"`
	Cancel     *Cancel        `cbor:"cancel,omitempty"`
	Order      *Order         `cbor:"order,omitempty"`
	OrderReply *OrderReply    `cbor:"order_reply,omitempty"`
	Crew       *Crew          `cbor:"crew,omitempty"`
	Pauses     *Pauses        `cbor:"pauses,omitempty"`
	Departures *Departures    `cbor:"departures,omitempty"`
	Unlink     *Unlink        `cbor:"unlink,omitempty"`
	Sync       *Sync          `cbor:"sync,omitempty"`
	SyncReply  *SyncReply     `cbor:"sync_reply,omitempty"`
}

// Encode returns the frame as CBOR.
func Encode(f Frame) ([]byte, error) { return cbor.Marshal(f) }

// Decode reads one frame. Unknown fields are ignored; nesting and lengths are bounded.
func Decode(raw []byte) (Frame, error) {
	var f Frame
	err := decMode.Unmarshal(raw, &f)
	return f, err
}

var decMode = mustDecMode()

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxNestedLevels: 12, MaxArrayElements: 1 << 17, MaxMapPairs: 1 << 12}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}
