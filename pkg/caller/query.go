package caller

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/pkg/codes"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/wire"
)

// Query sends a query and returns its answer. If the context ends before the deadline of the query, DeadlineMS is lowered
// to the time that the context leaves. An empty RequestID is replaced by a random one.
func (c *Client) Query(ctx context.Context, q wire.Query) (wire.Answer, error) {
	if q.RequestID == "" {
		q.RequestID = newRequestID()
	}
	ctx, cancel := requestContext(ctx, q.DeadlineMS)
	defer cancel()
	q.DeadlineMS = max(q.DeadlineMS, 0)
	run := queryRun{client: c, query: q, start: time.Now(), triedAddrs: map[netip.AddrPort]bool{}}
	for range 1 + maxResends {
		if done := run.sendOnce(ctx); done {
			break
		}
	}
	if run.hasAnswer {
		return run.answer, nil
	}
	code := codes.NotConnected
	if run.mayHaveRun {
		code = codes.OutcomeUnknown
	}
	err := codes.New(code, "query %s: %v", q.RequestID, run.err)
	return wire.Answer{Status: wire.NewStatus(code, q.RequestID, codes.Message(err))}, err
}

// queryRun is the state of one query, which may be sent more than once.
type queryRun struct {
	client     *Client
	query      wire.Query
	start      time.Time
	triedAddrs map[netip.AddrPort]bool
	answer     wire.Answer
	hasAnswer  bool
	mayHaveRun bool  // the query was sent at least once without a valid answer, so it may have been executed
	err        error // why the last attempt gave no valid answer
}

// sendOnce sends the query once. It reports whether the query must not be sent again.
func (run *queryRun) sendOnce(ctx context.Context) bool {
	addrs, err := run.client.addresses(ctx)
	if err != nil {
		run.err = err
		return true
	}
	q, ok := run.remainingQuery(ctx)
	if !ok {
		return true
	}
	a := firstUntried(addrs, run.triedAddrs)
	run.triedAddrs[a] = true
	attemptCtx, cancel := ctx, context.CancelFunc(func() {})
	if run.client.AttemptTimeout > 0 {
		attemptCtx, cancel = context.WithTimeout(ctx, run.client.AttemptTimeout)
	}
	defer cancel()
	var answer wire.Answer
	r := run.client.send(attemptCtx, run.client.pooled, http.MethodPost, a, wire.PathQuery, q, &answer)
	if r.err == nil && (answer.RequestID != q.RequestID || answer.Code == 0) {
		r.err = errWrongReply
	}
	if r.err != nil {
		run.err = r.err
		run.mayHaveRun = run.mayHaveRun || !r.notSent
		run.client.recordFailure(a)
		return ctx.Err() != nil
	}
	run.answer, run.hasAnswer = answer, true
	return !run.waitToResend(ctx, r.retryAfter)
}

// remainingQuery returns the query with DeadlineMS set to the remaining time; a query without a deadline stays as it is.
// remainingQuery reports false if no time remains or the context has ended.
func (run *queryRun) remainingQuery(ctx context.Context) (wire.Query, bool) {
	q := run.query
	if q.DeadlineMS > 0 {
		q.DeadlineMS -= time.Since(run.start).Milliseconds()
		if q.DeadlineMS <= 0 {
			run.err = context.DeadlineExceeded
			return q, false
		}
	}
	if end, ok := ctx.Deadline(); ok && q.DeadlineMS > 0 {
		q.DeadlineMS = max(min(q.DeadlineMS, time.Until(end).Milliseconds()), 1)
	}
	return q, ctx.Err() == nil
}

// waitToResend waits until a refused query may be sent again. The parameter headerRetryAfter is the time that the header
// Retry-After states; it applies if the body states none. waitToResend reports false without waiting if the query wasn't
// refused, if every entry process would refuse it again, or if the deadline comes first. The last answer is then the result.
func (run *queryRun) waitToResend(ctx context.Context, headerRetryAfter time.Duration) bool {
	if run.answer.Ran != codes.NotRun || !isTemporary(run.answer.Code) {
		return false
	}
	wait := time.Duration(run.answer.RetryAfterMS) * time.Millisecond
	if wait == 0 {
		wait = headerRetryAfter
	}
	end, ok := ctx.Deadline()
	if !ok || time.Until(end) <= wait || run.query.DeadlineMS > 0 && run.timeLeft() <= wait {
		return false
	}
	return sleep(ctx, wait)
}

// timeLeft returns the remaining time until the deadline that the query states.
func (run *queryRun) timeLeft() time.Duration {
	return time.Duration(run.query.DeadlineMS)*time.Millisecond - time.Since(run.start)
}

// isTemporary reports whether a request that was refused with code c may be accepted later or by another entry process.
func isTemporary(c codes.Code) bool {
	switch c {
	case codes.Overloaded, codes.Stopping, codes.StaleView, codes.NoTarget, codes.TenantLimit, codes.Starting,
		codes.TargetRefused, codes.NotConnected, codes.NotDispatcher, codes.Canceled:
		return true
	}
	return false
}

// firstUntried returns the first address that isn't in triedAddrs, or the first address if all of them are. The addresses are
// sorted with the best one first.
func firstUntried(addrs []netip.AddrPort, triedAddrs map[netip.AddrPort]bool) netip.AddrPort {
	for _, a := range addrs {
		if !triedAddrs[a] {
			return a
		}
	}
	return addrs[0]
}
