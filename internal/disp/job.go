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

// Bounds of the time that a sub-request may take before it is given up, and the times within which a target ends a request
// that was given up. A connection is silent if it stays open but delivers nothing more, for example after a network fault.
const (
	minAttemptTimeout    = 100 * time.Millisecond
	maxAttemptTimeout    = 2 * time.Second
	attemptTimeoutFactor = 8                     // times the expected service time: timeout of a sub-request
	minServiceTime       = 20 * time.Millisecond // shortest service time that the checks for silent connections assume
	newConnCancelDelay   = 10 * time.Millisecond // exceeds the time to open a connection, about 6 ms, plus the network delay
	cancelDelay          = 2 * time.Millisecond  // within this time a target detects that a connection was closed
	// orderEndDelay is the time after the deadline within which a target ends an order. The target counts the deadline from
	// the start of the order, after the connection was opened.
	orderEndDelay    = 20 * time.Millisecond
	silentCallFactor = 4 // times the expected service time: the connection of a longer call may be silent
)

// job is one work item of a lane: a sub-request or an order.
type job struct {
	lane     *lane
	work     peer.WorkRequest
	deadline time.Time
	ctx      context.Context
	client   target.Client // set when the job starts
	maxConns int           // largest number of connections of the client

	replyOnce           sync.Once
	done                func(peer.WorkReply)
	stopWatchingContext func() bool
}

// reply passes the reply to the sender of the work, unless the work was already answered.
func (j *job) reply(r peer.WorkReply) {
	j.replyOnce.Do(func() {
		r.ID = j.work.ID
		j.done(r)
	})
}

// refuse answers the work with a refusal: it was not run, and may be sent again after retryAfter.
func (j *job) refuse(code codes.Code, text string, retryAfter time.Duration) {
	j.reply(peer.WorkReply{Code: code, Message: text, RetryAfterMS: retryAfter.Milliseconds()})
}

// watchContext arranges that the job is removed from the queue when its context ends.
func (j *job) watchContext() {
	stop := context.AfterFunc(j.ctx, j.removeCanceled)
	l := j.lane
	l.mu.Lock()
	defer l.mu.Unlock()
	j.stopWatchingContext = stop
}

// removeCanceled removes the job from the queue after its context ended. A running sub-request uses the same context, so it
// ends by itself.
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
	l.dispatcher.cfg.Trace.Report(trace.Sent, j.requestID())
	now := l.dispatcher.cfg.Now()
	// The permission to send is checked again here: since the job was queued, the permission may have been withdrawn or
	// may have expired, for example while the process was suspended.
	snap := l.dispatcher.cfg.State.Load()
	if err := snap.CheckTarget(now, l.id, j.work.Fingerprint); err != nil {
		j.freeSlot()
		j.refuse(codes.Of(err), codes.Message(err), max(codes.RetryAfter(err), defaultRetryAfter))
		return
	}
	remaining := j.deadline.Sub(now)
	if remaining <= 0 || (j.work.Sub != nil && j.ctx.Err() != nil) {
		j.freeSlot()
		j.refuse(codes.DeadlineTooShort, "the deadline passed in the queue", defaultRetryAfter)
		return
	}
	if j.work.Order != nil {
		j.sendOrder(remaining)
		return
	}
	j.sendSub(remaining)
}

// freeSlot frees the slot of the job and starts waiting jobs. If the lane has replaced its client since the job started,
// freeSlot closes the idle connections of the old client.
func (j *job) freeSlot() {
	l := j.lane
	l.mu.Lock()
	delete(l.running, j)
	stopWatchingContext := j.stopWatchingContext
	clientReplaced := j.maxConns != l.maxConns
	l.mu.Unlock()
	if clientReplaced {
		j.client.Reset()
	}
	if stopWatchingContext != nil {
		stopWatchingContext()
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

// sendSub sends the sub-request to the target and replies with the result. The parameter remaining is the time until the
// deadline.
func (j *job) sendSub(remaining time.Duration) {
	l := j.lane
	start := l.dispatcher.cfg.Now()
	timeout := min(remaining, l.attemptTimeout(start))
	ctx, cancel := context.WithTimeout(j.ctx, timeout)
	defer cancel()
	sub := *j.work.Sub
	// The target must stop when this attempt is given up. On a silent connection the target can't detect that nobody
	// waits for the reply any more, and would keep its slot busy.
	sub.DeadlineMS = max(timeout.Milliseconds(), 1)
	reply, err := j.client.Sub(ctx, sub)
	took := l.dispatcher.cfg.Now().Sub(start)
	if err == nil {
		l.recordLatency(took, j.work)
		l.recordReply(start, took, reply.Stamp)
		l.dispatcher.cfg.Events.FingerprintCompleted(j.work.Fingerprint)
		j.freeSlot()
		j.reply(peer.WorkReply{Code: codes.Complete, Sub: &reply, Level: l.level()})
		return
	}
	r := j.replyForError(err, start, took)
	switch {
	case j.ctx.Err() != nil:
		j.freeSlotAfter(l.slotFreeDelay(took, start.Add(timeout), err))
	case errorKind(err) == target.TimedOut:
		j.freeSlotAfter(cancelDelayAfter(err))
	default:
		j.freeSlot()
	}
	j.reply(r)
}

// errorKind returns the kind of an error of the target client, or "" if err is not a *target.Error.
func errorKind(err error) target.Kind {
	var targetErr *target.Error
	if !errors.As(err, &targetErr) {
		return ""
	}
	return targetErr.Kind
}

// cancelDelayAfter returns the time within which a target detects that the connection of the failed call was closed. On a
// new connection, the target may not even have begun to read the request.
func cancelDelayAfter(err error) time.Duration {
	var targetErr *target.Error
	if errors.As(err, &targetErr) && targetErr.NewConn {
		return newConnCancelDelay
	}
	return cancelDelay
}

// slotFreeDelay returns the time after which the target has certainly ended a canceled call, so that the slot is free
// again. If the call took much longer than the expected service time, its connection may be silent; the target then
// works on the call until the deadline that was sent with the call.
func (l *lane) slotFreeDelay(took time.Duration, deadline time.Time, err error) time.Duration {
	now := l.dispatcher.cfg.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if took > silentCallFactor*max(l.queue.ServiceTime(now), minServiceTime) {
		return max(deadline.Sub(now), cancelDelayAfter(err))
	}
	return cancelDelayAfter(err)
}

// freeSlotAfter frees the slot of a call that was given up, after the time within which the target ends the call. Until
// then, a further sub-request could exceed the concurrency limit of the target.
func (j *job) freeSlotAfter(wait time.Duration) {
	l := j.lane
	l.mu.Lock()
	delayed := &delayedSlotFree{job: j, wait: wait, incarnation: l.incarnation()}
	l.mu.Unlock()
	l.dispatcher.wg.Go(delayed.run)
}

// delayedSlotFree frees the slot of a job that was given up, after a wait. A restart of the target ends the wait early,
// because the restarted target no longer runs the job.
type delayedSlotFree struct {
	job         *job
	wait        time.Duration
	incarnation uint64
}

func (d *delayedSlotFree) run() {
	l := d.job.lane
	timer := time.NewTimer(d.wait)
	defer timer.Stop()
	tick := time.NewTicker(l.dispatcher.cfg.TickInterval)
	defer tick.Stop()
	for waiting := true; waiting; {
		select {
		case <-timer.C:
			waiting = false
		case <-tick.C:
			l.mu.Lock()
			waiting = l.incarnation() == d.incarnation
			l.mu.Unlock()
		case <-l.dispatcher.ctx.Done():
			waiting = false
		}
	}
	d.job.freeSlot()
}

// sendOrder sends the order to the target and replies with the outcome. The parameter remaining is the time until the
// deadline.
func (j *job) sendOrder(remaining time.Duration) {
	l := j.lane
	// The order is not aborted when the caller disconnects: the front stores the outcome, and a repeated request with the
	// same token returns it.
	ctx, cancel := context.WithTimeout(l.dispatcher.ctx, remaining)
	defer cancel()
	order := *j.work.Order
	order.DeadlineMS = remaining.Milliseconds()
	start := l.dispatcher.cfg.Now()
	reply, err := j.client.Order(ctx, order)
	took := l.dispatcher.cfg.Now().Sub(start)
	if err == nil {
		l.recordReply(start, 0, reply.Stamp)
		code := codes.Executed
		if reply.Failed {
			code = codes.TargetFailed
		}
		j.freeSlot()
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
		j.freeSlotAfter(orderEndDelay)
	case target.Broken:
		// A target runs an order to its deadline even if the connection is closed.
		j.freeSlotAfter(remaining - took + orderEndDelay)
	default:
		j.freeSlot()
	}
	j.reply(r)
}

// recordReply passes a complete reply of the target to the concurrency limit. For orders, took is 0: each order uses a new
// connection, so its latency can't be compared with that of sub-requests.
func (l *lane) recordReply(sent time.Time, took time.Duration, stamp target.Stamp) {
	l.recordStamp(sent, stamp)
	l.observe(limit.Observation{Kind: limit.GoodReply, Incarnation: stamp.Incarnation, State: stamp.State, Slots: stamp.Load.Slots, Sent: sent, Latency: took})
}

// replyForError returns the reply for an error of the target client, and passes what the error says about the target to the
// concurrency limit.
func (j *job) replyForError(err error, sent time.Time, took time.Duration) peer.WorkReply {
	l := j.lane
	r := peer.WorkReply{Code: codes.TargetFailed, Message: err.Error(), RetryAfterMS: defaultRetryAfter.Milliseconds()}
	var targetErr *target.Error
	if !errors.As(err, &targetErr) {
		return r
	}
	// An error that follows from canceling the call says nothing about the target.
	canceled := j.ctx.Err() != nil && j.work.Order == nil
	switch targetErr.Kind {
	case target.NotSent:
		r.Code = codes.NotConnected
		if permissionErr := l.dispatcher.cfg.State.Load().CheckTarget(l.dispatcher.cfg.Now(), l.id, j.work.Fingerprint); permissionErr != nil {
			r.Code = codes.Of(permissionErr)
		} else if !canceled {
			l.observe(limit.Observation{Kind: limit.ConnectFailed, Sent: sent})
		}
	case target.Refused:
		r.Code = codes.TargetRefused
		r.Served = targetErr.Refusal.Served
		r.RetryAfterMS = max(targetErr.Refusal.RetryAfterMS, 1)
		l.recordRefusal(sent, targetErr.Refusal)
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
func (l *lane) recordRefusal(sent time.Time, refusal target.Refusal) {
	l.recordStamp(sent, refusal.Stamp)
	observation := limit.Observation{Kind: limit.Refused, Incarnation: refusal.Incarnation, State: refusal.State, Slots: refusal.Load.Slots, Sent: sent}
	switch refusal.Reason {
	case target.ReasonShed:
		observation.Kind = limit.Overloaded
	case target.ReasonDraining:
		observation.State = target.Draining
	case target.ReasonVersion:
		l.mu.Lock()
		l.servedSnapshots = refusal.Served
		l.mu.Unlock()
	case target.ReasonTooLate, target.ReasonBad:
	}
	l.observe(observation)
}

// recordTimeout handles a call that ended without a reply because its time was over or it was canceled. Unless the call was
// canceled early, its connection and those opened at the same time may be silent, so all idle connections are replaced.
func (j *job) recordTimeout(sent time.Time, took time.Duration, canceled bool) {
	l := j.lane
	l.mu.Lock()
	service := max(l.queue.ServiceTime(sent), minServiceTime)
	l.mu.Unlock()
	if !canceled || took > silentCallFactor*service {
		j.client.Reset()
	}
	if !canceled {
		l.observe(limit.Observation{Kind: limit.ConnectionLost, Sent: sent})
	}
}

// reportCrash reports a broken connection as a crash of the target, with the fingerprints of the requests that were running
// there.
func (j *job) reportCrash() {
	l := j.lane
	now := l.dispatcher.cfg.Now()
	l.mu.Lock()
	crash := peer.Crash{Target: l.id, Incarnation: l.incarnation()}
	l.lastCrash = crashReport{at: now, incarnation: crash.Incarnation}
	l.lastProbe = time.Time{} // makes the next tick request the health page, which shows whether the target was restarted
	for other := range l.running {
		if other.work.Fingerprint != 0 {
			crash.Fingerprints = append(crash.Fingerprints, other.work.Fingerprint)
		}
	}
	l.mu.Unlock()
	l.dispatcher.cfg.Events.TargetCrashed(crash)
}

// recordLatency passes the latency of a complete reply to the queue, which estimates the service time, and keeps the
// sub-request as trialWork.
func (l *lane) recordLatency(took time.Duration, w peer.WorkRequest) {
	now := l.dispatcher.cfg.Now()
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
