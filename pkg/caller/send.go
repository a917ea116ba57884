package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"
)

// sendResult is the result of sending a request once, apart from the decoded reply.
type sendResult struct {
	err        error         // set if no complete, valid reply arrived
	notSent    bool          // no connection was opened or reused, so no byte of the request was sent
	retryAfter time.Duration // value of the header Retry-After; 0 if the reply has none
}

// send sends a request once and decodes the reply. It ignores the HTTP status, because the body of a refusal has the same form
// as the body of any other reply.
func (c *Client) send(ctx context.Context, httpClient *http.Client, method string, a netip.AddrPort, path string, body, reply any) sendResult {
	req, err := newRequest(ctx, method, "http://"+a.String()+path, body)
	if err != nil {
		return sendResult{err: err, notSent: true}
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	resp, err := httpClient.Do(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		return sendResult{err: err, notSent: !connected.Load()}
	}
	defer resp.Body.Close()
	replyBody, err := io.ReadAll(io.LimitReader(resp.Body, maxReply+1))
	switch {
	case err != nil:
		return sendResult{err: fmt.Errorf("reply cut short: %w", err)}
	case len(replyBody) > maxReply:
		return sendResult{err: fmt.Errorf("reply larger than %d bytes", maxReply)}
	}
	if err := json.Unmarshal(replyBody, reply); err != nil {
		return sendResult{err: fmt.Errorf("decode reply with status %d: %w", resp.StatusCode, err)}
	}
	return sendResult{retryAfter: parseRetryAfter(resp.Header.Get("Retry-After"))}
}

// newRequest returns a request whose body is the JSON form of body, or a request without a body if body is nil.
func newRequest(ctx context.Context, method, url string, body any) (*http.Request, error) {
	if body == nil {
		return http.NewRequestWithContext(ctx, method, url, http.NoBody)
	}
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(raw))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	// Without GetBody the Transport can't send the request a second time.
	req.GetBody = nil
	return req, nil
}

// parseRetryAfter returns the duration that a Retry-After header in seconds states, or 0 if the header is missing or
// invalid.
func parseRetryAfter(header string) time.Duration {
	n, err := strconv.ParseInt(header, 10, 32)
	if err != nil || n < 0 {
		return 0
	}
	return time.Duration(n) * time.Second
}

// errWrongReply is the error of a reply that can't be the reply to the request that was sent.
var errWrongReply = errors.New("reply belongs to another request or has no code")
