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
	Entry     string
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

// transport returns an HTTP transport that connects with dial.
func transport(dial func(ctx context.Context, network, addr string) (net.Conn, error)) *http.Transport {
	return &http.Transport{DialContext: dial, DisableKeepAlives: false, MaxConnsPerHost: 0, IdleConnTimeout: 10 * time.Second}
}

// exchange sends the body with POST, or a GET request if the body is nil, and decodes the reply. Each request uses a
// connection of its own, so that the error of a call can't result from an earlier call.
func (w *Simulation) exchange(addr netip.AddrPort, path string, body, reply any) error {
	t := transport(w.Net.Dialer(callerName))
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
	req.GetBody = nil
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
func (w *Simulation) record(c *Call) *Call {
	c.End = time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls = append(w.calls, c)
	return c
}

// newRequestID returns a new request id.
func (w *Simulation) newRequestID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.serial++
	return fmt.Sprintf("r%d", w.serial)
}

// Query sends one query to the entry process on the VM.
func (w *Simulation) Query(entry, class, service, text string) *Call {
	return w.queryWithID(w.newRequestID(), entry, class, service, text)
}

func (w *Simulation) queryWithID(id, entry, class, service, text string) *Call {
	vm, _ := w.vm(entry)
	c := &Call{Entry: entry, RequestID: id, Start: time.Now(), Query: wire.Query{RequestID: id, Service: service, Class: class, Tenant: "t", Text: text}}
	c.Err = w.exchange(vm.Addr, wire.PathQuery, c.Query, &c.Answer)
	if c.Err == nil {
		c.Status = c.Answer.Status
	}
	return w.record(c)
}

// Token requests an order token from the entry process on the VM.
func (w *Simulation) Token(entry string) (wire.Token, error) {
	vm, _ := w.vm(entry)
	var tok wire.Token
	if err := w.exchange(vm.Addr, wire.PathTokens, wire.TokenRequest{Tenant: "t"}, &tok); err != nil {
		return tok, err
	}
	if !tok.Code.OK() {
		return tok, codes.New(tok.Code, "%s", tok.Message)
	}
	return tok, nil
}

// Order sends one order with the token to the entry process on the VM.
func (w *Simulation) Order(entry, token, class, service, key string) *Call {
	return w.orderWithID(w.newRequestID(), entry, token, class, service, key)
}

func (w *Simulation) orderWithID(id, entry, token, class, service, key string) *Call {
	vm, _ := w.vm(entry)
	c := &Call{Entry: entry, RequestID: id, Start: time.Now(), Order: wire.Order{
		Token: token, RequestID: id, Service: service, Class: class, Tenant: "t", Key: key, Body: "order " + key,
	}}
	c.Err = w.exchange(vm.Addr, wire.PathOrders, c.Order, &c.Result)
	if c.Err == nil {
		c.Status = c.Result.Status
	}
	return w.record(c)
}

// Addresses requests the addresses of entry processes from the process on the VM.
func (w *Simulation) Addresses(entry string) (wire.Addresses, error) {
	vm, _ := w.vm(entry)
	var a wire.Addresses
	err := w.exchange(vm.Addr, wire.PathAddresses, nil, &a)
	return a, err
}

// Calls returns all calls that have ended.
func (w *Simulation) Calls() []*Call {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*Call(nil), w.calls...)
}
