package entry

import (
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/internal/peer"
)

// peerEvents takes the messages of other entry processes.
type peerEvents struct {
	peer.Ignore
	entry *Entry
}

// Opened implements peer.Handler: each side says what it knows, so that the other can send what is missing.
func (p *peerEvents) Opened(id string) {
	p.entry.control.post(func(c *control, now time.Time) {
		c.sign(now, now, id)
		if c.crew.Settled(now) {
			c.crew.Fresh(now, id)
		} else {
			c.tellSummary(id)
		}
		c.tellPauses(now, id)
		c.tellDepartures(id)
		c.tellCrashes(now, id)
	})
}

// tellSummary tells a peer which statements are known here; it answers with those that it knows better.
func (c *control) tellSummary(id string) {
	c.entry.hub.Tell(id, peer.Frame{Crew: &peer.Crew{Summary: c.crew.Summary()}})
}

// Ping implements peer.Handler. A ping is a sign of life as well.
func (p *peerEvents) Ping(from string, m peer.Ping) peer.Pong {
	e := p.entry
	e.control.post(func(c *control, now time.Time) { c.sign(now, now, from) })
	return peer.Pong{Seq: m.Seq, EvidenceAgeMS: -1, Incarnation: e.incarnation, Leaving: e.stopping.Load(), AsOf: e.asOf.Load(), Crew: e.crewDigest.Load()}
}

// Pong implements peer.Handler.
func (p *peerEvents) Pong(from string, sent time.Time, m peer.Pong) {
	p.entry.control.post(func(c *control, now time.Time) {
		// The sign of life is as old as the ping: a pong may have waited in a buffer.
		c.sign(now, sent, from)
		c.compare(now, from, m.AsOf)
		if c.crew.Differs(now, from, m.Crew) {
			c.tellSummary(from)
		}
	})
}

// Unlinked implements peer.Handler.
func (p *peerEvents) Unlinked(from string) {
	p.entry.control.post(func(c *control, _ time.Time) { c.crew.Released(from) })
}

// Crew implements peer.Handler.
func (p *peerEvents) Crew(from string, m peer.Crew) {
	p.entry.control.post(func(c *control, now time.Time) {
		if len(m.Summary) > 0 {
			if newer := c.crew.Newer(m.Summary); len(newer) > 0 {
				p.entry.hub.Tell(from, peer.Frame{Crew: &peer.Crew{Statements: newer}})
			}
			if c.crew.Lacks(m.Summary) {
				c.tellSummary(from)
			}
		}
		if len(m.Statements) > 0 {
			c.crew.Take(now, from, m.Statements)
			c.newsSoon(now)
		}
	})
}

// Sync implements peer.Handler.
func (p *peerEvents) Sync(_ string, s peer.Sync, reply func(peer.SyncReply)) {
	p.entry.control.post(func(c *control, now time.Time) {
		wait := min(time.Duration(s.WaitMS)*time.Millisecond, syncWait)
		c.waiting = append(c.waiting, waitingSync{after: s.After, until: now.Add(wait), reply: reply})
		c.answerSyncs(now)
	})
}
