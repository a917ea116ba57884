package entry

import (
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/internal/crew"
	"github.com/fuchsiarelay/fuchsiarelay/internal/peer"
)

// peerEvents takes the messages of other entry processes.
type peerEvents struct {
	peer.Ignore
	entry *Entry
}

// Ping implements peer.Handler. A process that pings is known from then on.
func (p *peerEvents) Ping(from string, m peer.Ping) peer.Pong {
	e := p.entry
	e.control.post(func(c *control, now time.Time) {
		if c.crew.Heard(now, []string{from}) {
			e.Log.Info("entry process found", "vm", from, "by", "ping")
			c.link(now)
		}
	})
	return peer.Pong{Seq: m.Seq, EvidenceAgeMS: -1, Incarnation: e.incarnation, Ready: e.ready.Load(), Leaving: e.stopping.Load()}
}

// Pong implements peer.Handler.
func (p *peerEvents) Pong(from string, sent time.Time, m peer.Pong) {
	p.entry.control.post(func(c *control, now time.Time) {
		// The sign of life is as old as the ping: a pong may have waited in a buffer.
		if c.crew.Pong(sent, from, crew.Sign{Incarnation: m.Incarnation, Ready: m.Ready, Leaving: m.Leaving}) {
			c.publishAddresses(now)
		}
	})
}

// Leaving implements peer.Handler.
func (p *peerEvents) Leaving(from string, _ peer.Leaving) {
	p.entry.control.post(func(c *control, now time.Time) {
		c.crew.Leaving(from)
		c.publishAddresses(now)
	})
}

// Members implements peer.Handler.
func (p *peerEvents) Members(from string, m peer.Members) {
	p.entry.control.post(func(c *control, now time.Time) {
		if c.crew.Heard(now, m.VMs) {
			p.entry.Log.Info("entry processes found", "by", from, "known", len(c.crew.Peers(now)))
			c.link(now)
		}
	})
}

// Sync implements peer.Handler.
func (p *peerEvents) Sync(_ string, s peer.Sync, reply func(peer.SyncReply)) {
	p.entry.control.post(func(c *control, now time.Time) {
		wait := min(time.Duration(s.WaitMS)*time.Millisecond, watchWait)
		c.waiting = append(c.waiting, waitingSync{after: s.After, until: now.Add(wait), reply: reply})
		c.answerSyncs(now)
	})
}
