package entry

import (
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// idleConn is a connection that the server calls idle after an answer, and its other end.
func idleConn(t *testing.T, c *connTracker) (conn net.Conn, caller net.Conn) {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	caller, err = (&net.Dialer{}).DialContext(t.Context(), "tcp4", l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = caller.Close() })
	conn, err = callersListener{l}.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = conn.Write([]byte("answer"))
	assert.NilError(t, err)
	c.setState(conn, http.StateIdle)
	return conn, caller
}

// A planned stop closes a connection whose request was read just before, while the server still calls it idle: the request
// is passed on and its answer has nowhere to go.
func TestStopKeepsConnectionWhoseRequestWasRead(t *testing.T) {
	c := &connTracker{}
	conn, caller := idleConn(t, c)
	_, err := caller.Write([]byte("GET / HTTP/1.1"))
	assert.NilError(t, err)
	_, err = conn.Read(make([]byte, 64))
	assert.NilError(t, err)
	assert.Equal(t, c.closeIdle(), 1)
	_, err = conn.Write([]byte("answer"))
	assert.NilError(t, err)
	assert.Equal(t, c.closeIdle(), 0, "closed once it has been answered")
}

// The other order: what comes after the close is not handed to the server, so that it isn't passed on.
func TestStopDropsRequestThatCrossesTheClose(t *testing.T) {
	c := &connTracker{}
	conn, caller := idleConn(t, c)
	got := make(chan int, 1)
	go func() {
		n, _ := conn.Read(make([]byte, 64))
		got <- n
	}()
	time.Sleep(10 * time.Millisecond)
	assert.Equal(t, c.closeIdle(), 0)
	_, _ = caller.Write([]byte("GET / HTTP/1.1")) // may be reset
	assert.Equal(t, <-got, 0)
}
