package entry

import (
	"net"
	"net/http"
	"sync"
)

// conns are the open connections of callers. http.Server.Shutdown isn't used for planned stops: it closes a connection
// without an answer if its request was read just after the shutdown began.
type conns struct {
	mu     sync.Mutex
	states map[net.Conn]http.ConnState
}

// observe takes a change of state; it is an http.Server.ConnState.
func (c *conns) observe(conn net.Conn, state http.ConnState) {
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
func (c *conns) closeIdle() (busy int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, state := range c.states {
		if state == http.StateIdle {
			_ = conn.Close()
		} else {
			busy++
		}
	}
	return busy
}
