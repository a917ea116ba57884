package scen

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/pkg/codes"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/wire"
)

// callerName is the name under which callers dial in the in-memory network.
const callerName = "caller"

// callTimeout limits the duration of one call. It exceeds every deadline that a scenario sets.
const callTimeout = 40 * time.Second

// Call is one request of a caller and its answer.
type Call struct {
	Entry     string // VM of the entry process that received the request
	RequestID string
	Query     wire.Query
	Order     wire.Order // an order if its Token isn't empty; otherwise Query is the request
	Start     time.Time
	End       time.Time
	Status    wire.Status // Code is 0 if no complete reply was received
	Answer    wire.Answer
	Result    wire.OrderAnswer
	Err       error
}

// newTransport returns an HTTP transport that connects with dial.
func newTransport(dial func(ctx context.Context, network, addr string) (net.Conn, error)) *http.Transport {
	return &http.Transport{DialContext: dial, DisableKeepAlives: false, MaxConnsPerHost: 0, IdleConnTimeout: 10 * time.Second}
}

// exchange sends the body with POST, or a GET request if the body is nil, and decodes the reply. Each request uses a new
// connection, so that a connection that broke during an earlier call can't make this call fail.
func (sim *Simulation) exchange(addr netip.AddrPort, path string, body, reply any) error {
	t := newTransport(sim.Net.Dialer(callerName))
	t.DisableKeepAlives = true
	defer t.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	raw, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode request: %w", err)
	}
	method := http.MethodPost
	if body == nil {
		method = http.MethodGet
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr.String()+path, bytes.NewReader(raw))
	if err != nil {
		return fmt.Errorf("create request: %w", err)
	}
	req.GetBody = nil // without GetBody, the transport can't send the body a second time
	resp, err := (&http.Client{Transport: t}).Do(req)
	if err != nil {
		return fmt.Errorf("send request: %w", err)
	}
	defer resp.Body.Close()
	raw, err = io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	if err := json.Unmarshal(raw, reply); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	return nil
}

// record sets the end time of the call and appends the call to the list that Calls returns.
func (sim *Simulation) record(c *Call) *Call {
	c.End = time.Now()
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.calls = append(sim.calls, c)
	return c
}

// newRequestID returns a request id that no other request of the simulation has.
func (sim *Simulation) newRequestID() string {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.serial++
	return fmt.Sprintf("r%d", sim.serial)
}

// Query sends one query to the entry process on the VM entry and returns the recorded call.
func (sim *Simulation) Query(entry, class, service, text string) *Call {
	return sim.queryWithID(sim.newRequestID(), entry, class, service, text)
}

// queryWithID is Query with a given request id.
func (sim *Simulation) queryWithID(id, entry, class, service, text string) *Call {
	vm, _ := sim.vm(entry)
	c := &Call{Entry: entry, RequestID: id, Start: time.Now(), Query: wire.Query{RequestID: id, Service: service, Class: class, Tenant: "t", Text: text}}
	c.Err = sim.exchange(vm.Addr, wire.PathQuery, c.Query, &c.Answer)
	if c.Err == nil {
		c.Status = c.Answer.Status
	}
	return sim.record(c)
}

// Token requests an order token from the entry process on the VM entry.
func (sim *Simulation) Token(entry string) (wire.Token, error) {
	vm, _ := sim.vm(entry)
	var tok wire.Token
	if err := sim.exchange(vm.Addr, wire.PathTokens, wire.TokenRequest{Tenant: "t"}, &tok); err != nil {
		return tok, err
	}
	if !tok.Code.OK() {
		return tok, codes.New(tok.Code, "%s", tok.Message)
	}
	return tok, nil
}

// Order sends one order with the token to the entry process on the VM entry and returns the recorded call.
func (sim *Simulation) Order(entry, token, class, service, key string) *Call {
	return sim.orderWithID(sim.newRequestID(), entry, token, class, service, key)
}

// orderWithID is Order with a given request id.
func (sim *Simulation) orderWithID(id, entry, token, class, service, key string) *Call {
	vm, _ := sim.vm(entry)
	c := &Call{Entry: entry, RequestID: id, Start: time.Now(), Order: wire.Order{
		Token: token, RequestID: id, Service: service, Class: class, Tenant: "t", Key: key, Body: "order " + key,
	}}
	c.Err = sim.exchange(vm.Addr, wire.PathOrders, c.Order, &c.Result)
	if c.Err == nil {
		c.Status = c.Result.Status
	}
	return sim.record(c)
}

// Addresses requests the list of addresses of entry processes from the entry process on the VM entry.
func (sim *Simulation) Addresses(entry string) (wire.Addresses, error) {
	vm, _ := sim.vm(entry)
	var a wire.Addresses
	err := sim.exchange(vm.Addr, wire.PathAddresses, nil, &a)
	return a, err
}

// Calls returns all calls that have ended, in the order of their end.
func (sim *Simulation) Calls() []*Call {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return append([]*Call(nil), sim.calls...)
}
