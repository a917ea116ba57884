package caller

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"

	"github.com/fuchsiarelay/fuchsiarelay/pkg/codes"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/wire"
)

// Order sends an order, which is executed at most once, and returns its outcome. The client sets Token, and replaces an
// empty RequestID by a random one.
func (c *Client) Order(ctx context.Context, o wire.Order) (wire.OrderAnswer, error) {
	if o.RequestID == "" {
		o.RequestID = newRequestID()
	}
	triedAddrs := map[netip.AddrPort]bool{}
	for range maxTokens {
		tok, err := c.requestToken(ctx, o.Tenant, triedAddrs)
		if err != nil {
			return localOrderAnswer(o, codes.NotConnected, err)
		}
		if tok.Token == "" {
			tok.RequestID = o.RequestID
			return wire.OrderAnswer{Status: tok.Status}, nil
		}
		o.Token = tok.Token
		answer, r := c.sendOrder(ctx, o, tok.Addr)
		switch {
		case r.err == nil:
			return answer, nil
		case !r.notSent:
			return c.requestOutcome(ctx, o, tok.Addr)
		}
		// Nothing was sent with this token, so the order has certainly not been executed.
		c.recordFailure(tok.Addr)
		triedAddrs[tok.Addr] = true
		if ctx.Err() != nil {
			return localOrderAnswer(o, codes.NotConnected, r.err)
		}
	}
	return localOrderAnswer(o, codes.NotConnected, context.Cause(ctx))
}

// localOrderAnswer returns the answer and the error that the client makes itself for an order for which no valid answer arrived.
func localOrderAnswer(o wire.Order, code codes.Code, cause error) (wire.OrderAnswer, error) {
	err := codes.New(code, "order %s: %v", o.RequestID, cause)
	return wire.OrderAnswer{Status: wire.NewStatus(code, o.RequestID, codes.Message(err))}, err
}

// requestToken requests a token for an order and returns it. A request for a token executes nothing, so requestToken repeats it
// at another address after a failure, and after a temporary refusal that states no time to wait. A refusal is returned as a
// wire.Token whose field Token is empty. Addresses in triedAddrs are used only if no other address is left; requestToken adds
// the addresses that it uses.
func (c *Client) requestToken(ctx context.Context, tenant string, triedAddrs map[netip.AddrPort]bool) (wire.Token, error) {
	addrs, err := c.addresses(ctx)
	if err != nil {
		return wire.Token{}, err
	}
	var refusal wire.Token
	for range 1 + maxResends {
		a := firstUntried(addrs, triedAddrs)
		triedAddrs[a] = true
		tok, r := c.requestTokenFrom(ctx, a, tenant)
		switch {
		case r.err == nil && tok.Token != "":
			return tok, nil
		case r.err == nil:
			refusal, err = tok, nil
			if tok.RetryAfterMS > 0 || r.retryAfter > 0 || !isTemporary(tok.Code) {
				return refusal, nil
			}
		default:
			err = r.err
			c.recordFailure(a)
		}
		if ctx.Err() != nil {
			break
		}
	}
	if refusal.Code != 0 {
		return refusal, nil
	}
	return wire.Token{}, err
}

// requestTokenFrom requests a token from the entry process at address a.
func (c *Client) requestTokenFrom(ctx context.Context, a netip.AddrPort, tenant string) (wire.Token, sendResult) {
	ctx, cancel := context.WithTimeout(ctx, shortTimeout)
	defer cancel()
	var tok wire.Token
	r := c.send(ctx, c.pooled, http.MethodPost, a, wire.PathTokens, wire.TokenRequest{Tenant: tenant}, &tok)
	switch {
	case r.err != nil:
	case tok.Token != "" && !tok.Addr.IsValid(), tok.Token == "" && tok.Code.Ran() != codes.NotRun:
		r.err = errWrongReply
	}
	return tok, r
}

// sendOrder sends the order to address a once, over a new connection.
func (c *Client) sendOrder(ctx context.Context, o wire.Order, a netip.AddrPort) (wire.OrderAnswer, sendResult) {
	ctx, cancel := requestContext(ctx, o.DeadlineMS)
	defer cancel()
	var answer wire.OrderAnswer
	r := c.send(ctx, c.unpooled, http.MethodPost, a, wire.PathOrders, o, &answer)
	if r.err == nil && (answer.RequestID != o.RequestID || answer.Code == 0) {
		r.err = errWrongReply
	}
	return answer, r
}

// requestOutcome returns the outcome of an order whose answer was lost. It sends the order again with the same token, which
// can't cause a second execution: first to the issuer of the token, then to other entry processes, which forward the order to
// the issuer.
func (c *Client) requestOutcome(ctx context.Context, o wire.Order, issuer netip.AddrPort) (wire.OrderAnswer, error) {
	if !sleep(ctx, outcomeDelay) {
		return localOrderAnswer(o, codes.OutcomeUnknown, ctx.Err())
	}
	answer, r := c.sendOrder(ctx, o, issuer)
	if r.err == nil && !mayAnswerWithoutLookup(answer.Code) {
		return answer, nil
	}
	c.recordFailure(issuer)
	var lastUnknown wire.OrderAnswer
	addrs, err := c.addresses(ctx)
	if err != nil {
		return localOrderAnswer(o, codes.OutcomeUnknown, err)
	}
	requests := 1
	for _, a := range addrs {
		if a == issuer || requests >= maxOutcomeRequests || ctx.Err() != nil {
			continue
		}
		requests++
		answer, r := c.sendOrder(ctx, o, a)
		switch {
		case r.err != nil:
			c.recordFailure(a)
		case answer.Ran == codes.Did:
			return answer, nil
		case answer.Ran == codes.Unknown:
			lastUnknown = answer
		}
		// The answer "not run" of a process other than the issuer doesn't count: the issuer may have executed the order when it
		// was sent the first time.
	}
	if lastUnknown.Code != 0 {
		return lastUnknown, nil
	}
	return localOrderAnswer(o, codes.OutcomeUnknown, fmt.Errorf("no outcome from entry process %s, which issued the token", issuer))
}

// mayAnswerWithoutLookup reports whether the issuer of a token may answer with code c before it has looked up the token in
// its table, or after it has lost the entry of the token. The order may then have been executed when it was sent the first
// time, although the answer is "not run".
func mayAnswerWithoutLookup(c codes.Code) bool {
	switch c {
	case codes.BadRequest, codes.TooLarge, codes.Stopping, codes.StaleView, codes.Starting, codes.TenantLimit,
		codes.TokenInvalid, codes.TokenExpired:
		return true
	}
	return false
}
