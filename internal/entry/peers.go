package entry

import (
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/internal/peer"
)

// peerHandler handles the messages of other entry processes.
type peerHandler struct {
	peer.Ignore
	entry *Entry
}

// Opened implements peer.Handler. When a link opens, each side sends what it knows, so that the other side can send what is
// missing.
func (p *peerHandler) Opened(id string) {
	p.entry.control.post(func(c *control, now time.Time) {
		c.recordSignOfLife(now, now, id)
		if c.crew.Settled(now) {
			c.crew.Fresh(now, id)
		} else {
			c.sendSummary(id)
		}
		c.sendAllPauses(now, id)
		c.sendAllDepartures(id)
		c.sendCrashState(now, id)
	})
}

// sendSummary tells a peer which statements are known here. The peer answers with the statements of which it has newer
// versions.
func (c *control) sendSummary(id string) {
	c.entry.hub.Tell(id, peer.Frame{Crew: &peer.Crew{Summary: c.crew.Summary()}})
}

// Ping implements peer.Handler. A ping is also a sign of life.
func (p *peerHandler) Ping(from string, m peer.Ping) peer.Pong {
	e := p.entry
	e.control.post(func(c *control, now time.Time) { c.recordSignOfLife(now, now, from) })
	return peer.Pong{Seq: m.Seq, EvidenceAgeMS: -1, Incarnation: e.incarnation, Leaving: e.stopping.Load(), AsOf: e.asOf.Load(), Crew: e.statementsDigest.Load()}
}

// Pong implements peer.Handler.
func (p *peerHandler) Pong(from string, sent time.Time, m peer.Pong) {
	p.entry.control.post(func(c *control, now time.Time) {
		// The sign of life dates from when the ping was sent, since the pong may have waited in a buffer.
		c.recordSignOfLife(now, sent, from)
		c.compareRevision(now, from, m.AsOf)
		if c.crew.Differs(now, from, m.Crew) {
			c.sendSummary(from)
		}
	})
}

// Unlinked implements peer.Handler.
func (p *peerHandler) Unlinked(from string) {
	p.entry.control.post(func(c *control, _ time.Time) { c.crew.Released(from) })
}

// Crew implements peer.Handler.
func (p *peerHandler) Crew(from string, m peer.Crew) {
	p.entry.control.post(func(c *control, now time.Time) {
		if len(m.Summary) > 0 {
			if newer := c.crew.Newer(m.Summary); len(newer) > 0 {
				p.entry.hub.Tell(from, peer.Frame{Crew: &peer.Crew{Statements: newer}})
			}
			if c.crew.Lacks(m.Summary) {
				c.sendSummary(from)
			}
		}
		if len(m.Statements) > 0 {
			c.crew.Take(now, from, m.Statements)
			c.scheduleStatements(now)
		}
	})
}

// Sync implements peer.Handler.
func (p *peerHandler) Sync(_ string, s peer.Sync, reply func(peer.SyncReply)) {
	p.entry.control.post(func(c *control, now time.Time) {
		wait := min(time.Duration(s.WaitMS)*time.Millisecond, syncWait)
		c.pendingSyncs = append(c.pendingSyncs, pendingSync{after: s.After, until: now.Add(wait), reply: reply})
		c.answerSyncs(now)
	})
}
