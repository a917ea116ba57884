package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/internal/peer"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
)

// Intervals of following the published documents.
const (
	readers = 2 // processes that watch the platform; the others follow them
	// watchWait bounds how long a silent platform goes unnoticed.
	watchWait  = time.Second
	watchSlack = 300 * time.Millisecond // beyond watchWait for an answer
	rangeTime  = 2 * time.Second
	syncWait   = 500 * time.Millisecond
	syncSlack  = 200 * time.Millisecond
	// staleAfter is the age of a peer's documents from which a process asks the platform itself. With the waits
	// above, it leaves a second of the 3 s in which a configuration must be in force.
	staleAfter = 1500 * time.Millisecond
	retryMin   = 100 * time.Millisecond
	retryMax   = 400 * time.Millisecond
)

// follower keeps the documents of this process up to date, from the platform or from a peer that is.
type follower struct {
	entry   *Entry
	control *control
	lost    bool // the platform did not answer the last read
	retry   time.Duration
	distant time.Time // read from the platform until then, since peers are stale
}

// loop runs until ctx ends.
func (f *follower) loop(ctx context.Context) {
	for ctx.Err() == nil {
		after, complete, rank, reader := f.state()
		var err error
		switch {
		case !complete:
			err = f.start(ctx)
		case rank < readers || reader == "" || time.Now().Before(f.distant):
			err = f.watch(ctx, after)
		default:
			f.sync(ctx, reader, after, syncWait)
			continue
		}
		f.note(err)
		if err != nil && ctx.Err() == nil {
			f.bridge(ctx)
		}
	}
}

// state returns the revision that is held, whether that is everything, the rank of this process, and a peer with
// fresh documents.
func (f *follower) state() (after uint64, complete bool, rank int, reader string) {
	f.control.ask(func(c *control, now time.Time) {
		after, complete, rank = c.facts.AsOf(), c.facts.Complete(), c.crew.Rank(now)
		if running := c.crew.Running(now); rank >= readers && len(running) >= readers {
			reader = running[rand.IntN(readers)]
		}
	})
	return after, complete, rank, reader
}

// start reads everything.
func (f *follower) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, rangeTime)
	defer cancel()
	began := time.Now()
	docs, asOf, err := f.entry.Source.Range(ctx)
	if err != nil {
		return err
	}
	f.control.post(func(c *control, now time.Time) {
		c.proof = began
		c.apply(c.facts.Range(now, docs, asOf))
		c.publish(now)
		c.answerSyncs(now)
	})
	return nil
}

// watch waits for changes at the platform.
func (f *follower) watch(ctx context.Context, after uint64) error {
	bounded, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
	defer cancel()
	docs, asOf, err := f.entry.Source.Watch(bounded, after, watchWait)
	if errors.Is(err, ErrHistory) {
		f.entry.Log.Warn("platform history dropped; reading everything", "after", after)
		return f.start(ctx)
	}
	if err != nil {
		return err
	}
	f.took(docs, asOf, time.Now())
	return nil
}

func (f *follower) took(docs []plat.Document, asOf uint64, proof time.Time) {
	f.control.post(func(c *control, now time.Time) {
		if proof.After(c.proof) {
			c.proof = proof
		}
		if changed := c.facts.Events(now, docs, asOf); len(changed) > 0 {
			c.apply(changed)
			c.publish(now)
		}
		c.answerSyncs(now)
	})
}

// note logs a lost or regained platform.
func (f *follower) note(err error) {
	lost := err != nil
	if lost {
		f.control.post(func(c *control, now time.Time) { c.facts.Failed(now) })
	}
	if lost != f.lost {
		f.lost = lost
		if lost {
			f.entry.Log.Warn("platform lost", "error", err)
		} else {
			f.entry.Log.Info("platform regained")
		}
	}
	if !lost {
		f.retry = 0
	}
}

// bridge learns from a peer while the platform doesn't answer, and waits before the next try.
func (f *follower) bridge(ctx context.Context) {
	f.retry = min(max(2*f.retry, retryMin), retryMax)
	var after uint64
	var peers []string
	f.control.ask(func(c *control, now time.Time) { after, peers = c.facts.AsOf(), c.crew.Running(now) })
	if len(peers) > 0 {
		f.sync(ctx, peers[rand.IntN(len(peers))], after, 0)
	}
	pause := time.NewTimer(f.retry/2 + rand.N(f.retry))
	defer pause.Stop()
	select {
	case <-pause.C:
	case <-ctx.Done():
	}
}

// sync takes documents from a peer.
func (f *follower) sync(ctx context.Context, from string, after uint64, wait time.Duration) {
	replies := make(chan peer.SyncReply, 1)
	f.entry.hub.Sync(from, peer.Sync{After: after, WaitMS: wait.Milliseconds()}, func(r peer.SyncReply) { replies <- r })
	timer := time.NewTimer(wait + syncSlack)
	defer timer.Stop()
	select {
	case r := <-replies:
		f.heard(from, r)
	case <-timer.C:
		f.distant = time.Now().Add(staleAfter)
	case <-ctx.Done():
	}
}

// heard takes the reply of a peer.
func (f *follower) heard(from string, r peer.SyncReply) {
	age := time.Duration(r.AgeMS) * time.Millisecond
	if r.Down || r.AgeMS < 0 || age > staleAfter {
		f.distant = time.Now().Add(staleAfter)
		f.entry.Log.Every("stale peer", time.Second).Info("peer has no fresh documents; asking the platform", "peer", from, "age", age, "link_down", r.Down)
	}
	if r.Down || r.AsOf == 0 {
		return
	}
	if !r.Whole {
		f.took(r.Documents, r.AsOf, time.Now().Add(-age))
		return
	}
	f.control.post(func(c *control, now time.Time) {
		if r.AsOf < c.facts.AsOf() {
			return
		}
		if proof := now.Add(-age); r.AgeMS >= 0 && proof.After(c.proof) {
			c.proof = proof
		}
		c.apply(c.facts.Range(now, r.Documents, r.AsOf))
		c.publish(now)
		c.answerSyncs(now)
	})
}
