package entry

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/internal/fanout"
	"github.com/fuchsiarelay/fuchsiarelay/internal/pauses"
	"github.com/fuchsiarelay/fuchsiarelay/internal/place"
	"github.com/fuchsiarelay/fuchsiarelay/internal/pool"
	"github.com/fuchsiarelay/fuchsiarelay/internal/stats"
	"github.com/fuchsiarelay/fuchsiarelay/internal/table"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/codes"
)

// lingerDuration is how long the open sends of a request go on after the request was answered without them. A target that
// has only paused replies within this time, so that its connection can be kept. The sends of a request that has failed are
// canceled at once: a fleet whose requests fail is overloaded, callers repeat these requests, and targets would do the work
// twice.
const lingerDuration = 250 * time.Millisecond

// maxRetryAfter is the longest time for which a target may ask to get no requests. A longer time is ignored as a fault of the
// target: a target that is unavailable for so long would state in its published document that it leaves.
const maxRetryAfter = time.Hour

// resultsPerPart is the capacity of runner.results for each part of a request. If the channel is full, a send that has ended
// waits for the runner.
const resultsPerPart = 4

// runner carries out the plan of one call.
type runner struct {
	entry       *Entry
	call        *call
	plan        *fanout.Plan
	services    []string // one for each part
	results     chan attemptResult
	replies     map[int]*pool.Reply // by attempt ID
	seenDigests map[string]bool     // digests of the parts that have been answered
	cancel      context.CancelFunc  // cancels sendsCtx
	sendsCtx    context.Context     // of all sends; outlives an answered call by lingerDuration, but not the deadline of the plan
	sendCount   int                 // number of sends that were started
	wakeAt      time.Time           // when to call plan.Tick next
}

// attemptResult is the result of one send.
type attemptResult struct {
	attemptID int
	outcome   place.Outcome
	reply     *pool.Reply // nil if no reply was read
}

func newRunner(e *Entry, c *call, services []string) *runner {
	r := &runner{entry: e, call: c, services: services, replies: map[int]*pool.Reply{}, seenDigests: map[string]bool{}}
	r.plan = fanout.New(fanout.Config{}, c.route, services, (*picker)(r), c.began, c.caller)
	r.results = make(chan attemptResult, len(services)*resultsPerPart)
	r.sendsCtx, r.cancel = context.WithDeadline(context.Background(), r.plan.Deadline())
	return r
}

// loop runs the plan until it is finished or the caller has disconnected.
func (r *runner) loop(ctx context.Context) result {
	var res result
	stop := r.entry.stop // closed when a planned stop begins
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	r.awaitPermits(ctx)
	finish := r.startSends(r.runStep(func(now time.Time) []fanout.Action { return r.plan.Start(now) }))
	for finish == nil {
		timer.Reset(max(time.Until(r.wakeAt), 0))
		select {
		case s := <-r.results:
			finish = r.startSends(r.runStep(func(now time.Time) []fanout.Action { return r.recordAttempt(now, s) }))
		case <-timer.C:
			finish = r.startSends(r.runStep(r.plan.Tick))
		case <-stop:
			stop = nil
			r.plan.LimitDeadline(r.entry.stopTime(answerFraction))
			r.wakeAt = r.plan.Deadline()
			finish = r.startSends(r.runStep(r.plan.Tick))
		case <-ctx.Done():
			r.cancel()
			res.sends = r.sendCount
			return res
		}
	}
	if len(finish.RateLimited) > 0 && finish.Code.Ran() == codes.NotRun {
		finish.RetryAfter = max(finish.RetryAfter, r.retryAfter(time.Now(), finish.RateLimited))
	}
	if finish.Code.OK() {
		time.AfterFunc(lingerDuration, r.cancel)
	} else {
		r.cancel()
	}
	res.finish = *finish
	res.sends = r.sendCount
	for _, id := range finish.AttemptIDs {
		res.replies = append(res.replies, r.replies[id])
	}
	return res
}

// runStep runs a step of the plan with Entry.mu locked, and records the sends among the resulting actions.
func (r *runner) runStep(step func(now time.Time) []fanout.Action) []fanout.Action {
	r.entry.mu.Lock()
	defer r.entry.mu.Unlock()
	now := time.Now()
	actions := step(now)
	for _, a := range actions {
		if a.Send != nil {
			a.Send.VerifyNew = r.entry.balancer.ResetsNewConns(a.Send.Target.ID)
			a.Send.Unassigned = r.entry.balancer.Availability(now, a.Send.Target) == place.Unassigned
			r.entry.balancer.RecordSend(now, a.Send.Target.ID)
			r.entry.countLimitedSend(a.Send.Target.ID)
			a.Send.Fingerprints = r.call.fingerprints(a.Send.Service)
			r.entry.addRunning(a.Send.Fingerprints)
		}
	}
	r.wakeAt = r.plan.NextTick()
	return actions
}

// recordAttempt passes the result of a send to the plan. The reply of a part is not counted if it has the same digest as that
// of another part.
func (r *runner) recordAttempt(now time.Time, s attemptResult) []fanout.Action {
	if s.reply != nil {
		r.replies[s.attemptID] = s.reply
	}
	if s.outcome == place.Answered && len(r.call.route.Gather) > 0 {
		digest := s.reply.Header.Get(r.entry.Names.Digest)
		if r.seenDigests[digest] {
			s.outcome = place.Broken
		}
		r.seenDigests[digest] = true
	}
	return r.plan.AttemptEnded(now, s.attemptID, s.outcome)
}

// startSends starts the sends among the actions. It returns the action that finishes the plan, or nil if there is none.
func (r *runner) startSends(actions []fanout.Action) *fanout.Finish {
	var finish *fanout.Finish
	for _, a := range actions {
		if a.Finish != nil {
			finish = a.Finish
		}
		if a.Send != nil {
			r.sendCount++
			started := &attempt{runner: r, send: *a.Send}
			go started.run()
		}
	}
	return finish
}

// attempt makes one send, records its outcome, and passes the result to the runner.
type attempt struct {
	runner              *runner
	send                fanout.Send
	connectionLost      bool     // the connection was lost before the reply was complete
	clearedFingerprints []uint64 // fingerprints that the success of this send has cleared of suspicion; to be reported to peers
}

func (a *attempt) run() {
	r := a.runner
	end := attemptResult{attemptID: a.send.AttemptID, outcome: place.Broken}
	r.entry.recoverPanic("send", func() { end = a.exchange() })
	r.entry.recoverPanic("send", a.removeRunning)
	select {
	case r.results <- end:
	case <-r.sendsCtx.Done(): // the call has ended, or its deadline has passed: the result is no longer needed
	}
}

// exchange sends the request, reads the reply, and records what they show about the target.
func (a *attempt) exchange() attemptResult {
	r, s := a.runner, a.send
	e := r.entry
	began := time.Now()
	reply, err := e.pool.Do(r.sendsCtx, pool.Target{ID: s.Target.ID, Addr: s.Target.Addr}, r.request(s))
	took := time.Since(began)
	if reply.AfterSkippedReplies {
		e.Log.Every("foreign "+s.Target.ID, time.Second).Warn("a reply to another request was dropped", "request", r.call.id, "target", s.Target.ID, "service", s.Service)
	}
	outcome := e.classifyOutcome(reply, err)
	retryAfter := e.retryAfter(s.Target.ID, reply)
	if outcome != place.Replaced {
		e.handleLeavingHeader(s.Target, reply.Header)
		if err == nil {
			e.recordRateLimit(s.Target, began, reply.Header)
		}
	}
	pause, isNew := a.recordOutcome(began, took, outcome, retryAfter, reply, err)
	if isConnectionLost(err) {
		a.handleConnectionLost(began)
	}
	a.sendSuccesses()
	e.Stats.ObserveSubRequest(s.Target.ID, sendKind(s), sendCode(outcome), took)
	if isNew {
		e.reportPause(pause)
	}
	if outcome != place.Answered {
		if outcome == place.NoReply || outcome == place.NotSent {
			// The other idle connections to the target may have failed for the same reason.
			e.pool.CloseIdle(s.Target.ID)
		}
		e.Log.Every("send "+s.Target.ID, time.Second).Info("send failed", "request", r.call.id, "content", hexFingerprint(r.call.contentFingerprint), "target", s.Target.ID, "service", s.Service,
			"outcome", outcome.String(), "status", reply.Status, "took_ms", took.Milliseconds(), "again", s.Repeated, "error", err)
	}
	end := attemptResult{attemptID: s.AttemptID, outcome: outcome}
	if err == nil {
		end.reply = &reply
	}
	return end
}

// recordOutcome records the outcome of the send in the balancer, the crash detector and, if the target has answered, the
// predictor of pauses. It returns the pause of the target that the reply shows, and whether this pause is new and must be
// reported to peers.
func (a *attempt) recordOutcome(began time.Time, took time.Duration, outcome place.Outcome, retryAfter time.Duration, reply pool.Reply, err error) (pauses.Pause, bool) {
	r, id := a.runner, a.send.Target.ID
	e := r.entry
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	usual := e.balancer.TargetTime(r.call.route.Name, id)
	if errors.Is(r.sendsCtx.Err(), context.Canceled) && outcome == place.NoReply {
		e.balancer.RecordAbandoned(now, id, r.call.route.Name, took)
	} else {
		e.balancer.RecordEnd(now, id, r.call.route.Name, place.SendResult{Outcome: outcome, Latency: took, Load: parseLoad(reply.Header.Get(e.Names.Load)), NewConnReset: isNewConnReset(err)})
	}
	if retryAfter > 0 {
		e.balancer.SetBackoff(id, now.Add(retryAfter))
	}
	a.updateDetector(now, outcome, err)
	if outcome != place.Answered {
		return pauses.Pause{}, false
	}
	return e.predictor.RecordReply(now, id, began, usual)
}

// request returns the HTTP request for one send.
func (r *runner) request(s fanout.Send) *pool.Request {
	req := r.call.request
	req.Close, req.VerifyNew = s.Unassigned, s.VerifyNew
	left := max(time.Until(s.Deadline).Milliseconds(), 1)
	req.ExtraHeader = []pool.HeaderField{
		{Name: r.entry.Names.Deadline, Value: strconv.FormatInt(left, 10)}, {Name: r.entry.Names.ExpectInstance, Value: s.Target.ID},
	}
	return &req
}

// sendKind returns the kind under which a send is counted.
func sendKind(s fanout.Send) stats.SubRequestKind {
	switch {
	case !s.Repeated:
		return stats.FirstAttempt
	case s.Hedge:
		return stats.Hedge
	}
	return stats.Retry
}

// sendCode returns the result code under which a send is counted.
func sendCode(o place.Outcome) codes.Code {
	switch o {
	case place.Answered:
		return codes.Complete
	case place.Failed:
		return codes.TargetFailed
	case place.Refused, place.Replaced:
		return codes.TargetRefused
	case place.NotSent:
		return codes.NotConnected
	case place.NoReply:
		return codes.DeadlineRunning
	}
	return codes.OutcomeUnknown
}

// isConnectionLost reports whether a send ended because its connection was lost after the target may have begun to run the
// request.
func isConnectionLost(err error) bool {
	var failure *pool.Error
	return errors.As(err, &failure) && failure.ConnectionLost
}

// isNewConnReset reports whether a send ended because the target reset a new connection.
func isNewConnReset(err error) bool {
	var failure *pool.Error
	return errors.As(err, &failure) && failure.NewConnReset
}

// classifyOutcome returns the outcome of a send that ended with a reply or an error.
func (e *Entry) classifyOutcome(reply pool.Reply, err error) place.Outcome {
	var failure *pool.Error
	switch {
	case errors.As(err, &failure) && failure.NotSent:
		return place.NotSent
	case errors.As(err, &failure) && failure.TimedOut:
		return place.NoReply
	case err != nil:
		return place.Broken
	case reply.Status == http.StatusMisdirectedRequest:
		return place.Replaced
	case reply.Header.Get(e.Names.NotExecuted) != "":
		return place.Refused
	case reply.Status < 200 || reply.Status > 299:
		return place.Failed
	}
	if enc := reply.Header.Get("Content-Encoding"); enc != "" && enc != "identity" || reply.Header.Get(e.Names.Digest) == "" {
		return place.Broken
	}
	return place.Answered
}

// retryAfter returns for how long a target asks, in the Retry-After header of its reply, to get no requests; 0 if it doesn't.
// A value that isn't a number of seconds up to maxRetryAfter, such as a date, is ignored.
func (e *Entry) retryAfter(target string, reply pool.Reply) time.Duration {
	text := reply.Header.Get("Retry-After")
	if text == "" || reply.Status != http.StatusServiceUnavailable && reply.Status != http.StatusTooManyRequests {
		return 0
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(seconds >= 0 && seconds <= maxRetryAfter.Seconds()) {
		e.Log.Every("retry after "+target, time.Minute).Warn("cannot use Retry-After of target", "target", target, "retry_after", text)
		return 0
	}
	e.Log.Every("muted "+target, time.Second).Info("target in backoff after Retry-After", "target", target, "status", reply.Status, "retry_after_s", seconds)
	return time.Duration(seconds * float64(time.Second))
}

// parseLoad parses the value of the header HeaderNames.Load, "running,waiting,slots". It returns nil for any other text.
func parseLoad(s string) *place.Load {
	fields := strings.Split(s, ",")
	if len(fields) != 3 {
		return nil
	}
	var n [3]int
	for i, f := range fields {
		v, err := strconv.Atoi(strings.TrimSpace(f))
		if err != nil || v < 0 {
			return nil
		}
		n[i] = v
	}
	return &place.Load{Running: n[0], Waiting: n[1], Slots: n[2]}
}

// picker implements fanout.Picker for the plan of a runner. Callers of its methods hold Entry.mu.
type picker runner

// Pick implements fanout.Picker.
func (p *picker) Pick(now time.Time, service string, tried []string) (*table.Target, place.Estimate, place.Availability) {
	e := p.entry
	targets := e.view.Load().Targets(service)
	if t, expected, ok := e.balancer.Pick(now, e.random, p.call.route.Name, targets, tried); ok {
		return t, expected, place.Usable
	}
	status, wait := e.balancer.UnavailableReason(now, targets, tried)
	return nil, place.Estimate{Time: wait}, status
}

// RandomBool implements fanout.Picker.
func (p *picker) RandomBool(probability float64) bool {
	return p.entry.random.Float64() < probability
}

// Shuffle implements fanout.Picker.
func (p *picker) Shuffle(n int, swap func(i, j int)) { p.entry.random.Shuffle(n, swap) }

// RandomFactor implements fanout.Picker.
func (p *picker) RandomFactor(width float64) float64 {
	return 1 + width*(p.entry.random.Float64()-0.5)
}

// TakeRetry implements fanout.Picker.
func (p *picker) TakeRetry(now time.Time, service string, failed bool) bool {
	return p.entry.budget.Take(now, service, failed)
}

// ReturnRetry implements fanout.Picker.
func (p *picker) ReturnRetry(now time.Time, service string) { p.entry.budget.Return(now, service) }

// RecordFirstAttempt implements fanout.Picker.
func (p *picker) RecordFirstAttempt(now time.Time, service string) {
	p.entry.budget.RecordFirstAttempt(now, service)
}

// LateAfter implements fanout.Picker.
func (p *picker) LateAfter() time.Duration {
	_, high := p.entry.balancer.RouteTimes(p.call.route.Name)
	return high
}
