package entry

import (
	"net"
	"net/http"
	"sync"
)

// connTracker records the states of the open connections of callers, so that a planned stop can close the idle ones. It
// replaces http.Server.Shutdown, which closes a connection without an answer if its request was read just after the shutdown
// began.
type connTracker struct {
	mu     sync.Mutex
	states map[net.Conn]http.ConnState
}

// callerListener accepts connections of callers, each as a callerConn.
type callerListener struct{ net.Listener }

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: raw}, nil
}

// callerConn is a connection of a caller that records whether part of a request has been read since the last answer. The
// state that http.Server reports doesn't show this: it is idle until the headers of the next request have been parsed.
type callerConn struct {
	net.Conn
	mu              sync.Mutex
	awaitingRequest bool // an answer has been written, and nothing has been read since
	closed          bool // set by closeIfAwaitingRequest
}

// Read implements net.Conn. Data that arrives after closeIfAwaitingRequest is dropped, because a request in that data could
// not be answered.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	if n > 0 {
		c.awaitingRequest = false
	}
	return n, err
}

// Write implements net.Conn.
func (c *callerConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.awaitingRequest = true
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// closeIfAwaitingRequest closes the connection if an answer has been written and nothing has been read since. It reports
// whether it has closed the connection.
func (c *callerConn) closeIfAwaitingRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.awaitingRequest {
		return false
	}
	c.closed = true
	_ = c.Close()
	return true
}

// setState records a new state of a connection. It is the ConnState hook of the http.Server for callers.
func (c *connTracker) setState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(c.states, conn)
	default:
		if c.states == nil {
			c.states = map[net.Conn]http.ConnState{}
		}
		c.states[conn] = state
	}
}

// closeIdle closes the idle connections on which no request has been read, and returns the number of the other connections.
func (c *connTracker) closeIdle() (busy int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, state := range c.states {
		if state != http.StateIdle || !conn.(*callerConn).closeIfAwaitingRequest() {
			busy++
		}
	}
	return busy
}
