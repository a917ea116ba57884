package caller_test

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsiarelay/fuchsiarelay/pkg/caller"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/codes"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/wire"
)

// entryStub is an HTTP server that stands in for an entry process. It records the requests that it has read.
type entryStub struct {
	*httptest.Server
	dataCentre      string
	list            func() []*entryStub                         // stubs whose addresses this stub returns
	validMS         int64                                       // validity that the stub states for its list, in milliseconds
	token           func() wire.Token                           // if nil, the stub returns a token that it issued itself
	order           func(n int, o wire.Order) *wire.OrderAnswer // n counts from 1; a nil answer closes the connection
	query           func(w http.ResponseWriter, q wire.Query)   // if nil, the stub returns a complete answer
	addressRequests atomic.Int32                                // number of requests for addresses
	tokenRequests   atomic.Int32                                // number of requests for tokens
	mu              sync.Mutex
	orders          []wire.Order
	queryTimes      []time.Time // times at which the queries arrived
}

// newEntryStub starts a stub in the data centre dc. Its list of addresses holds only its own address.
func newEntryStub(t *testing.T, dc string) *entryStub {
	e := &entryStub{dataCentre: dc, validMS: 60_000}
	e.list = func() []*entryStub { return []*entryStub{e} }
	e.Server = httptest.NewServer(e)
	t.Cleanup(e.Close)
	return e
}

func (e *entryStub) addr() netip.AddrPort {
	return netip.MustParseAddrPort(e.Listener.Addr().String())
}

func (e *entryStub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	raw, _ := io.ReadAll(r.Body)
	switch r.URL.Path {
	case wire.PathAddresses:
		e.addressRequests.Add(1)
		out := wire.Addresses{ValidForMS: e.validMS}
		e.mu.Lock()
		list := e.list
		e.mu.Unlock()
		for _, o := range list() {
			out.Addresses = append(out.Addresses, wire.Address{Addr: o.addr(), DataCentre: o.dataCentre})
		}
		writeJSON(w, out)
	case wire.PathTokens:
		e.tokenRequests.Add(1)
		if e.token != nil {
			writeJSON(w, e.token())
			return
		}
		writeJSON(w, wire.Token{Token: "vm.1.1", Addr: e.addr(), ValidForMS: 10_000})
	case wire.PathOrders:
		e.serveOrder(w, raw)
	case wire.PathQuery:
		e.serveQuery(w, raw)
	}
}

// serveOrder records an order, and answers as the function order says or, if that is nil, that the order was executed.
func (e *entryStub) serveOrder(w http.ResponseWriter, raw []byte) {
	var o wire.Order
	_ = json.Unmarshal(raw, &o)
	e.mu.Lock()
	e.orders = append(e.orders, o)
	n := len(e.orders)
	e.mu.Unlock()
	answer := executedAnswer(o)
	if e.order != nil {
		answer = e.order(n, o)
	}
	if answer == nil {
		closeConnection(w)
		return
	}
	writeJSON(w, answer)
}

// serveQuery records the time of a query, and answers as the function query does or, if that is nil, with a complete answer.
func (e *entryStub) serveQuery(w http.ResponseWriter, raw []byte) {
	var q wire.Query
	_ = json.Unmarshal(raw, &q)
	e.mu.Lock()
	e.queryTimes = append(e.queryTimes, time.Now())
	e.mu.Unlock()
	if e.query != nil {
		e.query(w, q)
		return
	}
	writeJSON(w, wire.Answer{Status: wire.NewStatus(codes.Complete, q.RequestID, "")})
}

func (e *entryStub) receivedOrders() []wire.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

func (e *entryStub) receivedQueryTimes() []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.queryTimes)
}

func writeJSON(w http.ResponseWriter, body any) { _ = json.NewEncoder(w).Encode(body) }

// closeConnection closes the connection of a request without an answer.
func closeConnection(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

func executedAnswer(o wire.Order) *wire.OrderAnswer { return orderAnswer(o, codes.Executed) }

// orderAnswer returns an answer to the order with the code c.
func orderAnswer(o wire.Order, c codes.Code) *wire.OrderAnswer {
	return &wire.OrderAnswer{Status: wire.NewStatus(c, o.RequestID, "")}
}

// newClient returns a client that requests its list of addresses from the given stubs.
func newClient(t *testing.T, seeds ...*entryStub) *caller.Client {
	addrs := []netip.AddrPort{}
	for _, s := range seeds {
		addrs = append(addrs, s.addr())
	}
	c, stop := caller.New(addrs)
	t.Cleanup(stop)
	return c
}

// twoEntries returns a value of entryStub.list that returns a and b.
func twoEntries(a, b *entryStub) func() []*entryStub {
	return func() []*entryStub { return []*entryStub{a, b} }
}

// Guards against an order that net/http sends again by itself when its connection is closed without an answer, and against
// a request for a second token after the answer was lost.
func TestOutcomeOfLostOrderIsRequestedWithSameToken(t *testing.T) {
	e := newEntryStub(t, "a")
	var firstReceived, secondReceived time.Time
	e.order = func(n int, o wire.Order) *wire.OrderAnswer {
		if n == 1 {
			firstReceived = time.Now()
			return nil
		}
		secondReceived = time.Now()
		return executedAnswer(o)
	}
	c := newClient(t, e)
	_, err := c.Query(t.Context(), wire.Query{}) // leaves an idle connection, which the order must not use
	assert.NilError(t, err)
	out, err := c.Order(t.Context(), wire.Order{Body: "x"})
	assert.NilError(t, err)
	assert.Equal(t, out.Code, codes.Executed)
	assert.Equal(t, len(e.receivedOrders()), 2, "the order and one request for its outcome")
	assert.Equal(t, e.receivedOrders()[0].Token, e.receivedOrders()[1].Token)
	assert.Assert(t, secondReceived.Sub(firstReceived) > 50*time.Millisecond, "if the Transport sent the order again, it would do so at once")
	assert.Equal(t, e.tokenRequests.Load(), int32(1))
}

// Guards against the result "not run" for an order that may have been executed: the issuer of its token never answers, and
// another entry process refuses the order without knowing what the issuer did.
func TestOrderIsUnknownIfIssuerIsGone(t *testing.T) {
	for _, code := range []codes.Code{codes.Stopping, codes.Overloaded, codes.IssuerGone} {
		issuer, other := newEntryStub(t, "a"), newEntryStub(t, "b")
		issuer.list = twoEntries(issuer, other)
		issuer.order = func(int, wire.Order) *wire.OrderAnswer { return nil }
		other.order = func(_ int, o wire.Order) *wire.OrderAnswer { return orderAnswer(o, code) }
		c := newClient(t, issuer)
		c.DataCentre = "a"
		out, err := c.Order(t.Context(), wire.Order{Body: "x"})
		assert.Equal(t, out.Ran, codes.Unknown)
		assert.Equal(t, err == nil, code == codes.IssuerGone)
		assert.Equal(t, len(issuer.receivedOrders()), 2)
		assert.Equal(t, len(other.receivedOrders()), 1)
		assert.Equal(t, issuer.tokenRequests.Load()+other.tokenRequests.Load(), int32(1))
	}
}

// Guards against accepting a reply to another order, and, after the answer was lost, a refusal that the issuer may give
// before it has looked up the token.
func TestOrderDoesNotTrustRefusalAfterLoss(t *testing.T) {
	e := newEntryStub(t, "a")
	e.order = func(n int, o wire.Order) *wire.OrderAnswer {
		if n == 1 {
			o.RequestID = "foreign"
			return executedAnswer(o)
		}
		return orderAnswer(o, codes.StaleView)
	}
	out, err := newClient(t, e).Order(t.Context(), wire.Order{Body: "x"})
	assert.Equal(t, out.Ran, codes.Unknown)
	assert.Equal(t, codes.Of(err), codes.OutcomeUnknown)
}

// Guards against giving up an order that was never sent, because the issuer of its token accepts no connection.
func TestUnsentOrderTakesAnotherToken(t *testing.T) {
	a, b := newEntryStub(t, "a"), newEntryStub(t, "b")
	a.list = twoEntries(a, b)
	closedListener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, closedListener.Close())
	a.token = func() wire.Token {
		return wire.Token{Token: "vm.1.1", Addr: netip.MustParseAddrPort(closedListener.Addr().String())}
	}
	c := newClient(t, a)
	c.DataCentre = "a"
	out, err := c.Order(t.Context(), wire.Order{Body: "x"})
	assert.NilError(t, err)
	assert.Equal(t, out.Code, codes.Executed)
	assert.Equal(t, len(b.receivedOrders()), 1)
}

// Guards against sending an order again, or hiding the refusal, after the issuer of its token has refused the order without
// executing it.
func TestRefusedOrderIsReturned(t *testing.T) {
	e := newEntryStub(t, "a")
	e.order = func(_ int, o wire.Order) *wire.OrderAnswer { return orderAnswer(o, codes.Overloaded) }
	out, err := newClient(t, e).Order(t.Context(), wire.Order{Body: "x"})
	assert.NilError(t, err)
	assert.Equal(t, out.Ran, codes.NotRun)
	assert.Equal(t, len(e.receivedOrders()), 1)
}

// Guards against accepting an answer that is incomplete or belongs to another query, against giving up a query after one
// invalid or missing answer, and against sending a query more often than maxResends allows.
func TestQueryFailsOver(t *testing.T) {
	const attemptTimeout = 100 * time.Millisecond
	faults := map[string]func(w http.ResponseWriter, q wire.Query){
		"closed": func(w http.ResponseWriter, _ wire.Query) { closeConnection(w) },
		"cut": func(w http.ResponseWriter, q wire.Query) {
			w.Header().Set("Content-Length", "1000")
			writeJSON(w, wire.Answer{Status: wire.NewStatus(codes.Complete, q.RequestID, "")})
		},
		"silent": func(http.ResponseWriter, wire.Query) { time.Sleep(2 * attemptTimeout) },
		"foreign": func(w http.ResponseWriter, _ wire.Query) {
			writeJSON(w, wire.Answer{Status: wire.NewStatus(codes.Complete, "foreign", "")})
		},
	}
	for name, fault := range faults {
		faulty, other := newEntryStub(t, "a"), newEntryStub(t, "b")
		faulty.list, faulty.query = twoEntries(faulty, other), fault
		c := newClient(t, faulty)
		c.DataCentre, c.AttemptTimeout = "a", attemptTimeout
		out, err := c.Query(t.Context(), wire.Query{DeadlineMS: 2000})
		assert.NilError(t, err, name)
		assert.Equal(t, out.Code, codes.Complete, name)
		assert.Equal(t, len(faulty.receivedQueryTimes()), 1, name)

		other.query = fault
		out, err = c.Query(t.Context(), wire.Query{DeadlineMS: 2000})
		assert.Equal(t, codes.Of(err), codes.OutcomeUnknown, name)
		assert.Equal(t, out.Ran, codes.Unknown, name)
		// The first query was sent once to each stub, and the second query 1 + maxResends times.
		assert.Equal(t, len(faulty.receivedQueryTimes())+len(other.receivedQueryTimes()), 1+1+3, name)
	}
}

// Guards against sending a query again before the time that a refusal states, and against waiting for that time although
// the deadline comes first.
func TestQueryHonoursRetryAfter(t *testing.T) {
	const wait = 150 * time.Millisecond
	e := newEntryStub(t, "a")
	e.query = func(w http.ResponseWriter, q wire.Query) {
		s := wire.NewStatus(codes.Overloaded, q.RequestID, "")
		s.RetryAfterMS = wait.Milliseconds()
		writeJSON(w, wire.Answer{Status: s})
	}
	c := newClient(t, e)
	out, err := c.Query(t.Context(), wire.Query{DeadlineMS: 2000})
	assert.NilError(t, err)
	assert.Equal(t, out.Code, codes.Overloaded)
	assert.Equal(t, len(e.receivedQueryTimes()), 3)
	assert.Assert(t, e.receivedQueryTimes()[1].Sub(e.receivedQueryTimes()[0]) >= wait)
	start := time.Now()
	_, err = c.Query(t.Context(), wire.Query{DeadlineMS: 100})
	assert.NilError(t, err)
	assert.Equal(t, len(e.receivedQueryTimes()), 4)
	assert.Assert(t, time.Since(start) < wait)
}

// Guards against requesting the list of addresses for each query, against using a list after it has expired, and against a
// query that fails because one seed doesn't answer.
func TestAddresses(t *testing.T) {
	closedSeed, sameDC, otherDC := newEntryStub(t, "a"), newEntryStub(t, "a"), newEntryStub(t, "b")
	seeds := []*entryStub{closedSeed, sameDC}
	sameDC.list, sameDC.validMS = twoEntries(otherDC, sameDC), 800
	c := newClient(t, seeds...)
	closedSeed.Close()
	c.DataCentre = "a"
	query := func(times int) {
		for range times {
			_, err := c.Query(t.Context(), wire.Query{})
			assert.NilError(t, err)
		}
	}
	query(10)
	assert.Equal(t, sameDC.addressRequests.Load(), int32(1))
	assert.Equal(t, len(sameDC.receivedQueryTimes()), 10, "addresses in the caller's data centre are preferred")
	time.Sleep(650 * time.Millisecond) // more than three quarters of the list's validity have passed
	query(1)
	time.Sleep(140 * time.Millisecond)
	assert.Equal(t, sameDC.addressRequests.Load(), int32(2), "the list is refreshed before it expires")
	sameDC.mu.Lock()
	sameDC.list = func() []*entryStub { return []*entryStub{otherDC} }
	sameDC.mu.Unlock()
	time.Sleep(900 * time.Millisecond)
	query(1)
	assert.Equal(t, len(otherDC.receivedQueryTimes()), 1, "an expired list is not used")
}

// Guards against an order that fails because one entry process issues no token, and against requesting a token elsewhere
// although the refusal states a time to wait.
func TestTokenIsRequestedElsewhere(t *testing.T) {
	a, b := newEntryStub(t, "a"), newEntryStub(t, "b")
	a.list = twoEntries(a, b)
	refusal := wire.Token{Status: wire.NewStatus(codes.Stopping, "", "")}
	a.token = func() wire.Token { return refusal }
	c := newClient(t, a)
	c.DataCentre = "a"
	out, err := c.Order(t.Context(), wire.Order{Body: "x"})
	assert.NilError(t, err)
	assert.Equal(t, out.Code, codes.Executed)
	assert.Equal(t, len(b.receivedOrders()), 1)

	refusal.RetryAfterMS = 1000
	out, err = c.Order(t.Context(), wire.Order{Body: "x"})
	assert.NilError(t, err)
	assert.Equal(t, out.Code, codes.Stopping)
	assert.Equal(t, b.tokenRequests.Load(), int32(1))
}
