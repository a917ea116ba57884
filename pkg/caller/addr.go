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
	requested time.Time     // time of the request for the list, taken before the request was sent
	validFor  time.Duration // time after the request for which the list is valid
}

// age returns the time since the list was requested. It is the larger of the times that the monotonic clock and the wall
// clock measured, because a monotonic clock may stop while a VM is suspended.
func (l addressList) age() time.Duration {
	now := time.Now()
	return max(now.Sub(l.requested), now.Round(0).Sub(l.requested.Round(0)))
}

// expired reports whether the time for which the list is valid has passed.
func (l addressList) expired() bool { return l.age() >= l.validFor }

// addresses returns the addresses to try, best first. If the present list has expired, addresses requests a new list and
// waits for it. If three quarters of its validity have passed, addresses starts a refresh in the background.
func (c *Client) addresses(ctx context.Context) ([]netip.AddrPort, error) {
	c.mu.Lock()
	list := c.list
	c.mu.Unlock()
	if list.expired() {
		var err error
		if list, err = c.fetchListIfExpired(ctx); err != nil {
			return nil, err
		}
	} else if list.age() >= list.validFor*3/4 {
		c.startRefresh()
	}
	return c.sortedAddresses(list), nil
}

// fetchListIfExpired requests a new list, one call at a time. A call that has waited for another call uses the list that the
// other call received, so that many concurrent queries and orders cause only one request for a list.
func (c *Client) fetchListIfExpired(ctx context.Context) (addressList, error) {
	select {
	case c.fetchSemaphore <- struct{}{}:
		defer func() { <-c.fetchSemaphore }()
	case <-ctx.Done():
		return addressList{}, codes.New(codes.NotConnected, "wait for the list of addresses: %v", ctx.Err())
	}
	c.mu.Lock()
	list := c.list
	c.mu.Unlock()
	if !list.expired() {
		return list, nil
	}
	return c.fetchList(ctx)
}

// startRefresh requests a new list in the background, unless a refresh is already running or the client is closed.
func (c *Client) startRefresh() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refreshing || c.ctx.Err() != nil {
		return
	}
	c.refreshing = true
	c.background.Go(c.run)
}

// run requests a new list once. It runs in the background and ignores an error: the present list stays in use until it
// expires. From then on each request fetches a new list itself, and returns the error if that fails.
func (c *Client) run() {
	_, _ = c.fetchList(c.ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refreshing = false
}

// fetchList requests a new list from the seeds, in random order, and then from the addresses of the last list, until one of
// them returns a list. The last list is needed because the entry processes at all seeds may have been replaced since the client
// was created.
func (c *Client) fetchList(ctx context.Context) (addressList, error) {
	c.mu.Lock()
	lastList := c.list
	c.mu.Unlock()
	sources := slices.Clone(c.seeds)
	rand.Shuffle(len(sources), func(i, j int) { sources[i], sources[j] = sources[j], sources[i] })
	for _, a := range c.sortedAddresses(lastList) {
		if !slices.Contains(sources, a) {
			sources = append(sources, a)
		}
	}
	errs := []error{errors.New("no entry process returned a list of addresses")}
	for _, a := range sources {
		list, err := c.fetchListFrom(ctx, a)
		if err == nil {
			c.mu.Lock()
			c.list = list
			c.mu.Unlock()
			return list, nil
		}
		errs = append(errs, err)
		if ctx.Err() != nil {
			break
		}
	}
	return addressList{}, codes.New(codes.NotConnected, "%v", errors.Join(errs...))
}

// fetchListFrom requests a new list from the entry process at address a.
func (c *Client) fetchListFrom(ctx context.Context, a netip.AddrPort) (addressList, error) {
	ctx, cancel := context.WithTimeout(ctx, shortTimeout)
	defer cancel()
	list := addressList{requested: time.Now()}
	var reply wire.Addresses
	if r := c.send(ctx, c.pooled, http.MethodGet, a, wire.PathAddresses, nil, &reply); r.err != nil {
		return addressList{}, fmt.Errorf("%s: %w", a, r.err)
	}
	for _, e := range reply.Addresses {
		if e.Addr.IsValid() {
			list.addresses = append(list.addresses, e)
		}
	}
	if len(list.addresses) == 0 {
		return addressList{}, fmt.Errorf("%s: the returned list holds no valid address", a)
	}
	list.validFor = time.Duration(reply.ValidForMS) * time.Millisecond
	return list, nil
}

// sortedAddresses returns the addresses of a list in the order in which they are tried. Addresses that failed within the
// last avoidFor come last. Within both groups, addresses in the caller's data centre come first. The rest of the order is
// random.
func (c *Client) sortedAddresses(list addressList) []netip.AddrPort {
	addrs := slices.Clone(list.addresses)
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

// recordFailure records that address a failed, so that the address is tried last for avoidFor. It also closes all idle
// connections, because the same fault may have broken them without an error that the client sees.
func (c *Client) recordFailure(a netip.AddrPort) {
	c.mu.Lock()
	c.avoidUntil[a] = time.Now().Add(avoidFor)
	c.mu.Unlock()
	c.pooled.CloseIdleConnections()
}
