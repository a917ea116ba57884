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

// addressList is a list of addresses that an entry process returned.
type addressList struct {
	addresses []wire.Address
	requested time.Time // time of the request for the list, taken before the request was sent
	validFor  time.Duration
}

// age returns the time since the list was requested. It is the larger of the times that the monotonic clock and the wall
// clock measured, because a monotonic clock may stop while a VM is suspended.
func (l addressList) age() time.Duration {
	now := time.Now()
	return max(now.Sub(l.requested), now.Round(0).Sub(l.requested.Round(0)))
}

func (l addressList) expired() bool { return l.age() >= l.validFor }

// addresses returns the addresses to use, best first. If the present list has expired, addresses requests a new list and
// waits for it. If three quarters of its validity have passed, addresses starts a refresh in the background.
func (c *Client) addresses(ctx context.Context) ([]netip.AddrPort, error) {
	c.mu.Lock()
	l := c.list
	c.mu.Unlock()
	if l.expired() {
		var err error
		if l, err = c.fetchIfExpired(ctx); err != nil {
			return nil, err
		}
	} else if l.age() >= l.validFor*3/4 {
		c.startRefresh()
	}
	return c.sortedAddresses(l), nil
}

// fetchIfExpired requests a new list, one call at a time. A call that waited for another one uses the list that the other
// call received, so that many concurrent requests cause one request for a list.
func (c *Client) fetchIfExpired(ctx context.Context) (addressList, error) {
	select {
	case c.fetchSlot <- struct{}{}:
		defer func() { <-c.fetchSlot }()
	case <-ctx.Done():
		return addressList{}, codes.New(codes.NotConnected, "wait for the list of addresses: %v", ctx.Err())
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
	if c.refreshing || c.ctx.Err() != nil {
		return
	}
	c.refreshing = true
	c.background.Go(c.run)
}

// run requests a new list once, in the background. It ignores an error: the present list stays in use, and after that list
// has expired, each request needs a new list and returns the error.
func (c *Client) run() {
	_, _ = c.fetch(c.ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refreshing = false
}

// fetch requests a new list from the seeds, in random order, and then from the addresses of the last list, until one of
// them returns a list. All seeds may have been replaced by other entry processes since the client was created.
func (c *Client) fetch(ctx context.Context) (addressList, error) {
	c.mu.Lock()
	last := c.list
	c.mu.Unlock()
	sources := slices.Clone(c.seeds)
	rand.Shuffle(len(sources), func(i, j int) { sources[i], sources[j] = sources[j], sources[i] })
	for _, a := range c.sortedAddresses(last) {
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
	return addressList{}, codes.New(codes.NotConnected, "%v", errors.Join(errs...))
}

// fetchFrom requests a new list from the entry process at address a.
func (c *Client) fetchFrom(ctx context.Context, a netip.AddrPort) (addressList, error) {
	ctx, cancel := context.WithTimeout(ctx, shortTimeout)
	defer cancel()
	l := addressList{requested: time.Now()}
	var reply wire.Addresses
	if r := c.send(ctx, c.pooled, http.MethodGet, a, wire.PathAddresses, nil, &reply); r.err != nil {
		return addressList{}, fmt.Errorf("%s: %w", a, r.err)
	}
	for _, e := range reply.Addresses {
		if e.Addr.IsValid() {
			l.addresses = append(l.addresses, e)
		}
	}
	if len(l.addresses) == 0 {
		return addressList{}, fmt.Errorf("%s: the returned list holds no valid address", a)
	}
	l.validFor = time.Duration(reply.ValidForMS) * time.Millisecond
	return l, nil
}

// sortedAddresses returns the addresses of a list in the order in which they are tried. Addresses that failed within the
// last avoidFor come last. Among these and among the others, addresses in the caller's data centre come first. The rest of
// the order is random.
func (c *Client) sortedAddresses(l addressList) []netip.AddrPort {
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
		if now.Before(c.avoidUntil[a.Addr]) {
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

// recordFailure records that address a failed, so that it is tried last for avoidFor. It also closes all idle connections,
// because the fault may affect them as well without an error that the client sees.
func (c *Client) recordFailure(a netip.AddrPort) {
	c.mu.Lock()
	c.avoidUntil[a] = time.Now().Add(avoidFor)
	c.mu.Unlock()
	c.pooled.CloseIdleConnections()
}
