package emul

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// connKey is the key under which the context of a request holds the conn of the request.
type connKey struct{}

// conn is one accepted connection of a Target.
type conn struct {
	net.Conn
	id              uint64
	owner           *Target
	requestReceived atomic.Bool // the first request has been received
	dropsBytes      atomic.Bool // every byte in either direction is dropped
	closed          chan struct{}
	once            sync.Once
}

// connID returns the number of the connection, or 0 if the connection is nil because another server accepted it.
func (c *conn) connID() uint64 {
	if c == nil {
		return 0
	}
	return c.id
}

// Read implements net.Conn. While dropsBytes is set, Read discards what the client sent and blocks until the connection is
// closed.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.dropsBytes.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn. While dropsBytes is set, Write reports success but discards the bytes.
func (c *conn) Write(p []byte) (int, error) {
	if c.dropsBytes.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn. If dropsBytes is set while the HTTP server waits for a request, Read blocks, and the server
// closes the connection only when the target stops. Until then the client sees an open connection.
func (c *conn) Close() error {
	c.owner.removeConn(c)
	return c.closeUnderlying()
}

// closeUnderlying ends a blocked Read and closes the wrapped connection.
func (c *conn) closeUnderlying() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// dropBytes makes the connection drop all bytes in both directions from now on, without an error on either side.
func (c *conn) dropBytes() { c.dropsBytes.Store(true) }

// reset closes the connection so that the client sees a connection reset instead of the end of the stream.
func (c *conn) reset() {
	resetConn(c.Conn)
	_ = c.closeUnderlying()
}

// resetConn resets a connection of an in-memory Network at once. A TCP connection is set to send a reset when it is closed.
func resetConn(nc net.Conn) {
	switch c := nc.(type) {
	case *net.TCPConn:
		_ = c.SetLinger(0)
	case *endpoint:
		c.reset()
	}
}

// targetListener accepts the connections of a Target and wraps each in a conn.
type targetListener struct {
	net.Listener
	owner *Target
}

// Accept implements net.Listener. Connections beyond Target.MaxConns and connections during a restart are reset.
func (l *targetListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c, ok := l.owner.accept(nc); ok {
			return c, nil
		}
		resetConn(nc)
		_ = nc.Close()
	}
}

// accept registers the connection, or returns false if it must be reset. A connection beyond MaxConns is recorded as an
// Overload.
func (t *Target) accept(nc net.Conn) (*conn, bool) {
	t.lock()
	defer t.mu.Unlock()
	now := time.Now()
	if now.Before(t.downUntil) {
		return nil, false
	}
	t.lastConnID++
	t.log.acceptedConns++
	t.log.maxConns = max(t.log.maxConns, len(t.conns)+1)
	if t.MaxConns > 0 && len(t.conns) >= t.MaxConns {
		t.log.overloads = append(t.log.overloads, Overload{
			At: now, Kind: KindConn, Conn: t.lastConnID, Concurrency: len(t.conns) + 1, Bound: t.MaxConns,
			State: t.state(), Incarnation: t.Incarnation,
		})
		return nil, false
	}
	c := &conn{Conn: nc, id: t.lastConnID, owner: t, closed: make(chan struct{})}
	t.conns[c] = true
	t.recordHealth()
	return c, true
}

// removeConn removes a closed connection from the open connections of the target.
func (t *Target) removeConn(c *conn) {
	t.lock()
	defer t.mu.Unlock()
	delete(t.conns, c)
	t.recordHealth()
}

// Serve accepts connections from l in a separate goroutine. The returned function closes the listener and all connections,
// waits for that goroutine, and ends all running work with OutcomeLost.
func (t *Target) Serve(l net.Listener) func() {
	srv := &http.Server{
		Handler:     t,
		IdleTimeout: t.IdleTimeout,
		ConnContext: func(ctx context.Context, nc net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, nc)
		},
	}
	stop := serve(srv, &targetListener{Listener: l, owner: t})
	return func() {
		stop()
		t.stopRunning()
	}
}
