package caller

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/pkg/codes"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/wire"
)

// avoidFor is the time for which an address is tried last after it failed.
const avoidFor = 2 * time.Second

// list is the list of addresses that an entry process returned.
type list struct {
	addresses []wire.Address
	asked     time.Time // time of the request for the list, taken before the request was sent
	valid     time.Duration
}

// age returns the time since the list was requested. It is the larger of the times that the monotonic clock and the wall
// clock measured, because a monotonic clock may stop while a VM is suspended.
func (l list) age() time.Duration {
	now := time.Now()
	return max(now.Sub(l.asked), now.Round(0).Sub(l.asked.Round(0)))
}

func (l list) expired() bool { return l.age() >= l.valid }

// addresses returns the addresses to use, best first. If the present list has expired, addresses requests a new list and
// waits for it. If three quarters of its validity have passed, addresses starts a refresh in the background.
func (c *Client) addresses(ctx context.Context) ([]netip.AddrPort, error) {
	c.mu.Lock()
	l := c.list
	c.mu.Unlock()
	if l.expired() {
		var err error
		if l, err = c.fetchOnce(ctx); err != nil {
			return nil, err
		}
	} else if l.age() >= l.valid*3/4 {
		c.startRefresh()
	}
	return c.order(l), nil
}

// fetchOnce requests a new list, one call at a time. A call that waited for another one uses the list that the other call
// received, so that many concurrent requests cause one request for a list.
func (c *Client) fetchOnce(ctx context.Context) (list, error) {
	select {
	case c.fetching <- struct{}{}:
		defer func() { <-c.fetching }()
	case <-ctx.Done():
		return list{}, codes.New(codes.NotConnected, "wait for the list of addresses: %v", ctx.Err())
	}
	c.mu.Lock()
	l := c.list
	c.mu.Unlock()
	if !l.expired() {
		return l, nil
	}
	return c.fetch(ctx)
}

// startRefresh requests a new list in the background, unless such a request is running or the client is closed.
func (c *Client) startRefresh() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refreshes || c.ctx.Err() != nil {
		return
	}
	c.refreshes = true
	c.refresh.Go(c.run)
}

// run requests a new list once. It ignores an error: the present list stays in use, and after it has expired, the request
// that needs a list returns the error.
func (c *Client) run() {
	_, _ = c.fetch(c.ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refreshes = false
}

// fetch requests a new list from the seeds, in random order, and then from the addresses of the last list, until one of
// them returns a list. All seeds may have been replaced by other entry processes since the client was created.
func (c *Client) fetch(ctx context.Context) (list, error) {
	c.mu.Lock()
	last := c.list
	c.mu.Unlock()
	sources := slices.Clone(c.seeds)
	rand.Shuffle(len(sources), func(i, j int) { sources[i], sources[j] = sources[j], sources[i] })
	for _, a := range c.order(last) {
		if !slices.Contains(sources, a) {
			sources = append(sources, a)
		}
	}
	errs := []error{errors.New("no entry process returned a list of addresses")}
	for _, a := range sources {
		l, err := c.fetchFrom(ctx, a)
		if err == nil {
			c.mu.Lock()
			c.list = l
			c.mu.Unlock()
			return l, nil
		}
		errs = append(errs, err)
		if ctx.Err() != nil {
			break
		}
	}
	return list{}, codes.New(codes.NotConnected, "%v", errors.Join(errs...))
}

// fetchFrom requests a new list from the entry process at address a.
func (c *Client) fetchFrom(ctx context.Context, a netip.AddrPort) (list, error) {
	ctx, cancel := context.WithTimeout(ctx, smallTimeout)
	defer cancel()
	l := list{asked: time.Now()}
	var reply wire.Addresses
	if r := c.send(ctx, c.pooled, http.MethodGet, a, wire.PathAddresses, nil, &reply); r.err != nil {
		return list{}, fmt.Errorf("%s: %w", a, r.err)
	}
	for _, e := range reply.Addresses {
		if e.Addr.IsValid() {
			l.addresses = append(l.addresses, e)
		}
	}
	if len(l.addresses) == 0 {
		return list{}, fmt.Errorf("%s: the returned list holds no valid address", a)
	}
	l.valid = time.Duration(reply.ValidForMS) * time.Millisecond
	return l, nil
}

// order returns the addresses of a list in the order in which they are tried. Addresses that failed within avoidFor come
// last. Among the others and among those, addresses in the caller's data centre come first. The rest is random.
func (c *Client) order(l list) []netip.AddrPort {
	addrs := slices.Clone(l.addresses)
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	rank := func(a wire.Address) int {
		n := 0
		if c.DataCentre != "" && a.DataCentre != c.DataCentre {
			n++
		}
		if now.Before(c.avoid[a.Addr]) {
			n += 2
		}
		return n
	}
	slices.SortStableFunc(addrs, func(a, b wire.Address) int { return rank(a) - rank(b) })
	out := make([]netip.AddrPort, len(addrs))
	for i, a := range addrs {
		out[i] = a.Addr
	}
	return out
}

// failedAt records that address a failed, so that it is tried last for avoidFor. It also closes all idle connections,
// because the fault may affect them as well without an error that the client sees.
func (c *Client) failedAt(a netip.AddrPort) {
	c.mu.Lock()
	c.avoid[a] = time.Now().Add(avoidFor)
	c.mu.Unlock()
	c.pooled.CloseIdleConnections()
}
