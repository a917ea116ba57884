package entry

import (
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/internal/peer"
)

// peerHandler handles the messages of other entry processes.
type peerHandler struct {
	peer.NopHandler
	entry *Entry
}

// LinkOpened implements peer.Handler. When a link opens, this process sends the pauses, departures and crash reports that the
// peer may lack. Until it is settled, it also sends a summary of its statements; a settled process first waits for a pong
// whose digest differs.
func (p *peerHandler) LinkOpened(id string) {
	p.entry.control.post(func(c *control, now time.Time) {
		c.recordAlive(now, now, id)
		if c.roster.Settled(now) {
			c.roster.RecordLinkOpened(now, id)
		} else {
			c.sendSummary(id)
		}
		c.sendAllPauses(now, id)
		c.sendAllDepartures(id)
		c.sendCrashState(now, id)
	})
}

// sendSummary tells a peer which statements this process knows. The peer answers with the statements that are missing from
// the summary or older in it.
func (c *control) sendSummary(id string) {
	c.entry.hub.SendOnAnyLink(id, peer.Frame{Membership: &peer.Membership{Summary: c.roster.Summary()}})
}

// Ping implements peer.Handler. A ping also shows that the peer is alive.
func (p *peerHandler) Ping(from string, m peer.Ping) peer.Pong {
	e := p.entry
	e.control.post(func(c *control, now time.Time) { c.recordAlive(now, now, from) })
	return peer.Pong{Seq: m.Seq, EvidenceAgeMS: -1, Incarnation: e.incarnation, Stopping: e.stopping.Load(), AsOf: e.asOf.Load(), MembershipDigest: e.statementsDigest.Load()}
}

// Pong implements peer.Handler.
func (p *peerHandler) Pong(from string, sent time.Time, m peer.Pong) {
	p.entry.control.post(func(c *control, now time.Time) {
		// The pong only shows that the peer was alive when the ping was sent, since the pong may have waited in a buffer.
		c.recordAlive(now, sent, from)
		c.syncIfBehind(now, from, m.AsOf)
		if c.roster.NeedsSummary(now, from, m.MembershipDigest) {
			c.sendSummary(from)
		}
	})
}

// Unlink implements peer.Handler.
func (p *peerHandler) Unlink(from string) {
	p.entry.control.post(func(c *control, _ time.Time) { c.roster.RecordLinkClosed(from) })
}

// Membership implements peer.Handler.
func (p *peerHandler) Membership(from string, m peer.Membership) {
	p.entry.control.post(func(c *control, now time.Time) {
		if len(m.Summary) > 0 {
			if newer := c.roster.NewerStatements(m.Summary); len(newer) > 0 {
				p.entry.hub.SendOnAnyLink(from, peer.Frame{Membership: &peer.Membership{Statements: newer}})
			}
			if c.roster.HasNewer(m.Summary) {
				c.sendSummary(from)
			}
		}
		if len(m.Statements) > 0 {
			c.roster.MergeStatements(now, from, m.Statements)
			c.scheduleStatements(now)
		}
	})
}

// Sync implements peer.Handler.
func (p *peerHandler) Sync(_ string, s peer.SyncRequest, reply func(peer.SyncReply)) {
	p.entry.control.post(func(c *control, now time.Time) {
		wait := min(time.Duration(s.WaitMS)*time.Millisecond, syncWait)
		c.pendingSyncs = append(c.pendingSyncs, pendingSync{after: s.After, until: now.Add(wait), reply: reply})
		c.answerSyncs(now)
	})
}
