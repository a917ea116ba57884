package emul

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

type connKey struct{}

// conn is one accepted connection of a Target.
type conn struct {
	net.Conn
	id              uint64
	owner           *Target
	requestReceived atomic.Bool // a request has been read
	silent          atomic.Bool
	closed          chan struct{}
	once            sync.Once
}

func (c *conn) connID() uint64 {
	if c == nil {
		return 0
	}
	return c.id
}

// Read blocks until the connection is closed once it is silent.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.silent.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write loses the bytes once the connection is silent.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn. A silent connection stays open towards the client until the target stops.
func (c *conn) Close() error {
	c.owner.removeConn(c)
	return c.closeUnderlying()
}

func (c *conn) closeUnderlying() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func (c *conn) silence() { c.silent.Store(true) }

// reset closes the connection so that the client sees a reset and not an orderly end.
func (c *conn) reset() {
	resetConn(c.Conn)
	_ = c.closeUnderlying()
}

func resetConn(nc net.Conn) {
	switch c := nc.(type) {
	case *net.TCPConn:
		_ = c.SetLinger(0)
	case *endpoint:
		c.reset()
	}
}

// listener wraps the connections of a Target.
type listener struct {
	net.Listener
	owner *Target
}

// Accept implements net.Listener. Connections beyond MaxConns or during a restart are reset.
func (l *listener) Accept() (net.Conn, error) {
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

func (t *Target) accept(nc net.Conn) (*conn, bool) {
	t.lock()
	defer t.mu.Unlock()
	now := time.Now()
	if now.Before(t.downUntil) {
		return nil, false
	}
	t.lastConnID++
	t.log.accepted++
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

func (t *Target) removeConn(c *conn) {
	t.lock()
	defer t.mu.Unlock()
	delete(t.conns, c)
	t.recordHealth()
}

// Serve accepts connections from l in a goroutine of its own. The returned function closes the listener
// and all connections and waits for that goroutine.
func (t *Target) Serve(l net.Listener) func() {
	srv := &http.Server{
		Handler:     t,
		IdleTimeout: t.IdleTimeout,
		ConnContext: func(ctx context.Context, nc net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, nc)
		},
	}
	stop := serve(srv, &listener{Listener: l, owner: t})
	return func() {
		stop()
		t.stopRunning()
	}
}
