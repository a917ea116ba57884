package relay

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/internal/gossip"
	"github.com/fuchsiarelay/fuchsiarelay/internal/member"
	"github.com/fuchsiarelay/fuchsiarelay/internal/peer"
	"github.com/fuchsiarelay/fuchsiarelay/internal/poison"
	"github.com/fuchsiarelay/fuchsiarelay/internal/policy"
	"github.com/fuchsiarelay/fuchsiarelay/internal/state"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
)

// peerDocument is a document that a peer sent.
type peerDocument struct{ doc plat.Document }

func (e peerDocument) apply(c *control, now time.Time) { c.applyDocument(now, e.doc, false) }

// peerDocumentRequest is the request of a peer for the document of a key.
type peerDocumentRequest struct {
	from string
	key  string
}

func (e peerDocumentRequest) apply(c *control, _ time.Time) {
	c.sendGossip(gossip.Message{To: e.from, Key: e.key})
}

// peerPong is the answer of a peer to a ping that this process sent at pingSentAt.
type peerPong struct {
	from       string
	pingSentAt time.Time
	pong       peer.Pong
}

func (e peerPong) apply(c *control, now time.Time) {
	own := c.policy.Revisions()
	age := time.Duration(e.pong.EvidenceAgeMS) * time.Millisecond
	if e.pong.EvidenceAgeMS < 0 || !own.Covers(e.pong.Digest) {
		// A peer that holds newer documents than this process can't confirm that the documents held here are the newest.
		age = member.NoEvidence
	}
	c.membership.RecordPong(e.pingSentAt, e.from, age, e.pong.Stopping)
	c.storeEvidenceTime()
	// If this process may send now, the pong only extends the permission, which can wait for the next tick. Otherwise the
	// pong may restore the permission, and a new snapshot is published at once.
	c.dirty = c.dirty || !c.serving || !now.Before(c.sendUntil)
	for _, message := range c.gossip.DigestMessages(e.from, e.pong.Digest, own) {
		c.sendGossip(message)
	}
}

// peerPing is a ping of a peer whose revisions differ from those of this process, so that one of them lacks a document.
type peerPing struct {
	from      string
	revisions policy.Revisions
}

func (e peerPing) apply(c *control, _ time.Time) {
	for _, message := range c.gossip.DigestMessages(e.from, e.revisions, c.policy.Revisions()) {
		c.sendGossip(message)
	}
}

// peerStopNotice is the announcement of a peer that it stops, or that it has released its targets.
type peerStopNotice struct{ msg peer.StopNotice }

func (e peerStopNotice) apply(c *control, _ time.Time) {
	if e.msg.Released {
		c.membership.RecordReleased(e.msg.VM)
	} else {
		c.membership.RecordStopping(e.msg.VM)
	}
	c.dirty = true
}

// peerCrash is the report of a peer that a target crashed.
type peerCrash struct{ msg peer.Crash }

func (e peerCrash) apply(c *control, now time.Time) {
	crash := toPoisonCrash(now, e.msg)
	c.recordCrash(now, crash)
	for _, s := range c.poisonDetector.RecentSuccesses(now, crash) {
		c.relay.hub.Broadcast(peer.Frame{Success: &peer.Success{Fingerprint: s.Fingerprint, AgeMS: peer.AgeMS(now, s.Ended)}})
	}
}

// toPoisonCrash returns the crash in the form that the detector takes.
func toPoisonCrash(now time.Time, m peer.Crash) poison.Crash {
	return poison.Crash{Target: m.Target, Incarnation: m.Incarnation, At: peer.TimeFromAge(now, m.AgeMS), Fingerprints: m.Fingerprints}
}

// recordCrash records the crash of a target, and sends the quarantines that follow from it to all peers.
func (c *control) recordCrash(now time.Time, crash poison.Crash) {
	for _, q := range c.poisonDetector.Report(now, crash) {
		c.relay.Log.Warn("request quarantined", "fingerprint", fmt.Sprintf("%016x", q.Fingerprint), "target", crash.Target, "until", q.Until)
		c.relay.hub.Broadcast(peer.Frame{Quarantine: &peer.Quarantine{
			Fingerprint: q.Fingerprint, RemainingMS: q.Until.Sub(now).Milliseconds(), SinceAgeMS: peer.AgeMS(now, q.FirstCrash),
		}})
	}
	c.dirty = true
}

// peerQuarantine is the start or the end of a quarantine that a peer reports.
type peerQuarantine struct{ msg peer.Quarantine }

func (e peerQuarantine) apply(c *control, now time.Time) {
	if e.msg.RemainingMS <= 0 {
		c.poisonDetector.EndQuarantine(now, e.msg.Fingerprint)
		c.dirty = true
		return
	}
	until := now.Add(time.Duration(e.msg.RemainingMS) * time.Millisecond)
	c.poisonDetector.ApplyQuarantine(now, poison.Quarantine{Fingerprint: e.msg.Fingerprint, Until: until, FirstCrash: peer.TimeFromAge(now, e.msg.SinceAgeMS)})
	c.dirty = true
}

// localCrash is a broken connection to a target that a lane of this process reports as a crash.
type localCrash struct{ msg peer.Crash }

func (e localCrash) apply(c *control, now time.Time) {
	c.relay.hub.Broadcast(peer.Frame{Crash: &e.msg})
	c.recordCrash(now, toPoisonCrash(now, e.msg))
}

// localSuccesses holds the fingerprints of requests that completed on targets that this process dispatches, with the time of
// the last completion of each.
type localSuccesses struct{ lastCompletion map[uint64]time.Time }

func (e localSuccesses) apply(c *control, now time.Time) {
	for fp, t := range e.lastCompletion {
		if c.poisonDetector.ApplySuccess(now, poison.Success{Fingerprint: fp, Ended: t}) {
			c.relay.hub.Broadcast(peer.Frame{Success: &peer.Success{Fingerprint: fp, AgeMS: peer.AgeMS(now, t)}})
			c.dirty = true
		}
	}
}

// peerSuccess is the report of a peer that a suspected request completed on a target.
type peerSuccess struct{ msg peer.Success }

func (e peerSuccess) apply(c *control, now time.Time) {
	c.poisonDetector.ApplySuccess(now, poison.Success{Fingerprint: e.msg.Fingerprint, Ended: peer.TimeFromAge(now, e.msg.AgeMS)})
	c.dirty = true
}

// crashRetraction retracts the report of a crash, because the target has answered again under the same incarnation. The
// field local is set if a lane of this process received the answer.
type crashRetraction struct {
	msg   peer.CrashRetraction
	local bool
}

func (e crashRetraction) apply(c *control, now time.Time) {
	if e.local {
		c.relay.hub.Broadcast(peer.Frame{CrashRetraction: &e.msg})
	}
	for _, fp := range c.poisonDetector.RetractCrash(now, e.msg.Target, e.msg.Incarnation) {
		// The end of the quarantine is sent too: a peer that received only the quarantine, without the crash reports, holds no
		// crash to retract.
		c.relay.hub.Broadcast(peer.Frame{Quarantine: &peer.Quarantine{Fingerprint: fp}})
	}
	c.dirty = true
}

// targetStatus is the status of a target that a dispatcher sent. The dispatcher may be that of this process.
type targetStatus struct {
	from   string
	status peer.TargetStatus
}

func (e targetStatus) apply(c *control, now time.Time) {
	previous := c.targetStatuses[e.status.Target]
	received := receivedStatus{
		TargetStatus: state.TargetStatus{From: e.from, Incarnation: e.status.Incarnation, State: e.status.State, Level: e.status.Level, Served: e.status.Served},
		receivedAt:   now, primary: e.status.Primary,
	}
	if !e.status.Primary {
		// The secondary states no level: the last level that the primary stated remains valid.
		received.Level = previous.Level
	}
	if e.status.Primary || !c.primaryStatusHolds(now, e.status.Target, previous) {
		c.targetStatuses[e.status.Target] = received
		if !equalReceivedStatus(previous.TargetStatus, received.TargetStatus) {
			c.changedStatuses[e.status.Target] = true
			c.dirty = true
		}
	}
	if e.from != c.relay.VM {
		c.relay.disp.ApplyPeerStatus(e.status)
	}
}

// primaryStatusHolds reports whether a status comes from the primary and still takes precedence over the status of the
// secondary. A primary repeats an unchanged status rarely, so its status remains valid as long as it answers pings.
func (c *control) primaryStatusHolds(now time.Time, id string, status receivedStatus) bool {
	if !status.primary {
		return false
	}
	dispatchers := c.assignments.Dispatchers(id)
	return now.Sub(status.receivedAt) < primaryStatusHold || len(dispatchers) > 0 && dispatchers[0] == status.From && c.membership.Reachable(now, status.From)
}

// replayStatus passes the status that the primary sent before a lane was created to the new lane.
func (c *control) replayStatus(id string) {
	status := c.targetStatuses[id]
	if !status.primary || status.From == c.relay.VM {
		return
	}
	c.relay.disp.ApplyPeerStatus(peer.TargetStatus{
		Target: id, Incarnation: status.Incarnation, State: status.State, Level: status.Level, Primary: true, Served: status.Served,
	})
}

// equalReceivedStatus reports whether two statuses received from dispatchers are equal.
func equalReceivedStatus(a, b state.TargetStatus) bool {
	return a.From == b.From && a.Incarnation == b.Incarnation && a.State == b.State && a.Level == b.Level && slices.Equal(a.Served, b.Served)
}

const (
	// primaryStatusHold is the time for which the status of a primary remains valid even if the primary answers no pings.
	primaryStatusHold = 3 * time.Second
	// statusRepeatInterval is the time after which an unchanged status is sent again. After a change of the status, a new
	// link, a new document or a full send queue, the status is sent at the next health check anyway. The repetition limits
	// the time for which a peer that dropped a message keeps an old status.
	statusRepeatInterval = 10 * time.Second
)

// sentStatus is the newest status of a target that was sent to all peers, and the conditions under which it was sent: the
// documents in force, the number of links opened, and the time.
type sentStatus struct {
	status      peer.TargetStatus
	revisions   policy.Revisions
	linksOpened uint64 // number of links that the hub had opened when the status was sent
	sentAt      time.Time
}

// sentStatuses holds the newest status sent for each target. It is safe for concurrent use.
type sentStatuses struct {
	mu       sync.Mutex
	byTarget map[string]sentStatus
}

// sendIfNew sends the status unless the peers already know it. The lock is held during sending, so that the saved status is
// always the one that was sent last. Without the lock, two calls could send in one order and save in the other; a later
// status equal to the saved one would then not be sent, although the peers received a different one last.
func (s *sentStatuses) sendIfNew(candidate sentStatus, send func() bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.knownToPeers(candidate) || !send() {
		return
	}
	if s.byTarget == nil {
		s.byTarget = map[string]sentStatus{}
	}
	s.byTarget[candidate.status.Target] = candidate
}

// knownToPeers reports whether the status was already sent and no peer can have missed it since. The caller holds mu.
func (s *sentStatuses) knownToPeers(candidate sentStatus) bool {
	newestSent, ok := s.byTarget[candidate.status.Target]
	return ok && newestSent.revisions == candidate.revisions && newestSent.linksOpened == candidate.linksOpened && candidate.sentAt.Sub(newestSent.sentAt) < statusRepeatInterval && equalSentStatus(newestSent.status, candidate.status)
}

// equalSentStatus reports whether two statuses to be sent to peers are equal.
func equalSentStatus(a, b peer.TargetStatus) bool {
	return a.Incarnation == b.Incarnation && a.State == b.State && a.Level == b.Level && a.Primary == b.Primary && a.LevelChange == b.LevelChange && a.AckedLevelChange == b.AckedLevelChange &&
		slices.Equal(a.Served, b.Served)
}

// peerEvents is the Relay as the peer.Handler of its hub.
type peerEvents Relay

// Digest implements peer.Handler.
func (p *peerEvents) Digest() policy.Revisions { return *p.control.revisions.Load() }

// Ping implements peer.Handler.
func (p *peerEvents) Ping(from string, m peer.Ping) peer.Pong {
	c := p.control
	revisions := *c.revisions.Load()
	if revisions != m.Digest {
		c.post(peerPing{from: from, revisions: m.Digest})
	}
	age := int64(-1)
	if t := *c.evidenceTime.Load(); !t.IsZero() {
		age = p.Now().Sub(t).Milliseconds() + 1 // rounded up, so that the evidence never appears younger than it is
	}
	return peer.Pong{Seq: m.Seq, Digest: revisions, EvidenceAgeMS: age, Stopping: c.stopping.Load(), Incarnation: p.Incarnation}
}

// Pong implements peer.Handler.
func (p *peerEvents) Pong(from string, sent time.Time, m peer.Pong) {
	p.control.post(peerPong{from: from, pingSentAt: sent, pong: m})
}

// Document implements peer.Handler.
func (p *peerEvents) Document(_ string, d plat.Document) { p.control.post(peerDocument{d}) }

// TargetStatus implements peer.Handler.
func (p *peerEvents) TargetStatus(from string, status peer.TargetStatus) {
	p.control.post(targetStatus{from: from, status: status})
}

// Crash implements peer.Handler.
func (p *peerEvents) Crash(_ string, m peer.Crash) { p.control.post(peerCrash{m}) }

// DocumentRequest implements peer.Handler.
func (p *peerEvents) DocumentRequest(from string, m peer.DocumentRequest) {
	p.control.post(peerDocumentRequest{from: from, key: m.Key})
}

// Success implements peer.Handler.
func (p *peerEvents) Success(_ string, m peer.Success) { p.control.post(peerSuccess{m}) }

// CrashRetraction implements peer.Handler.
func (p *peerEvents) CrashRetraction(_ string, m peer.CrashRetraction) {
	p.control.post(crashRetraction{msg: m})
}

// Quarantine implements peer.Handler.
func (p *peerEvents) Quarantine(_ string, m peer.Quarantine) { p.control.post(peerQuarantine{m}) }

// StopNotice implements peer.Handler.
func (p *peerEvents) StopNotice(from string, m peer.StopNotice) {
	m.VM = from
	p.control.post(peerStopNotice{m})
}

// Work implements peer.Handler.
func (p *peerEvents) Work(ctx context.Context, _ string, w peer.WorkRequest, reply func(peer.WorkReply)) {
	p.disp.Submit(ctx, w, reply)
}

// Order implements peer.Handler.
func (p *peerEvents) Order(_ string, o peer.Order, reply func(peer.OrderReply)) {
	p.front.AnswerForwarded(o, reply)
}

// targetEvents is the Relay as the disp.Events of its dispatcher.
type targetEvents Relay

// TargetChanged implements disp.Events. It sends the status to all peers unless they already know it.
func (t *targetEvents) TargetChanged(status peer.TargetStatus) {
	c := t.control
	c.post(targetStatus{from: t.VM, status: status})
	// The number of opened links is read before sending: if a link opens meanwhile, the status is sent again.
	candidate := sentStatus{status: status, revisions: *c.revisions.Load(), linksOpened: t.hub.LinksOpened(), sentAt: t.Now()}
	c.sentStatuses.sendIfNew(candidate, func() bool { return t.hub.Broadcast(peer.Frame{TargetStatus: &status}) })
}

// TargetCrashed implements disp.Events.
func (t *targetEvents) TargetCrashed(m peer.Crash) { t.control.post(localCrash{m}) }

// FingerprintCompleted implements disp.Events. Completions are collected and applied once per tick, because there is one
// for each successful reply of a target.
func (t *targetEvents) FingerprintCompleted(fp uint64) { t.control.completions.add(fp, t.Now()) }

// TargetSurvived implements disp.Events.
func (t *targetEvents) TargetSurvived(id string, incarnation uint64) {
	t.control.post(crashRetraction{msg: peer.CrashRetraction{Target: id, Incarnation: incarnation}, local: true})
}

// completions collects the fingerprints of requests that completed since the last tick. It is safe for concurrent use.
type completions struct {
	mu             sync.Mutex
	lastCompletion map[uint64]time.Time
}

// add records a completion. Work without a fingerprint, such as an order, has fp 0 and is ignored.
func (c *completions) add(fp uint64, now time.Time) {
	if fp == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastCompletion == nil {
		c.lastCompletion = map[uint64]time.Time{}
	}
	c.lastCompletion[fp] = now
}

// takeAll returns the collected completions and starts collecting anew.
func (c *completions) takeAll() map[uint64]time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.lastCompletion
	c.lastCompletion = nil
	return out
}

// Membership implements peer.Handler. It ignores the message: this process takes the entry VMs from the published list.
func (p *peerEvents) Membership(string, peer.Membership) {}

// Pauses implements peer.Handler. It ignores the message: this process does not use pauses of targets.
func (p *peerEvents) Pauses(string, peer.Pauses) {}

// Unlink implements peer.Handler. It ignores the message: the published list decides from which VMs messages are expected.
func (p *peerEvents) Unlink(string) {}

// Departures implements peer.Handler. It ignores the message: this process learns from TargetStatus messages that a target
// is leaving.
func (p *peerEvents) Departures(string, peer.Departures) {}

// PermitRequests implements peer.Handler.
func (p *peerEvents) PermitRequests(string, peer.PermitRequests) {}

// PermitGrants implements peer.Handler.
func (p *peerEvents) PermitGrants(string, peer.PermitGrants) {}

// LinkOpened implements peer.Handler. It does nothing: TargetChanged reads Hub.LinksOpened instead.
func (p *peerEvents) LinkOpened(string) {}

// Sync implements peer.Handler. It returns no documents: this process distributes documents by gossip.
func (p *peerEvents) Sync(_ string, _ peer.SyncRequest, reply func(peer.SyncReply)) {
	reply(peer.SyncReply{AgeMS: -1})
}
