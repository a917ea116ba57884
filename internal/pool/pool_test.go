package pool

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// HasEnded distinguishes a target that has ended from one that has only closed a connection, and from one that closes each
// connection at once, whose state is unknown.
func TestHasEnded(t *testing.T) {
	s := serveReplies(t, func(n int64, _ *http.Request) (string, bool) { return okReply("x"), n > 1 })
	p := newPool(t)
	_, failure := do(t, p, s, getRequest())
	assert.Assert(t, failure == nil)
	ended, err := p.HasEnded(t.Context(), s.target)
	assert.NilError(t, err)
	assert.Assert(t, !ended, "the target accepts a new connection")
	conns := s.conns.Load()
	ended, err = p.HasEnded(t.Context(), s.target)
	assert.NilError(t, err)
	assert.Assert(t, !ended)
	assert.Equal(t, s.conns.Load(), conns, "the open connection shows that the target is running")

	closingTarget := serveConns(t, func(*testTarget, net.Conn) {})
	closingTarget.target.ID = "closes"
	ended, err = p.HasEnded(t.Context(), closingTarget.target)
	assert.ErrorContains(t, err, "closes them")
	assert.Assert(t, !ended)

	l := listen(t)
	endedTarget := Target{ID: "gone", Addr: netip.MustParseAddrPort(l.Addr().String())}
	assert.NilError(t, l.Close())
	ended, err = p.HasEnded(t.Context(), endedTarget)
	assert.NilError(t, err)
	assert.Assert(t, ended)
}

// EndedTargets returns only targets that have ended: not targets that close a connection after a reply, and not targets that
// close connections that were never used.
func TestEndedTargets(t *testing.T) {
	p := newPool(t)
	liveTarget := serveReplies(t, func(int64, *http.Request) (string, bool) { return okReply("x"), true })
	liveTarget.target.ID = "lives"
	closingTarget := serveReplies(t, func(int64, *http.Request) (string, bool) { return okReply("x"), false })
	closingTarget.target.ID = "closes"
	unusedTarget := serveConns(t, func(*testTarget, net.Conn) {})
	unusedTarget.target.ID = "unused"
	for _, s := range []*testTarget{liveTarget, closingTarget} {
		_, failure := do(t, p, s, getRequest())
		assert.Assert(t, failure == nil)
	}
	assert.NilError(t, p.Preconnect(t.Context(), unusedTarget.target))

	l := listen(t)
	endedTarget := Target{ID: "ends", Addr: netip.MustParseAddrPort(l.Addr().String())}
	acceptedConn := make(chan net.Conn, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_, _ = io.WriteString(c, okReply("x"))
		acceptedConn <- c
	}()
	_, err := p.Do(t.Context(), endedTarget, getRequest())
	assert.NilError(t, err)
	_, _ = l.Close(), (<-acceptedConn).Close()
	time.Sleep(20 * time.Millisecond)
	assert.DeepEqual(t, p.EndedTargets(t.Context(), time.Second, 16), []string{"ends"})
}

// testTarget is a target whose connections are handled by a function, with counters of its requests and connections.
type testTarget struct {
	target   Target
	requests atomic.Int64
	conns    atomic.Int64
}

// serveReplies starts a target that answers each request with the bytes that the function reply returns. The number n counts
// the requests from 1. The second result of reply is whether to keep the connection.
func serveReplies(t *testing.T, reply func(n int64, r *http.Request) (string, bool)) *testTarget {
	t.Helper()
	return serveConns(t, func(s *testTarget, c net.Conn) {
		reader := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			text, keep := reply(s.requests.Add(1), r)
			_, _ = io.WriteString(c, text)
			if !keep {
				return
			}
		}
	})
}

// serveConns starts a target that passes each connection to the function handle, and closes the connection after handle
// returns.
func serveConns(t *testing.T, handle func(s *testTarget, c net.Conn)) *testTarget {
	t.Helper()
	l := listen(t)
	t.Cleanup(func() { _ = l.Close() })
	s := &testTarget{target: Target{ID: "t", Addr: netip.MustParseAddrPort(l.Addr().String())}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go func() {
				defer func() { _ = c.Close() }()
				handle(s, c)
			}()
		}
	}()
	return s
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	return l
}

func okReply(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func getRequest() *Request {
	return &Request{Method: "GET", Head: Head("GET", "/a?b=c", "desk", nil, 0)}
}

func newPool(t *testing.T) *Pool {
	t.Helper()
	p, closePool := New(Config{})
	t.Cleanup(closePool)
	return p
}

func do(t *testing.T, p *Pool, s *testTarget, r *Request) (Reply, *Error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	reply, err := p.Do(ctx, s.target, r)
	var failure *Error
	if err != nil {
		assert.Assert(t, errors.As(err, &failure))
	}
	return reply, failure
}

func TestConnectionIsKept(t *testing.T) {
	s := serveReplies(t, func(_ int64, r *http.Request) (string, bool) { return okReply(r.Method + r.RequestURI + r.Host), true })
	p := newPool(t)
	for range 3 {
		reply, err := do(t, p, s, getRequest())
		assert.Assert(t, err == nil)
		assert.Equal(t, string(reply.Body), "GET/a?b=cdesk")
	}
	assert.Equal(t, s.conns.Load(), int64(1))
}

// A request isn't repeated when a kept connection breaks. http.Transport would repeat it, so that the target might run it
// twice.
func TestRequestIsNotRepeated(t *testing.T) {
	s := serveReplies(t, func(n int64, _ *http.Request) (string, bool) {
		if n == 1 {
			return okReply("x"), true
		}
		return "", false
	})
	p := newPool(t)
	_, err := do(t, p, s, getRequest())
	assert.Assert(t, err == nil)
	_, err = do(t, p, s, getRequest())
	assert.Assert(t, err != nil && !err.NotSent && !err.TimedOut, "%v", err)
	assert.Equal(t, s.requests.Load(), int64(2))
}

// A connection that the target has closed while it was idle isn't used for a request.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	s := serveReplies(t, func(n int64, _ *http.Request) (string, bool) { return okReply("x"), n > 1 })
	p := newPool(t)
	_, err := do(t, p, s, getRequest())
	assert.Assert(t, err == nil)
	time.Sleep(50 * time.Millisecond)
	_, err = do(t, p, s, getRequest())
	assert.Assert(t, err == nil, "%v", err)
	assert.Equal(t, s.conns.Load(), int64(2))
}

// A connection isn't used again if bytes follow the reply, since they belong to no request.
func TestBytesAfterReply(t *testing.T) {
	for name, sentLater := range map[string]bool{"at once": false, "late": true} {
		t.Run(name, func(t *testing.T) {
			s := serveReplies(t, func(int64, *http.Request) (string, bool) {
				if sentLater {
					return okReply("x"), true
				}
				return okReply("x") + okReply("stray"), true
			})
			if sentLater {
				s = serveStrayReply(t)
			}
			p := newPool(t)
			for range 2 {
				reply, err := do(t, p, s, getRequest())
				assert.Assert(t, err == nil, "%v", err)
				assert.Equal(t, string(reply.Body), "x")
				time.Sleep(60 * time.Millisecond)
			}
			assert.Equal(t, s.conns.Load(), int64(2))
		})
	}
}

// serveStrayReply starts a target that sends a second reply some time after the first.
func serveStrayReply(t *testing.T) *testTarget {
	t.Helper()
	return serveConns(t, func(_ *testTarget, c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, okReply("x"))
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(c, okReply("stray"))
		time.Sleep(200 * time.Millisecond)
	})
}

func TestIncompleteReplies(t *testing.T) {
	for name, text := range map[string]string{
		"cut short":      "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nx",
		"no reply":       "",
		"not HTTP":       "nonsense\r\n\r\n",
		"cut in a chunk": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nx",
	} {
		t.Run(name, func(t *testing.T) {
			s := serveReplies(t, func(int64, *http.Request) (string, bool) { return text, false })
			_, err := do(t, newPool(t), s, getRequest())
			assert.Assert(t, err != nil && !err.NotSent, "%v", err)
		})
	}
}

// A reply that states no length ends when the target closes the connection.
func TestReplyWithoutLength(t *testing.T) {
	s := serveReplies(t, func(int64, *http.Request) (string, bool) { return "HTTP/1.1 200 OK\r\n\r\nwhole", false })
	reply, err := do(t, newPool(t), s, getRequest())
	assert.Assert(t, err == nil)
	assert.Equal(t, string(reply.Body), "whole")
}

// A reply that Accept rejects isn't returned, and its connection isn't used again: the reply to an earlier request must not
// reach the caller of a later one.
func TestReplyOfAnotherRequest(t *testing.T) {
	s := serveReplies(t, func(int64, *http.Request) (string, bool) { return okReply("x"), true })
	r := getRequest()
	r.Accept = func(int, http.Header) bool { return false }
	p := newPool(t)
	_, err := do(t, p, s, r)
	assert.Assert(t, err != nil && !err.NotSent && errors.Is(err, errOtherRequest))
	_, err = do(t, p, s, getRequest())
	assert.Assert(t, err == nil)
	assert.Equal(t, s.conns.Load(), int64(2))
}

func TestConnectionRefused(t *testing.T) {
	l := listen(t)
	s := &testTarget{target: Target{ID: "t", Addr: netip.MustParseAddrPort(l.Addr().String())}}
	assert.NilError(t, l.Close())
	_, failure := do(t, newPool(t), s, getRequest())
	assert.Assert(t, failure != nil && failure.NotSent)
}

func TestReplyTimeout(t *testing.T) {
	s := serveReplies(t, func(int64, *http.Request) (string, bool) {
		time.Sleep(time.Second)
		return "", false
	})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := newPool(t).Do(ctx, s.target, getRequest())
	var failure *Error
	assert.Assert(t, errors.As(err, &failure) && failure.TimedOut && !failure.NotSent)
}

// The reply is read if a target refuses a long request before it has read all of it.
func TestEarlyReplyToLongRequest(t *testing.T) {
	l := listen(t)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = c.Read(make([]byte, 512))
		_, _ = io.WriteString(c, "HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		time.Sleep(100 * time.Millisecond)
		_, _ = io.Copy(io.Discard, c)
		_ = c.Close()
	}()
	s := &testTarget{target: Target{ID: "t", Addr: netip.MustParseAddrPort(l.Addr().String())}}
	reply, failure := do(t, newPool(t), s, &Request{Method: "POST", Head: Head("POST", "/", "h", nil, 1<<20), Body: []byte(strings.Repeat("x", 1<<20))})
	assert.Assert(t, failure == nil, "%v", failure)
	assert.Equal(t, reply.Status, 413)
}

func TestKeepAliveTimeout(t *testing.T) {
	s := serveReplies(t, func(int64, *http.Request) (string, bool) {
		return "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 0\r\n\r\n", true
	})
	p := newPool(t)
	_, err := do(t, p, s, getRequest())
	assert.Assert(t, err == nil)
	time.Sleep(time.Second - DefaultIdleMargin + 20*time.Millisecond)
	_, err = do(t, p, s, getRequest())
	assert.Assert(t, err == nil)
	assert.Equal(t, s.conns.Load(), int64(2))
}

// A request with a bound for the idle time doesn't use a connection that was idle for longer: the target may have dropped
// that connection.
func TestMaxIdle(t *testing.T) {
	s := serveReplies(t, func(int64, *http.Request) (string, bool) { return okReply("x"), true })
	p := newPool(t)
	r := getRequest()
	r.MaxIdle = 40 * time.Millisecond
	for range 2 {
		_, err := do(t, p, s, r)
		assert.Assert(t, err == nil)
	}
	assert.Equal(t, s.conns.Load(), int64(1))
	time.Sleep(60 * time.Millisecond)
	_, err := do(t, p, s, r)
	assert.Assert(t, err == nil)
	assert.Equal(t, s.conns.Load(), int64(2))
}

// A connection that was opened ahead of any request is used by the next one.
func TestPreconnect(t *testing.T) {
	s := serveReplies(t, func(int64, *http.Request) (string, bool) { return okReply("x"), true })
	p := newPool(t)
	for range 2 {
		assert.NilError(t, p.Preconnect(t.Context(), s.target))
	}
	assert.Assert(t, p.HasIdle("t"))
	_, err := do(t, p, s, getRequest())
	assert.Assert(t, err == nil)
	assert.Equal(t, s.conns.Load(), int64(1))
}

func TestHeadHasNoBody(t *testing.T) {
	s := serveReplies(t, func(int64, *http.Request) (string, bool) { return "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", true })
	r := getRequest()
	r.Method, r.Head = "HEAD", Head("HEAD", "/", "desk", nil, 0)
	reply, err := do(t, newPool(t), s, r)
	assert.Assert(t, err == nil, "%v", err)
	assert.Equal(t, len(reply.Body), 0)
}

// A target sends an earlier reply a second time, before the reply to the next request: that request gets its own reply, and
// the connection isn't used again.
func TestDuplicateOfEarlierReply(t *testing.T) {
	s := serveReplies(t, func(n int64, r *http.Request) (string, bool) {
		ownReply := taggedReply(r.URL.Path)
		if n == 2 {
			return taggedReply("/first") + ownReply, true
		}
		return ownReply, true
	})
	p := newPool(t)
	for _, path := range []string{"/first", "/second", "/third"} {
		r := &Request{Method: "GET", Head: Head("GET", path, "desk", nil, 0)}
		r.Accept = func(_ int, h http.Header) bool { return h.Get("Tag") == path }
		reply, err := do(t, p, s, r)
		assert.Assert(t, err == nil, "%v", err)
		assert.Equal(t, string(reply.Body), path)
		assert.Equal(t, reply.AfterSkippedReplies, path == "/second")
	}
	assert.Equal(t, s.conns.Load(), int64(2))
}

// taggedReply returns a reply with a header field that names the request path.
func taggedReply(path string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nTag: %s\r\nContent-Length: %d\r\n\r\n%s", path, len(path), path)
}

// A faulty target sends bytes without end, until the connection is closed. The bytes that are read are bounded in the head,
// in a header field, in interim replies and in bodies of any framing, also for several concurrent requests.
func TestEndlessReplies(t *testing.T) {
	for name, x := range map[string]struct{ first, more string }{
		"status line":               {"HTTP/1.1 200 ", "OK"},
		"one header":                {"HTTP/1.1 200 OK\r\nA: ", "x"},
		"many headers":              {"HTTP/1.1 200 OK\r\n", "A: x\r\n"},
		"interim replies":           {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"no HTTP":                   {"", "nonsense"},
		"chunks":                    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"chunk header":              {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
		"trailer":                   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", "A: x\r\n"},
		"no length":                 {"HTTP/1.1 200 OK\r\n\r\n", "x"},
		"replies to other requests": {"", taggedReply("/other")},
	} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			closed := make(chan struct{}, 8)
			s := serveConns(t, func(_ *testTarget, c net.Conn) {
				_, _ = http.ReadRequest(bufio.NewReader(c))
				_, _ = io.WriteString(c, x.first)
				more := strings.Repeat(x.more, 1000)
				for {
					n, err := io.WriteString(c, more)
					if sent.Add(int64(n)); err != nil {
						closed <- struct{}{}
						return
					}
				}
			})
			p, closePool := New(Config{MaxBody: 1 << 20, MaxTotalBody: 2 << 20})
			defer closePool()
			r := getRequest()
			r.Accept = func(_ int, h http.Header) bool { return h.Get("Tag") != "/other" }
			failures := make(chan *Error, 4)
			for range cap(failures) {
				go func() {
					_, failure := do(t, p, s, r)
					failures <- failure
				}()
			}
			for range cap(failures) {
				failure := <-failures
				assert.Assert(t, failure != nil && !failure.NotSent && !failure.TimedOut, "%v", failure)
				<-closed
			}
			assert.Equal(t, p.bodyBytes.Load(), int64(0))
			// For each request: twice the bound of a body, and the buffers of both sockets.
			assert.Assert(t, sent.Load() < 4*(2<<20+12<<20), "the target could send %d bytes", sent.Load())
		})
	}
}

// A stated length alone reserves little of Config.MaxTotalBody.
func TestStatedLengthReservesNoMemory(t *testing.T) {
	s := serveReplies(t, func(int64, *http.Request) (string, bool) {
		return "HTTP/1.1 200 OK\r\nContent-Length: 8000000\r\n\r\nx", false
	})
	p, closePool := New(Config{MaxTotalBody: 1 << 20})
	defer closePool()
	_, failure := do(t, p, s, getRequest())
	assert.Assert(t, failure != nil && !errors.Is(failure, errMemoryLimit), "%v", failure)
}

// Guards against a target at its connection bound that is taken for one that has ended or may have run the request. A reset of
// a new connection is reported as such; if the connection is verified first, nothing was sent. A reset of a connection that has
// served a request has another cause.
func TestNewConnectionReset(t *testing.T) {
	resets := serveConns(t, func(_ *testTarget, c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0) })
	p := newPool(t)
	_, failure := do(t, p, resets, getRequest())
	assert.Assert(t, failure != nil && failure.NewConnReset, "%v", failure)
	verified := getRequest()
	verified.VerifyNew = true
	_, failure = do(t, p, resets, verified)
	assert.Assert(t, failure != nil && failure.NewConnReset && failure.NotSent, "%v", failure)

	serves := serveReplies(t, func(int64, *http.Request) (string, bool) { return okReply("x"), true })
	_, failure = do(t, p, serves, verified)
	assert.Assert(t, failure == nil, "%v", failure)
}

// Guards against connections of a burst that are kept until their idle timeout, and count towards the bound of the target after
// this VM has lost power.
func TestSurplusConnectionsAreClosed(t *testing.T) {
	s := serveReplies(t, func(int64, *http.Request) (string, bool) {
		time.Sleep(20 * time.Millisecond)
		return okReply("x"), true
	})
	p := newPool(t)
	var wg sync.WaitGroup
	for range 5 {
		wg.Go(func() { _, _ = p.Do(t.Context(), s.target, getRequest()) })
	}
	wg.Wait()
	p.Prune(time.Now().Add(DefaultSurplusTime/2), func(string) bool { return true })
	assert.Equal(t, len(p.idle[s.target.ID]), 5)
	p.Prune(time.Now().Add(DefaultSurplusTime), func(string) bool { return true })
	assert.Equal(t, len(p.idle[s.target.ID]), DefaultMinIdle)
}

// A target that closes the connection in the middle of the head of its reply, or of a body whose end is stated, has not replied:
// wherever the reply is cut, it isn't taken for a complete one.
func TestReplyCutInHead(t *testing.T) {
	for name, r := range map[string]struct{ head, body string }{
		"with length":    {"HTTP/1.1 200 OK\r\nX-Digest: abc\r\nContent-Length: 12\r\n\r\n", "hello, world"},
		"chunked":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Digest: abc\r\n\r\n", "5\r\nhello\r\n0\r\n\r\n"},
		"without length": {"HTTP/1.1 200 OK\r\nX-Digest: abc\r\nConnection: close\r\n\r\n", ""},
		"interim reply":  {"HTTP/1.1 103 Early Hints\r\nX-Digest: abc\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", ""},
		"bare line ends": {"HTTP/1.1 200 OK\nX-Digest: abc\nContent-Length: 3\n\n", "abc"},
		"no header":      {"HTTP/1.1 200 OK\r\n\r\n", ""},
		"folded header":  {"HTTP/1.1 200 OK\r\nX-Digest: abc\r\n def\r\nContent-Length: 0\r\n\r\n", ""},
	} {
		t.Run(name, func(t *testing.T) {
			whole := r.head + r.body
			var length atomic.Int64
			s := serveReplies(t, func(int64, *http.Request) (string, bool) { return whole[:length.Load()], false })
			p := newPool(t)
			for n := range len(whole) {
				length.Store(int64(n))
				reply, err := do(t, p, s, getRequest())
				assert.Check(t, err != nil && !err.NotSent, "cut after %q: status %d, body %q", whole[:n], reply.Status, reply.Body)
			}
			length.Store(int64(len(whole)))
			reply, err := do(t, p, s, getRequest())
			assert.Assert(t, err == nil && reply.Status == 200, "%v", err)
		})
	}
}
