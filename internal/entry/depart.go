package entry

import (
	"net/http"
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/internal/peer"
	"github.com/fuchsiarelay/fuchsiarelay/internal/table"
)

// leavingValue is the value of the header HeaderNames.Leaving in the replies of a target that is leaving.
const leavingValue = "1"

// departureUpdate is a departure of a target to report to peers.
type departureUpdate struct {
	departure table.Departure
	from      string // the peer that reported it; empty for none
}

// handleLeavingHeader takes a target out of use if the headers h of its reply say that the target is leaving. The change of
// the target's published document may arrive later, or not at all.
func (e *Entry) handleLeavingHeader(t *table.Target, h http.Header) {
	if h.Get(e.Names.Leaving) != leavingValue {
		return
	}
	e.pool.CloseIdle(t.ID)
	if e.view.Load().HasDeparted(t) {
		return
	}
	d := table.Departure{Target: t.ID, Started: t.Started}
	e.control.post(func(c *control, now time.Time) { c.applyDepartures(now, []table.Departure{d}, "") })
}

// applyDepartures takes targets out of use that have announced that they leave, and queues the departures that were new
// to this process to be reported to peers. The peer from has reported them; from is empty if this process has found them.
func (c *control) applyDepartures(now time.Time, list []table.Departure, from string) {
	changed := false
	for _, d := range list {
		if !c.table.RecordDeparture(d) {
			continue
		}
		changed = true
		c.pendingDepartures = append(c.pendingDepartures, departureUpdate{d, from})
		c.entry.Log.Info("target announced that it is leaving", "target", d.Target, "started", d.Started, "told_by", from)
	}
	if changed {
		c.publish(now)
		c.scheduleStatements(now)
	}
}

// sendDepartures sends each peer the waiting departures that the peer did not report itself.
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

// sendAllDepartures sends a peer all known departures, since the peer may have just started.
func (c *control) sendAllDepartures(id string) { c.sendDeparturesTo(id, c.table.Departures()) }

func (c *control) sendDeparturesTo(id string, list []table.Departure) {
	if len(list) == 0 {
		return
	}
	m := &peer.Departures{}
	for _, d := range list {
		m.Departures = append(m.Departures, peer.Departure{Target: d.Target, StartedMS: unixMilliseconds(d.Started)})
	}
	c.entry.hub.SendOnAnyLink(id, peer.Frame{Departures: m})
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

// unixMilliseconds returns a time in Unix milliseconds; 0 for the zero time, which stands for an unknown time.
func unixMilliseconds(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}
