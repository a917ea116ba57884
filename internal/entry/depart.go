package entry

import (
	"net/http"
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/internal/peer"
	"github.com/fuchsiarelay/fuchsiarelay/internal/table"
)

// leavingValue is what the header of a target that leaves says.
const leavingValue = "1"

// departureUpdate is a target that says that it leaves.
type departureUpdate struct {
	departure table.Departure
	from      string // the peer that told; empty for none
}

// checkLeaving takes a target out if its own answer says that it leaves. The published entry may come later, or not at all.
func (e *Entry) checkLeaving(t *table.Target, h http.Header) {
	if h.Get(e.Names.Leaving) != leavingValue {
		return
	}
	e.pool.Drop(t.ID)
	if e.view.Load().Departs(t) {
		return
	}
	d := table.Departure{Target: t.ID, Started: t.Started}
	e.control.post(func(c *control, now time.Time) { c.applyDepartures(now, []table.Departure{d}, "") })
}

// applyDepartures takes targets out that leave by their own word, and passes on what is new.
func (c *control) applyDepartures(now time.Time, list []table.Departure, from string) {
	changed := false
	for _, d := range list {
		if !c.book.Depart(d) {
			continue
		}
		changed = true
		c.pendingDepartures = append(c.pendingDepartures, departureUpdate{d, from})
		c.entry.Log.Info("target says that it leaves", "target", d.Target, "started", d.Started, "told_by", from)
	}
	if changed {
		c.publish(now)
		c.scheduleStatements(now)
	}
}

// sendDepartures tells each peer what it did not tell itself.
func (c *control) sendDepartures() {
	for _, id := range c.entry.hub.Peers() {
		var out []table.Departure
		for _, d := range c.pendingDepartures {
			if d.from != id {
				out = append(out, d.departure)
			}
		}
		c.sendDeparturesTo(id, out)
	}
	c.pendingDepartures = nil
}

// sendAllDepartures tells a peer of all targets that leave, since it may have just started.
func (c *control) sendAllDepartures(id string) { c.sendDeparturesTo(id, c.book.Departures()) }

func (c *control) sendDeparturesTo(id string, list []table.Departure) {
	if len(list) == 0 {
		return
	}
	m := &peer.Departures{}
	for _, d := range list {
		m.Departures = append(m.Departures, peer.Departure{Target: d.Target, StartedMS: unixMilliseconds(d.Started)})
	}
	c.entry.hub.Tell(id, peer.Frame{Departures: m})
}

// Departures implements peer.Handler.
func (p *peerHandler) Departures(from string, m peer.Departures) {
	list := make([]table.Departure, len(m.Departures))
	for i, d := range m.Departures {
		list[i] = table.Departure{Target: d.Target}
		if d.StartedMS > 0 {
			list[i].Started = time.UnixMilli(d.StartedMS)
		}
	}
	p.entry.control.post(func(c *control, now time.Time) { c.applyDepartures(now, list, from) })
}

// unixMilliseconds returns Unix milliseconds; 0 for an unknown time.
func unixMilliseconds(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}
