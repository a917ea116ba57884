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

// maxHeader is the largest header of a reply that is read, in bytes.
const maxHeader = 16 << 10

// Options configures an HTTP client.
type Options struct {
	MaxConns int // largest number of connections of this client to the target at the same time; 0 means no bound
	// Gate is called before each write to a connection, and checks whether the request may still be sent. This is needed
	// because the process may have been suspended between the decision to send a request and the write. If Gate returns an
	// error, nothing is written and the call fails with NotSent.
	Gate func() error
	// Linger is the time for which a call on a new connection still waits for the reply after the call was canceled. The
	// target may take so long to accept the connection that its refusal, which states its load and state, arrives only
	// after the cancellation.
	Linger time.Duration
	// DialContext replaces the dialer, for tests.
	DialContext func(ctx context.Context, network, addr string) (net.Conn, error)
}

// HTTP implements Client over HTTP/1.1 with JSON bodies.
type HTTP struct {
	baseURL  string
	linger   time.Duration
	pooled   *http.Client // for sub-requests and health
	unpooled *http.Client // for orders; each order uses a new connection
}

// NewHTTP returns a client for the target at addr, and a function that closes the client's idle connections.
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
	// The Transport sends a request again by itself when a reused connection fails. Without keep-alive no connection is
	// ever reused, so an order is sent at most once.
	unpooled := &http.Transport{
		DialContext: dial, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHeader,
	}
	c := &HTTP{baseURL: "http://" + addr.String(), linger: opt.Linger, pooled: &http.Client{Transport: pooled}, unpooled: &http.Client{Transport: unpooled}}
	return c, c.Reset
}

// Reset implements Client.
func (c *HTTP) Reset() {
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}

// Sub implements Client.
func (c *HTTP) Sub(ctx context.Context, s Sub) (SubReply, error) {
	var reply SubReply
	if err := c.post(ctx, c.pooled, PathSub, s, &reply); err != nil {
		return SubReply{}, err
	}
	if reply.RequestID != s.RequestID || reply.SubID != s.SubID {
		return SubReply{}, &Error{Kind: Garbled, Err: fmt.Errorf("reply belongs to sub-request %s/%d instead of %s/%d", reply.RequestID, reply.SubID, s.RequestID, s.SubID)}
	}
	return reply, nil
}

// Order implements Client.
func (c *HTTP) Order(ctx context.Context, o Order) (OrderReply, error) {
	var reply OrderReply
	if err := c.post(ctx, c.unpooled, PathOrder, o, &reply); err != nil {
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
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+PathHealth, nil)
	if err != nil {
		return Health{}, &Error{Kind: NotSent, Err: err}
	}
	err = c.sendOnce(c.pooled, req, &h)
	return h, err
}

// post sends body as JSON to the path and decodes the reply.
func (c *HTTP) post(ctx context.Context, httpClient *http.Client, path string, body, reply any) error {
	requestBody, err := json.Marshal(body)
	if err != nil {
		return &Error{Kind: NotSent, Err: err}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+path, bytes.NewReader(requestBody))
	if err != nil {
		return &Error{Kind: NotSent, Err: err}
	}
	req.Header.Set("Content-Type", "application/json")
	// Without GetBody the Transport can't send the request a second time.
	req.GetBody = nil
	return c.sendOnce(httpClient, req, reply)
}

// sendOnce sends the request once and decodes the reply. On failure it returns an *Error of the Kind that applies. A call that
// is canceled on a new connection still waits for its reply for the time Options.Linger.
func (c *HTTP) sendOnce(httpClient *http.Client, req *http.Request, reply any) error {
	var connected, reused atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		connected.Store(true)
		reused.Store(info.Reused)
	}}
	callCtx := req.Context()
	ctx, cancel := context.WithCancel(context.WithoutCancel(callCtx))
	defer cancel()
	defer context.AfterFunc(callCtx, func() {
		if connected.Load() && !reused.Load() && errors.Is(callCtx.Err(), context.Canceled) {
			time.AfterFunc(c.linger, cancel)
			return
		}
		cancel()
	})()
	resp, err := httpClient.Do(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		var gateErr *gateError
		if !connected.Load() || errors.As(err, &gateErr) {
			return &Error{Kind: NotSent, Err: err}
		}
		return &Error{Kind: lostReplyKind(callCtx), Err: err, NewConn: !reused.Load()}
	}
	defer resp.Body.Close()
	replyBody, err := io.ReadAll(io.LimitReader(resp.Body, maxReply+1))
	switch {
	case err != nil && callCtx.Err() != nil:
		return &Error{Kind: TimedOut, Err: err}
	case err != nil:
		return &Error{Kind: Broken, Err: err}
	case len(replyBody) > maxReply:
		return &Error{Kind: Garbled, Err: fmt.Errorf("reply larger than %d bytes", maxReply)}
	}
	return decodeReply(resp.StatusCode, replyBody, reply)
}

// gateError is the error of a write that Options.Gate refused. Its type distinguishes it from errors of the connection.
type gateError struct{ err error }

func (e *gateError) Error() string { return e.err.Error() }

func (e *gateError) Unwrap() error { return e.err }

// gatedDialer opens connections that call gate before each write.
type gatedDialer struct {
	dial func(ctx context.Context, network, addr string) (net.Conn, error)
	gate func() error
}

// dialContext opens a connection that calls gate before each write.
func (d gatedDialer) dialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := d.dial(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &gatedConn{Conn: c, gate: d.gate}, nil
}

// gatedConn is a connection that calls gate before each write.
type gatedConn struct {
	net.Conn
	gate func() error
}

// Write writes p, or returns a *gateError and writes nothing if gate returns an error.
func (c *gatedConn) Write(p []byte) (int, error) {
	if err := c.gate(); err != nil {
		// The Transport closes the connection after this error, so a request of which a part was already written is never
		// completed. Write doesn't close the connection itself, because the read loop of the Transport could then report
		// its own error first, which hides the error of gate.
		return 0, &gateError{err}
	}
	return c.Conn.Write(p)
}

// lostReplyKind returns the kind of a call whose connection ended without a reply: TimedOut if the context of the call has
// ended, otherwise Broken.
func lostReplyKind(ctx context.Context) Kind {
	if ctx.Err() != nil {
		return TimedOut
	}
	return Broken
}

// decodeReply decodes the body of a reply with the given HTTP status into reply. For a status other than 200 it returns an *Error
// of the Kind that the status and the body state.
func decodeReply(status int, replyBody []byte, reply any) error {
	switch status {
	case http.StatusOK:
		if err := json.Unmarshal(replyBody, reply); err != nil {
			return &Error{Kind: Garbled, Err: err}
		}
		return nil
	case http.StatusServiceUnavailable, http.StatusConflict, http.StatusBadRequest, http.StatusTooManyRequests:
		var refusal Refusal
		if err := json.Unmarshal(replyBody, &refusal); err != nil || refusal.Reason == "" {
			// The body doesn't state that the target refused the request, so the request may have run.
			return &Error{Kind: Failed, Err: fmt.Errorf("status %d without a refusal body", status)}
		}
		return &Error{Kind: Refused, Refusal: refusal}
	default:
		return &Error{Kind: Failed, Err: fmt.Errorf("status %d", status)}
	}
}
