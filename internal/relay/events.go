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
	c.sendPush(gossip.Message{To: e.from, Key: e.key})
}

// peerPong is the answer of a peer to a ping that this process sent at the time sent.
type peerPong struct {
	from string
	sent time.Time
	pong peer.Pong
}

func (e peerPong) apply(c *control, now time.Time) {
	mine := c.policy.Digest()
	age := time.Duration(e.pong.EvidenceAgeMS) * time.Millisecond
	if e.pong.EvidenceAgeMS < 0 || !mine.Covers(e.pong.Digest) {
		// A peer that holds newer documents than this process can't confirm that the documents held here are the newest.
		age = member.NoEvidence
	}
	c.member.RecordPong(e.sent, e.from, age, e.pong.Stopping)
	c.saveEvidence()
	// If this process may send now, the pong only extends the permission, which can wait for the next tick. Otherwise the
	// pong may restore the permission, and a new snapshot is published at once.
	c.dirty = c.dirty || !c.serving || !now.Before(c.sendUntil)
	for _, p := range c.gossip.DigestMessages(e.from, e.pong.Digest, mine) {
		c.sendPush(p)
	}
}

// peerPing is a ping of a peer whose digest differs from the digest of this process, so that one of them lacks a document.
type peerPing struct {
	from   string
	digest policy.Digest
}

func (e peerPing) apply(c *control, _ time.Time) {
	for _, p := range c.gossip.DigestMessages(e.from, e.digest, c.policy.Digest()) {
		c.sendPush(p)
	}
}

// peerStopNotice is the announcement of a peer that it stops, or that it has released its targets.
type peerStopNotice struct{ msg peer.StopNotice }

func (e peerStopNotice) apply(c *control, _ time.Time) {
	if e.msg.Released {
		c.member.RecordReleased(e.msg.VM)
	} else {
		c.member.RecordLeaving(e.msg.VM)
	}
	c.dirty = true
}

// peerCrash is the report of a peer that a target crashed.
type peerCrash struct{ msg peer.Crash }

func (e peerCrash) apply(c *control, now time.Time) {
	crash := poisonCrash(now, e.msg)
	c.recordCrash(now, crash)
	for _, s := range c.poison.RecentSuccesses(now, crash) {
		c.relay.hub.Broadcast(peer.Frame{Success: &peer.Success{Fingerprint: s.Fingerprint, AgeMS: peer.AgeMS(now, s.Ended)}})
	}
}

func poisonCrash(now time.Time, m peer.Crash) poison.Crash {
	return poison.Crash{Target: m.Target, Incarnation: m.Incarnation, At: peer.TimeFromAge(now, m.AgeMS), Fingerprints: m.Fingerprints}
}

// recordCrash records the crash of a target, and sends the quarantines that follow from it to all peers.
func (c *control) recordCrash(now time.Time, crash poison.Crash) {
	for _, q := range c.poison.Report(now, crash) {
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
		c.poison.EndQuarantine(now, e.msg.Fingerprint)
		c.dirty = true
		return
	}
	until := now.Add(time.Duration(e.msg.RemainingMS) * time.Millisecond)
	c.poison.ApplyQuarantine(now, poison.Quarantine{Fingerprint: e.msg.Fingerprint, Until: until, FirstCrash: peer.TimeFromAge(now, e.msg.SinceAgeMS)})
	c.dirty = true
}

// localCrash is a broken connection to a target that a lane of this process reports as a crash.
type localCrash struct{ msg peer.Crash }

func (e localCrash) apply(c *control, now time.Time) {
	c.relay.hub.Broadcast(peer.Frame{Crash: &e.msg})
	c.recordCrash(now, poisonCrash(now, e.msg))
}

// localSuccesses holds the fingerprints that completed on targets of this process, with the time of the last completion.
type localSuccesses struct{ ended map[uint64]time.Time }

func (e localSuccesses) apply(c *control, now time.Time) {
	for fp, t := range e.ended {
		if c.poison.ApplySuccess(now, poison.Success{Fingerprint: fp, Ended: t}) {
			c.relay.hub.Broadcast(peer.Frame{Success: &peer.Success{Fingerprint: fp, AgeMS: peer.AgeMS(now, t)}})
			c.dirty = true
		}
	}
}

// peerSuccess is the report of a peer that a suspected request completed on a target.
type peerSuccess struct{ msg peer.Success }

func (e peerSuccess) apply(c *control, now time.Time) {
	c.poison.ApplySuccess(now, poison.Success{Fingerprint: e.msg.Fingerprint, Ended: peer.TimeFromAge(now, e.msg.AgeMS)})
	c.dirty = true
}

// crashRetraction retracts a crash, because the target has answered again under the same incarnation. The field local is set
// if a lane of this process received that answer.
type crashRetraction struct {
	msg   peer.CrashRetraction
	local bool
}

func (e crashRetraction) apply(c *control, now time.Time) {
	if e.local {
		c.relay.hub.Broadcast(peer.Frame{CrashRetraction: &e.msg})
	}
	for _, fp := range c.poison.RetractCrash(now, e.msg.Target, e.msg.Incarnation) {
		// Peers that received only the quarantine hold no crash that could be retracted.
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
	old := c.statuses[e.status.Target]
	n := statusEntry{
		TargetStatus: state.TargetStatus{From: e.from, Incarnation: e.status.Incarnation, State: e.status.State, Level: e.status.Level, Served: e.status.Served},
		at:           now, primary: e.status.Primary,
	}
	if !e.status.Primary {
		// The secondary states no level: the last level that the primary stated remains valid.
		n.Level = old.Level
	}
	if e.status.Primary || !c.primaryStatusHolds(now, e.status.Target, old) {
		c.statuses[e.status.Target] = n
		if !equalStatus(old.TargetStatus, n.TargetStatus) {
			c.changedStatuses[e.status.Target] = true
			c.dirty = true
		}
	}
	if e.from != c.relay.VM {
		c.relay.disp.ApplyPeerStatus(e.status)
	}
}

// primaryStatusHolds reports whether a status comes from the primary and still takes precedence over that of a secondary. A
// primary repeats an unchanged status rarely, so its status remains valid as long as the primary answers pings.
func (c *control) primaryStatusHolds(now time.Time, id string, n statusEntry) bool {
	if !n.primary {
		return false
	}
	d := c.assign.Dispatchers(id)
	return now.Sub(n.at) < primaryStatusHold || len(d) > 0 && d[0] == n.From && c.member.Reachable(now, n.From)
}

// replayStatus passes the status that the primary sent before a lane was created to the new lane.
func (c *control) replayStatus(id string) {
	n := c.statuses[id]
	if !n.primary || n.From == c.relay.VM {
		return
	}
	c.relay.disp.ApplyPeerStatus(peer.TargetStatus{
		Target: id, Incarnation: n.Incarnation, State: n.State, Level: n.Level, Primary: true, Served: n.Served,
	})
}

// equalStatus reports whether two statuses that dispatchers sent are equal.
func equalStatus(a, b state.TargetStatus) bool {
	return a.From == b.From && a.Incarnation == b.Incarnation && a.State == b.State && a.Level == b.Level && slices.Equal(a.Served, b.Served)
}

const (
	// primaryStatusHold is the time for which the status of a primary remains valid even if the primary answers no pings.
	primaryStatusHold = 3 * time.Second
	// statusRepeatInterval is the time after which an unchanged status is sent again. A change, a new link, a new document
	// or a full send queue lead to a new message at the next health check anyway; the repetition only limits for how long a
	// message that a peer dropped has an effect.
	statusRepeatInterval = 10 * time.Second
)

// sentStatus is the newest status of a target that was sent to all peers, and the conditions under which it was sent: the
// documents in force, the number of links opened, and the time.
type sentStatus struct {
	status      peer.TargetStatus
	digest      policy.Digest
	linksOpened uint64 // number of links opened by then
	at          time.Time
}

// sentStatuses holds the newest status sent for each target. It is safe for concurrent use.
type sentStatuses struct {
	mu       sync.Mutex
	byTarget map[string]sentStatus
}

// sendIfNew sends the status unless the peers already know it. The lock is held during sending, so that the saved status is
// always the one that was sent last. Otherwise a later status equal to the saved one would not be sent although the peers
// had received a different one last.
func (s *sentStatuses) sendIfNew(n sentStatus, send func() bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.known(n) || !send() {
		return
	}
	if s.byTarget == nil {
		s.byTarget = map[string]sentStatus{}
	}
	s.byTarget[n.status.Target] = n
}

// known reports whether the peers already know the status. The caller holds mu.
func (s *sentStatuses) known(n sentStatus) bool {
	old, ok := s.byTarget[n.status.Target]
	return ok && old.digest == n.digest && old.linksOpened == n.linksOpened && n.at.Sub(old.at) < statusRepeatInterval && equalTargetStatus(old.status, n.status)
}

// equalTargetStatus reports whether two statuses to be sent to peers are equal.
func equalTargetStatus(a, b peer.TargetStatus) bool {
	return a.Incarnation == b.Incarnation && a.State == b.State && a.Level == b.Level && a.Primary == b.Primary && a.LevelChange == b.LevelChange && a.AckedLevelChange == b.AckedLevelChange &&
		slices.Equal(a.Served, b.Served)
}

// peerEvents is the Relay as the peer.Handler of its hub.
type peerEvents Relay

// Digest implements peer.Handler.
func (p *peerEvents) Digest() policy.Digest { return *p.control.digest.Load() }

// Ping implements peer.Handler.
func (p *peerEvents) Ping(from string, m peer.Ping) peer.Pong {
	c := p.control
	digest := *c.digest.Load()
	if digest != m.Digest {
		c.post(peerPing{from: from, digest: m.Digest})
	}
	age := int64(-1)
	if t := *c.evidence.Load(); !t.IsZero() {
		age = p.Now().Sub(t).Milliseconds() + 1
	}
	return peer.Pong{Seq: m.Seq, Digest: digest, EvidenceAgeMS: age, Stopping: c.stopping.Load(), Incarnation: p.Incarnation}
}

// Pong implements peer.Handler.
func (p *peerEvents) Pong(from string, sent time.Time, m peer.Pong) {
	p.control.post(peerPong{from: from, sent: sent, pong: m})
}

// Document implements peer.Handler.
func (p *peerEvents) Document(_ string, d plat.Document) { p.control.post(peerDocument{d}) }

// TargetStatus implements peer.Handler.
func (p *peerEvents) TargetStatus(from string, n peer.TargetStatus) {
	p.control.post(targetStatus{from: from, status: n})
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
func (p *peerEvents) Work(ctx context.Context, _ string, w peer.Work, reply func(peer.WorkReply)) {
	p.disp.Submit(ctx, w, reply)
}

// Order implements peer.Handler.
func (p *peerEvents) Order(_ string, o peer.Order, reply func(peer.OrderReply)) {
	p.front.AnswerForwarded(o, reply)
}

// targetEvents is the Relay as the disp.Events of its dispatcher.
type targetEvents Relay

// TargetChanged implements disp.Events. It sends the status to all peers unless they already know it.
func (t *targetEvents) TargetChanged(n peer.TargetStatus) {
	c := t.control
	c.post(targetStatus{from: t.VM, status: n})
	// The number of opened links is read before sending: if a link opens meanwhile, the status is sent again.
	s := sentStatus{status: n, digest: *c.digest.Load(), linksOpened: t.hub.LinksOpened(), at: t.Now()}
	c.sentStatuses.sendIfNew(s, func() bool { return t.hub.Broadcast(peer.Frame{TargetStatus: &n}) })
}

// TargetCrashed implements disp.Events.
func (t *targetEvents) TargetCrashed(m peer.Crash) { t.control.post(localCrash{m}) }

// FingerprintCompleted implements disp.Events. Successes are collected and applied once per tick, because there is one
// for each reply of a target.
func (t *targetEvents) FingerprintCompleted(fp uint64) { t.control.completed.add(fp, t.Now()) }

// TargetSurvived implements disp.Events.
func (t *targetEvents) TargetSurvived(id string, incarnation uint64) {
	t.control.post(crashRetraction{msg: peer.CrashRetraction{Target: id, Incarnation: incarnation}, local: true})
}

// completions collects the fingerprints that completed since the last tick. It is safe for concurrent use.
type completions struct {
	mu    sync.Mutex
	ended map[uint64]time.Time
}

func (c *completions) add(fp uint64, now time.Time) {
	if fp == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended == nil {
		c.ended = map[uint64]time.Time{}
	}
	c.ended[fp] = now
}

func (c *completions) take() map[uint64]time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.ended
	c.ended = nil
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

// LinkOpened implements peer.Handler. It does nothing: TargetChanged reads Hub.LinksOpened instead.
func (p *peerEvents) LinkOpened(string) {}

// Sync implements peer.Handler. It returns no documents: this process distributes documents by gossip.
func (p *peerEvents) Sync(_ string, _ peer.Sync, reply func(peer.SyncReply)) {
	reply(peer.SyncReply{AgeMS: -1})
}
