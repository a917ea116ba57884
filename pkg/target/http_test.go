package target_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsiarelay/fuchsiarelay/pkg/target"
)

// newTestClient starts an HTTP server that stands in for a target and returns a client for it.
func newTestClient(t *testing.T, opt target.Options, h http.HandlerFunc) *target.HTTP {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	c, closeClient := target.NewHTTP(netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://")), opt)
	t.Cleanup(closeClient)
	return c
}

// assertKind checks that err is a *target.Error of the given kind.
func assertKind(t *testing.T, err error, want target.Kind) {
	t.Helper()
	var callErr *target.Error
	assert.Assert(t, errors.As(err, &callErr), "%v", err)
	assert.Equal(t, callErr.Kind, want, "%v", err)
}

// Guards against net/http sending an order again by itself when the connection is closed without a reply.
func TestOrderIsSentOnce(t *testing.T) {
	var requestCount atomic.Int32
	c := newTestClient(t, target.Options{}, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		requestCount.Add(1)
		panic(http.ErrAbortHandler)
	})
	for i := range 3 {
		_, err := c.Order(context.Background(), target.Order{RequestID: fmt.Sprint(i), Token: "t"})
		assertKind(t, err, target.Broken)
	}
	assert.Equal(t, requestCount.Load(), int32(3))
}

// Guards against a call that reports another kind than NotSent although no connection could be opened or Gate refused the
// write, and against a request that is written although Gate refused it.
func TestNotSent(t *testing.T) {
	s := httptest.NewServer(http.NotFoundHandler())
	addr := netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
	s.Close()
	c, closeClient := target.NewHTTP(addr, target.Options{})
	defer closeClient()
	_, err := c.Sub(context.Background(), target.Sub{})
	assertKind(t, err, target.NotSent)

	var requestCount atomic.Int32
	gateErr := errors.New("excluded")
	gated := newTestClient(t, target.Options{Gate: func() error { return gateErr }}, func(http.ResponseWriter, *http.Request) { requestCount.Add(1) })
	_, err = gated.Order(context.Background(), target.Order{})
	assertKind(t, err, target.NotSent)
	assert.ErrorIs(t, err, gateErr)
	assert.Equal(t, requestCount.Load(), int32(0))
}

// Guards against a wrong Kind for a reply that is cut short, late, malformed, or belongs to another request, and for a status
// with or without a refusal body.
func TestDamagedReplies(t *testing.T) {
	cases := []struct {
		name    string
		want    target.Kind
		handler http.HandlerFunc
	}{
		{"cut", target.Broken, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, `{"request_id":"r"`)
		}},
		{"other", target.Garbled, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{"request_id":"x"}`) }},
		{"malformed", target.Garbled, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{`) }},
		{"late", target.TimedOut, func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadAll(r.Body) // the server notices a closed connection only after it has read the body
			<-r.Context().Done()
		}},
		{"status without a refusal body", target.Failed, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }},
		{"refusal", target.Refused, func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = io.WriteString(w, `{"reason":"shed"}`)
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := newTestClient(t, target.Options{}, tc.handler)
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			_, err := c.Sub(ctx, target.Sub{RequestID: "r"})
			assertKind(t, err, tc.want)
		})
	}
}

// Guards against losing the refusal of a call that is canceled on a new connection. This happens if a query is sent to two
// targets, one target answers first, and the other call is canceled while its target, which has become cold, is still
// accepting the connection. Without the refusal the entry process would send its next request to the cold target too.
func TestCanceledCallOnNewConnectionReturnsRefusal(t *testing.T) {
	opt := target.Options{Linger: time.Second}
	ctx, cancel := context.WithCancel(context.Background())
	var calls atomic.Int32
	c := newTestClient(t, opt, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		if calls.Add(1) > 1 {
			<-r.Context().Done() // the request runs until the client closes the connection
			return
		}
		cancel()
		time.Sleep(20 * time.Millisecond)
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, `{"reason":"shed","incarnation":2,"state":"cold"}`)
	})
	_, err := c.Sub(ctx, target.Sub{RequestID: "r1"})
	assertKind(t, err, target.Refused)

	// The second call reuses the connection, and a call on a reused connection ends as soon as it is canceled.
	ctx, cancel = context.WithCancel(context.Background())
	time.AfterFunc(5*time.Millisecond, cancel)
	start := time.Now()
	_, err = c.Sub(ctx, target.Sub{RequestID: "r2"})
	assertKind(t, err, target.TimedOut)
	assert.Assert(t, time.Since(start) < opt.Linger/2)
}
