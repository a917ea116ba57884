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

// peerDocumentRequest asks for the document of a key.
type peerDocumentRequest struct {
	from string
	key  string
}

func (e peerDocumentRequest) apply(c *control, _ time.Time) {
	c.sendPush(gossip.Push{To: e.from, Key: e.key})
}

// peerPong is the answer of a peer to a ping that was sent at sent.
type peerPong struct {
	from string
	sent time.Time
	pong peer.Pong
}

func (e peerPong) apply(c *control, now time.Time) {
	mine := c.policy.Digest()
	age := time.Duration(e.pong.EvidenceAgeMS) * time.Millisecond
	if e.pong.EvidenceAgeMS < 0 || !mine.Covers(e.pong.Digest) {
		// A peer that knows newer documents than this process has no evidence for those held here.
		age = member.NoEvidence
	}
	c.member.Pong(e.sent, e.from, age, e.pong.Stopping)
	c.saveEvidence()
	// A pong that extends a permission can wait for the tick; one that may give it back can't.
	c.dirty = c.dirty || !c.serving || !now.Before(c.sendUntil)
	for _, p := range c.gossip.Heard(e.from, e.pong.Digest, mine) {
		c.sendPush(p)
	}
}

// peerPing is a ping of a peer: its digest tells what the peer lacks.
type peerPing struct {
	from   string
	digest policy.Digest
}

func (e peerPing) apply(c *control, _ time.Time) {
	for _, p := range c.gossip.Heard(e.from, e.digest, c.policy.Digest()) {
		c.sendPush(p)
	}
}

type peerStopNotice struct{ msg peer.StopNotice }

func (e peerStopNotice) apply(c *control, _ time.Time) {
	if e.msg.Released {
		c.member.Released(e.msg.VM)
	} else {
		c.member.Leaving(e.msg.VM)
	}
	c.dirty = true
}

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

// recordCrash counts a crash and passes new quarantines on.
func (c *control) recordCrash(now time.Time, crash poison.Crash) {
	for _, q := range c.poison.Report(now, crash) {
		c.relay.Log.Warn("request quarantined", "fingerprint", fmt.Sprintf("%016x", q.Fingerprint), "target", crash.Target, "until", q.Until)
		c.relay.hub.Broadcast(peer.Frame{Quarantine: &peer.Quarantine{
			Fingerprint: q.Fingerprint, RemainingMS: q.Until.Sub(now).Milliseconds(), SinceAgeMS: peer.AgeMS(now, q.FirstCrash),
		}})
	}
	c.dirty = true
}

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

// localCrash is a broken connection seen by a lane of this process.
type localCrash struct{ msg peer.Crash }

func (e localCrash) apply(c *control, now time.Time) {
	c.relay.hub.Broadcast(peer.Frame{Crash: &e.msg})
	c.recordCrash(now, poisonCrash(now, e.msg))
}

// localSuccesses lists fingerprints that completed on targets of this process, with the time of the last completion.
type localSuccesses struct{ ended map[uint64]time.Time }

func (e localSuccesses) apply(c *control, now time.Time) {
	for fp, t := range e.ended {
		if c.poison.ApplySuccess(now, poison.Success{Fingerprint: fp, Ended: t}) {
			c.relay.hub.Broadcast(peer.Frame{Success: &peer.Success{Fingerprint: fp, AgeMS: peer.AgeMS(now, t)}})
			c.dirty = true
		}
	}
}

type peerSuccess struct{ msg peer.Success }

func (e peerSuccess) apply(c *control, now time.Time) {
	c.poison.ApplySuccess(now, poison.Success{Fingerprint: e.msg.Fingerprint, Ended: peer.TimeFromAge(now, e.msg.AgeMS)})
	c.dirty = true
}

// crashRetraction takes back a crash; local says that a lane of this process found out.
type crashRetraction struct {
	msg   peer.CrashRetraction
	local bool
}

func (e crashRetraction) apply(c *control, now time.Time) {
	if e.local {
		c.relay.hub.Broadcast(peer.Frame{CrashRetraction: &e.msg})
	}
	for _, fp := range c.poison.RetractCrash(now, e.msg.Target, e.msg.Incarnation) {
		// Peers that only learned of the quarantine hold no crash that could be taken back.
		c.relay.hub.Broadcast(peer.Frame{Quarantine: &peer.Quarantine{Fingerprint: fp}})
	}
	c.dirty = true
}

// targetStatus is a dispatcher's word on a target.
type targetStatus struct {
	from   string
	status peer.TargetStatus
}

func (e targetStatus) apply(c *control, now time.Time) {
	old := c.statuses[e.status.Target]
	n := statusEntry{
		Note: state.Note{From: e.from, Incarnation: e.status.Incarnation, State: e.status.State, Level: e.status.Level, Served: e.status.Served},
		at:   now, primary: e.status.Primary,
	}
	if !e.status.Primary {
		// The secondary states no level: what the primary said last stands.
		n.Level = old.Level
	}
	if e.status.Primary || !c.primaryStatusHolds(now, e.status.Target, old) {
		c.statuses[e.status.Target] = n
		if !equalStatus(old.Note, n.Note) {
			c.changedStatuses[e.status.Target] = true
			c.dirty = true
		}
	}
	if e.from != c.relay.VM {
		c.relay.disp.Note(e.status)
	}
}

// primaryStatusHolds reports whether a note is the word of the primary that a secondary can't replace. A primary repeats an
// unchanged note rarely, so its word primaryStatusHolds for as long as it answers pings.
func (c *control) primaryStatusHolds(now time.Time, id string, n statusEntry) bool {
	if !n.primary {
		return false
	}
	d := c.assign.Dispatchers(id)
	return now.Sub(n.at) < primaryStatusHold || len(d) > 0 && d[0] == n.From && c.member.Reachable(now, n.From)
}

// replayStatus tells a new lane what the primary said before the lane was there.
func (c *control) replayStatus(id string) {
	n := c.statuses[id]
	if !n.primary || n.From == c.relay.VM {
		return
	}
	c.relay.disp.Note(peer.TargetStatus{
		Target: id, Incarnation: n.Incarnation, State: n.State, Level: n.Level, Primary: true, Served: n.Served,
	})
}

func equalStatus(a, b state.Note) bool {
	return a.From == b.From && a.Incarnation == b.Incarnation && a.State == b.State && a.Level == b.Level && slices.Equal(a.Served, b.Served)
}

const (
	// primaryStatusHold is the time for which the word of a primary stands whether or not it answers.
	primaryStatusHold = 3 * time.Second
	// statusRepeatInterval is the time after which an unchanged note is sent again. A change, a new link, a new document and a
	// full queue lead to a note at the next probe; the repeat only bounds the effect of a note that a peer dropped.
	statusRepeatInterval = 10 * time.Second
)

// sentStatus is the newest note that went to all peers, and what it depends on besides the target.
type sentStatus struct {
	status      peer.TargetStatus
	digest      policy.Digest
	linksOpened uint64 // links opened until then
	at          time.Time
}

// sentStatuses holds the newest note for each target. It is safe for concurrent use.
type sentStatuses struct {
	mu       sync.Mutex
	byTarget map[string]sentStatus
}

// sendIfNew sends the note unless it says nothing that peers don't know. The lock is held while it is sent: the saved note must
// be the one that was sent last, or a later note that repeats it would be held back although peers know another.
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

// known reports whether the note says nothing that peers don't know. The caller holds mu.
func (s *sentStatuses) known(n sentStatus) bool {
	old, ok := s.byTarget[n.status.Target]
	return ok && old.digest == n.digest && old.linksOpened == n.linksOpened && n.at.Sub(old.at) < statusRepeatInterval && equalTargetStatus(old.status, n.status)
}

func equalTargetStatus(a, b peer.TargetStatus) bool {
	return a.Incarnation == b.Incarnation && a.State == b.State && a.Level == b.Level && a.Primary == b.Primary && a.LevelChange == b.LevelChange && a.AckedLevelChange == b.AckedLevelChange &&
		slices.Equal(a.Served, b.Served)
}

// peerEvents is the relay as the handler of its hub.
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
	p.front.Forwarded(o, reply)
}

// targetEvents is the relay as the listener of its lanes.
type targetEvents Relay

// TargetChanged implements disp.Events.
func (t *targetEvents) TargetChanged(n peer.TargetStatus) {
	c := t.control
	c.post(targetStatus{from: t.VM, status: n})
	// The count of links is read first: a link that opens meanwhile leads to another note.
	s := sentStatus{status: n, digest: *c.digest.Load(), linksOpened: t.hub.LinksOpened(), at: t.Now()}
	c.sentStatuses.sendIfNew(s, func() bool { return t.hub.Broadcast(peer.Frame{TargetStatus: &n}) })
}

// TargetCrashed implements disp.Events.
func (t *targetEvents) TargetCrashed(m peer.Crash) { t.control.post(localCrash{m}) }

// Succeeded implements disp.Events. Successes are gathered and passed on once per tick, because there is one for
// each reply.
func (t *targetEvents) Succeeded(fp uint64) { t.control.completed.add(fp, t.Now()) }

// Survived implements disp.Events.
func (t *targetEvents) Survived(id string, incarnation uint64) {
	t.control.post(crashRetraction{msg: peer.CrashRetraction{Target: id, Incarnation: incarnation}, local: true})
}

// completions gathers fingerprints that completed since the last tick. It is safe for concurrent use.
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

// Membership is for fleets whose VMs aren't published; here the published list names them.
func (p *peerEvents) Membership(string, peer.Membership) {}

// Pauses are not looked for on this path.
func (p *peerEvents) Pauses(string, peer.Pauses) {}

// Unlink needs no answer: the published list says which VMs are heard from.
func (p *peerEvents) Unlink(string) {}

// Departures implements peer.Handler; entry processes that dispatch learn of departures from TargetStatus messages.
func (p *peerEvents) Departures(string, peer.Departures) {}

// LinkOpened needs no answer: the control loop looks at Hub.LinksOpened.
func (p *peerEvents) LinkOpened(string) {}

// Sync is for fleets without a gossip of documents.
func (p *peerEvents) Sync(_ string, _ peer.Sync, reply func(peer.SyncReply)) {
	reply(peer.SyncReply{AgeMS: -1})
}
