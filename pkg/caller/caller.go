// Package caller is the client of fuchsiarelay for programs that send queries and orders.
//
// # Usage
//
//	c, closeClient := caller.New([]netip.AddrPort{seed1, seed2})
//	defer closeClient()
//	c.DataCentre = "dc-a"
//	answer, err := c.Query(ctx, wire.Query{Service: "ledger", Class: "counter", Tenant: "shop-7", DeadlineMS: 300, Text: "mat 12"})
//	outcome, err := c.Order(ctx, wire.Order{Service: "ledger", Class: "rush", Tenant: "shop-7", Key: "k", Body: "..."})
//
// The client requests the list of entry process addresses from one of the seed addresses. It uses the list until the list
// expires, and requests a new one when three quarters of that time have passed. It spreads requests over the addresses in
// its own data centre and uses the other addresses if those fail.
//
// Every result holds a Status, which states a code, whether the request was executed, and after some refusals the time
// after which the request may be sent again. A refusal by an entry process is a result, not an error. The error is set if
// no valid answer arrived and the client made the Status itself; codes.Of(err) is then the code of the Status.
//
// # Queries
//
// A query is idempotent. The client sends a query again at most twice within its deadline: to another address if the
// connection failed, or if the reply was incomplete or belongs to another request; and, if the query was refused without
// having been executed, after the time that the refusal states.
//
// # Orders
//
// An order is executed at most once. The client requests a token and sends the order, over a new connection, to the entry
// process that issued the token. If the answer is lost, the client requests the outcome: it sends the order again with the
// same token, first to the issuer and then to other addresses. It requests a second token only if no connection to the
// issuer of the first one could be opened, so that nothing was sent with the first token. If the client can't find out the
// outcome, Ran is codes.Unknown, and the program must not send the order again by itself.
//
// After an answer was lost, the client accepts the answer "not run" only from the issuer of the token, because another
// entry process may refuse the order before it has asked the issuer. This relies on the issuer: for a token with which an
// order has begun, the issuer must answer from its table of tokens before any other check can refuse the order.
package caller

import (
	"context"
	"crypto/rand"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	// maxResends is how often a query is sent again, and how often a token is requested again from another address.
	maxResends = 2
	// maxTokens is the largest number of tokens that are requested for one order.
	maxTokens = 2
	// maxOutcomeRequests is how often the outcome of an order is requested after the answer to the order was lost.
	maxOutcomeRequests = 4
	// outcomeDelay is the time between the loss of the answer to an order and the first request for its outcome, so that a
	// short fault can pass.
	outcomeDelay = 100 * time.Millisecond
	// shortTimeout bounds the opening of a connection, and each request for addresses or a token, which an entry process answers
	// without sending anything to a target.
	shortTimeout = time.Second
	// replyGrace is added to the deadline of a request, so that an answer that is sent at the deadline still arrives.
	replyGrace = 200 * time.Millisecond
	// defaultDeadline bounds requests that state no deadline.
	defaultDeadline = 30 * time.Second
	// maxReply is the largest reply that is read, in bytes.
	maxReply = 64 << 20
	// maxHeader is the largest header of a reply that is read, in bytes.
	maxHeader = 16 << 10
)

// Client sends queries and orders to entry processes. It is safe for concurrent use. Exported fields must be set before the
// first request and not be changed afterwards.
type Client struct {
	// DataCentre is the data centre of the caller. Addresses in that data centre are preferred.
	DataCentre string
	// AttemptTimeout bounds the wait for an answer each time that a query is sent, so that a connection over which no answer
	// arrives leaves time to send the query again. 0 means that only the deadline bounds the wait.
	AttemptTimeout time.Duration
	// DialContext replaces the dialer, for tests.
	DialContext func(ctx context.Context, network, addr string) (net.Conn, error)

	seeds      []netip.AddrPort
	pooled     *http.Client    // for addresses, tokens and queries
	unpooled   *http.Client    // for orders; each order uses a new connection
	ctx        context.Context // ends when the client is closed
	background sync.WaitGroup  // refreshes of the list that run in the background

	fetchSemaphore chan struct{} // holds one element while fetchListIfExpired requests a list of addresses

	mu         sync.Mutex
	list       addressList                  // newest list of addresses
	avoidUntil map[netip.AddrPort]time.Time // by address that failed: the time until which the address is tried last
	refreshing bool                         // a refresh of the list is running in the background
}

// New returns a client, and a function that stops the client's background work and closes its idle connections. No request
// may start after that function was called.
func New(seeds []netip.AddrPort) (*Client, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Client{seeds: seeds, ctx: ctx, avoidUntil: map[netip.AddrPort]time.Time{}, fetchSemaphore: make(chan struct{}, 1)}
	pooled := &http.Transport{
		Proxy: nil, DialContext: c.dial, MaxIdleConnsPerHost: 8, IdleConnTimeout: 30 * time.Second,
		DisableCompression: true, MaxResponseHeaderBytes: maxHeader,
	}
	// The Transport sends a request again by itself when a reused connection fails. Without keep-alive no connection is
	// ever reused, so each call sends an order at most once.
	unpooled := &http.Transport{
		Proxy: nil, DialContext: c.dial, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHeader,
	}
	c.pooled = &http.Client{Transport: pooled, CheckRedirect: noRedirect}
	c.unpooled = &http.Client{Transport: unpooled, CheckRedirect: noRedirect}
	return c, func() {
		cancel()
		c.background.Wait()
		pooled.CloseIdleConnections()
		unpooled.CloseIdleConnections()
	}
}

// noRedirect makes an http.Client return a redirect as the reply, so that a redirect never sends a request a second time.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// dial opens a connection with DialContext, or with a dialer whose time-out is shortTimeout if DialContext is nil.
func (c *Client) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	if c.DialContext != nil {
		return c.DialContext(ctx, network, addr)
	}
	return (&net.Dialer{Timeout: shortTimeout}).DialContext(ctx, network, addr)
}

// newRequestID returns a random request ID.
func newRequestID() string { return rand.Text() }

// sleep waits for d or until the context ends. It reports whether the whole time d has passed.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// requestContext returns a context that ends replyGrace after the deadline of a request, or after defaultDeadline if the
// request states no deadline.
func requestContext(ctx context.Context, deadlineMS int64) (context.Context, context.CancelFunc) {
	if deadlineMS <= 0 {
		return context.WithTimeout(ctx, defaultDeadline)
	}
	return context.WithTimeout(ctx, time.Duration(deadlineMS)*time.Millisecond+replyGrace)
}
