package peer

import (
	"context"
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/internal/policy"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/codes"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
)

// Ignore is a Handler that ignores notifications and refuses requests. A handler that needs only a few kinds of messages embeds
// Ignore and overrides their methods.
type Ignore struct{}

// Ping implements Handler. The pong states that this process has no configuration evidence.
func (Ignore) Ping(_ string, p Ping) Pong { return Pong{Seq: p.Seq, EvidenceAgeMS: -1} }

// Pong implements Handler.
func (Ignore) Pong(string, time.Time, Pong) {}

// Document implements Handler.
func (Ignore) Document(string, plat.Document) {}

// Request implements Handler.
func (Ignore) Request(string, Request) {}

// TargetNote implements Handler.
func (Ignore) TargetNote(string, TargetNote) {}

// Crash implements Handler.
func (Ignore) Crash(string, Crash) {}

// Success implements Handler.
func (Ignore) Success(string, Success) {}

// Survived implements Handler.
func (Ignore) Survived(string, Survived) {}

// Quarantine implements Handler.
func (Ignore) Quarantine(string, Quarantine) {}

// Leaving implements Handler.
func (Ignore) Leaving(string, Leaving) {}

// Work implements Handler. It replies that the work was not sent to the target.
func (Ignore) Work(_ context.Context, _ string, _ Work, reply func(WorkReply)) {
	reply(WorkReply{Code: codes.NotConnected, Message: "this process dispatches no work"})
}

// Order implements Handler. It replies with an empty answer.
func (Ignore) Order(_ string, _ Order, reply func(OrderReply)) { reply(OrderReply{}) }

// Crew implements Handler.
func (Ignore) Crew(string, Crew) {}

// Pauses implements Handler.
func (Ignore) Pauses(string, Pauses) {}

// Departures implements Handler.
func (Ignore) Departures(string, Departures) {}

// Unlinked implements Handler.
func (Ignore) Unlinked(string) {}

// Opened implements Handler.
func (Ignore) Opened(string) {}

// Sync implements Handler. It replies without documents.
func (Ignore) Sync(_ string, _ Sync, reply func(SyncReply)) { reply(SyncReply{AgeMS: -1}) }

// Digest implements Handler.
func (Ignore) Digest() policy.Digest { return policy.Digest{} }
