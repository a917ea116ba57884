package front

import (
	"context"
	"net/http"
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/internal/assign"
	"github.com/fuchsiarelay/fuchsiarelay/internal/peer"
	"github.com/fuchsiarelay/fuchsiarelay/internal/poison"
	"github.com/fuchsiarelay/fuchsiarelay/internal/route"
	"github.com/fuchsiarelay/fuchsiarelay/internal/rules"
	"github.com/fuchsiarelay/fuchsiarelay/internal/state"
	"github.com/fuchsiarelay/fuchsiarelay/internal/stats"
	"github.com/fuchsiarelay/fuchsiarelay/internal/trace"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/codes"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/target"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/wire"
)

// serveQuery answers a query.
func (f *Front) serveQuery(w http.ResponseWriter, r *http.Request) {
	start := f.cfg.Now()
	q, err := decodeBody[wire.Query](f, w, r)
	if err != nil {
		writeStatus(w, refusalStatus(err, ""))
		return
	}
	f.cfg.Trace.Report(trace.Accepted, q.RequestID)
	answer := f.answerQuery(r.Context(), start, q)
	f.cfg.Trace.Report(trace.Answered, q.RequestID)
	f.logRefusal("query", answer.Status, q.Tenant, q.Class)
	f.cfg.Stats.ObserveQuery(q.Tenant, q.Class, answer.Code, f.cfg.Now().Sub(start), answer.Coverage)
	if r.Context().Err() != nil {
		return // the caller has disconnected
	}
	setRetryAfterHeader(w, answer.Status)
	writeJSON(w, answer.Code.Status(), answer)
}

// admittedQuery is a query that passed all checks of admitQuery, and what the checks looked up.
type admittedQuery struct {
	wire.Query
	class       rules.Class
	deadline    time.Time
	fingerprint uint64
	service     *state.Service
}

// answerQuery checks and runs a query, and returns the answer for the caller.
func (f *Front) answerQuery(ctx context.Context, start time.Time, q wire.Query) wire.Answer {
	snap := f.cfg.State.Load()
	admitted, err := f.admitQuery(snap, start, q)
	if err != nil {
		return wire.Answer{Status: refusalStatus(err, q.RequestID), Hits: []wire.Hit{}}
	}
	release, err := f.admitTenant(snap, q.Tenant)
	if err != nil {
		return wire.Answer{Status: refusalStatus(err, q.RequestID), Hits: []wire.Hit{}}
	}
	defer release()
	run := &queryRun{front: f, snap: snap, query: admitted, replies: make(chan route.Reply, repliesPerTarget*len(admitted.service.Targets)+repliesPerTarget), cancelFuncs: map[uint64]func(){}}
	out := run.run(ctx)
	return newAnswer(q.RequestID, out)
}

// checkServing returns an error if this process can't accept work now.
func (f *Front) checkServing(snap *state.Snapshot, now time.Time) error {
	if err := snap.CheckSend(now); err != nil {
		return err
	}
	if snap.RefusingRequests {
		return codes.New(codes.Stopping, "the process is about to exit")
	}
	if !snap.WithdrawnFrom.IsZero() && !now.Before(snap.WithdrawnFrom) {
		return codes.NewByRule(codes.Excluded, snap.WithdrawnRuleLine, "rule line %d takes this entry VM out of service", snap.WithdrawnRuleLine)
	}
	return nil
}

// admitQuery checks that the query may run, and looks up its service, class and deadline.
func (f *Front) admitQuery(snap *state.Snapshot, now time.Time, q wire.Query) (admittedQuery, error) {
	a := admittedQuery{Query: q, fingerprint: poison.Fingerprint(q.Service, q.Tenant, q.Text)}
	if err := f.checkServing(snap, now); err != nil {
		return a, err
	}
	svc, class, err := serviceAndClass(snap, q.Service, q.Class)
	if err != nil {
		return a, err
	}
	a.service, a.class = svc, class
	if a.deadline, err = f.requestDeadline(now, q.DeadlineMS, class); err != nil {
		return a, err
	}
	if q.MinCoverage != nil {
		if !(*q.MinCoverage >= 0 && *q.MinCoverage <= 1) {
			return a, codes.New(codes.BadRequest, "min_coverage must be between 0 and 1")
		}
		a.class.MinCoverage = max(class.MinCoverage, *q.MinCoverage)
	}
	return a, snap.CheckQuarantine(now, a.fingerprint)
}

// serviceAndClass returns the published service and the class that the rules define, or an error if either can't be used.
func serviceAndClass(snap *state.Snapshot, service, class string) (*state.Service, rules.Class, error) {
	svc := snap.Services[service]
	if svc == nil {
		return nil, rules.Class{}, codes.New(codes.UnknownService, "service %q is not published", service)
	}
	if svc.Block != nil {
		return nil, rules.Class{}, svc.Block.Err()
	}
	c, ok := snap.Rules.Class(class)
	if !ok {
		return nil, rules.Class{}, codes.New(codes.UnknownClass, "no rule defines class %q", class)
	}
	return svc, c, nil
}

// requestDeadline returns the deadline of a request: ms milliseconds from now, or the deadline of the class if ms is 0.
func (f *Front) requestDeadline(now time.Time, ms int64, class rules.Class) (time.Time, error) {
	d := class.Deadline
	switch {
	case ms < 0 || time.Duration(ms)*time.Millisecond > f.cfg.MaxDeadline:
		return time.Time{}, codes.New(codes.BadRequest, "deadline_ms must be between 1 and %d", f.cfg.MaxDeadline.Milliseconds())
	case ms > 0:
		d = time.Duration(ms) * time.Millisecond
	}
	return now.Add(d), nil
}

// newAnswer returns the answer for the caller with the outcome of a plan.
func newAnswer(requestID string, o route.Outcome) wire.Answer {
	a := wire.Answer{
		Status: wire.NewStatus(o.Code, requestID, ""), Complete: o.Complete, Coverage: o.Coverage, DocumentsCovered: o.Covered, DocumentsTotal: o.Total,
		IndexVersion: o.Version, PartitionGeneration: o.Generation, Hits: o.Hits,
	}
	if a.Hits == nil {
		a.Hits = []wire.Hit{}
	}
	a.RetryAfterMS = o.RetryAfter.Milliseconds()
	return a
}

// repliesPerTarget is the space per target in the buffer of replies that the plan has not processed yet. It covers the first
// attempt, the hedged attempt and retries.
const repliesPerTarget = 8

// An attempt is given up after attemptTimeoutFactor times the 95th percentile of latencies, but not before
// minAttemptTimeout. If the process of the dispatcher is suspended, nothing else ends the attempt before the deadline.
const (
	attemptTimeoutFactor = 4
	minAttemptTimeout    = 100 * time.Millisecond
)

// queryRun executes the plan of one query.
type queryRun struct {
	front       *Front
	snap        *state.Snapshot
	query       admittedQuery
	plan        *route.Plan
	replies     chan route.Reply
	cancelFuncs map[uint64]func() // cancel functions of running attempts, by attempt
	wakeAt      time.Time         // when the plan wants its timers handled next
	ctx         context.Context
}

// run starts the plan, carries out its actions until the plan has finished or ctx ends, and returns the outcome.
func (r *queryRun) run(ctx context.Context) route.Outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.ctx = ctx
	f := r.front
	view := r.planView()
	r.plan = route.New(f.cfg.Route, view, route.Query{
		Deadline: r.query.deadline, MinCoverage: r.query.class.MinCoverage, Prefer: r.query.class.Preference,
		Suspect: r.snap.Suspected[r.query.fingerprint],
	}, f.cfg.Budget, f.newRand())
	now := f.cfg.Now()
	actions := r.plan.Start(now)
	f.cfg.Trace.Report(trace.Planned, r.query.RequestID)
	out, done := r.applyActions(actions)
	timer := time.NewTimer(r.wakeAt.Sub(now))
	defer timer.Stop()
	for !done {
		select {
		case reply := <-r.replies:
			out, done = r.applyActions(r.plan.HandleReply(f.cfg.Now(), reply))
			if !done {
				f.cfg.Trace.Report(trace.PartlyAnswered, r.query.RequestID)
			}
		case <-timer.C:
			out, done = r.applyActions(r.plan.HandleTimers(f.cfg.Now()))
		case <-ctx.Done():
			r.cancelAll()
			return route.Outcome{Code: codes.DeadlineExceeded}
		}
		timer.Reset(r.wakeAt.Sub(f.cfg.Now()))
	}
	r.cancelAll()
	f.cfg.Trace.Report(trace.Merged, r.query.RequestID)
	return out
}

// cancelAll cancels all running attempts.
func (r *queryRun) cancelAll() {
	for _, cancel := range r.cancelFuncs {
		cancel()
	}
}

// applyActions carries out the actions of the plan. It returns the outcome and true once the plan has finished.
func (r *queryRun) applyActions(actions []route.Action) (route.Outcome, bool) {
	for _, a := range actions {
		switch a.Kind {
		case route.Send:
			r.send(a)
		case route.Cancel:
			if cancel := r.cancelFuncs[a.Attempt]; cancel != nil {
				cancel()
				delete(r.cancelFuncs, a.Attempt)
			}
		case route.Wake:
			r.wakeAt = a.At
		case route.Finish:
			return a.Outcome, true
		}
	}
	return route.Outcome{}, false
}

// planView returns the service and the state of its replicas as input of the plan.
func (r *queryRun) planView() *route.View {
	f := r.front
	now := f.cfg.Now()
	view := &route.View{Service: r.query.service.Service, Replicas: make(map[string]route.Replica, len(r.query.service.Targets)), HedgeAfter: f.loads.hedgeDelay()}
	if view.HedgeAfter > 0 {
		view.AttemptTimeout = max(attemptTimeoutFactor*view.HedgeAfter, minAttemptTimeout)
	}
	view.Index = f.indexCache.indexFor(r.snap, r.query.service)
	for _, t := range r.query.service.Targets {
		target := r.snap.Targets[t.ID]
		view.Replicas[t.ID] = route.Replica{
			Available: isUsable(r.snap, target),
			Wait:      f.loads.expectedWait(now, t.ID, max(target.Status.Level, 1)),
			Served:    target.Status.Served,
		}
	}
	return view
}

// isUsable reports whether the target accepts new work and one of its dispatchers can be reached.
func isUsable(snap *state.Snapshot, t *state.Target) bool {
	if t.Block != nil || t.Status.State == target.Draining {
		return false
	}
	for _, id := range t.Dispatchers {
		if snap.Reachable[id] {
			return true
		}
	}
	return false
}

// send starts one attempt of the plan.
func (r *queryRun) send(a route.Action) {
	f := r.front
	w := peer.WorkRequest{
		Target: a.Target, Priority: r.query.class.Priority, Fingerprint: r.query.fingerprint,
		Sub: &target.Sub{
			RequestID: r.query.RequestID, SubID: f.lastSerial.Add(1), Service: r.query.Service, Generation: a.Generation,
			Version: a.Version, Shards: a.Shards, Query: r.query.Text,
		},
	}
	d := &delivery{front: f, work: w, deadline: r.query.deadline, kind: attemptKind(a)}
	d.done = func(reply peer.WorkReply) { r.passReply(a, w.Sub.SubID, reply) }
	r.cancelFuncs[a.Attempt] = d.start(r.ctx)
}

// attemptKind returns the kind under which the statistics count an attempt.
func attemptKind(a route.Action) stats.SubRequestKind {
	switch {
	case a.Hedge:
		return stats.Hedge
	case a.Retry:
		return stats.Retry
	}
	return stats.FirstAttempt
}

// passReply passes the reply to an attempt to the goroutine of the plan.
func (r *queryRun) passReply(a route.Action, subID uint64, reply peer.WorkReply) {
	planReply := route.Reply{Attempt: a.Attempt, Code: reply.Code, Served: reply.Served, RetryAfter: time.Duration(reply.RetryAfterMS) * time.Millisecond}
	if s := reply.Sub; s != nil {
		if s.RequestID == r.query.RequestID && s.SubID == subID {
			planReply.Generation, planReply.Version, planReply.Parts = s.Generation, s.Version, s.Parts
		} else {
			planReply.Code = codes.TargetFailed // the reply belongs to another request
		}
	}
	select {
	case r.replies <- planReply:
	case <-r.ctx.Done():
	}
}

// orderedDispatchers returns the reachable dispatchers of a target that have a share of its level. The first one is
// preferred: it has the fewest open attempts of this front in relation to its share. If no reachable dispatcher has a
// share, orderedDispatchers returns all reachable ones.
func (f *Front) orderedDispatchers(snap *state.Snapshot, id string) []string {
	t := snap.Targets[id]
	if t == nil {
		return nil
	}
	level := max(t.Status.Level, 1)
	var out []string
	var best float64
	for i, vm := range t.Dispatchers {
		share := assign.RankShare(assign.Rank(i), t.Slots, level)
		if share == 0 || !snap.Reachable[vm] {
			continue
		}
		cost := float64(f.loads.openAttempts(id, vm)+1) / float64(share)
		if len(out) == 0 || cost >= best {
			out = append(out, vm)
		} else {
			out = append([]string{vm}, out...)
		}
		best = cost
	}
	if len(out) == 0 {
		// The secondary dispatcher may know another level or number of slots of the target and therefore have a share.
		for _, vm := range t.Dispatchers {
			if snap.Reachable[vm] {
				out = append(out, vm)
			}
		}
	}
	return out
}
