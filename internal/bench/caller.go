package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/pkg/wire"
)

// Limits of a caller.
const (
	maxResponseBytes    = 8 << 20                // largest body that is read
	addressListTimeout  = 500 * time.Millisecond // limit of one request for the address list
	addressListRetry    = 50 * time.Millisecond  // shortest wait before the next request for the address list
	maxAddressesTried   = 3                      // addresses to which one request tries to connect
	answerGrace         = time.Second            // how long beyond its deadline a request waits for the answer
	maxIdleConnsPerAddr = 256                    // idle connections kept open per address
)

// caller sends requests as callers of the fleet do: it fetches the list of addresses of entry VMs again whenever the list
// has expired, and fails over to another address only if no connection could be opened.
type caller struct {
	initialAddrs []netip.AddrPort
	client       *http.Client
	addrs        atomic.Pointer[[]netip.AddrPort]
	nextIndex    atomic.Uint64
	refreshDone  sync.WaitGroup
}

// newCaller returns a caller and a function that stops it. The caller sends requests to initialAddrs until it has fetched the
// address list, and fetches every list from a random one of initialAddrs.
func newCaller(ctx context.Context, initialAddrs []netip.AddrPort, dial DialFunc, seed uint64) (*caller, func()) {
	ctx, cancel := context.WithCancel(ctx)
	tr := &http.Transport{DialContext: dial, MaxIdleConnsPerHost: maxIdleConnsPerAddr, DisableCompression: true}
	c := &caller{initialAddrs: initialAddrs, client: &http.Client{Transport: tr}}
	c.addrs.Store(&initialAddrs)
	c.refreshDone.Go(func() { c.loop(ctx, rand.New(rand.NewPCG(seed, 1))) })
	return c, func() {
		cancel()
		c.refreshDone.Wait()
		tr.CloseIdleConnections()
	}
}

// loop fetches the address list whenever the current list has expired, until ctx ends.
func (c *caller) loop(ctx context.Context, rnd *rand.Rand) {
	for ctx.Err() == nil {
		wait := addressListRetry
		if valid, err := c.fetchAddresses(ctx, c.initialAddrs[rnd.IntN(len(c.initialAddrs))]); err == nil {
			wait = max(valid, addressListRetry)
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
}

// fetchAddresses fetches the address list from one entry process and returns how long the list is valid.
func (c *caller) fetchAddresses(ctx context.Context, addr netip.AddrPort) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, addressListTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+wire.PathAddresses, nil)
	if err != nil {
		return 0, err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	var out wire.Addresses
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&out); err != nil {
		return 0, err
	}
	if resp.StatusCode != http.StatusOK || len(out.Addresses) == 0 {
		return 0, fmt.Errorf("fetch address list: status %d with %d addresses", resp.StatusCode, len(out.Addresses))
	}
	list := make([]netip.AddrPort, len(out.Addresses))
	for i, a := range out.Addresses {
		list[i] = a.Addr
	}
	c.addrs.Store(&list)
	return time.Duration(out.ValidForMS) * time.Millisecond, nil
}

// sendQuery sends a query and returns the answer.
func (c *caller) sendQuery(ctx context.Context, q wire.Query) (wire.Answer, error) {
	var answer wire.Answer
	err := c.postWithFailover(ctx, wire.PathQuery, q, &answer)
	return answer, err
}

// sendOrder requests a token, sends the order to the address that issued the token, and returns the token and the answer. If
// no token was issued, the answer holds the status of the token request.
func (c *caller) sendOrder(ctx context.Context, o wire.Order) (token string, answer wire.OrderAnswer, err error) {
	var tok wire.Token
	if err := c.postWithFailover(ctx, wire.PathTokens, wire.TokenRequest{Tenant: o.Tenant}, &tok); err != nil {
		return "", answer, err
	}
	if tok.Token == "" {
		return "", wire.OrderAnswer{Status: tok.Status}, nil
	}
	o.Token = tok.Token
	return tok.Token, answer, c.post(ctx, tok.Addr, wire.PathOrders, o, &answer)
}

// postWithFailover posts to the next address of the list in turn. If no connection opens, it tries the following addresses,
// maxAddressesTried in all.
func (c *caller) postWithFailover(ctx context.Context, path string, body, out any) error {
	list := *c.addrs.Load()
	first := c.nextIndex.Add(1)
	var err error
	for i := range uint64(min(maxAddressesTried, len(list))) {
		err = c.post(ctx, list[(first+i)%uint64(len(list))], path, body, out)
		var op *net.OpError
		if !errors.As(err, &op) || op.Op != "dial" {
			return err
		}
	}
	return err
}

// post sends body as JSON and decodes the response into out.
func (c *caller) post(ctx context.Context, addr netip.AddrPort, path string, body, out any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr.String()+path, bytes.NewReader(raw))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	raw, err = io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, out)
}
