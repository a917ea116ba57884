package entry

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"github.com/fuchsiarelay/fuchsiarelay/internal/pauses"
	"github.com/fuchsiarelay/fuchsiarelay/internal/peer"
)

const (
	// pauseReportsPerSecond and pauseReportBurst limit how many pauses a process reports to its peers. For comparison, the
	// pauses of 160 targets are learned from about 400 ends of pauses.
	pauseReportsPerSecond = 20
	pauseReportBurst      = 200
	// pauseReportDelay is how long pauses are collected before they are sent together. It is short compared with the periods
	// of pauses, which are seconds.
	pauseReportDelay = 250 * time.Millisecond
	// Up to maxFullMesh chosen processes all have links to each other, and each reports pauses directly to all others. If
	// there are more, each chosen process keeps chosenLinks links, and reports of pauses are passed on along these.
	maxFullMesh = 32
	chosenLinks = 8
)

func newPauseLimiter() *rate.Limiter { return rate.NewLimiter(pauseReportsPerSecond, pauseReportBurst) }

// pauseUpdate is a pause to report to peers.
type pauseUpdate struct {
	pause pauses.Pause
	from  string // the peer that reported it; empty for none
}

// Pauses implements peer.Handler.
func (p *peerHandler) Pauses(from string, m peer.Pauses) {
	p.entry.control.post(func(c *control, now time.Time) {
		e := c.entry
		e.mu.Lock()
		defer e.mu.Unlock()
		for _, received := range m.Pauses {
			pause := pauses.Pause{
				Target: received.Target, End: now.Add(-microseconds(received.EndAgeUS)), Length: microseconds(received.LengthUS), Period: microseconds(received.PeriodUS),
			}
			if e.predictor.RecordPeerPause(pause) && len(e.shares.Load().chosen) > maxFullMesh {
				c.queuePause(now, pauseUpdate{pause, from})
			}
		}
	})
}

func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// reportPause queues a pause that this process has observed or confirmed, to be reported to peers.
func (e *Entry) reportPause(pause pauses.Pause) {
	e.control.post(func(c *control, now time.Time) { c.queuePause(now, pauseUpdate{pause: pause}) })
}

// queuePause queues a pause to be reported to peers. A pause above the rate limit is dropped.
func (c *control) queuePause(now time.Time, p pauseUpdate) {
	if c.pauseLimiter.AllowN(now, 1) {
		if len(c.pendingPauses) == 0 {
			c.pausesDue = now.Add(pauseReportDelay)
		}
		c.pendingPauses = append(c.pendingPauses, p)
	}
}

// otherChosen returns the IDs of the other chosen processes. These send requests to targets, and so they need reports of
// pauses. If this process is chosen, it has a link to or from each of them, or only some of them if there are many.
func (c *control) otherChosen() []string {
	var out []string
	for _, addr := range c.entry.shares.Load().chosen {
		if id := netip.AddrPortFrom(addr.Addr(), c.entry.PeerAddr.Port()).String(); id != c.entry.PeerAddr.String() {
			out = append(out, id)
		}
	}
	return out
}

// chosenPeers returns the IDs of the chosen processes to which this process keeps links if it is chosen itself. With these
// links, reports of pauses reach all chosen processes without passing through other processes. In a full mesh, the process
// with the lower ID dials the link between two processes.
func (c *control) chosenPeers() []string {
	if !c.entry.shares.Load().selfChosen {
		return nil
	}
	self := c.entry.PeerAddr.String()
	others := c.otherChosen()
	if len(others) < maxFullMesh {
		return slices.DeleteFunc(others, func(id string) bool { return id < self })
	}
	slices.SortFunc(others, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(self+a), xxhash.Sum64String(self+b))
	})
	return others[:chosenLinks]
}

// sendPauses sends the waiting pauses to the other chosen processes, but not to the peer that reported a pause.
func (c *control) sendPauses(now time.Time) {
	if len(c.pendingPauses) == 0 || now.Before(c.pausesDue) {
		return
	}
	for _, id := range c.otherChosen() {
		var out []peer.Pause
		for _, p := range c.pendingPauses {
			if p.from != id {
				out = append(out, pauseMessage(now, p.pause))
			}
		}
		if len(out) > 0 {
			c.entry.hub.SendOnAnyLink(id, peer.Frame{Pauses: &peer.Pauses{Pauses: out}})
		}
	}
	c.pendingPauses = nil
}

// sendAllPauses sends all confirmed pauses to a peer if it is chosen, since the peer may have just started.
func (c *control) sendAllPauses(now time.Time, id string) {
	e := c.entry
	if !slices.Contains(c.otherChosen(), id) {
		return
	}
	e.mu.Lock()
	confirmed := e.predictor.ConfirmedPauses()
	e.mu.Unlock()
	out := make([]peer.Pause, 0, len(confirmed))
	for _, p := range confirmed {
		out = append(out, pauseMessage(now, p))
	}
	if len(out) > 0 {
		e.hub.SendOnAnyLink(id, peer.Frame{Pauses: &peer.Pauses{Pauses: out}})
	}
}

func pauseMessage(now time.Time, p pauses.Pause) peer.Pause {
	return peer.Pause{
		Target: p.Target, EndAgeUS: now.Sub(p.End).Microseconds(), LengthUS: p.Length.Microseconds(), PeriodUS: p.Period.Microseconds(),
	}
}
