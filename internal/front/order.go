package front

import (
	"cmp"
	"context"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiarelay/fuchsiarelay/internal/once"
	"github.com/fuchsiarelay/fuchsiarelay/internal/peer"
	"github.com/fuchsiarelay/fuchsiarelay/internal/state"
	"github.com/fuchsiarelay/fuchsiarelay/internal/trace"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/codes"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/target"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/wire"
)

// maxOrderTargets is the largest number of replicas to which an order is sent, one after the other. The next replica is
// tried only if the previous one certainly did not run the order.
const maxOrderTargets = 4

// serveToken issues a token for one order.
func (f *Front) serveToken(w http.ResponseWriter, r *http.Request) {
	if _, err := decodeBody[wire.TokenRequest](f, w, r); err != nil {
		writeStatus(w, refusalStatus(err, ""))
		return
	}
	now := f.cfg.Now()
	snap := f.cfg.State.Load()
	if err := f.checkServing(snap, now); err != nil {
		writeStatus(w, refusalStatus(err, ""))
		return
	}
	f.orderMu.Lock()
	tok, ok := f.orderTable.Issue(now)
	retryAfter := f.orderTable.RetryAfter(now)
	f.orderMu.Unlock()
	if !ok {
		writeStatus(w, refusalStatus(codes.NewAfter(codes.Overloaded, retryAfter, "too many open orders"), ""))
		return
	}
	ttl := f.cfg.Once.TokenTTL
	if ttl == 0 {
		ttl = once.DefaultTokenTTL
	}
	writeJSON(w, http.StatusOK, wire.Token{
		Status: wire.NewStatus(codes.Complete, "", ""), Token: tok.String(), Addr: f.ownAddr(snap), ValidForMS: ttl.Milliseconds(),
	})
}

// ownAddr returns the published caller address of this process.
func (f *Front) ownAddr(snap *state.Snapshot) netip.AddrPort {
	for _, vm := range snap.VMs {
		if vm.ID == f.cfg.VM {
			return vm.Addr
		}
	}
	return netip.AddrPort{}
}

// serveOrder answers an order, which carries its token.
func (f *Front) serveOrder(w http.ResponseWriter, r *http.Request) {
	start := f.cfg.Now()
	o, err := decodeBody[wire.Order](f, w, r)
	if err != nil {
		writeStatus(w, refusalStatus(err, ""))
		return
	}
	f.cfg.Trace.Report(trace.Accepted, o.RequestID)
	answer := f.answerOrder(r.Context(), o, true)
	f.cfg.Trace.Report(trace.Answered, o.RequestID)
	f.logRefusal("order", answer.Status, o.Tenant, o.Class)
	f.cfg.Stats.ObserveOrder(o.Tenant, o.Class, answer.Code, f.cfg.Now().Sub(start))
	setRetryAfterHeader(w, answer.Status)
	writeJSON(w, answer.Code.Status(), answer)
}

// AnswerForwarded answers an order that a peer forwarded to this process because this process issued the token of the
// order. It returns at once and calls reply later.
func (f *Front) AnswerForwarded(o peer.Order, reply func(peer.OrderReply)) {
	f.wg.Go(func() {
		f.activeRequests.Add(1)
		defer f.activeRequests.Add(-1)
		ctx, cancel := context.WithTimeout(f.ctx, f.cfg.MaxDeadline)
		defer cancel()
		reply(peer.OrderReply{ID: o.ID, Answer: f.answerOrder(ctx, o.Order, false)})
	})
}

// orderRefusal returns the answer to an order that was refused with err.
func orderRefusal(err error, requestID string) wire.OrderAnswer {
	return wire.OrderAnswer{Status: refusalStatus(err, requestID)}
}

// answerOrder runs an order whose token this process issued, or returns the stored outcome. If forward is set, an order with
// a token of another process is forwarded to that process.
func (f *Front) answerOrder(ctx context.Context, o wire.Order, forward bool) wire.OrderAnswer {
	tok, err := once.ParseToken(o.Token)
	if err != nil {
		return orderRefusal(codes.New(codes.TokenInvalid, "%v", err), o.RequestID)
	}
	now := f.cfg.Now()
	if tok.VM != f.cfg.VM || tok.Incarnation != f.cfg.Incarnation {
		return f.answerForeignOrder(ctx, tok, o, forward)
	}
	f.orderMu.Lock()
	decision, stored := f.orderTable.Begin(now, tok)
	if decision == once.Run {
		f.outcomeWaiters[tok.Seq] = make(chan struct{})
	}
	outcomeStored := f.outcomeWaiters[tok.Seq]
	f.orderMu.Unlock()
	switch decision {
	case once.Run:
		f.wg.Go(func() { f.runAndStore(tok, o) })
		return f.awaitOutcome(ctx, tok, o, outcomeStored)
	case once.InProgress:
		return f.awaitOutcome(ctx, tok, o, outcomeStored)
	case once.Finished:
		return stored
	case once.Expired:
		return orderRefusal(codes.New(codes.TokenExpired, "the token was not used in time"), o.RequestID)
	case once.OutcomeUnknown:
		return wire.OrderAnswer{Status: wire.NewStatus(codes.OutcomeUnknown, o.RequestID, "the outcome is no longer kept")}
	case once.OtherIssuer, once.Invalid:
	}
	return orderRefusal(codes.New(codes.TokenInvalid, "the token was never issued"), o.RequestID)
}

// answerForeignOrder answers an order whose token another process issued. Only the issuer knows whether the order has run:
// the order is forwarded to the issuer, and the answer is IssuerGone if the issuer can't be reached.
func (f *Front) answerForeignOrder(ctx context.Context, tok once.Token, o wire.Order, forward bool) wire.OrderAnswer {
	issuerGone := wire.OrderAnswer{Status: wire.NewStatus(codes.IssuerGone, o.RequestID, "the issuer of the token can't be reached")}
	issuerGone.RetryAfterMS = time.Second.Milliseconds()
	if !forward || tok.VM == f.cfg.VM {
		return issuerGone
	}
	answers := make(chan wire.OrderAnswer, 1)
	f.cfg.Remote.Order(tok.VM, peer.Order{Incarnation: tok.Incarnation, Order: o}, func(r peer.OrderReply) { answers <- r.Answer })
	timer := time.NewTimer(f.cfg.MaxDeadline)
	defer timer.Stop()
	select {
	case a := <-answers:
		// If the link to the issuer breaks, the hub itself replies, with OutcomeUnknown and without a request id.
		if a.Code == codes.NotConnected || a.Code == codes.OutcomeUnknown && a.RequestID == "" {
			return issuerGone
		}
		return a
	case <-timer.C:
	case <-ctx.Done():
	}
	return issuerGone
}

// awaitOutcome waits for the outcome of a running order and returns it.
func (f *Front) awaitOutcome(ctx context.Context, tok once.Token, o wire.Order, outcomeStored <-chan struct{}) wire.OrderAnswer {
	if outcomeStored != nil {
		select {
		case <-outcomeStored:
		case <-ctx.Done():
		case <-f.ctx.Done():
		}
	}
	now := f.cfg.Now()
	f.orderMu.Lock()
	defer f.orderMu.Unlock()
	if decision, stored := f.orderTable.Begin(now, tok); decision == once.Finished {
		return stored
	}
	return wire.OrderAnswer{Status: wire.NewStatus(codes.OutcomeUnknown, o.RequestID, "the order is still running")}
}

// runAndStore runs the order, stores its outcome and wakes the requests that wait for the outcome.
func (f *Front) runAndStore(tok once.Token, o wire.Order) {
	answer := f.runOrder(o)
	now := f.cfg.Now()
	f.orderMu.Lock()
	defer f.orderMu.Unlock()
	f.orderTable.Finish(now, tok, answer)
	close(f.outcomeWaiters[tok.Seq])
	delete(f.outcomeWaiters, tok.Seq)
}

// runOrder checks the order, and sends it to replicas until one may have run it or all have refused.
func (f *Front) runOrder(o wire.Order) wire.OrderAnswer {
	now := f.cfg.Now()
	snap := f.cfg.State.Load()
	if err := f.checkServing(snap, now); err != nil {
		return orderRefusal(err, o.RequestID)
	}
	svc, class, err := serviceAndClass(snap, o.Service, o.Class)
	if err != nil {
		return orderRefusal(err, o.RequestID)
	}
	deadline, err := f.requestDeadline(now, o.DeadlineMS, class)
	if err != nil {
		return orderRefusal(err, o.RequestID)
	}
	release, err := f.admitTenant(snap, o.Tenant)
	if err != nil {
		return orderRefusal(err, o.RequestID)
	}
	defer release()
	answer := orderRefusal(codes.New(codes.NoTarget, "no target is available for the key"), o.RequestID)
	for _, id := range f.sortByExpectedWait(now, snap, orderTargets(snap, svc, o.Key)) {
		answer = f.sendOrder(id, o, class.Priority, deadline)
		if answer.Ran != codes.NotRun {
			return answer
		}
	}
	return answer
}

// sendOrder sends the order to one target and waits for the outcome.
func (f *Front) sendOrder(id string, o wire.Order, priority int, deadline time.Time) wire.OrderAnswer {
	replies := make(chan peer.WorkReply, 1)
	d := &delivery{
		front: f, deadline: deadline,
		work: peer.WorkRequest{
			Target: id, Priority: priority,
			Order: &target.Order{RequestID: o.RequestID, Token: o.Token, Service: o.Service, Key: o.Key, Body: o.Body},
		},
		done: func(r peer.WorkReply) { replies <- r },
	}
	f.cfg.Trace.Report(trace.Planned, o.RequestID)
	d.start(f.ctx)
	// The dispatcher answers by the deadline; the margin of one second covers the network delay of the reply. Without a
	// reply the outcome is unknown.
	timer := time.NewTimer(deadline.Sub(f.cfg.Now()) + time.Second)
	defer timer.Stop()
	var r peer.WorkReply
	select {
	case r = <-replies:
	case <-timer.C:
		r = peer.WorkReply{Code: codes.DeadlineRunning, Message: "no outcome by the deadline"}
	case <-f.ctx.Done():
		r = peer.WorkReply{Code: codes.OutcomeUnknown, Message: "the process is stopping"}
	}
	a := wire.OrderAnswer{Status: wire.NewStatus(r.Code, o.RequestID, r.Message)}
	a.RetryAfterMS = r.RetryAfterMS
	if r.Order != nil {
		a.Result = r.Order.Result
	}
	return a
}

// sortByExpectedWait sorts targets by their expected wait. Any replica may run an order; in published order, all orders
// would go to the first replica and wait for it even if it is slow and another replica is free.
func (f *Front) sortByExpectedWait(now time.Time, snap *state.Snapshot, ids []string) []string {
	waits := make(map[string]time.Duration, len(ids))
	for _, id := range ids {
		waits[id] = f.loads.expectedWait(now, id, max(snap.Targets[id].Status.Level, 1))
	}
	slices.SortStableFunc(ids, func(a, b string) int { return cmp.Compare(waits[a], waits[b]) })
	return ids
}

// orderTargets returns the usable replicas of the shard of the key, in published order, at most maxOrderTargets. The shard
// is that of the partition with the highest generation and, among these, the highest version.
func orderTargets(snap *state.Snapshot, svc *state.Service, key string) []string {
	var newest plat.Partition
	for _, p := range svc.Partitions {
		if p.Generation > newest.Generation || (p.Generation == newest.Generation && p.Version > newest.Version) {
			newest = p
		}
	}
	if len(newest.Shards) == 0 {
		return nil
	}
	shard := newest.Shards[xxhash.Sum64String(key)%uint64(len(newest.Shards))]
	var out []string
	for _, id := range shard.Targets {
		if isUsable(snap, snap.Targets[id]) && len(out) < maxOrderTargets {
			out = append(out, id)
		}
	}
	return out
}
