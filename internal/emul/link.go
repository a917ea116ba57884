package emul

import (
	"net/netip"
	"sync"
	"time"
)

// Side names the writer of a direction of a link.
type Side bool

// Sides of a link.
const (
	DialSide   Side = true  // from the side that dials to the listener
	ListenSide Side = false // from the listener to the side that dials
)

// Link is what lies between a dialing side and an address. Its faults apply to all connections that the
// side opens to the address; connections in the other direction belong to another Link.
type Link struct {
	from string
	to   netip.AddrPort

	mu           sync.Mutex
	endpoints    map[*endpoint]bool // of the dialing side
	delay        time.Duration
	cut          bool
	dropNewConns bool
	held         map[bool]bool // by direction, up is true
	cutAfter     int
	cutAfterUp   bool
}

// Link returns the link, which exists once it is asked for.
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

func (l *Link) add(e *endpoint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endpoints[e] = true
}

// remove drops the connection once both sides have closed it or one has broken it. Until then Reset must
// reach the side that doesn't know yet.
func (l *Link) remove(e *endpoint, broken bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.closed = true
	if broken || e.peer.closed {
		delete(l.endpoints, e)
		delete(l.endpoints, e.peer)
	}
}

func (l *Link) currentDelay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.delay
}

func (l *Link) refusesConns() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

func (l *Link) openEndpoints() []*endpoint {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]*endpoint, 0, len(l.endpoints))
	for e := range l.endpoints {
		out = append(out, e)
	}
	return out
}

// Conns is the number of connections that the dialing side has open.
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

// Reset resets all connections; new ones work.
func (l *Link) Reset() {
	for _, e := range l.openEndpoints() {
		e.reset()
	}
}

// Cut resets all connections and refuses new ones until Open.
func (l *Link) Cut() {
	l.mu.Lock()
	l.cut = true
	l.mu.Unlock()
	l.Reset()
}

// Silent makes all open connections lose every byte from now on, for good, with no error on either side.
// With alsoNew, attempts to connect wait until their context ends, until Open; without it new ones work.
func (l *Link) Silent(alsoNew bool) {
	l.mu.Lock()
	l.dropNewConns = alsoNew
	l.mu.Unlock()
	for _, e := range l.openEndpoints() {
		for _, p := range []*pipe{e.in, e.out} {
			p.change(func() {
				p.silent = true
				p.queue, p.queuedBytes = nil, 0
			})
		}
	}
}

// Open ends Cut, Silent and CutAfter for new connections.
func (l *Link) Open() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = false
	l.dropNewConns = false
	l.cutAfter = 0
}

// Delay sets the one-way delay of bytes that are written from now on.
func (l *Link) Delay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// CutAfter resets the link once the side has written n bytes on a connection, counted from now on for open
// connections and from the start for new ones. The write that reaches n is not delivered.
func (l *Link) CutAfter(side Side, n int) {
	l.mu.Lock()
	l.cutAfter, l.cutAfterUp = n, bool(side)
	l.mu.Unlock()
	for _, p := range l.pipes(side) {
		p.change(func() { p.cutAfter, p.passedBytes = n, 0 })
	}
}

// Hold keeps back what the side writes until Release, which delivers it all. Writing goes on meanwhile.
func (l *Link) Hold(side Side) { l.setHeld(side, true) }

// Release ends Hold.
func (l *Link) Release(side Side) { l.setHeld(side, false) }

func (l *Link) setHeld(side Side, on bool) {
	l.mu.Lock()
	l.held[bool(side)] = on
	l.mu.Unlock()
	for _, p := range l.pipes(side) {
		p.change(func() { p.held = on })
	}
}

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
