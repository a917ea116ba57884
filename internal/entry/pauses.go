package entry

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"github.com/fuchsiarelay/fuchsiarelay/internal/peer"
	"github.com/fuchsiarelay/fuchsiarelay/internal/rhythm"
)

const (
	// pausesPerSecond and pausesAtOnce bound what a process says of pauses. The pauses of 160 targets are learnt from about
	// 400 ends.
	pausesPerSecond = 20
	pausesAtOnce    = 200
	// pausesDelay collects pauses on their way. It is a fraction of the periods, which are seconds.
	pausesDelay = 250 * time.Millisecond
	// namedMesh is the number of named processes up to which each has a link to all others, and tells them itself. In a
	// larger lineup, news of pauses are passed on along namedLinks of each.
	namedMesh  = 32
	namedLinks = 8
)

func newPauseRate() *rate.Limiter { return rate.NewLimiter(pausesPerSecond, pausesAtOnce) }

// pauseNews is a pause to tell peers of.
type pauseNews struct {
	pause rhythm.Pause
	from  string // the peer that told; empty for none
}

// Pauses implements peer.Handler.
func (p *peerEvents) Pauses(from string, m peer.Pauses) {
	p.entry.control.post(func(c *control, now time.Time) {
		e := c.entry
		e.mu.Lock()
		defer e.mu.Unlock()
		for _, x := range m.Pauses {
			pause := rhythm.Pause{
				Target: x.Target, End: now.Add(-microseconds(x.EndAgeUS)), Length: microseconds(x.LengthUS), Period: microseconds(x.PeriodUS),
			}
			if e.rhythm.Heard(pause) && len(e.limits.Load().chosen) > namedMesh {
				c.tellOfPause(now, pauseNews{pause, from})
			}
		}
	})
}

func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// sawPause tells peers of a pause that this process has seen.
func (e *Entry) sawPause(pause rhythm.Pause) {
	e.control.post(func(c *control, now time.Time) { c.tellOfPause(now, pauseNews{pause: pause}) })
}

func (c *control) tellOfPause(now time.Time, p pauseNews) {
	if c.pauseRate.AllowN(now, 1) {
		if len(c.pauses) == 0 {
			c.pausesAt = now.Add(pausesDelay)
		}
		c.pauses = append(c.pauses, p)
	}
}

// interested returns the other processes that callers are told of. They use the targets, and are told of pauses; this
// process has a link to or from each of them, or to some in a large lineup.
func (c *control) interested() []string {
	var out []string
	for _, addr := range c.entry.limits.Load().chosen {
		if id := netip.AddrPortFrom(addr.Addr(), c.entry.Self.Port()).String(); id != c.entry.Self.String() {
			out = append(out, id)
		}
	}
	return out
}

// namedPeers returns the links that a named process keeps to others, so that pauses are known to all that use the targets
// without passing through those that don't. Of two, the one with the lower ID dials.
func (c *control) namedPeers() []string {
	if !c.entry.limits.Load().named {
		return nil
	}
	self := c.entry.Self.String()
	others := c.interested()
	if len(others) < namedMesh {
		return slices.DeleteFunc(others, func(id string) bool { return id < self })
	}
	slices.SortFunc(others, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(self+a), xxhash.Sum64String(self+b))
	})
	return others[:namedLinks]
}

// sendPauses tells each process that uses targets what it did not tell itself.
func (c *control) sendPauses(now time.Time) {
	if len(c.pauses) == 0 || now.Before(c.pausesAt) {
		return
	}
	for _, id := range c.interested() {
		var out []peer.Pause
		for _, p := range c.pauses {
			if p.from != id {
				out = append(out, wirePause(now, p.pause))
			}
		}
		if len(out) > 0 {
			c.entry.hub.Tell(id, peer.Frame{Pauses: &peer.Pauses{Pauses: out}})
		}
	}
	c.pauses = nil
}

// tellPauses tells a peer that uses targets all confirmed pauses, since it may have just started.
func (c *control) tellPauses(now time.Time, id string) {
	e := c.entry
	if !slices.Contains(c.interested(), id) {
		return
	}
	e.mu.Lock()
	known := e.rhythm.Known()
	e.mu.Unlock()
	out := make([]peer.Pause, 0, len(known))
	for _, p := range known {
		out = append(out, wirePause(now, p))
	}
	if len(out) > 0 {
		e.hub.Tell(id, peer.Frame{Pauses: &peer.Pauses{Pauses: out}})
	}
}

func wirePause(now time.Time, p rhythm.Pause) peer.Pause {
	return peer.Pause{
		Target: p.Target, EndAgeUS: now.Sub(p.End).Microseconds(), LengthUS: p.Length.Microseconds(), PeriodUS: p.Period.Microseconds(),
	}
}
