package entry

import (
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// idleConn returns a connection that the server reports as idle after an answer, and the caller's end of it.
func idleConn(t *testing.T, c *connTracker) (conn net.Conn, caller net.Conn) {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	caller, err = (&net.Dialer{}).DialContext(t.Context(), "tcp4", l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = caller.Close() })
	conn, err = callerListener{l}.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = conn.Write([]byte("answer"))
	assert.NilError(t, err)
	c.setState(conn, http.StateIdle)
	return conn, caller
}

// Guards against a planned stop that closes a connection whose request was read just before, while the server still reports
// the connection as idle. The request would be passed on to a target, and its answer could not be delivered.
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

// Guards against a request that arrives just after a planned stop has closed its connection, and that the server still reads.
// The request would be passed on to a target, and its answer could not be delivered.
func TestStopDropsRequestThatArrivesAfterClose(t *testing.T) {
	c := &connTracker{}
	conn, caller := idleConn(t, c)
	bytesRead := make(chan int, 1)
	go func() {
		n, _ := conn.Read(make([]byte, 64))
		bytesRead <- n
	}()
	time.Sleep(10 * time.Millisecond)
	assert.Equal(t, c.closeIdle(), 0)
	_, _ = caller.Write([]byte("GET / HTTP/1.1")) // may be reset
	assert.Equal(t, <-bytesRead, 0)
}
