package target

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"
	"time"
)

// maxReply is the largest reply that is read, in bytes.
const maxReply = 8 << 20

// maxHeader bounds the header of a reply, in bytes.
const maxHeader = 16 << 10

// Options configure a client.
type Options struct {
	MaxConns int // connections of this process to the target; 0 means no bound
	// Gate is asked before each write to the target. An error keeps the bytes back and ends the call as NotSent. It
	// closes the gap between the decision to send and the write, in which a process may have been suspended.
	Gate func() error
	// Linger is the time for which a call that was canceled on a new connection still waits for its reply. The cost of a
	// connection can delay a refusal, which tells the state of the target, until after the cancellation.
	Linger time.Duration
	// DialContext replaces the dialer, for tests.
	DialContext func(ctx context.Context, network, addr string) (net.Conn, error)
}

// HTTP is the Client over HTTP/1.1 with JSON bodies.
type HTTP struct {
	base   string
	linger time.Duration
	pooled *http.Client // sub-requests and health
	single *http.Client // orders: one new connection each
}

// NewHTTP returns a client for the target at addr, and a function that closes its connections.
func NewHTTP(addr netip.AddrPort, opt Options) (*HTTP, func()) {
	dial := opt.DialContext
	if dial == nil {
		dial = (&net.Dialer{Timeout: time.Second, KeepAlive: -1}).DialContext
	}
	if opt.Gate != nil {
		dial = gatedDialer{dial: dial, gate: opt.Gate}.dialContext
	}
	pooled := &http.Transport{
		DialContext: dial, MaxConnsPerHost: opt.MaxConns, MaxIdleConnsPerHost: max(opt.MaxConns, 2),
		IdleConnTimeout: 30 * time.Second, DisableCompression: true, MaxResponseHeaderBytes: maxHeader,
	}
	// The Transport re-sends a request by itself when a reused connection fails; without keep-alive
	// no connection is ever reused.
	single := &http.Transport{
		DialContext: dial, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHeader,
	}
	c := &HTTP{base: "http://" + addr.String(), linger: opt.Linger, pooled: &http.Client{Transport: pooled}, single: &http.Client{Transport: single}}
	return c, c.Reset
}

// Reset implements Client.
func (c *HTTP) Reset() {
	c.pooled.CloseIdleConnections()
	c.single.CloseIdleConnections()
}

// Sub implements Client.
func (c *HTTP) Sub(ctx context.Context, s Sub) (SubReply, error) {
	var reply SubReply
	if err := c.post(ctx, c.pooled, PathSub, s, &reply); err != nil {
		return SubReply{}, err
	}
	if reply.RequestID != s.RequestID || reply.SubID != s.SubID {
		return SubReply{}, &Error{Kind: Garbled, Err: fmt.Errorf("reply to %s/%d for %s/%d", reply.RequestID, reply.SubID, s.RequestID, s.SubID)}
	}
	return reply, nil
}

// Order implements Client.
func (c *HTTP) Order(ctx context.Context, o Order) (OrderReply, error) {
	var reply OrderReply
	if err := c.post(ctx, c.single, PathOrder, o, &reply); err != nil {
		return OrderReply{}, err
	}
	if reply.RequestID != o.RequestID || reply.Token != o.Token {
		return OrderReply{}, &Error{Kind: Garbled, Err: errors.New("reply belongs to another order")}
	}
	return reply, nil
}

// Health implements Client.
func (c *HTTP) Health(ctx context.Context) (Health, error) {
	var h Health
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+PathHealth, nil)
	if err != nil {
		return Health{}, &Error{Kind: NotSent, Err: err}
	}
	err = c.do(c.pooled, req, &h)
	return h, err
}

func (c *HTTP) post(ctx context.Context, hc *http.Client, path string, body, reply any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return &Error{Kind: NotSent, Err: err}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(raw))
	if err != nil {
		return &Error{Kind: NotSent, Err: err}
	}
	req.Header.Set("Content-Type", "application/json")
	// Without GetBody the Transport can't send the request a second time.
	req.GetBody = nil
	return c.do(hc, req, reply)
}

// do sends the request once and classifies the outcome.
func (c *HTTP) do(hc *http.Client, req *http.Request, reply any) error {
	var connected, reused atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		connected.Store(true)
		reused.Store(info.Reused)
	}}
	asked := req.Context()
	ctx, cancel := context.WithCancel(context.WithoutCancel(asked))
	defer cancel()
	defer context.AfterFunc(asked, func() {
		if connected.Load() && !reused.Load() && errors.Is(asked.Err(), context.Canceled) {
			time.AfterFunc(c.linger, cancel)
			return
		}
		cancel()
	})()
	resp, err := hc.Do(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		var refused *gateError
		if !connected.Load() || errors.As(err, &refused) {
			return &Error{Kind: NotSent, Err: err}
		}
		return &Error{Kind: lostKind(asked), Err: err, NewConn: !reused.Load()}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxReply+1))
	switch {
	case err != nil && asked.Err() != nil:
		return &Error{Kind: TimedOut, Err: err}
	case err != nil:
		return &Error{Kind: Broken, Err: err}
	case len(raw) > maxReply:
		return &Error{Kind: Garbled, Err: fmt.Errorf("reply larger than %d bytes", maxReply)}
	}
	return decode(resp.StatusCode, raw, reply)
}

// gateError is the error of a write that the gate refused.
type gateError struct{ err error }

func (e *gateError) Error() string { return e.err.Error() }

func (e *gateError) Unwrap() error { return e.err }

type gatedDialer struct {
	dial func(ctx context.Context, network, addr string) (net.Conn, error)
	gate func() error
}

func (d gatedDialer) dialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := d.dial(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &gatedConn{Conn: c, gate: d.gate}, nil
}

type gatedConn struct {
	net.Conn
	gate func() error
}

// Write asks the gate first.
func (c *gatedConn) Write(p []byte) (int, error) {
	if err := c.gate(); err != nil {
		// The Transport closes the connection after this error, so a request of which a part was written is never
		// completed. Closing it here would let the read side report first, without the cause.
		return 0, &gateError{err}
	}
	return c.Conn.Write(p)
}

func lostKind(ctx context.Context) Kind {
	if ctx.Err() != nil {
		return TimedOut
	}
	return Broken
}

func decode(status int, raw []byte, reply any) error {
	switch status {
	case http.StatusOK:
		if err := json.Unmarshal(raw, reply); err != nil {
			return &Error{Kind: Garbled, Err: err}
		}
		return nil
	case http.StatusServiceUnavailable, http.StatusConflict, http.StatusBadRequest, http.StatusTooManyRequests:
		var refusal Refusal
		if err := json.Unmarshal(raw, &refusal); err != nil || refusal.Reason == "" {
			// Without the target's own word the request may have run.
			return &Error{Kind: Failed, Err: fmt.Errorf("status %d without a refusal body", status)}
		}
		return &Error{Kind: Refused, Refusal: refusal}
	default:
		return &Error{Kind: Failed, Err: fmt.Errorf("status %d", status)}
	}
}
