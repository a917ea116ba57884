package emul_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/websocket"
	"gotest.tools/v3/assert"

	"github.com/fuchsiarelay/fuchsiarelay/internal/emul"
)

// runWithConnPair runs f with both ends of a connection inside a synctest bubble.
func runWithConnPair(t *testing.T, f func(link *emul.Link, dialed, accepted net.Conn)) {
	synctest.Test(t, func(t *testing.T) {
		nw, closeNetwork := emul.NewNetwork()
		defer closeNetwork()
		nw.Latency = func(string, netip.AddrPort) time.Duration { return time.Millisecond }
		l, err := nw.Listen(targetAddr)
		assert.NilError(t, err)
		start := time.Now()
		dialed, err := nw.Dialer("a")(t.Context(), "tcp", targetAddr.String())
		assert.NilError(t, err)
		assert.Equal(t, time.Since(start), 2*time.Millisecond)
		accepted, err := l.Accept()
		assert.NilError(t, err)
		f(nw.Link("a", targetAddr), dialed, accepted)
	})
}

// send writes the text to the connection and fails the test if Write fails.
func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	_, err := c.Write([]byte(text))
	assert.NilError(t, err)
}

// receive returns the result of one Read from the connection.
func receive(c net.Conn) (string, error) {
	b := make([]byte, 100)
	n, err := c.Read(b)
	return string(b[:n]), err
}

// Guards against writes that block until the reader reads, wrong delays, and data that is lost by an orderly close.
func TestConnDelayAndClose(t *testing.T) {
	runWithConnPair(t, func(_ *emul.Link, dialed, accepted net.Conn) {
		start := time.Now()
		send(t, dialed, "one")
		send(t, accepted, "two")
		assert.NilError(t, dialed.Close())
		got, err := receive(accepted)
		assert.NilError(t, err)
		assert.Equal(t, got, "one")
		assert.Equal(t, time.Since(start), time.Millisecond)
		_, err = receive(accepted)
		assert.Assert(t, errors.Is(err, io.EOF))
		_, err = accepted.Write([]byte("late"))
		assert.Assert(t, errors.Is(err, syscall.EPIPE))
	})
}

// Guards against deadlines that don't wake a blocked reader or writer.
func TestConnDeadlines(t *testing.T) {
	runWithConnPair(t, func(_ *emul.Link, dialed, _ net.Conn) {
		assert.NilError(t, dialed.SetReadDeadline(time.Now().Add(second)))
		start := time.Now()
		_, err := receive(dialed)
		assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded))
		assert.Equal(t, time.Since(start), second)
		assert.NilError(t, dialed.SetWriteDeadline(time.Now().Add(second)))
		_, err = dialed.Write(make([]byte, 2<<20))
		assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded))
		assert.NilError(t, dialed.SetReadDeadline(time.Time{}))
		time.AfterFunc(second, func() { _ = dialed.SetReadDeadline(time.Unix(1, 0)) })
		_, err = receive(dialed)
		assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded))
	})
}

// Guards against Hold, Release, SetResetAfter, DropBytes and ResetAndRefuse that affect the wrong bytes or connections.
func TestLinkFaults(t *testing.T) {
	runWithConnPair(t, func(link *emul.Link, dialed, accepted net.Conn) {
		link.Hold(emul.DialSide)
		send(t, dialed, "held")
		time.AfterFunc(second, func() { link.Release(emul.DialSide) })
		start := time.Now()
		got, err := receive(accepted)
		assert.NilError(t, err)
		assert.Equal(t, got, "held")
		assert.Equal(t, time.Since(start), second)

		link.SetResetAfter(emul.ListenSide, 5)
		send(t, accepted, "1234")
		_, err = accepted.Write([]byte("5"))
		assert.Assert(t, errors.Is(err, syscall.ECONNRESET))
		_, err = receive(dialed)
		assert.Assert(t, errors.Is(err, syscall.ECONNRESET))
		assert.Equal(t, link.Conns(), 0)
	})
	runWithConnPair(t, func(link *emul.Link, dialed, accepted net.Conn) {
		link.DropBytes(false)
		send(t, dialed, "lost")
		assert.NilError(t, dialed.Close())
		assert.NilError(t, accepted.SetReadDeadline(time.Now().Add(second)))
		_, err := receive(accepted)
		assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded))
		link.ResetAndRefuse()
		_, err = receive(accepted)
		assert.Assert(t, errors.Is(err, syscall.ECONNRESET))
	})
}

// Guards against attempts to connect that succeed despite ResetAndRefuse or BlockLinks, or never return, and against faults
// that affect other links.
func TestDialFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw, closeNetwork := emul.NewNetwork()
		defer closeNetwork()
		_, err := nw.Listen(targetAddr)
		assert.NilError(t, err)
		dial := func(from string) error {
			ctx, cancel := context.WithTimeout(t.Context(), second)
			defer cancel()
			_, err := nw.Dialer(from)(ctx, "tcp", targetAddr.String())
			return err
		}
		nw.Link("a", targetAddr).ResetAndRefuse()
		assert.Assert(t, errors.Is(dial("a"), syscall.ECONNREFUSED))
		assert.NilError(t, dial("b"))
		nw.BlockLinks(func(from string, _ netip.AddrPort) bool { return from == "b" })
		assert.Assert(t, errors.Is(dial("b"), context.DeadlineExceeded))
		nw.UnblockLinks()
		assert.NilError(t, dial("a"))
		assert.NilError(t, dial("b"))
	})
}

// Guards against a network on which WebSocket connections don't work or don't end inside a synctest bubble.
func TestWebSocket(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw, closeNetwork := emul.NewNetwork()
		defer closeNetwork()
		l, err := nw.Listen(targetAddr)
		assert.NilError(t, err)
		srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			c, err := websocket.Accept(w, r, nil)
			if err != nil {
				return
			}
			kind, msg, err := c.Read(r.Context())
			if err == nil {
				_ = c.Write(r.Context(), kind, msg)
			}
			_, _, _ = c.Read(r.Context())
		})}
		go func() { _ = srv.Serve(l) }()
		defer srv.Close()
		tr := &http.Transport{DialContext: nw.Dialer("a")}
		defer tr.CloseIdleConnections()
		opt := &websocket.DialOptions{HTTPClient: &http.Client{Transport: tr}}
		c, _, err := websocket.Dial(t.Context(), "ws://"+targetAddr.String(), opt) //nolint:bodyclose // the library closes it
		assert.NilError(t, err)
		assert.NilError(t, c.Write(t.Context(), websocket.MessageBinary, make([]byte, 20<<10)))
		_, msg, err := c.Read(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, len(msg), 20<<10)
		assert.NilError(t, c.CloseNow())
	})
}
