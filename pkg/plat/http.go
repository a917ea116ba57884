package plat

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"
)

// Paths of the configuration service.
const (
	PathRead  = "/v1/read"
	PathWatch = "/v1/watch"
)

// replyTimeout bounds the time until the reply to a call. For a watch, the time that the call waits for a change is added. The
// configuration service normally answers within milliseconds.
const replyTimeout = 700 * time.Millisecond

// HTTP implements Reader over HTTP with JSON bodies.
type HTTP struct {
	addr   netip.AddrPort
	client *http.Client
}

// NewHTTP returns a reader for the configuration service at addr, and a function that closes the reader's idle
// connections. If transport is nil, NewHTTP creates one.
func NewHTTP(addr netip.AddrPort, transport http.RoundTripper) (*HTTP, func()) {
	if transport == nil {
		transport = &http.Transport{MaxConnsPerHost: 8, IdleConnTimeout: 30 * time.Second}
	}
	client := &http.Client{Transport: transport}
	return &HTTP{addr: addr, client: client}, client.CloseIdleConnections
}

// Read implements Reader.
func (r *HTTP) Read(ctx context.Context, key string) (Document, error) {
	doc, _, err := r.get(ctx, PathRead, url.Values{"key": {key}}, 0)
	return doc, err
}

// Watch implements Reader.
func (r *HTTP) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Document, bool, error) {
	return r.get(ctx, PathWatch, url.Values{
		"key":     {key},
		"after":   {strconv.FormatUint(after, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}, wait)
}

// get sends one request and decodes the document in its response. It reports false if the response holds no document.
func (r *HTTP) get(ctx context.Context, path string, query url.Values, wait time.Duration) (Document, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+replyTimeout)
	defer cancel()
	requestURL := url.URL{Scheme: "http", Host: r.addr.String(), Path: path, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, requestURL.String(), nil)
	if err != nil {
		return Document{}, false, fmt.Errorf("create platform request: %w", err)
	}
	resp, err := r.client.Do(req)
	if err != nil {
		// Idle connections may have failed too, without an error that the client has seen. They are closed, so that the
		// next call opens a new connection.
		r.client.CloseIdleConnections()
		return Document{}, false, fmt.Errorf("read from platform: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNoContent {
		return Document{}, false, nil
	}
	if resp.StatusCode != http.StatusOK {
		return Document{}, false, fmt.Errorf("read from platform: status %d", resp.StatusCode)
	}
	var doc Document
	// JSON holds the value as base64, which is a third longer than the value.
	if err := json.NewDecoder(io.LimitReader(resp.Body, 2*MaxValue)).Decode(&doc); err != nil {
		return Document{}, false, fmt.Errorf("decode platform document: %w", err)
	}
	if doc.Key != query.Get("key") {
		return Document{}, false, fmt.Errorf("platform returned document %q instead of %q", doc.Key, query.Get("key"))
	}
	return doc, true, nil
}
