package emul

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/netip"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"
)

// pipeBufferBytes is the number of bytes that one direction of a connection buffers before Write blocks.
const pipeBufferBytes = 1 << 20

// backlog is the number of connections that wait for Accept; beyond it Dial is refused.
const backlog = 1024

// Network is an in-memory network of listeners by address. Its connections buffer what is written, obey
// deadlines, and carry the faults of the Link they belong to. It starts no goroutine.
type Network struct {
	// Latency gives the one-way delay of a link that has none of its own; nil: none. Set before use.
	Latency func(from string, to netip.AddrPort) time.Duration

	mu        sync.Mutex
	listeners map[netip.AddrPort]*memListener
	links     map[linkKey]*Link
	blocked   func(from string, to netip.AddrPort) bool
	lastPort  uint16
	closed    chan struct{}
}

type linkKey struct {
	from string
	to   netip.AddrPort
}

// NewNetwork returns an empty network and the function that resets all its connections and closes its
// listeners.
func NewNetwork() (*Network, func()) {
	n := &Network{
		listeners: map[netip.AddrPort]*memListener{}, links: map[linkKey]*Link{}, lastPort: 20000,
		closed: make(chan struct{}),
	}
	return n, sync.OnceFunc(n.close)
}

func (n *Network) close() {
	close(n.closed)
	n.mu.Lock()
	listeners := n.listeners
	n.listeners = map[netip.AddrPort]*memListener{}
	links := slices.Collect(maps.Values(n.links))
	n.mu.Unlock()
	for _, l := range listeners {
		l.shutdown()
	}
	for _, l := range links {
		l.Reset()
	}
}

// Listen opens a listener. Port 0 picks a free port.
func (n *Network) Listen(addr netip.AddrPort) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for addr.Port() == 0 {
		n.lastPort++
		addr = netip.AddrPortFrom(addr.Addr(), n.lastPort)
	}
	if n.listeners[addr] != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Addr: net.TCPAddrFromAddrPort(addr), Err: syscall.EADDRINUSE}
	}
	l := &memListener{network: n, addr: addr, queue: make(chan *endpoint, backlog), closed: make(chan struct{})}
	n.listeners[addr] = l
	return l, nil
}

// Dialer returns a DialContext for the side with this name. Dialing takes one round trip.
func (n *Network) Dialer(from string) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, _, addr string) (net.Conn, error) {
		to, err := netip.ParseAddrPort(addr)
		if err != nil {
			return nil, fmt.Errorf("dial %s: %w", addr, err)
		}
		c, err := n.dial(ctx, from, to)
		if err != nil {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: net.TCPAddrFromAddrPort(to), Err: err}
		}
		return c, nil
	}
}

func (n *Network) dial(ctx context.Context, from string, to netip.AddrPort) (net.Conn, error) {
	link := n.Link(from, to)
	if n.dropsNewConns(link) {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-n.closed:
			return nil, net.ErrClosed
		}
	}
	delay := link.currentDelay()
	if !sleep(delay, ctx.Done()) {
		return nil, ctx.Err()
	}
	client, err := n.connect(link, to)
	if !sleep(delay, ctx.Done()) {
		if client != nil {
			_ = client.Close()
		}
		return nil, ctx.Err()
	}
	if err != nil {
		return nil, err
	}
	return client, nil
}

// connect makes a pair of ends and hands one to the listener.
func (n *Network) connect(link *Link, to netip.AddrPort) (*endpoint, error) {
	n.mu.Lock()
	l := n.listeners[to]
	n.lastPort++
	local := net.TCPAddrFromAddrPort(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 200, 0, 1}), n.lastPort))
	n.mu.Unlock()
	if l == nil || link.refusesConns() {
		return nil, syscall.ECONNREFUSED
	}
	up, down := newPipe(link, true), newPipe(link, false)
	remote := net.TCPAddrFromAddrPort(to)
	client := &endpoint{in: down, out: up, local: local, remote: remote, link: link}
	server := &endpoint{in: up, out: down, local: remote, remote: local, link: link}
	client.peer, server.peer = server, client
	link.add(client)
	if !l.enqueue(server) {
		client.reset()
		return nil, syscall.ECONNREFUSED
	}
	return client, nil
}

// dropsNewConns reports whether packets of a new connection get lost.
func (n *Network) dropsNewConns(link *Link) bool {
	n.mu.Lock()
	blocked := n.blocked != nil && n.blocked(link.from, link.to)
	n.mu.Unlock()
	link.mu.Lock()
	defer link.mu.Unlock()
	return blocked || link.dropNewConns
}

// Split makes every link for which blocked is true lose all bytes, of open connections and new ones alike,
// until Heal. Open connections stay silent after Heal, as bytes of the split are lost.
func (n *Network) Split(blocked func(from string, to netip.AddrPort) bool) {
	n.mu.Lock()
	n.blocked = blocked
	var affected []*Link
	for key, link := range n.links {
		if blocked(key.from, key.to) {
			affected = append(affected, link)
		}
	}
	n.mu.Unlock()
	for _, link := range affected {
		link.Silent(true)
	}
}

// Heal ends a Split.
func (n *Network) Heal() {
	n.mu.Lock()
	n.blocked = nil
	links := slices.Collect(maps.Values(n.links))
	n.mu.Unlock()
	for _, link := range links {
		link.Open()
	}
}

type memListener struct {
	network *Network
	addr    netip.AddrPort
	queue   chan *endpoint
	closed  chan struct{}
	once    sync.Once
}

func (l *memListener) enqueue(e *endpoint) bool {
	select {
	case <-l.closed:
		return false
	default:
	}
	select {
	case l.queue <- e:
		return true
	default:
		return false
	}
}

// Accept implements net.Listener.
func (l *memListener) Accept() (net.Conn, error) {
	select {
	case e := <-l.queue:
		return e, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. Connections that were not accepted are reset.
func (l *memListener) Close() error {
	l.network.mu.Lock()
	if l.network.listeners[l.addr] == l {
		delete(l.network.listeners, l.addr)
	}
	l.network.mu.Unlock()
	l.shutdown()
	return nil
}

func (l *memListener) shutdown() {
	l.once.Do(func() { close(l.closed) })
	for {
		select {
		case e := <-l.queue:
			e.reset()
		default:
			return
		}
	}
}

// Addr implements net.Listener.
func (l *memListener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.addr) }

func addrPort(a net.Addr) netip.AddrPort {
	tcp, ok := a.(*net.TCPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	ap := tcp.AddrPort()
	return netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port())
}

// endpoint is one end of a connection.
type endpoint struct {
	in, out       *pipe
	local, remote *net.TCPAddr
	link          *Link
	peer          *endpoint
	closed        bool // guarded by the lock of link
}

// Read implements net.Conn.
func (e *endpoint) Read(p []byte) (int, error) {
	n, err := e.in.read(p)
	return n, opError("read", e, err)
}

// Write implements net.Conn.
func (e *endpoint) Write(p []byte) (int, error) {
	n, err := e.out.write(p)
	return n, opError("write", e, err)
}

func opError(op string, e *endpoint, err error) error {
	if err == nil || errors.Is(err, io.EOF) {
		return err
	}
	return &net.OpError{Op: op, Net: "tcp", Source: e.local, Addr: e.remote, Err: err}
}

// Close implements net.Conn. The other side reads what was written before, then io.EOF.
func (e *endpoint) Close() error {
	e.out.closeWrite()
	e.in.closeRead()
	e.link.remove(e, false)
	return nil
}

// reset breaks both directions at once, and loses what was not read yet.
func (e *endpoint) reset() {
	e.in.fail(syscall.ECONNRESET)
	e.out.fail(syscall.ECONNRESET)
	e.link.remove(e, true)
}

// LocalAddr implements net.Conn.
func (e *endpoint) LocalAddr() net.Addr { return e.local }

// RemoteAddr implements net.Conn.
func (e *endpoint) RemoteAddr() net.Addr { return e.remote }

// SetDeadline implements net.Conn.
func (e *endpoint) SetDeadline(t time.Time) error {
	e.in.setReadDeadline(t)
	e.out.setWriteDeadline(t)
	return nil
}

// SetReadDeadline implements net.Conn.
func (e *endpoint) SetReadDeadline(t time.Time) error { e.in.setReadDeadline(t); return nil }

// SetWriteDeadline implements net.Conn.
func (e *endpoint) SetWriteDeadline(t time.Time) error { e.out.setWriteDeadline(t); return nil }

// chunk is a piece of data, or the end of the stream if data is nil, that arrives at a time.
type chunk struct {
	at   time.Time
	data []byte
}

// pipe is one direction of a connection.
type pipe struct {
	link *Link
	up   bool // from the dialing side to the listening side

	mu             sync.Mutex
	wake           chan struct{} // closed at every change
	queue          []chunk
	queuedBytes    int
	err            error // of both sides, after a reset
	writerClosed   bool  // the writer closed
	readerClosed   bool
	readerClosedAt time.Time // when the writer learns that the reader closed
	readDeadline   time.Time
	writeDeadline  time.Time
	silent, held   bool
	cutAfter       int // bytes until the connection is reset; -1: never
	passedBytes    int
}

func newPipe(link *Link, up bool) *pipe {
	link.mu.Lock()
	defer link.mu.Unlock()
	p := &pipe{link: link, up: up, wake: make(chan struct{}), cutAfter: -1, held: link.held[up]}
	if link.cutAfter > 0 && up == link.cutAfterUp {
		p.cutAfter = link.cutAfter
	}
	return p
}

// change runs f under the lock and wakes both sides.
func (p *pipe) change(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
	close(p.wake)
	p.wake = make(chan struct{})
}

func (p *pipe) fail(err error) {
	p.change(func() {
		if p.err == nil {
			p.err = err
		}
		p.queue, p.queuedBytes = nil, 0
	})
}

func (p *pipe) closeWrite() {
	at := time.Now().Add(p.link.currentDelay())
	p.change(func() {
		if p.writerClosed {
			return
		}
		p.writerClosed = true
		if !p.silent {
			p.queue = append(p.queue, chunk{at: p.arrivalTime(at)})
		}
	})
}

func (p *pipe) closeRead() {
	at := time.Now().Add(p.link.currentDelay())
	p.change(func() {
		if p.readerClosed {
			return
		}
		p.readerClosed = true
		p.readerClosedAt = at
		p.queue, p.queuedBytes = nil, 0
	})
}

// arrivalTime keeps the order of chunks when the delay of the link shrinks.
func (p *pipe) arrivalTime(at time.Time) time.Time {
	if n := len(p.queue); n > 0 && p.queue[n-1].at.After(at) {
		return p.queue[n-1].at
	}
	return at
}

func (p *pipe) setReadDeadline(t time.Time)  { p.change(func() { p.readDeadline = t }) }
func (p *pipe) setWriteDeadline(t time.Time) { p.change(func() { p.writeDeadline = t }) }

func (p *pipe) read(b []byte) (int, error) {
	for {
		n, until, wake, err := p.tryRead(b)
		if n > 0 || err != nil || len(b) == 0 {
			return n, err
		}
		waitForChange(wake, until)
	}
}

// tryRead returns data, an error, or the time at which to look again (zero: at the next change).
func (p *pipe) tryRead(b []byte) (n int, until time.Time, wake chan struct{}, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	switch {
	case p.readerClosed:
		return 0, until, nil, net.ErrClosed
	case p.err != nil:
		return 0, until, nil, p.err
	case !p.readDeadline.IsZero() && !now.Before(p.readDeadline):
		return 0, until, nil, os.ErrDeadlineExceeded
	}
	until = p.readDeadline
	if len(p.queue) > 0 && !p.held {
		head := &p.queue[0]
		if !now.Before(head.at) {
			if head.data == nil {
				return 0, until, nil, io.EOF
			}
			n = copy(b, head.data)
			head.data = head.data[n:]
			if len(head.data) == 0 {
				p.queue = p.queue[1:]
			}
			p.queuedBytes -= n
			close(p.wake)
			p.wake = make(chan struct{})
			return n, until, nil, nil
		}
		if until.IsZero() || head.at.Before(until) {
			until = head.at
		}
	}
	return 0, until, p.wake, nil
}

func waitForChange(wake chan struct{}, until time.Time) {
	if until.IsZero() {
		<-wake
		return
	}
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-wake:
	case <-timer.C:
	}
}

func (p *pipe) write(b []byte) (int, error) {
	written := 0
	for {
		n, until, wake, err := p.tryWrite(b[written:])
		written += n
		if err != nil {
			if errors.Is(err, errCutAfterReached) {
				p.link.Reset()
				err = syscall.ECONNRESET
			}
			return written, err
		}
		if written == len(b) {
			return written, nil
		}
		if n == 0 {
			waitForChange(wake, until)
		}
	}
}

var errCutAfterReached = errors.New("cut after the configured number of bytes")

func (p *pipe) tryWrite(b []byte) (n int, until time.Time, wake chan struct{}, err error) {
	at := time.Now().Add(p.link.currentDelay())
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	switch {
	case p.writerClosed:
		return 0, until, nil, net.ErrClosed
	case p.err != nil:
		return 0, until, nil, p.err
	case p.readerClosed && !p.silent && !now.Before(p.readerClosedAt):
		return 0, until, nil, syscall.EPIPE
	case !p.writeDeadline.IsZero() && !now.Before(p.writeDeadline):
		return 0, until, nil, os.ErrDeadlineExceeded
	case p.silent || p.readerClosed:
		return len(b), until, nil, nil
	}
	n = min(len(b), pipeBufferBytes-p.queuedBytes)
	if n == 0 {
		return 0, p.writeDeadline, p.wake, nil
	}
	if p.cutAfter >= 0 && p.passedBytes+n >= p.cutAfter {
		return 0, until, nil, errCutAfterReached
	}
	p.passedBytes += n
	p.queuedBytes += n
	p.queue = append(p.queue, chunk{at: p.arrivalTime(at), data: append([]byte{}, b[:n]...)})
	close(p.wake)
	p.wake = make(chan struct{})
	return n, until, nil, nil
}
