package entry

import (
	"net"
	"net/http"
	"sync"
)

// connTracker are the open connections of callers. http.Server.Shutdown isn't used for planned stops: it closes a connection
// without an answer if its request was read just after the shutdown began.
type connTracker struct {
	mu     sync.Mutex
	states map[net.Conn]http.ConnState
}

// callersListener accepts connections that know whether a request has been read.
type callersListener struct{ net.Listener }

// Accept implements net.Listener.
func (l callersListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: raw}, nil
}

// callerConn is a connection of a caller. The server calls it idle until it has parsed the head of the next request, so
// that its state alone doesn't tell whether one has been read.
type callerConn struct {
	net.Conn
	mu     sync.Mutex
	unread bool // nothing has been read since the last write
	closed bool // by closeUnread
}

// Read implements net.Conn. What comes after closeUnread isn't handed on: nobody could answer it.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	if n > 0 {
		c.unread = false
	}
	return n, err
}

// Write implements net.Conn.
func (c *callerConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.unread = true
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// closeUnread closes the connection, unless something has been read since the last answer.
func (c *callerConn) closeUnread() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.unread {
		return false
	}
	c.closed = true
	_ = c.Close()
	return true
}

// setState takes a change of state; it is an http.Server.ConnState.
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

// closeIdle closes the connections on which no request is expected to be answered, and returns the number of the others.
func (c *connTracker) closeIdle() (busy int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, state := range c.states {
		if state != http.StateIdle || !conn.(*callerConn).closeUnread() {
			busy++
		}
	}
	return busy
}
