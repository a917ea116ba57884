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
	maxAnswer     = 8 << 20                // bytes
	askTimeout    = 500 * time.Millisecond // of a request for the address list
	askRetry      = 50 * time.Millisecond  // shortest wait before the next request for the address list
	maxFailovers  = 3                      // addresses tried in all when no connection opens
	answerGrace   = time.Second            // how long beyond its deadline a request waits for the answer
	callerMaxIdle = 256                    // idle connections kept open per address
)

// caller sends requests as callers of the fleet do: the caller fetches the list of addresses of entry VMs, uses the list
// until the list expires, and fails over to another address only if no connection could be opened.
type caller struct {
	boot   []netip.AddrPort
	client *http.Client
	list   atomic.Pointer[[]netip.AddrPort]
	next   atomic.Uint64
	done   sync.WaitGroup
}

// newCaller returns a caller that starts with the addresses boot, and a function that stops the caller.
func newCaller(ctx context.Context, boot []netip.AddrPort, dial DialFunc, seed uint64) (*caller, func()) {
	ctx, cancel := context.WithCancel(ctx)
	tr := &http.Transport{DialContext: dial, MaxIdleConnsPerHost: callerMaxIdle, DisableCompression: true}
	c := &caller{boot: boot, client: &http.Client{Transport: tr}}
	c.list.Store(&boot)
	c.done.Go(func() { c.loop(ctx, rand.New(rand.NewPCG(seed, 1))) })
	return c, func() {
		cancel()
		c.done.Wait()
		tr.CloseIdleConnections()
	}
}

// loop fetches the address list whenever the current list has expired.
func (c *caller) loop(ctx context.Context, rnd *rand.Rand) {
	for ctx.Err() == nil {
		wait := askRetry
		if valid, err := c.ask(ctx, c.boot[rnd.IntN(len(c.boot))]); err == nil {
			wait = max(valid, askRetry)
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
}

// ask fetches the address list from one entry process and returns how long the list is valid.
func (c *caller) ask(ctx context.Context, at netip.AddrPort) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at.String()+wire.PathAddresses, nil)
	if err != nil {
		return 0, err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	var out wire.Addresses
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswer)).Decode(&out); err != nil {
		return 0, err
	}
	if resp.StatusCode != http.StatusOK || len(out.Addresses) == 0 {
		return 0, fmt.Errorf("fetch address list: status %d with %d addresses", resp.StatusCode, len(out.Addresses))
	}
	list := make([]netip.AddrPort, len(out.Addresses))
	for i, a := range out.Addresses {
		list[i] = a.Addr
	}
	c.list.Store(&list)
	return time.Duration(out.ValidForMS) * time.Millisecond, nil
}

// query sends a query and returns the answer.
func (c *caller) query(ctx context.Context, q wire.Query) (wire.Answer, error) {
	var out wire.Answer
	err := c.anywhere(ctx, wire.PathQuery, q, &out)
	return out, err
}

// order requests a token and sends the order to the address that issued the token.
func (c *caller) order(ctx context.Context, o wire.Order) (token string, out wire.OrderAnswer, err error) {
	var tok wire.Token
	if err := c.anywhere(ctx, wire.PathTokens, wire.TokenRequest{Tenant: o.Tenant}, &tok); err != nil {
		return "", out, err
	}
	if tok.Token == "" {
		return "", wire.OrderAnswer{Status: tok.Status}, nil
	}
	o.Token = tok.Token
	return tok.Token, out, c.post(ctx, tok.Addr, wire.PathOrders, o, &out)
}

// anywhere posts to the next address in turn, and to the addresses after that one if no connection opens.
func (c *caller) anywhere(ctx context.Context, path string, body, out any) error {
	list := *c.list.Load()
	first := c.next.Add(1)
	var err error
	for i := range uint64(min(maxFailovers, len(list))) {
		err = c.post(ctx, list[(first+i)%uint64(len(list))], path, body, out)
		var op *net.OpError
		if !errors.As(err, &op) || op.Op != "dial" {
			return err
		}
	}
	return err
}

// post sends body as JSON and decodes the response into out.
func (c *caller) post(ctx context.Context, at netip.AddrPort, path string, body, out any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+at.String()+path, bytes.NewReader(raw))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	raw, err = io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, out)
}
