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

// pipeBufferBytes is the number of bytes that each direction of a connection buffers before Write blocks.
const pipeBufferBytes = 1 << 20

// backlog is the number of connections that a listener queues for Accept. When the queue is full, attempts to connect are
// refused.
const backlog = 1024

// Network is an in-memory network. Its connections buffer what is written, obey deadlines, and show the faults that are set
// on their Link. The network starts no goroutine.
type Network struct {
	// Latency returns the initial one-way delay of a link. If Latency is nil, links start without a delay. The field is set
	// before the network is used.
	Latency func(from string, to netip.AddrPort) time.Duration

	mu        sync.Mutex
	listeners map[netip.AddrPort]*memListener
	links     map[linkKey]*Link
	blocked   func(from string, to netip.AddrPort) bool // set by BlockLinks
	lastPort  uint16                                    // last port number chosen by Listen or connect
	closed    chan struct{}
}

// linkKey identifies a link by its dialing side and its address.
type linkKey struct {
	from string
	to   netip.AddrPort
}

// NewNetwork returns a network without listeners, and a function that resets all connections and closes all listeners.
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

// Listen opens a listener on the address. With port 0, Listen chooses the next port number.
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

// Dialer returns a function for http.Transport.DialContext that dials from the side with this name. Dialing takes one round
// trip.
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

// dial opens a connection, which takes one round trip. If the network drops new connections of the link, dial blocks until
// ctx ends or the network is closed.
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

// connect creates both endpoints of a connection, queues one at the listener and returns the other.
func (n *Network) connect(link *Link, to netip.AddrPort) (*endpoint, error) {
	n.mu.Lock()
	l := n.listeners[to]
	n.lastPort++
	local := net.TCPAddrFromAddrPort(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 200, 0, 1}), n.lastPort))
	n.mu.Unlock()
	if l == nil || link.refusesConns() {
		return nil, syscall.ECONNREFUSED
	}
	fromDialSide, fromListenSide := newPipe(link, true), newPipe(link, false)
	remote := net.TCPAddrFromAddrPort(to)
	client := &endpoint{in: fromListenSide, out: fromDialSide, local: local, remote: remote, link: link}
	server := &endpoint{in: fromDialSide, out: fromListenSide, local: remote, remote: local, link: link}
	client.peer, server.peer = server, client
	link.add(client)
	if !l.enqueue(server) {
		client.reset()
		return nil, syscall.ECONNREFUSED
	}
	return client, nil
}

// dropsNewConns reports whether an attempt to connect over the link gets no answer, because of BlockLinks or Link.DropBytes.
func (n *Network) dropsNewConns(link *Link) bool {
	n.mu.Lock()
	blocked := n.blocked != nil && n.blocked(link.from, link.to)
	n.mu.Unlock()
	link.mu.Lock()
	defer link.mu.Unlock()
	return blocked || link.dropNewConns
}

// BlockLinks simulates a network partition: every link for which blocked returns true loses all bytes of open connections,
// and attempts to connect get no answer, until UnblockLinks. Connections that were open while the links were blocked lose
// all bytes after UnblockLinks too, since the bytes sent while the links were blocked are missing from their streams.
func (n *Network) BlockLinks(blocked func(from string, to netip.AddrPort) bool) {
	n.mu.Lock()
	n.blocked = blocked
	var affectedLinks []*Link
	for key, link := range n.links {
		if blocked(key.from, key.to) {
			affectedLinks = append(affectedLinks, link)
		}
	}
	n.mu.Unlock()
	for _, link := range affectedLinks {
		link.DropBytes(true)
	}
}

// UnblockLinks ends BlockLinks, and calls Link.Restore on all links.
func (n *Network) UnblockLinks() {
	n.mu.Lock()
	n.blocked = nil
	links := slices.Collect(maps.Values(n.links))
	n.mu.Unlock()
	for _, link := range links {
		link.Restore()
	}
}

// memListener is a listener of a Network.
type memListener struct {
	network *Network
	addr    netip.AddrPort
	queue   chan *endpoint
	closed  chan struct{}
	once    sync.Once
}

// enqueue queues a connection for Accept. It returns false if the listener is closed or the queue is full.
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

// Close implements net.Listener. Connections that have not been accepted are reset.
func (l *memListener) Close() error {
	l.network.mu.Lock()
	if l.network.listeners[l.addr] == l {
		delete(l.network.listeners, l.addr)
	}
	l.network.mu.Unlock()
	l.shutdown()
	return nil
}

// shutdown makes Accept fail and resets the queued connections.
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

// addrPort converts the address of a TCP listener, with an IPv4-mapped IPv6 address as IPv4.
func addrPort(a net.Addr) netip.AddrPort {
	tcp, ok := a.(*net.TCPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	ap := tcp.AddrPort()
	return netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port())
}

// endpoint is one end of a connection. It implements net.Conn.
type endpoint struct {
	in, out       *pipe
	local, remote *net.TCPAddr
	link          *Link
	peer          *endpoint
	closed        bool // guarded by link.mu
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

// opError wraps an error in a net.OpError as the net package does. It returns nil and io.EOF unchanged.
func opError(op string, e *endpoint, err error) error {
	if err == nil || errors.Is(err, io.EOF) {
		return err
	}
	return &net.OpError{Op: op, Net: "tcp", Source: e.local, Addr: e.remote, Err: err}
}

// Close implements net.Conn. The other side reads what was written before Close, then io.EOF.
func (e *endpoint) Close() error {
	e.out.closeWrite()
	e.in.closeRead()
	e.link.remove(e, false)
	return nil
}

// reset breaks both directions at once and discards the bytes that have not been read.
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

// chunk is a piece of data that the reader may read from arrivesAt on. If data is nil, the chunk marks the end of the stream.
type chunk struct {
	arrivesAt time.Time
	data      []byte
}

// pipe is one direction of a connection.
type pipe struct {
	link         *Link
	fromDialSide bool // the dialing side writes and the listening side reads; false: the opposite direction

	mu               sync.Mutex
	changed          chan struct{} // closed and replaced at every change
	queue            []chunk
	queuedBytes      int
	err              error // returned to both sides after a reset
	writerClosed     bool
	readerClosed     bool
	readerClosedAt   time.Time // when the writer learns that the reader has closed
	readDeadline     time.Time
	writeDeadline    time.Time
	dropsBytes, held bool // set by Link.DropBytes and Link.Hold
	resetAfter       int  // number of written bytes at which the link is reset; -1: never
	countedBytes     int  // bytes written since resetAfter was set
}

// newPipe returns a pipe with the faults that are set on the link.
func newPipe(link *Link, fromDialSide bool) *pipe {
	link.mu.Lock()
	defer link.mu.Unlock()
	p := &pipe{link: link, fromDialSide: fromDialSide, changed: make(chan struct{}), resetAfter: -1, held: link.held[fromDialSide]}
	if link.resetAfter > 0 && fromDialSide == link.resetCountsDialSide {
		p.resetAfter = link.resetAfter
	}
	return p
}

// change runs f while it holds the lock, and wakes blocked readers and writers.
func (p *pipe) change(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
	close(p.changed)
	p.changed = make(chan struct{})
}

// fail makes all reads and writes return the error, and discards the queued bytes. The first error is kept.
func (p *pipe) fail(err error) {
	p.change(func() {
		if p.err == nil {
			p.err = err
		}
		p.queue, p.queuedBytes = nil, 0
	})
}

// closeWrite ends the stream: the reader gets io.EOF after the queued bytes.
func (p *pipe) closeWrite() {
	at := time.Now().Add(p.link.currentDelay())
	p.change(func() {
		if p.writerClosed {
			return
		}
		p.writerClosed = true
		if !p.dropsBytes {
			p.queue = append(p.queue, chunk{arrivesAt: p.arrivalTime(at)})
		}
	})
}

// closeRead discards the queued bytes. After the delay of the link, writes fail with EPIPE.
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

// arrivalTime returns the later of the time at and the arrival time of the last queued chunk, so that chunks keep their order
// when the delay of the link is reduced.
func (p *pipe) arrivalTime(at time.Time) time.Time {
	if n := len(p.queue); n > 0 && p.queue[n-1].arrivesAt.After(at) {
		return p.queue[n-1].arrivesAt
	}
	return at
}

// setReadDeadline sets the time at which read fails with os.ErrDeadlineExceeded. A zero time means never.
func (p *pipe) setReadDeadline(t time.Time) { p.change(func() { p.readDeadline = t }) }

// setWriteDeadline sets the time at which write fails with os.ErrDeadlineExceeded. A zero time means never.
func (p *pipe) setWriteDeadline(t time.Time) { p.change(func() { p.writeDeadline = t }) }

// read blocks until there is data, an error or the read deadline.
func (p *pipe) read(b []byte) (int, error) {
	for {
		n, retryAt, changed, err := p.tryRead(b)
		if n > 0 || err != nil || len(b) == 0 {
			return n, err
		}
		waitForChange(changed, retryAt)
	}
}

// tryRead returns data or an error. If it has neither, the caller tries again when changed is closed or at retryAt, whichever
// is first. A zero retryAt means that there is no such time.
func (p *pipe) tryRead(b []byte) (n int, retryAt time.Time, changed chan struct{}, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	switch {
	case p.readerClosed:
		return 0, retryAt, nil, net.ErrClosed
	case p.err != nil:
		return 0, retryAt, nil, p.err
	case !p.readDeadline.IsZero() && !now.Before(p.readDeadline):
		return 0, retryAt, nil, os.ErrDeadlineExceeded
	}
	retryAt = p.readDeadline
	if len(p.queue) > 0 && !p.held {
		head := &p.queue[0]
		if !now.Before(head.arrivesAt) {
			if head.data == nil {
				return 0, retryAt, nil, io.EOF
			}
			n = copy(b, head.data)
			head.data = head.data[n:]
			if len(head.data) == 0 {
				p.queue = p.queue[1:]
			}
			p.queuedBytes -= n
			close(p.changed)
			p.changed = make(chan struct{})
			return n, retryAt, nil, nil
		}
		if retryAt.IsZero() || head.arrivesAt.Before(retryAt) {
			retryAt = head.arrivesAt
		}
	}
	return 0, retryAt, p.changed, nil
}

// waitForChange blocks until changed is closed or the time retryAt is reached. A zero retryAt means no limit.
func waitForChange(changed chan struct{}, retryAt time.Time) {
	if retryAt.IsZero() {
		<-changed
		return
	}
	timer := time.NewTimer(time.Until(retryAt))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	}
}

// write blocks until all bytes are written, an error occurs or the write deadline is reached. A write that would reach the
// limit of Link.SetResetAfter resets the link instead.
func (p *pipe) write(b []byte) (int, error) {
	written := 0
	for {
		n, retryAt, changed, err := p.tryWrite(b[written:])
		written += n
		if err != nil {
			if errors.Is(err, errResetAfterReached) {
				p.link.Reset()
				err = syscall.ECONNRESET
			}
			return written, err
		}
		if written == len(b) {
			return written, nil
		}
		if n == 0 {
			waitForChange(changed, retryAt)
		}
	}
}

// errResetAfterReached is the error with which tryWrite makes write reset the link. Callers of write get ECONNRESET instead.
var errResetAfterReached = errors.New("connection reached the number of bytes set by SetResetAfter")

// tryWrite writes as many bytes as the buffer has room for, or returns an error. If it wrote nothing, the caller tries again
// when changed is closed or at retryAt, whichever is first. A zero retryAt means that there is no such time.
func (p *pipe) tryWrite(b []byte) (n int, retryAt time.Time, changed chan struct{}, err error) {
	at := time.Now().Add(p.link.currentDelay())
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	switch {
	case p.writerClosed:
		return 0, retryAt, nil, net.ErrClosed
	case p.err != nil:
		return 0, retryAt, nil, p.err
	case p.readerClosed && !p.dropsBytes && !now.Before(p.readerClosedAt):
		return 0, retryAt, nil, syscall.EPIPE
	case !p.writeDeadline.IsZero() && !now.Before(p.writeDeadline):
		return 0, retryAt, nil, os.ErrDeadlineExceeded
	case p.dropsBytes || p.readerClosed:
		return len(b), retryAt, nil, nil
	}
	n = min(len(b), pipeBufferBytes-p.queuedBytes)
	if n == 0 {
		return 0, p.writeDeadline, p.changed, nil
	}
	if p.resetAfter >= 0 && p.countedBytes+n >= p.resetAfter {
		return 0, retryAt, nil, errResetAfterReached
	}
	p.countedBytes += n
	p.queuedBytes += n
	p.queue = append(p.queue, chunk{arrivesAt: p.arrivalTime(at), data: append([]byte{}, b[:n]...)})
	close(p.changed)
	p.changed = make(chan struct{})
	return n, retryAt, nil, nil
}
