package disp

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/internal/limit"
	"github.com/fuchsiarelay/fuchsiarelay/internal/peer"
	"github.com/fuchsiarelay/fuchsiarelay/internal/trace"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/codes"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/target"
)

// Bounds of the time that a sub-request may take before its connection counts as silent, and the times within which a
// target ends a request that was given up.
const (
	minAttemptTimeout    = 100 * time.Millisecond
	maxAttemptTimeout    = 2 * time.Second
	attemptTimeoutFactor = 8                     // times the expected service time
	defaultServiceTime   = 20 * time.Millisecond // assumed while no reply was received
	newConnCancelDelay   = 10 * time.Millisecond // exceeds the time to open a connection, about 6 ms, plus the network delay
	cancelDelay          = 2 * time.Millisecond  // within this time a target detects that a connection was closed
	orderEndDelay        = 20 * time.Millisecond // the deadline counts from the order's start, after opening a connection
	silentFactor         = 4                     // times the service time: after a longer call, connections may be silent
)

// job is one work item of a lane: a sub-request or an order.
type job struct {
	lane     *lane
	work     peer.Work
	deadline time.Time
	ctx      context.Context
	client   target.Client // set when the job starts
	maxConns int           // largest number of connections of the client

	once      sync.Once
	done      func(peer.WorkReply)
	stopWatch func() bool
}

func (j *job) reply(r peer.WorkReply) {
	j.once.Do(func() {
		r.ID = j.work.ID
		j.done(r)
	})
}

func (j *job) refuse(code codes.Code, text string, after time.Duration) {
	j.reply(peer.WorkReply{Code: code, Message: text, RetryAfterMS: after.Milliseconds()})
}

// watchContext arranges that the job is removed from the queue when its context ends.
func (j *job) watchContext() {
	stop := context.AfterFunc(j.ctx, j.removeCanceled)
	l := j.lane
	l.mu.Lock()
	defer l.mu.Unlock()
	j.stopWatch = stop
}

// removeCanceled removes the job from the queue after its context ended. A running sub-request ends by the same context.
func (j *job) removeCanceled() {
	l := j.lane
	l.mu.Lock()
	removed := l.removeWaiting(func(other *job) bool { return other == j })
	l.mu.Unlock()
	refuseAll(removed, codes.Canceled, "canceled before it was sent", defaultRetryAfter, nil)
}

func (j *job) requestID() string {
	if j.work.Sub != nil {
		return j.work.Sub.RequestID
	}
	return j.work.Order.RequestID
}

// run sends the work to the target and replies with the outcome.
func (j *job) run() {
	l := j.lane
	l.disp.cfg.Trace.Report(trace.Sent, j.requestID())
	now := l.disp.cfg.Now()
	// The permission to send is checked again here: since the job was queued, the permission may have been withdrawn or
	// may have expired, for example while the process was suspended.
	snap := l.disp.cfg.State.Load()
	if err := snap.CheckTarget(now, l.id, j.work.Fingerprint); err != nil {
		j.finish()
		j.refuse(codes.Of(err), codes.Message(err), max(codes.RetryAfter(err), defaultRetryAfter))
		return
	}
	remaining := j.deadline.Sub(now)
	if remaining <= 0 || (j.work.Sub != nil && j.ctx.Err() != nil) {
		j.finish()
		j.refuse(codes.DeadlineTooShort, "the deadline passed in the queue", defaultRetryAfter)
		return
	}
	if j.work.Order != nil {
		j.sendOrder(remaining)
		return
	}
	j.sendSub(remaining)
}

// finish frees the slot of the job and starts waiting jobs. If the lane has replaced its client since the job started,
// finish closes the idle connections of the old client.
func (j *job) finish() {
	l := j.lane
	l.mu.Lock()
	delete(l.running, j)
	stop := j.stopWatch
	replaced := j.maxConns != l.maxConns
	l.mu.Unlock()
	if replaced {
		j.client.Reset()
	}
	if stop != nil {
		stop()
	}
	l.ackLevelChange()
	l.startWaiting()
}

// attemptTimeout returns the time after which a sub-request without a reply is given up: several times the expected
// service time, because a connection that stays silent for that long is probably broken.
func (l *lane) attemptTimeout(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	service := l.queue.ServiceTime(now)
	if service == 0 {
		return maxAttemptTimeout
	}
	return min(max(attemptTimeoutFactor*service, minAttemptTimeout), maxAttemptTimeout)
}

func (j *job) sendSub(remaining time.Duration) {
	l := j.lane
	start := l.disp.cfg.Now()
	timeout := min(remaining, l.attemptTimeout(start))
	ctx, cancel := context.WithTimeout(j.ctx, timeout)
	defer cancel()
	sub := *j.work.Sub
	// The target must stop when this attempt is given up. On a silent connection the target can't detect that nobody
	// waits for the reply any more, and would keep its slot busy.
	sub.DeadlineMS = max(timeout.Milliseconds(), 1)
	reply, err := j.client.Sub(ctx, sub)
	took := l.disp.cfg.Now().Sub(start)
	if err == nil {
		l.recordLatency(took, j.work)
		l.recordReply(start, took, reply.Stamp)
		l.disp.cfg.Events.FingerprintCompleted(j.work.Fingerprint)
		j.finish()
		j.reply(peer.WorkReply{Code: codes.Complete, Sub: &reply, Level: l.level()})
		return
	}
	r := j.replyForError(err, start, took)
	switch {
	case j.ctx.Err() != nil:
		j.finishAfter(l.slotReleaseDelay(took, start.Add(timeout), err))
	case errorKind(err) == target.TimedOut:
		j.finishAfter(cancelDelayAfter(err))
	default:
		j.finish()
	}
	j.reply(r)
}

// errorKind returns the kind of an error of the target client, or "" if err is not a *target.Error.
func errorKind(err error) target.Kind {
	var fault *target.Error
	if !errors.As(err, &fault) {
		return ""
	}
	return fault.Kind
}

// cancelDelayAfter returns the time within which a target detects that the connection of the failed call was closed. On a
// new connection, the target may not even have begun to read the request.
func cancelDelayAfter(err error) time.Duration {
	var fault *target.Error
	if errors.As(err, &fault) && fault.NewConn {
		return newConnCancelDelay
	}
	return cancelDelay
}

// slotReleaseDelay returns the time after which the target has certainly ended a canceled call, so that the slot is free
// again. If the call took much longer than the expected service time, its connection may be silent; the target then
// works on the call until the deadline that was sent with the call.
func (l *lane) slotReleaseDelay(took time.Duration, deadline time.Time, err error) time.Duration {
	now := l.disp.cfg.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if took > silentFactor*max(l.queue.ServiceTime(now), defaultServiceTime) {
		return max(deadline.Sub(now), cancelDelayAfter(err))
	}
	return cancelDelayAfter(err)
}

// finishAfter frees the slot of a call that was given up, after the time within which the target ends the call. Before
// that, a further sub-request could exceed the concurrency limit of the target.
func (j *job) finishAfter(wait time.Duration) {
	l := j.lane
	l.mu.Lock()
	h := &delayedFinish{job: j, wait: wait, incarnation: l.incarnation()}
	l.mu.Unlock()
	l.disp.wg.Go(h.run)
}

// delayedFinish calls finish for a job that was given up, after a wait. A restart of the target ends the wait early, because
// the restarted target no longer runs the job.
type delayedFinish struct {
	job         *job
	wait        time.Duration
	incarnation uint64
}

func (h *delayedFinish) run() {
	l := h.job.lane
	timer := time.NewTimer(h.wait)
	defer timer.Stop()
	tick := time.NewTicker(l.disp.cfg.TickInterval)
	defer tick.Stop()
	for waiting := true; waiting; {
		select {
		case <-timer.C:
			waiting = false
		case <-tick.C:
			l.mu.Lock()
			waiting = l.incarnation() == h.incarnation
			l.mu.Unlock()
		case <-l.disp.ctx.Done():
			waiting = false
		}
	}
	h.job.finish()
}

func (j *job) sendOrder(remaining time.Duration) {
	l := j.lane
	// The order is not aborted when the caller disconnects: the front stores the outcome, and a repeated request with the
	// same token returns it.
	ctx, cancel := context.WithTimeout(l.disp.ctx, remaining)
	defer cancel()
	order := *j.work.Order
	order.DeadlineMS = remaining.Milliseconds()
	start := l.disp.cfg.Now()
	reply, err := j.client.Order(ctx, order)
	took := l.disp.cfg.Now().Sub(start)
	if err == nil {
		l.recordReply(start, 0, reply.Stamp)
		code := codes.Executed
		if reply.Failed {
			code = codes.TargetFailed
		}
		j.finish()
		j.reply(peer.WorkReply{Code: code, Order: &reply, Level: l.level()})
		return
	}
	r := j.replyForError(err, start, took)
	switch r.Code {
	case codes.DeadlineExceeded:
		r.Code = codes.DeadlineRunning
	case codes.TargetFailed:
		if errorKind(err) != target.Failed {
			r.Code = codes.OutcomeUnknown
		}
	default:
	}
	switch errorKind(err) {
	case target.TimedOut:
		j.finishAfter(orderEndDelay)
	case target.Broken:
		// A target runs an order to its deadline even if the connection is closed.
		j.finishAfter(remaining - took + orderEndDelay)
	default:
		j.finish()
	}
	j.reply(r)
}

// recordReply passes a complete reply of the target to the concurrency limit. For orders, took is 0: each order uses a new
// connection, so its latency can't be compared with that of sub-requests.
func (l *lane) recordReply(sent time.Time, took time.Duration, s target.Stamp) {
	l.recordStamp(sent, s)
	l.observe(limit.Observation{Kind: limit.GoodReply, Incarnation: s.Incarnation, State: s.State, Slots: s.Load.Slots, Sent: sent, Latency: took})
}

// replyForError returns the reply for an error of the target client, and passes what the error says about the target to the
// concurrency limit.
func (j *job) replyForError(err error, sent time.Time, took time.Duration) peer.WorkReply {
	l := j.lane
	r := peer.WorkReply{Code: codes.TargetFailed, Message: err.Error(), RetryAfterMS: defaultRetryAfter.Milliseconds()}
	var fault *target.Error
	if !errors.As(err, &fault) {
		return r
	}
	// An error that follows from canceling the call says nothing about the target.
	canceled := j.ctx.Err() != nil && j.work.Order == nil
	switch fault.Kind {
	case target.NotSent:
		r.Code = codes.NotConnected
		if denied := l.disp.cfg.State.Load().CheckTarget(l.disp.cfg.Now(), l.id, j.work.Fingerprint); denied != nil {
			r.Code = codes.Of(denied)
		} else if !canceled {
			l.observe(limit.Observation{Kind: limit.ConnectFailed, Sent: sent})
		}
	case target.Refused:
		r.Code = codes.TargetRefused
		r.Served = fault.Refusal.Served
		r.RetryAfterMS = max(fault.Refusal.RetryAfterMS, 1)
		l.recordRefusal(sent, fault.Refusal)
	case target.Broken:
		if !canceled {
			j.reportCrash()
			l.observe(limit.Observation{Kind: limit.ConnectionLost, Sent: sent})
		}
	case target.TimedOut:
		r.Code = codes.DeadlineExceeded
		j.recordTimeout(sent, took, canceled)
	case target.Garbled:
		// The reply belongs to another request, so its statements about the target can't be trusted. It counts as an
		// observation that the target may have been restarted.
		l.observe(limit.Observation{Kind: limit.ConnectionLost, Sent: sent})
	case target.Failed:
	}
	r.Level = l.level()
	return r
}

// recordRefusal passes a refusal by the target to the concurrency limit.
func (l *lane) recordRefusal(sent time.Time, r target.Refusal) {
	l.recordStamp(sent, r.Stamp)
	s := limit.Observation{Kind: limit.Refused, Incarnation: r.Incarnation, State: r.State, Slots: r.Load.Slots, Sent: sent}
	switch r.Reason {
	case target.ReasonShed:
		s.Kind = limit.Overloaded
	case target.ReasonDraining:
		s.State = target.Draining
	case target.ReasonVersion:
		l.mu.Lock()
		l.served = r.Served
		l.mu.Unlock()
	case target.ReasonTooLate, target.ReasonBad:
	}
	l.observe(s)
}

// recordTimeout handles a call that ended without a reply. Its connection and those opened at the same time may have become
// silent, so all idle connections are replaced.
func (j *job) recordTimeout(sent time.Time, took time.Duration, canceled bool) {
	l := j.lane
	l.mu.Lock()
	service := max(l.queue.ServiceTime(sent), defaultServiceTime)
	l.mu.Unlock()
	if !canceled || took > silentFactor*service {
		j.client.Reset()
	}
	if !canceled {
		l.observe(limit.Observation{Kind: limit.ConnectionLost, Sent: sent})
	}
}

// reportCrash reports the fingerprints of the requests that were running on the target when a connection broke.
func (j *job) reportCrash() {
	l := j.lane
	now := l.disp.cfg.Now()
	l.mu.Lock()
	c := peer.Crash{Target: l.id, Incarnation: l.incarnation()}
	l.lastCrash = crashReport{at: now, incarnation: c.Incarnation}
	l.lastProbe = time.Time{} // makes the next tick request the health page, which shows whether the target was restarted
	for other := range l.running {
		if other.work.Fingerprint != 0 {
			c.Fingerprints = append(c.Fingerprints, other.work.Fingerprint)
		}
	}
	l.mu.Unlock()
	l.disp.cfg.Events.TargetCrashed(c)
}

// recordLatency passes the latency of a complete reply to the queue, which estimates the service time, and keeps the
// sub-request for a later trial of the target.
func (l *lane) recordLatency(took time.Duration, w peer.Work) {
	now := l.disp.cfg.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue.ObserveLatency(now, took)
	l.trialWork = w
}

func (l *lane) level() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limit.Level()
}
