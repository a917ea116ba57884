// Package pool keeps HTTP/1.1 connections to targets and says of each failed request whether the target may have run it.
//
// # Usage
//
//	p, closePool := pool.New(pool.Config{})
//	defer closePool()
//	reply, err := p.Do(ctx, pool.Peer{ID: t.ID, Addr: t.Addr}, req)
//	var failure *pool.Error
//	if errors.As(err, &failure) && failure.Unsent { ... nothing has reached the target ... }
//	if failure.Lost { ended, err := p.Ended(ctx, peer) ... has the target ended, or only the connection? }
//
// Messages are written and parsed by net/http. http.Transport isn't used, since it sends a request again by itself
// when a kept connection breaks, and doesn't say whether anything was written.
//
// A connection serves one request at a time. It is closed, and not used again, after a reply that was cut short, after
// bytes beyond the reply, and if the reply was not read to its end. The number of connections to a target is that of
// the requests at the same time; the owner of the pool bounds these.
//
// A target may send an earlier reply a second time. Replies that Request.Accept doesn't take are read and dropped, up to
// a few, and the connection is closed after the one that it takes.
//
// What a target sends is bounded: the head of each reply, its body, the whole of both as it is on the wire, and the bodies
// of all replies that are being read. A target that sends without end costs a connection and its part of these bounds.
package pool

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Config holds the bounds. Zero fields take the defaults.
type Config struct {
	DialTimeout time.Duration
	Idle        time.Duration // a connection whose target names no time is kept this long
	Unused      time.Duration // a connection that has served nothing is kept this long
	IdleMargin  time.Duration // a connection is given up this long before the time that its target names
	CheckAfter  time.Duration // a connection idle for longer is checked for a close before it is used
	Settle      time.Duration // the connections of a target that ends are closed within it
	MaxBody     int64         // bytes of a reply
	MaxReading  int64         // bytes of all bodies that are being read
	DialContext func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Defaults of Config.
const (
	// DefaultDialTimeout covers a lost opening packet's first repeat only on links within a region.
	DefaultDialTimeout = 400 * time.Millisecond
	// DefaultIdle keeps one connection for each pair in a fleet where a pair meets every few seconds.
	DefaultIdle = 30 * time.Second
	// DefaultUnused is below the shortest time after which targets close connections that send nothing.
	DefaultUnused = 4 * time.Second
	// DefaultIdleMargin is above the time that a request needs to reach a target, also on a busy core.
	DefaultIdleMargin = 700 * time.Millisecond
	DefaultCheckAfter = 10 * time.Millisecond
	// DefaultSettle is several round trips within a region, and below the shortest time in which a process starts again.
	DefaultSettle  = 10 * time.Millisecond
	DefaultMaxBody = 8 << 20
	// DefaultMaxReading is a fifth of the memory of a small VM, 184 MB.
	DefaultMaxReading = 36 << 20
)

const (
	readBuffer = 4 << 10
	maxInterim = 8 // 1xx responses before a reply
	maxForeign = 3 // replies to other requests before the expected one
	maxHead    = 64 << 10
	bodyStep   = 16 << 10 // a body without a length is read in steps of this size at first
	// wireFactor is for chunk headers: a body may be this many times longer on the wire.
	wireFactor  = 2
	headerGuess = 512
	extraGuess  = 128
)

// Peer is a target to connect to.
type Peer struct {
	ID   string
	Addr netip.AddrPort
}

// Request is one request.
type Request struct {
	Method string
	Head   []byte // from Head; shared by the sends of one request
	Extra  []Field
	Body   []byte
	// Fresh is the longest time that the connection may have been idle; 0 for no bound. A target may have forgotten an
	// idle connection, and then it can't be told whether it has run the request.
	Fresh time.Duration
	Once  bool // the connection isn't kept
	// Accept reports whether the reply belongs to this request; nil accepts all.
	Accept func(status int, h http.Header) bool
}

// Field is one more header.
type Field struct{ Name, Value string }

// Head returns the request line and the headers of a request. URI is the path and query as they stand in the request
// line. Header must not hold Host or Content-Length.
func Head(method, uri, host string, header http.Header, body int) []byte {
	var b bytes.Buffer
	b.Grow(headerGuess)
	b.WriteString(method)
	b.WriteByte(' ')
	b.WriteString(uri)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(host)
	b.WriteString("\r\n")
	_ = header.Write(&b) // a bytes.Buffer doesn't fail
	if body > 0 || method != http.MethodGet && method != http.MethodHead {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(body))
		b.WriteString("\r\n")
	}
	return b.Bytes()
}

// Reply is one whole reply.
type Reply struct {
	Status  int
	Header  http.Header
	Body    []byte
	Foreign bool // replies to other requests came before it
}

// Error says how a request failed.
type Error struct {
	Unsent bool // nothing has been written
	Silent bool // the time was over before the reply was whole
	Lost   bool // the target closed or reset the connection before the reply was whole
	Err    error
}

// Error implements error.
func (e *Error) Error() string {
	switch {
	case e.Unsent:
		return fmt.Sprintf("not sent: %v", e.Err)
	case e.Silent:
		return fmt.Sprintf("no reply in time: %v", e.Err)
	}
	return fmt.Sprintf("connection lost: %v", e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

var (
	errForeign = errors.New("the reply belongs to another request")
	errEndless = errors.New("the reply is longer than allowed")
	errUnsure  = errors.New("the target accepts connections and closes them")
	errMemory  = errors.New("too many bytes of replies are being read")
)

type conn struct {
	net.Conn
	reader *bufio.Reader
	left   int64     // bytes that may be read from the connection
	since  time.Time // idle since
	served bool      // a request
	until  time.Time // must not be used later
}

func newConn(raw net.Conn) *conn {
	c := &conn{Conn: raw}
	c.reader = bufio.NewReaderSize(c, readBuffer)
	return c
}

// Read implements io.Reader within the bound for what is being read.
func (c *conn) Read(b []byte) (int, error) {
	if c.left <= 0 {
		return 0, errEndless
	}
	if int64(len(b)) > c.left {
		b = b[:c.left]
	}
	n, err := c.Conn.Read(b)
	c.left -= int64(n)
	return n, err
}

// Pool holds the idle connections. Use New.
type Pool struct {
	cfg     Config
	dialed  atomic.Uint64
	reading atomic.Int64 // bytes of bodies

	mu     sync.Mutex
	idle   map[string][]*conn
	closed bool
}

// New returns a pool without connections, and a function that closes the idle ones.
func New(cfg Config) (*Pool, func()) {
	cfg.DialTimeout = cmp.Or(cfg.DialTimeout, DefaultDialTimeout)
	cfg.Idle = cmp.Or(cfg.Idle, DefaultIdle)
	cfg.Unused = cmp.Or(cfg.Unused, DefaultUnused)
	cfg.IdleMargin = cmp.Or(cfg.IdleMargin, DefaultIdleMargin)
	cfg.CheckAfter = cmp.Or(cfg.CheckAfter, DefaultCheckAfter)
	cfg.Settle = cmp.Or(cfg.Settle, DefaultSettle)
	cfg.MaxBody = cmp.Or(cfg.MaxBody, DefaultMaxBody)
	cfg.MaxReading = cmp.Or(cfg.MaxReading, DefaultMaxReading)
	if cfg.DialContext == nil {
		cfg.DialContext = (&net.Dialer{KeepAlive: -1}).DialContext
	}
	p := &Pool{cfg: cfg, idle: map[string][]*conn{}}
	return p, p.close
}

func (p *Pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for id := range p.idle {
		p.dropLocked(id)
	}
}

// Warm opens a connection to a target and keeps it, if there is none.
func (p *Pool) Warm(ctx context.Context, to Peer) error {
	if p.Open(to.ID) {
		return nil
	}
	c, err := p.dial(ctx, to)
	if err != nil {
		return err
	}
	p.putUnused(to.ID, c)
	return nil
}

// Ended finds out whether a target has ended after a connection to it was lost: its other connections are closed and its
// address refuses new ones. A connection that stays open shows that it lives, and is kept. An error says that neither is sure.
func (p *Pool) Ended(ctx context.Context, to Peer) (bool, error) {
	if err := p.settle(ctx); err != nil {
		return false, err
	}
	for c := p.take(to.ID); c != nil; c = p.take(to.ID) {
		if c.quiet() {
			p.putBack(to.ID, c)
			return false, nil
		}
		_ = c.Close()
	}
	c, err := p.dial(ctx, to)
	switch {
	case IsRefused(err):
		return true, nil
	case err != nil:
		return false, err
	}
	if err := p.settle(ctx); err != nil {
		_ = c.Close()
		return false, err
	}
	if !c.quiet() {
		// Closed at once: its listener may have ended only now, or it has too many connections.
		_ = c.Close()
		again, err := p.dial(ctx, to)
		switch {
		case IsRefused(err):
			return true, nil
		case err != nil:
			return false, err
		}
		_ = again.Close()
		return false, errUnsure
	}
	p.putUnused(to.ID, c)
	return false, nil
}

// OthersEnded returns targets that have ended though nothing was being sent to them: connections that were in use within the
// given time are closed, and the address refuses new ones. Most bounds the connections that are looked at.
func (p *Pool) OthersEnded(ctx context.Context, within time.Duration, most int) (ids []string) {
	for _, to := range p.cutOff(within, most) {
		c, err := p.dial(ctx, to)
		switch {
		case IsRefused(err):
			ids = append(ids, to.ID)
		case err == nil:
			p.putUnused(to.ID, c)
		}
	}
	return ids
}

// maxRedials bounds the closed connections that are dialled anew to see why.
const maxRedials = 3

// cutOff returns targets that have closed a connection which has served a request lately, so that it was not closed for being
// idle.
func (p *Pool) cutOff(within time.Duration, most int) (peers []Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	since := time.Now().Add(-within)
	for id, list := range p.idle {
		if len(list) == 0 || len(peers) == maxRedials {
			continue
		}
		c := list[len(list)-1]
		if !c.served || c.since.Before(since) {
			continue
		}
		if most--; most < 0 {
			break
		}
		if addr, err := netip.ParseAddrPort(c.RemoteAddr().String()); err == nil && !c.quiet() {
			peers = append(peers, Peer{id, addr})
		}
	}
	return peers
}

// settle waits until the end of a target has reached all of its connections.
func (p *Pool) settle(ctx context.Context) error {
	t := time.NewTimer(p.cfg.Settle)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Open reports whether there is an idle connection to a target.
func (p *Pool) Open(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[id]) > 0
}

// Dialed returns how many connections were opened.
func (p *Pool) Dialed() uint64 { return p.dialed.Load() }

// Drop closes the idle connections to a target.
func (p *Pool) Drop(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropLocked(id)
}

func (p *Pool) dropLocked(id string) {
	for _, c := range p.idle[id] {
		_ = c.Close()
	}
	delete(p.idle, id)
}

// Keep closes idle connections that are too old, or whose target isn't wanted.
func (p *Pool) Keep(now time.Time, wanted func(id string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, list := range p.idle {
		if !wanted(id) {
			p.dropLocked(id)
			continue
		}
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.until) {
				kept = append(kept, c)
			} else {
				_ = c.Close()
			}
		}
		p.idle[id] = kept
	}
}

// Do sends a request and reads the whole reply, until ctx ends. The error is an *Error.
func (p *Pool) Do(ctx context.Context, to Peer, r *Request) (Reply, error) {
	c, err := p.open(ctx, to, r.Fresh)
	if err != nil {
		return Reply{}, &Error{Unsent: true, Silent: isTimeout(err), Err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	reply, keep, failure := p.exchange(c, r)
	if !stop() && failure == nil {
		keep = false // the deadline may already be set on the connection
	}
	if failure != nil {
		_ = c.Close()
		failure.Silent = failure.Silent || ctx.Err() != nil
		return Reply{}, failure
	}
	if keep {
		p.put(to.ID, c)
	} else {
		_ = c.Close()
	}
	return reply, nil
}

// isLost reports whether the other side has closed or reset the connection.
func isLost(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// IsRefused reports whether an error says that nothing listens at the address.
func IsRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// open returns an idle connection, or a new one.
func (p *Pool) open(ctx context.Context, to Peer, fresh time.Duration) (*conn, error) {
	for {
		c := p.take(to.ID)
		if c == nil {
			break
		}
		now := time.Now()
		idle := now.Sub(c.since)
		if now.Before(c.until) && (fresh == 0 || idle < fresh) && (idle < p.cfg.CheckAfter || c.quiet()) {
			return c, nil
		}
		_ = c.Close()
	}
	return p.dial(ctx, to)
}

func (p *Pool) dial(ctx context.Context, to Peer) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.DialTimeout)
	defer cancel()
	p.dialed.Add(1)
	raw, err := p.cfg.DialContext(ctx, "tcp", to.Addr.String())
	if err != nil {
		return nil, err
	}
	return newConn(raw), nil
}

func (p *Pool) take(id string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[id]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[id] = list[:len(list)-1]
	return c
}

func (p *Pool) put(id string, c *conn) {
	c.since = time.Now()
	p.putBack(id, c)
}

// putUnused keeps a connection that has just been opened and has served nothing.
func (p *Pool) putUnused(id string, c *conn) {
	c.until = time.Now().Add(p.cfg.Unused)
	p.put(id, c)
}

// putBack keeps a connection that was taken and not used.
func (p *Pool) putBack(id string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = c.Close()
		return
	}
	p.idle[id] = append(p.idle[id], c)
}

// quiet reports whether the connection is open and has nothing to read. An end or stray bytes show here.
func (c *conn) quiet() bool {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	var n int
	var peekErr error
	err = rc.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, peekErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && n <= 0 && (errors.Is(peekErr, syscall.EAGAIN) || errors.Is(peekErr, syscall.EINTR))
}

// exchange writes the request and reads the reply. Keep says whether the connection can be used again.
func (p *Pool) exchange(c *conn, r *Request) (reply Reply, keep bool, failure *Error) {
	n, writeErr := c.Write(encode(r))
	if writeErr != nil && (n == 0 || isTimeout(writeErr)) {
		return Reply{}, false, &Error{Unsent: n == 0, Silent: isTimeout(writeErr), Err: fmt.Errorf("write request: %w", writeErr)}
	}
	// A target may reply and close before it has read the whole request; the reply is still there to read.
	var foreign error
	for range maxForeign + 1 {
		reply, last, err := p.readReply(c, r.Method)
		if err != nil {
			err = cmp.Or(writeErr, err)
			return Reply{}, false, &Error{Silent: isTimeout(err), Lost: isLost(err), Err: errors.Join(foreign, fmt.Errorf("read reply: %w", err))}
		}
		if r.Accept == nil || r.Accept(reply.Status, reply.Header) {
			reply.Foreign = foreign != nil
			c.served = true
			keep = writeErr == nil && foreign == nil && !r.Once && !last && c.reader.Buffered() == 0
			c.until = time.Now().Add(p.keepFor(reply.Header))
			return reply, keep, nil
		}
		foreign = errForeign
		if last {
			break // no further reply can follow
		}
	}
	return Reply{}, false, &Error{Err: foreign}
}

func encode(r *Request) []byte {
	out := make([]byte, 0, len(r.Head)+len(r.Body)+extraGuess)
	out = append(out, r.Head...)
	for _, f := range r.Extra {
		out = append(out, f.Name...)
		out = append(out, ": "...)
		out = append(out, f.Value...)
		out = append(out, "\r\n"...)
	}
	out = append(out, "\r\n"...)
	return append(out, r.Body...)
}

// readReply reads one whole reply. Last says that the connection ends with it.
func (p *Pool) readReply(c *conn, method string) (reply Reply, last bool, err error) {
	for range maxInterim {
		c.left = maxHead
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return Reply{}, false, err
		}
		body, err := p.readBody(c, resp, method)
		_ = resp.Body.Close()
		if err != nil {
			return Reply{}, false, fmt.Errorf("body: %w", err)
		}
		if resp.StatusCode >= http.StatusOK {
			return Reply{Status: resp.StatusCode, Header: resp.Header, Body: body}, resp.Close, nil
		}
	}
	return Reply{}, false, errors.New("too many interim responses")
}

func (p *Pool) readBody(c *conn, resp *http.Response, method string) ([]byte, error) {
	limit := p.cfg.MaxBody
	c.left = limit*wireFactor + maxHead
	switch {
	case method == http.MethodHead || resp.ContentLength == 0:
		return nil, nil
	case resp.ContentLength > limit:
		return nil, fmt.Errorf("%w: %d bytes of at most %d", errEndless, resp.ContentLength, limit)
	}
	var held int64
	defer func() { p.reading.Add(-held) }()
	body := make([]byte, 0, firstStep(resp.ContentLength))
	for {
		if more := int64(cap(body)) - held; more > 0 {
			held += more
			if p.reading.Add(more) > p.cfg.MaxReading {
				return nil, errMemory
			}
		}
		n, err := resp.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		case int64(len(body)) > limit:
			return nil, fmt.Errorf("%w: more than %d bytes", errEndless, limit)
		case len(body) == cap(body):
			body = slices.Grow(body, cap(body)) // doubles
		}
	}
}

// firstStep returns the first size of a body's buffer. A byte more than the length lets the end be seen without growing; a
// stated length alone reserves no more than a few steps.
func firstStep(length int64) int64 {
	if length < 0 {
		return bodyStep
	}
	return min(length+1, 4*bodyStep)
}

// keepFor returns how long the connection may be idle.
func (p *Pool) keepFor(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds)*time.Second - p.cfg.IdleMargin
		}
	}
	return p.cfg.Idle
}
