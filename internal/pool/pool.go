// Package pool keeps HTTP/1.1 connections to targets, and states for each failed request whether the target may have run
// the request.
//
// # Usage
//
//	p, closePool := pool.New(pool.Config{})
//	defer closePool()
//	reply, err := p.Do(ctx, pool.Target{ID: t.ID, Addr: t.Addr}, req)
//	var failure *pool.Error
//	if errors.As(err, &failure) && failure.NotSent { ... nothing was written to the target ... }
//	if failure.ConnectionLost { ended, err := p.HasEnded(ctx, target) ... did the target end, or only the connection? }
//
// Replies are parsed by net/http, and headers are written by it. http.Transport isn't used, since it repeats a request by
// itself when a kept connection breaks, and doesn't report whether anything was written.
//
// A connection serves one request at a time. It is kept for the next request only if the reply was complete, was read to its
// end, and no bytes followed it. The pool opens as many connections to a target as there are concurrent requests; the
// code that uses the pool must bound the number of requests.
//
// A target may send an earlier reply a second time. Replies that Request.Accept rejects are read and dropped, up to
// maxSkippedReplies of them, and the connection is closed after the reply that is accepted.
//
// What a target may send is bounded: the head of each reply, its body, the size of both on the wire, and the total size of
// all bodies that are being read. An endless reply thus costs one connection and no more memory than these bounds allow.
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
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Config holds the bounds of a Pool. Zero fields take the defaults.
type Config struct {
	DialTimeout   time.Duration
	IdleTimeout   time.Duration // idle time of a connection if its target states no Keep-Alive timeout
	UnusedTimeout time.Duration // idle time of a connection that has not served a request yet
	IdleMargin    time.Duration // subtracted from the Keep-Alive timeout that a target states
	CheckAfter    time.Duration // a connection that was idle for at least this long is checked for a close before it is used
	SettleTime    time.Duration // time after the end of a target within which the closes of its connections arrive here
	VerifyTime    time.Duration // time after which a reset of a new connection has arrived here
	SurplusTime   time.Duration // idle time after which Prune closes a connection beyond MinIdle
	MinIdle       int           // idle connections to each target that Prune doesn't close as surplus
	MaxBody       int64         // bytes of the body of a reply
	MaxTotalBody  int64         // bytes of the bodies of all replies that are being read
	DialContext   func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Defaults of Config.
const (
	// DefaultDialTimeout covers the first retransmission of a lost SYN packet, but only on links within a region.
	DefaultDialTimeout = 400 * time.Millisecond
	// DefaultIdleTimeout keeps one connection for each process and target in a fleet where a process uses each target every few
	// seconds.
	DefaultIdleTimeout = 30 * time.Second
	// DefaultUnusedTimeout is below the shortest time after which targets close connections that have sent nothing.
	DefaultUnusedTimeout = 4 * time.Second
	// DefaultIdleMargin is above the time that a request needs to reach a target, even from a busy core.
	DefaultIdleMargin = 700 * time.Millisecond
	DefaultCheckAfter = 10 * time.Millisecond
	// DefaultSettleTime is several round trips within a region, and below the shortest time that a process takes to restart.
	DefaultSettleTime = 10 * time.Millisecond
	// DefaultVerifyTime is above the time of a round trip between data centres of one region.
	DefaultVerifyTime = 4 * time.Millisecond
	// DefaultSurplusTime and DefaultMinIdle keep the connections for a send and a hedge or retry. A burst, such as during a
	// pause of the target, opens more, which would otherwise be kept until their idle timeout: after a power failure of this VM
	// they would count towards the bound of the target for that long, together with those of the restarted process.
	DefaultSurplusTime = 1500 * time.Millisecond
	DefaultMinIdle     = 2
	DefaultMaxBody     = 8 << 20
	// DefaultMaxTotalBody is a fifth of the memory of a small VM, 184 MB.
	DefaultMaxTotalBody = 36 << 20
)

const (
	readBufferSize    = 4 << 10
	maxResponses      = 8        // responses that are read for one reply: 1xx responses and the reply itself
	maxSkippedReplies = 3        // replies to other requests that are dropped before the reply to this one
	maxHeadSize       = 64 << 10 // bytes of the head of a reply
	bodyBufferSize    = 16 << 10 // initial buffer size for a body whose length is not stated
	// maxWireFactor bounds the size of a body on the wire, as a multiple of Config.MaxBody: chunk headers take additional bytes.
	maxWireFactor = 2
	headSizeHint  = 512 // initial buffer size for the head of a request
	extraSizeHint = 128 // buffer size for the extra header fields of a request
)

// Target holds the ID and the address of a target.
type Target struct {
	ID   string
	Addr netip.AddrPort
}

// Request is a request to a target.
type Request struct {
	Method      string
	Head        []byte        // result of the function Head; shared by all sends of one request
	ExtraHeader []HeaderField // header fields of this send only
	Body        []byte
	// MaxIdle is the longest time that the connection may have been idle; 0 for no bound. A target may have dropped an idle
	// connection, and then it is unknown whether the target has run the request.
	MaxIdle time.Duration
	Close   bool // the connection is closed after the reply
	// VerifyNew makes Do wait for Config.VerifyTime before it writes to a new connection, so that a target that resets it has
	// certainly not run the request.
	VerifyNew bool
	// Accept reports whether a reply belongs to this request; nil accepts all replies.
	Accept func(status int, h http.Header) bool
}

// HeaderField holds the name and the value of one HTTP header field in the header of a request to a target.
type HeaderField struct{ Name, Value string }

// Head returns the request line and the headers of a request, without the empty line at their end. The URI is the path and
// query, as in a request line. The header must not contain Host or Content-Length. The length of the body is bodyLength.
func Head(method, uri, host string, header http.Header, bodyLength int) []byte {
	var b bytes.Buffer
	b.Grow(headSizeHint)
	b.WriteString(method)
	b.WriteByte(' ')
	b.WriteString(uri)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(host)
	b.WriteString("\r\n")
	_ = header.Write(&b) // writes to a bytes.Buffer don't fail
	if bodyLength > 0 || method != http.MethodGet && method != http.MethodHead {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(bodyLength))
		b.WriteString("\r\n")
	}
	return b.Bytes()
}

// Reply is one complete reply.
type Reply struct {
	Status              int
	Header              http.Header
	Body                []byte
	AfterSkippedReplies bool // replies to other requests were dropped before this one
}

// Error describes how a request failed.
type Error struct {
	NotSent        bool // nothing was written to the target
	TimedOut       bool // the deadline or Config.DialTimeout passed, or the context was canceled, before the reply was complete
	ConnectionLost bool // the target closed or reset the connection before the reply was complete
	// NewConnReset is true if the target reset a connection on which it had not served any request. Targets reset the
	// connections beyond their bound in this way.
	NewConnReset bool
	Err          error
}

// Error implements error.
func (e *Error) Error() string {
	switch {
	case e.NotSent:
		return fmt.Sprintf("request not sent: %v", e.Err)
	case e.TimedOut:
		return fmt.Sprintf("no complete reply before the deadline: %v", e.Err)
	}
	return fmt.Sprintf("no valid reply: %v", e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

var (
	errOtherRequest = errors.New("reply belongs to another request")
	errTooLarge     = errors.New("reply exceeds the size limit")
	errStateUnknown = errors.New("target accepts connections and closes them")
	errMemoryLimit  = errors.New("replies that are being read exceed the memory limit")
)

// conn is a connection to a target, with a bound for the bytes that may be read.
type conn struct {
	net.Conn
	reader      *bufio.Reader
	bytesLeft   int64     // bytes that may still be read
	idleSince   time.Time // start of the idle time
	hasServed   bool      // a request has been served on the connection
	usableUntil time.Time // must not be used after this time
}

func newConn(raw net.Conn) *conn {
	c := &conn{Conn: raw}
	c.reader = bufio.NewReaderSize(c, readBufferSize)
	return c
}

// Read implements io.Reader. It fails once the bytes that may be read are used up.
func (c *conn) Read(b []byte) (int, error) {
	if c.bytesLeft <= 0 {
		return 0, errTooLarge
	}
	if int64(len(b)) > c.bytesLeft {
		b = b[:c.bytesLeft]
	}
	n, err := c.Conn.Read(b)
	c.bytesLeft -= int64(n)
	return n, err
}

// Pool holds the idle connections to all targets. Use New. A Pool is safe for concurrent use.
type Pool struct {
	cfg       Config
	dials     atomic.Uint64
	bodyBytes atomic.Int64 // bytes of buffers for bodies that are being read

	mu      sync.Mutex
	idle    map[string][]*conn // by ID of the target; the connection that was used last is at the end
	dialing map[string]int     // connections that are being opened, by ID of the target
	closed  bool
}

// New returns a Pool without connections, and a function that closes the idle connections and stops the pool from keeping
// others.
func New(cfg Config) (*Pool, func()) {
	cfg.DialTimeout = cmp.Or(cfg.DialTimeout, DefaultDialTimeout)
	cfg.IdleTimeout = cmp.Or(cfg.IdleTimeout, DefaultIdleTimeout)
	cfg.UnusedTimeout = cmp.Or(cfg.UnusedTimeout, DefaultUnusedTimeout)
	cfg.IdleMargin = cmp.Or(cfg.IdleMargin, DefaultIdleMargin)
	cfg.CheckAfter = cmp.Or(cfg.CheckAfter, DefaultCheckAfter)
	cfg.SettleTime = cmp.Or(cfg.SettleTime, DefaultSettleTime)
	cfg.VerifyTime = cmp.Or(cfg.VerifyTime, DefaultVerifyTime)
	cfg.SurplusTime = cmp.Or(cfg.SurplusTime, DefaultSurplusTime)
	cfg.MinIdle = cmp.Or(cfg.MinIdle, DefaultMinIdle)
	cfg.MaxBody = cmp.Or(cfg.MaxBody, DefaultMaxBody)
	cfg.MaxTotalBody = cmp.Or(cfg.MaxTotalBody, DefaultMaxTotalBody)
	if cfg.DialContext == nil {
		cfg.DialContext = (&net.Dialer{KeepAlive: -1}).DialContext
	}
	p := &Pool{cfg: cfg, idle: map[string][]*conn{}, dialing: map[string]int{}}
	return p, p.close
}

// close closes the idle connections, and makes the pool close further connections instead of keeping them.
func (p *Pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for id := range p.idle {
		p.closeIdleLocked(id)
	}
}

// Preconnect opens a connection to a target and keeps it as idle, unless there is an idle one already.
func (p *Pool) Preconnect(ctx context.Context, to Target) error {
	if p.HasIdle(to.ID) {
		return nil
	}
	c, err := p.dial(ctx, to)
	if err != nil {
		return err
	}
	p.keepUnused(to.ID, c)
	return nil
}

// HasEnded reports whether a target has ended after a connection to it was lost: its other connections are closed and its
// address refuses new ones. A connection that stays open shows that the target is running, and is kept. An error means that
// the state of the target is unknown.
func (p *Pool) HasEnded(ctx context.Context, to Target) (bool, error) {
	if err := p.waitSettleTime(ctx); err != nil {
		return false, err
	}
	for c := p.takeIdle(to.ID); c != nil; c = p.takeIdle(to.ID) {
		if c.reusable() {
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
	if err := p.waitSettleTime(ctx); err != nil {
		_ = c.Close()
		return false, err
	}
	if !c.reusable() {
		// The new connection was closed at once: the target may be closing its listener just now, or it has too many connections.
		_ = c.Close()
		secondConn, err := p.dial(ctx, to)
		switch {
		case IsRefused(err):
			return true, nil
		case err != nil:
			return false, err
		}
		_ = secondConn.Close()
		return false, errStateUnknown
	}
	p.keepUnused(to.ID, c)
	return false, nil
}

// EndedTargets returns targets that have ended while no request to them was in progress: a connection that has served a
// request within the given time is closed, and the address refuses new ones. At most limit connections are examined.
func (p *Pool) EndedTargets(ctx context.Context, within time.Duration, limit int) (ids []string) {
	for _, to := range p.disconnectedTargets(within, limit) {
		c, err := p.dial(ctx, to)
		switch {
		case IsRefused(err):
			ids = append(ids, to.ID)
		case err == nil:
			p.keepUnused(to.ID, c)
		}
	}
	return ids
}

// maxRedials bounds the targets that EndedTargets dials after they have closed a connection.
const maxRedials = 3

// disconnectedTargets returns targets that have closed a connection that served a request within the given time, so that an
// idle timeout wasn't the reason.
func (p *Pool) disconnectedTargets(within time.Duration, limit int) (targets []Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	since := time.Now().Add(-within)
	for id, list := range p.idle {
		if len(list) == 0 || len(targets) == maxRedials {
			continue
		}
		c := list[len(list)-1]
		if !c.hasServed || c.idleSince.Before(since) {
			continue
		}
		if limit--; limit < 0 {
			break
		}
		if addr, err := netip.ParseAddrPort(c.RemoteAddr().String()); err == nil && !c.reusable() {
			targets = append(targets, Target{id, addr})
		}
	}
	return targets
}

// waitSettleTime waits for Config.SettleTime, after which the end of a target is visible on all connections to it.
func (p *Pool) waitSettleTime(ctx context.Context) error { return wait(ctx, p.cfg.SettleTime) }

// wait waits until d has passed. It returns the error of ctx if ctx ends earlier.
func wait(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// HasIdle reports whether the pool holds an idle connection to a target.
func (p *Pool) HasIdle(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[id]) > 0
}

// Dials returns the number of connections that the pool has tried to open.
func (p *Pool) Dials() uint64 { return p.dials.Load() }

// CloseIdle closes the idle connections to a target.
func (p *Pool) CloseIdle(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdleLocked(id)
}

// closeIdleLocked is CloseIdle for code that holds mu.
func (p *Pool) closeIdleLocked(id string) {
	for _, c := range p.idle[id] {
		_ = c.Close()
	}
	delete(p.idle, id)
}

// Prune closes the idle connections that must not be used any more, those to targets for which isWanted returns false, and
// surplus ones: those beyond Config.MinIdle that have been idle for Config.SurplusTime.
func (p *Pool) Prune(now time.Time, isWanted func(id string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, list := range p.idle {
		if !isWanted(id) {
			p.closeIdleLocked(id)
			continue
		}
		kept := list[:0]
		for i, c := range list {
			surplus := len(list)-i > p.cfg.MinIdle && now.Sub(c.idleSince) >= p.cfg.SurplusTime
			if now.Before(c.usableUntil) && !surplus {
				kept = append(kept, c)
			} else {
				_ = c.Close()
			}
		}
		p.idle[id] = kept
	}
}

// Do sends a request and reads the complete reply, unless ctx ends earlier. The error is an *Error.
func (p *Pool) Do(ctx context.Context, to Target, r *Request) (Reply, error) {
	c, err := p.acquire(ctx, to, r)
	if err != nil {
		return Reply{}, &Error{NotSent: true, TimedOut: isTimeout(err), NewConnReset: IsReset(err), Err: err}
	}
	hadServed := c.hasServed
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	reply, keep, failure := p.roundTrip(c, r)
	if !stop() && failure == nil {
		keep = false // the deadline may already be set on the connection
	}
	if failure != nil {
		_ = c.Close()
		failure.TimedOut = failure.TimedOut || ctx.Err() != nil
		failure.NewConnReset = !hadServed && !failure.TimedOut && IsReset(failure.Err)
		return Reply{}, failure
	}
	if keep {
		p.keepIdle(to.ID, c)
	} else {
		_ = c.Close()
	}
	return reply, nil
}

// isLost reports whether an error says that the target has closed or reset the connection.
func isLost(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// IsRefused reports whether an error says that nothing listens at the address.
func IsRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// IsReset reports whether an error says that the target has reset the connection.
func IsReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

func isTimeout(err error) bool {
	var timeoutErr interface{ Timeout() bool }
	return errors.As(err, &timeoutErr) && timeoutErr.Timeout()
}

// errResetWhenNew is the error of a request whose new connection was reset before the request was written.
var errResetWhenNew = fmt.Errorf("new connection closed by the target: %w", syscall.ECONNRESET)

// acquire returns an idle connection that is still usable for the request, or else a new one.
func (p *Pool) acquire(ctx context.Context, to Target, r *Request) (*conn, error) {
	for {
		c := p.takeIdle(to.ID)
		if c == nil {
			break
		}
		now := time.Now()
		idle := now.Sub(c.idleSince)
		if now.Before(c.usableUntil) && (r.MaxIdle == 0 || idle < r.MaxIdle) && (idle < p.cfg.CheckAfter || c.reusable()) {
			return c, nil
		}
		_ = c.Close()
	}
	c, err := p.dial(ctx, to)
	if err != nil || !r.VerifyNew {
		return c, err
	}
	if err := wait(ctx, p.cfg.VerifyTime); err != nil {
		_ = c.Close()
		return nil, err
	}
	if !c.reusable() {
		_ = c.Close()
		return nil, errResetWhenNew
	}
	return c, nil
}

// dial opens a connection to a target.
func (p *Pool) dial(ctx context.Context, to Target) (*conn, error) {
	p.addDialing(to.ID, 1)
	defer p.addDialing(to.ID, -1)
	ctx, cancel := context.WithTimeout(ctx, p.cfg.DialTimeout)
	defer cancel()
	p.dials.Add(1)
	raw, err := p.cfg.DialContext(ctx, "tcp", to.Addr.String())
	if err != nil {
		return nil, err
	}
	return newConn(raw), nil
}

// addDialing adds n to the number of connections to a target that are being opened.
func (p *Pool) addDialing(id string, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dialing[id] += n; p.dialing[id] == 0 {
		delete(p.dialing, id)
	}
}

// IsDialing reports whether a connection to a target is being opened.
func (p *Pool) IsDialing(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialing[id] > 0
}

// takeIdle removes the connection to a target that was used last from the idle ones and returns it; nil if there is none.
func (p *Pool) takeIdle(id string) *conn {
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

// keepIdle keeps a connection whose idle time begins now.
func (p *Pool) keepIdle(id string, c *conn) {
	c.idleSince = time.Now()
	p.putBack(id, c)
}

// keepUnused keeps a connection that has just been opened and has not served a request.
func (p *Pool) keepUnused(id string, c *conn) {
	c.usableUntil = time.Now().Add(p.cfg.UnusedTimeout)
	p.keepIdle(id, c)
}

// putBack adds a connection to the idle ones without changing the start of its idle time, or closes it if the pool is closed.
func (p *Pool) putBack(id string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = c.Close()
		return
	}
	p.idle[id] = append(p.idle[id], c)
}

// reusable reports whether the connection is open and has no bytes to read. It returns false after the target has closed the
// connection or has sent bytes that belong to no request.
func (c *conn) reusable() bool {
	syscallConn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	var n int
	var peekErr error
	err = rawConn.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, peekErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && n <= 0 && (errors.Is(peekErr, syscall.EAGAIN) || errors.Is(peekErr, syscall.EINTR))
}

// roundTrip writes the request and reads the reply. If keep is true, the connection can be used again.
func (p *Pool) roundTrip(c *conn, r *Request) (reply Reply, keep bool, failure *Error) {
	n, writeErr := c.Write(encodeRequest(r))
	if writeErr != nil && (n == 0 || isTimeout(writeErr)) {
		return Reply{}, false, &Error{NotSent: n == 0, TimedOut: isTimeout(writeErr), Err: fmt.Errorf("write request: %w", writeErr)}
	}
	// After a write error the reply may still arrive: a target may reply and close the connection before it has read the
	// whole request.
	var skipErr error
	for range maxSkippedReplies + 1 {
		reply, closesAfter, err := p.readReply(c, r.Method)
		if err != nil {
			err = cmp.Or(writeErr, err)
			return Reply{}, false, &Error{TimedOut: isTimeout(err), ConnectionLost: isLost(err), Err: errors.Join(skipErr, fmt.Errorf("read reply: %w", err))}
		}
		if r.Accept == nil || r.Accept(reply.Status, reply.Header) {
			reply.AfterSkippedReplies = skipErr != nil
			c.hasServed = true
			keep = writeErr == nil && skipErr == nil && !r.Close && !closesAfter && c.reader.Buffered() == 0
			c.usableUntil = time.Now().Add(p.idleTimeout(reply.Header))
			return reply, keep, nil
		}
		skipErr = errOtherRequest
		if closesAfter {
			break // no further reply can follow
		}
	}
	return Reply{}, false, &Error{Err: skipErr}
}

// encodeRequest returns the bytes of a request.
func encodeRequest(r *Request) []byte {
	out := make([]byte, 0, len(r.Head)+len(r.Body)+extraSizeHint)
	out = append(out, r.Head...)
	for _, f := range r.ExtraHeader {
		out = append(out, f.Name...)
		out = append(out, ": "...)
		out = append(out, f.Value...)
		out = append(out, "\r\n"...)
	}
	out = append(out, "\r\n"...)
	return append(out, r.Body...)
}
