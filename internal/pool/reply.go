package pool

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// readReply reads one complete reply. If closesAfter is true, the target closes the connection after this reply.
func (p *Pool) readReply(c *conn, method string) (reply Reply, closesAfter bool, err error) {
	for range maxResponses {
		c.bytesLeft = maxHeadSize
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return Reply{}, false, err
		}
		body, err := p.readBody(c, resp, method)
		_ = resp.Body.Close()
		if err != nil {
			return Reply{}, false, fmt.Errorf("read body: %w", err)
		}
		if resp.StatusCode >= http.StatusOK {
			return Reply{Status: resp.StatusCode, Header: resp.Header, Body: body}, resp.Close, nil
		}
	}
	return Reply{}, false, errors.New("too many interim responses")
}

// readBody reads the body of a reply within the bounds for one body and for all bodies that are being read.
func (p *Pool) readBody(c *conn, resp *http.Response, method string) ([]byte, error) {
	limit := p.cfg.MaxBody
	c.bytesLeft = limit*maxWireFactor + maxHeadSize
	switch {
	case method == http.MethodHead || resp.ContentLength == 0:
		return nil, nil
	case resp.ContentLength > limit:
		return nil, fmt.Errorf("%w: body of %d bytes, limit %d", errTooLarge, resp.ContentLength, limit)
	}
	var reservedBytes int64
	defer func() { p.bodyBytes.Add(-reservedBytes) }()
	body := make([]byte, 0, initialBufferSize(resp.ContentLength))
	for {
		if newBytes := int64(cap(body)) - reservedBytes; newBytes > 0 {
			reservedBytes += newBytes
			if p.bodyBytes.Add(newBytes) > p.cfg.MaxTotalBody {
				return nil, errMemoryLimit
			}
		}
		n, err := resp.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		case int64(len(body)) > limit:
			return nil, fmt.Errorf("%w: body of more than %d bytes", errTooLarge, limit)
		case len(body) == cap(body):
			body = slices.Grow(body, cap(body)) // doubles the capacity
		}
	}
}

// initialBufferSize returns the initial buffer size for a body with the given length, which is negative if the target states
// none. The buffer has one byte more than the length, so that the end of the body is detected without growing the buffer.
// The size is bounded, so that a stated length alone doesn't reserve much memory.
func initialBufferSize(length int64) int64 {
	if length < 0 {
		return bodyBufferSize
	}
	return min(length+1, 4*bodyBufferSize)
}

// idleTimeout returns how long a connection may be idle after a reply with the given header.
func (p *Pool) idleTimeout(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds)*time.Second - p.cfg.IdleMargin
		}
	}
	return p.cfg.IdleTimeout
}
