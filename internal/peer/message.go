// Package peer carries messages between entry processes. Each message is one Frame, encoded as CBOR in one WebSocket
// message.
//
// # Usage
//
//	hub, closeHub := peer.New(peer.Config{Self: hello, Handler: h, Now: clk.Now, Log: logger})
//	defer closeHub()
//	mux.Handle(peer.Path, hub)          // accepts links of other processes
//	hub.SetPeers(vms)                   // keeps one outgoing link to each VM
//	hub.Work("vm-2", work, func(r peer.WorkReply) { ... })
//
// A link is a WebSocket connection between two processes. Each process dials a link of its own to each listed peer, so two
// processes that list each other have two links. A request is sent on the link that the requesting process has dialled, and
// the reply comes back on the same link. The dialling process sends pings; a link without pongs is closed and dialled again.
package peer

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/fuchsiarelay/fuchsiarelay/internal/policy"
	"github.com/fuchsiarelay/fuchsiarelay/internal/roster"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/codes"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/target"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/wire"
)

// Version is the version of the protocol between entry processes.
const Version = 1

// Path is the HTTP path that accepts links.
const Path = "/v1/peer"

// MaxMessage is the default bound on the size of a received message, in bytes. It leaves room for a document of 1 MiB and the
// other fields of its message.
const MaxMessage = 3 << 19

// Hello is the first message in each direction of a link. It identifies the sender.
type Hello struct {
	Version     int    `cbor:"version"`
	VM          string `cbor:"vm"`
	DataCentre  string `cbor:"data_centre"`
	Incarnation uint64 `cbor:"incarnation"`
}

// Ping checks that the peer is alive. Digest holds the revisions of the documents that the sender uses.
type Ping struct {
	Seq    uint64           `cbor:"seq"`
	Digest policy.Revisions `cbor:"digest"`
}

// Pong answers a Ping and repeats its sequence number. EvidenceAgeMS is the age of the last evidence that the configuration
// of the answering process was the newest; -1 if the process has no such evidence.
type Pong struct {
	Seq              uint64           `cbor:"seq"`
	Digest           policy.Revisions `cbor:"digest"`
	EvidenceAgeMS    int64            `cbor:"evidence_age_ms"`
	Stopping         bool             `cbor:"leaving"`
	Incarnation      uint64           `cbor:"incarnation"`
	AsOf             uint64           `cbor:"as_of,omitempty"` // platform revision of the documents at the answering process
	MembershipDigest uint64           `cbor:"crew,omitempty"`  // digest of the membership statements that the process knows
}

// Membership carries statements about the membership of entry processes. A summary lists the statements that the sender
// knows; the receiver answers with newer ones.
type Membership struct {
	Statements []roster.Statement        `cbor:"statements,omitempty"`
	Summary    []roster.StatementVersion `cbor:"summary,omitempty"`
}

// Pauses carries pauses of targets.
type Pauses struct {
	Pauses []Pause `cbor:"pauses"`
}

// Pause is one detected pause of a target, or a confirmed periodic pause with its period. EndAgeUS is the age of the end of
// the pause. Ages and durations are in microseconds.
type Pause struct {
	_        struct{} `cbor:",toarray"`
	Target   string
	EndAgeUS int64
	LengthUS int64
	PeriodUS int64 // 0: not confirmed
}

// Departures lists targets that have announced in their own replies that they are leaving.
type Departures struct {
	Departures []Departure `cbor:"departures"`
}

// Departure is one target that is leaving. StartedMS is the start time of the target in Unix milliseconds; 0 if unknown.
type Departure struct {
	_         struct{} `cbor:",toarray"`
	Target    string
	StartedMS int64
}

// PermitRequests asks the allocator of some targets for permits to send requests to them; see package quota.
type PermitRequests struct {
	Requests []PermitRequest `cbor:"requests"`
}

// PermitRequest asks for permits of one target. Rates are in requests per 1,000 s.
type PermitRequest struct {
	_      struct{} `cbor:",toarray"`
	Target string
	Limit  uint64 // of the target
	Demand uint64 // of the sender
	Wanted int
}

// PermitGrants answers PermitRequests.
type PermitGrants struct {
	Grants []PermitGrant `cbor:"grants"`
}

// PermitGrant issues permits of one target. Ready is false if the sender isn't the allocator of the target.
type PermitGrant struct {
	_       struct{} `cbor:",toarray"`
	Target  string
	Permits int
	WaitMS  int64  // time until the next permit
	Rate    uint64 // permits per 1,000 s that can be expected
	Ready   bool
}

// Unlink announces that the sender closes its link on purpose, so that silence on the link is no sign of a failure.
type Unlink struct{}

// SyncRequest asks for the documents that have changed after the platform revision After. If there are none yet, the receiver
// waits up to WaitMS before it replies.
type SyncRequest struct {
	ID     uint64 `cbor:"id"`
	After  uint64 `cbor:"after"`
	WaitMS int64  `cbor:"wait_ms"`
}

// SyncReply answers one SyncRequest. AgeMS is the time since the platform confirmed the documents; -1 if it never has.
type SyncReply struct {
	ID         uint64          `cbor:"id"`
	Documents  []plat.Document `cbor:"documents"`
	AsOf       uint64          `cbor:"as_of"`
	Complete   bool            `cbor:"whole"`            // Documents holds every existing document, not only the changed ones
	LapsedKeys []string        `cbor:"lapsed,omitempty"` // keys that disappeared while the platform was unavailable
	AgeMS      int64           `cbor:"age_ms"`
	LinkDown   bool            `cbor:"down,omitempty"` // set by Hub.Sync if the link is down; all other fields but ID are then meaningless
}

// DocumentRequest asks for the document under a key, which the receiver sends back in Frame.Document.
type DocumentRequest struct {
	Key string `cbor:"key"`
}

// TargetStatus states what a dispatcher knows about a target. The primary dispatcher of a target decides on its concurrency
// level.
type TargetStatus struct {
	Target      string       `cbor:"target"`
	Incarnation uint64       `cbor:"incarnation"`
	State       target.State `cbor:"state"`
	Level       int          `cbor:"level"`
	Primary     bool         `cbor:"primary"`
	// LevelChange counts how often the level has fallen or the target has restarted, as seen by the primary. The secondary
	// dispatcher repeats the newest LevelChange in AckedLevelChange as soon as it has no more sends running than its share
	// of the level.
	LevelChange      uint64          `cbor:"ask,omitempty"`
	AckedLevelChange uint64          `cbor:"kept,omitempty"`
	Served           []target.Served `cbor:"served,omitempty"`
}

// Crash reports that a target ended while the requests with the given fingerprints were running on the target. ID identifies
// the report in a fleet whose peers forward reports to other peers; 0 in a fleet whose peers don't.
type Crash struct {
	ID           uint64   `cbor:"id,omitempty"`
	Target       string   `cbor:"target"`
	Incarnation  uint64   `cbor:"incarnation"`
	AgeMS        int64    `cbor:"age_ms"`
	Fingerprints []uint64 `cbor:"fingerprints"`
}

// Success reports that a request with the fingerprint has completed on a target, which counts against the suspicion that
// requests with this fingerprint crash targets.
type Success struct {
	Fingerprint uint64 `cbor:"fingerprint"`
	AgeMS       int64  `cbor:"age_ms"`
}

// CrashRetraction retracts a Crash: the target still answers under the same incarnation.
type CrashRetraction struct {
	Target      string `cbor:"target"`
	Incarnation uint64 `cbor:"incarnation"`
}

// Quarantine blocks requests with the fingerprint for the remaining time. RemainingMS 0 asks the receiver to lift the
// quarantine. ID has the same meaning as in Crash.
type Quarantine struct {
	ID          uint64 `cbor:"id,omitempty"`
	Fingerprint uint64 `cbor:"fingerprint"`
	RemainingMS int64  `cbor:"remaining_ms"`
	SinceAgeMS  int64  `cbor:"since_age_ms"` // age of the first crash on which the quarantine is based
}

// StopNotice announces a planned stop. Released states that the sender takes no more work and will exit soon.
type StopNotice struct {
	VM       string `cbor:"vm"`
	Released bool   `cbor:"released"`
}

// WorkRequest asks a dispatcher to send one sub-request or order to a target. Either Sub or Order is set.
type WorkRequest struct {
	ID          uint64        `cbor:"id"`
	Target      string        `cbor:"target"`
	Sub         *target.Sub   `cbor:"sub,omitempty"`
	Order       *target.Order `cbor:"order,omitempty"`
	Priority    int           `cbor:"priority"`
	DeadlineMS  int64         `cbor:"deadline_ms"` // remaining time
	Fingerprint uint64        `cbor:"fingerprint"`
}

// WorkReply is the only reply to a WorkRequest.
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

// Cancel states that the sender no longer waits for the reply to a WorkRequest.
type Cancel struct {
	ID uint64 `cbor:"id"`
}

// Order forwards an order to the process that issued its token.
type Order struct {
	ID          uint64     `cbor:"id"`
	Incarnation uint64     `cbor:"incarnation"` // of the issuing process, from the token
	Order       wire.Order `cbor:"order"`
}

// OrderReply is the only reply to an Order.
type OrderReply struct {
	ID     uint64           `cbor:"id"`
	Answer wire.OrderAnswer `cbor:"answer"`
}

// Frame is one message; exactly one field is set.
type Frame struct {
	Hello           *Hello           `cbor:"hello,omitempty"`
	Ping            *Ping            `cbor:"ping,omitempty"`
	Pong            *Pong            `cbor:"pong,omitempty"`
	Document        *plat.Document   `cbor:"document,omitempty"`
	DocumentRequest *DocumentRequest `cbor:"request,omitempty"`
	TargetStatus    *TargetStatus    `cbor:"target_note,omitempty"`
	Crash           *Crash           `cbor:"crash,omitempty"`
	Success         *Success         `cbor:"success,omitempty"`
	CrashRetraction *CrashRetraction `cbor:"survived,omitempty"`
	Quarantine      *Quarantine      `cbor:"quarantine,omitempty"`
	StopNotice      *StopNotice      `cbor:"leaving,omitempty"`
	Work            *WorkRequest     `cbor:"work,omitempty"`
	WorkReply       *WorkReply       `cbor:"work_reply,omitempty"`
	Cancel          *Cancel          `cbor:"cancel,omitempty"`
	Order           *Order           `cbor:"order,omitempty"`
	OrderReply      *OrderReply      `cbor:"order_reply,omitempty"`
	Membership      *Membership      `cbor:"crew,omitempty"`
	Pauses          *Pauses          `cbor:"pauses,omitempty"`
	Departures      *Departures      `cbor:"departures,omitempty"`
	PermitRequests  *PermitRequests  `cbor:"permit_requests,omitempty"`
	PermitGrants    *PermitGrants    `cbor:"permit_grants,omitempty"`
	Unlink          *Unlink          `cbor:"unlink,omitempty"`
	Sync            *SyncRequest     `cbor:"sync,omitempty"`
	SyncReply       *SyncReply       `cbor:"sync_reply,omitempty"`
}

// Encode returns the frame as CBOR.
func Encode(f Frame) ([]byte, error) { return cbor.Marshal(f) }

// Decode returns the frame that raw encodes. It ignores unknown fields, and refuses input that exceeds the limits of
// decodeMode.
func Decode(raw []byte) (Frame, error) {
	var f Frame
	err := decodeMode.Unmarshal(raw, &f)
	return f, err
}

// decodeMode limits the nesting and the number of elements of decoded input.
var decodeMode = newDecodeMode()

// newDecodeMode returns the limits for decoding messages of peers, which may be malformed.
func newDecodeMode() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxNestedLevels: 12, MaxArrayElements: 1 << 17, MaxMapPairs: 1 << 12}.DecMode()
	if err != nil {
		panic(err) // can't occur: the options are constants
	}
	return mode
}
