package peer

import (
	"context"
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/internal/policy"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/codes"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
)

// NopHandler is a Handler that ignores notifications and refuses requests. A handler that needs only a few kinds of messages
// embeds NopHandler and overrides the methods for those kinds.
type NopHandler struct{}

// Ping implements Handler. The pong states that this process has no evidence that its configuration is the newest.
func (NopHandler) Ping(_ string, p Ping) Pong { return Pong{Seq: p.Seq, EvidenceAgeMS: -1} }

// Pong implements Handler.
func (NopHandler) Pong(string, time.Time, Pong) {}

// Document implements Handler.
func (NopHandler) Document(string, plat.Document) {}

// DocumentRequest implements Handler.
func (NopHandler) DocumentRequest(string, DocumentRequest) {}

// TargetStatus implements Handler.
func (NopHandler) TargetStatus(string, TargetStatus) {}

// Crash implements Handler.
func (NopHandler) Crash(string, Crash) {}

// Success implements Handler.
func (NopHandler) Success(string, Success) {}

// CrashRetraction implements Handler.
func (NopHandler) CrashRetraction(string, CrashRetraction) {}

// Quarantine implements Handler.
func (NopHandler) Quarantine(string, Quarantine) {}

// StopNotice implements Handler.
func (NopHandler) StopNotice(string, StopNotice) {}

// Work implements Handler. It replies that the work was not sent to the target.
func (NopHandler) Work(_ context.Context, _ string, _ WorkRequest, reply func(WorkReply)) {
	reply(WorkReply{Code: codes.NotConnected, Message: "this process dispatches no work"})
}

// Order implements Handler. It replies with an empty answer.
func (NopHandler) Order(_ string, _ Order, reply func(OrderReply)) { reply(OrderReply{}) }

// Membership implements Handler.
func (NopHandler) Membership(string, Membership) {}

// Pauses implements Handler.
func (NopHandler) Pauses(string, Pauses) {}

// Departures implements Handler.
func (NopHandler) Departures(string, Departures) {}

// PermitRequests implements Handler.
func (NopHandler) PermitRequests(string, PermitRequests) {}

// PermitGrants implements Handler.
func (NopHandler) PermitGrants(string, PermitGrants) {}

// Unlink implements Handler.
func (NopHandler) Unlink(string) {}

// LinkOpened implements Handler.
func (NopHandler) LinkOpened(string) {}

// Sync implements Handler. It replies without documents.
func (NopHandler) Sync(_ string, _ SyncRequest, reply func(SyncReply)) { reply(SyncReply{AgeMS: -1}) }

// Digest implements Handler.
func (NopHandler) Digest() policy.Revisions { return policy.Revisions{} }
