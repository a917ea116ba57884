package emul

import (
	"net/netip"
	"sync"
	"time"
)

// Side selects one direction of a link by the side that writes.
type Side bool

// Sides of a link.
const (
	DialSide   Side = true  // bytes that the dialing side writes
	ListenSide Side = false // bytes that the listening side writes
)

// Link is the network path from a dialing side to an address. Its faults apply to all connections that this side opens to
// the address; connections that are opened in the other direction belong to another Link.
type Link struct {
	from string
	to   netip.AddrPort

	mu                  sync.Mutex
	endpoints           map[*endpoint]bool // endpoints of the dialing side
	delay               time.Duration      // one way
	refusesNewConns     bool               // attempts to connect are refused
	dropNewConns        bool               // attempts to connect get no answer
	held                map[bool]bool      // whether Hold is in force, by the Side that writes
	resetAfter          int                // bytes after which new connections reset the link; 0: never
	resetCountsDialSide bool               // resetAfter counts bytes that the dialing side writes; false: the listening side
}

// Link returns the link from the dialing side to the address. The first call creates the link.
func (n *Network) Link(from string, to netip.AddrPort) *Link {
	n.mu.Lock()
	defer n.mu.Unlock()
	key := linkKey{from: from, to: to}
	l := n.links[key]
	if l == nil {
		l = &Link{from: from, to: to, endpoints: map[*endpoint]bool{}, held: map[bool]bool{}}
		if n.Latency != nil {
			l.delay = n.Latency(from, to)
		}
		n.links[key] = l
	}
	return l
}

// add registers a new connection by the endpoint of its dialing side.
func (l *Link) add(e *endpoint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endpoints[e] = true
}

// remove records that the endpoint is closed. It removes the connection from the link if both endpoints are closed or broken
// is true. A connection that only one side has closed stays registered, so that Reset still reaches the other side.
func (l *Link) remove(e *endpoint, broken bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.closed = true
	if broken || e.peer.closed {
		delete(l.endpoints, e)
		delete(l.endpoints, e.peer)
	}
}

// currentDelay returns the one-way delay of bytes that are written now.
func (l *Link) currentDelay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.delay
}

// refusesConns reports whether the link refuses new connections because of ResetAndRefuse.
func (l *Link) refusesConns() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refusesNewConns
}

// openEndpoints returns the endpoints of the dialing side whose connection is still registered.
func (l *Link) openEndpoints() []*endpoint {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]*endpoint, 0, len(l.endpoints))
	for e := range l.endpoints {
		out = append(out, e)
	}
	return out
}

// Conns returns the number of connections that the dialing side has open.
func (l *Link) Conns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for e := range l.endpoints {
		if !e.closed {
			n++
		}
	}
	return n
}

// Reset resets all connections of the link. New connections work.
func (l *Link) Reset() {
	for _, e := range l.openEndpoints() {
		e.reset()
	}
}

// ResetAndRefuse resets all connections of the link and refuses new ones until Restore is called.
func (l *Link) ResetAndRefuse() {
	l.mu.Lock()
	l.refusesNewConns = true
	l.mu.Unlock()
	l.Reset()
}

// DropBytes makes all open connections lose every byte from now on, for the rest of their life and without an error on
// either side. With alsoNew, attempts to connect block until their context ends or the network is closed; this lasts until
// Restore is called. Without alsoNew, new connections work.
func (l *Link) DropBytes(alsoNew bool) {
	l.mu.Lock()
	l.dropNewConns = alsoNew
	l.mu.Unlock()
	for _, e := range l.openEndpoints() {
		for _, p := range []*pipe{e.in, e.out} {
			p.change(func() {
				p.dropsBytes = true
				p.queue, p.queuedBytes = nil, 0
			})
		}
	}
}

// Restore ends ResetAndRefuse, DropBytes and SetResetAfter for new connections. Connections that DropBytes or SetResetAfter
// affects already stay affected.
func (l *Link) Restore() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refusesNewConns = false
	l.dropNewConns = false
	l.resetAfter = 0
}

// SetDelay sets the one-way delay of bytes that are written from now on.
func (l *Link) SetDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// SetResetAfter resets all connections of the link once the side has written n bytes on one of them. Bytes are counted from
// now on for open connections, and from the start for new connections. The write that reaches n is not delivered.
func (l *Link) SetResetAfter(side Side, n int) {
	l.mu.Lock()
	l.resetAfter, l.resetCountsDialSide = n, bool(side)
	l.mu.Unlock()
	for _, p := range l.pipes(side) {
		p.change(func() { p.resetAfter, p.countedBytes = n, 0 })
	}
}

// Hold delays the delivery of everything that the side writes until Release. Writes still succeed meanwhile.
func (l *Link) Hold(side Side) { l.setHeld(side, true) }

// Release ends Hold and delivers the delayed bytes.
func (l *Link) Release(side Side) { l.setHeld(side, false) }

// setHeld sets or ends Hold for open and new connections.
func (l *Link) setHeld(side Side, on bool) {
	l.mu.Lock()
	l.held[bool(side)] = on
	l.mu.Unlock()
	for _, p := range l.pipes(side) {
		p.change(func() { p.held = on })
	}
}

// pipes returns the pipes of all open connections that carry what the side writes.
func (l *Link) pipes(side Side) []*pipe {
	var out []*pipe
	for _, e := range l.openEndpoints() {
		if side == DialSide {
			out = append(out, e.out)
		} else {
			out = append(out, e.in)
		}
	}
	return out
}
