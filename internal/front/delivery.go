package front

import (
	"context"
	"sync"
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/internal/peer"
	"github.com/fuchsiarelay/fuchsiarelay/internal/stats"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/codes"
)

// delivery sends one work item to a dispatcher of its target. If a dispatcher certainly did not run the item, because it
// has no share of the target or can't be reached, delivery sends the item to the other dispatcher.
type delivery struct {
	front    *Front
	work     peer.WorkRequest
	deadline time.Time
	kind     stats.SubRequestKind
	done     func(peer.WorkReply) // called once

	mu       sync.Mutex
	cancel   func() // cancels the item at the dispatcher that has it now
	canceled bool
}

// start sends the work item and returns a function that cancels it.
func (d *delivery) start(ctx context.Context) (cancel func()) {
	d.sendTo(ctx, d.front.orderedDispatchers(d.front.cfg.State.Load(), d.work.Target))
	return func() {
		d.mu.Lock()
		d.canceled = true
		c := d.cancel
		d.mu.Unlock()
		if c != nil {
			c()
		}
	}
}

// sendTo sends the work item to the first of the dispatchers, and to the others if the first did not run the item.
func (d *delivery) sendTo(ctx context.Context, dispatchers []string) {
	f := d.front
	now := f.cfg.Now()
	snap := f.cfg.State.Load()
	// The permission to send is checked again here: the process may have been suspended since the request was admitted.
	if err := snap.CheckTarget(now, d.work.Target, d.work.Fingerprint); err != nil {
		d.done(peer.WorkReply{Code: codes.Of(err), Message: codes.Message(err), RetryAfterMS: codes.RetryAfter(err).Milliseconds()})
		return
	}
	if len(dispatchers) == 0 {
		d.done(peer.WorkReply{Code: codes.NoTarget, Message: "no dispatcher of the target can be reached"})
		return
	}
	vm, others := dispatchers[0], dispatchers[1:]
	w := d.work
	w.DeadlineMS = d.deadline.Sub(now).Milliseconds()
	f.loads.recordSend(w.Target, vm)
	sentAt := f.cfg.Now()
	handleReply := func(r peer.WorkReply) {
		now := f.cfg.Now()
		elapsed := now.Sub(sentAt)
		f.loads.recordEnd(now, w.Target, vm, attemptEnd{elapsed: elapsed, code: r.Code, isOrder: w.Order != nil})
		f.cfg.Stats.ObserveSubRequest(w.Target, d.kind, r.Code, elapsed)
		if otherDispatcherMayAccept(r.Code) && !d.isCanceled() {
			if len(others) > 0 {
				d.sendTo(ctx, others)
				return
			}
			f.loads.recordNotAccepted(now, w.Target)
		}
		d.done(r)
	}
	if vm == f.cfg.VM {
		localCtx, cancel := context.WithCancel(ctx)
		d.setCancel(cancel)
		f.cfg.Local.Submit(localCtx, w, func(r peer.WorkReply) {
			cancel()
			handleReply(r)
		})
		return
	}
	d.setCancel(f.cfg.Remote.Work(vm, w, handleReply))
}

// otherDispatcherMayAccept reports whether the other dispatcher of the same target may accept the work after an answer with
// this code.
func otherDispatcherMayAccept(c codes.Code) bool {
	return c == codes.NotDispatcher || c == codes.StaleView || c == codes.Starting || c == codes.Stopping || c == codes.NotConnected
}

func (d *delivery) isCanceled() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.canceled
}

// setCancel stores the function that cancels the item at its current dispatcher, and calls it if the delivery was canceled
// meanwhile.
func (d *delivery) setCancel(c func()) {
	d.mu.Lock()
	canceled := d.canceled
	d.cancel = c
	d.mu.Unlock()
	if canceled {
		c()
	}
}
