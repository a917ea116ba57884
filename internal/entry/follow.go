package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/internal/peer"
)

// Intervals of following the published documents.
const (
	// minReaders and perReader give the number of processes that watch the platform; the others follow these. Two can
	// stand in for each other; more share out large documents over slow links.
	minReaders = 2
	perReader  = 20
	// watchWait bounds how long a silent platform goes unnoticed by one reader; its peers notice sooner that others
	// have newer documents.
	watchWait  = 4 * time.Second
	watchSlack = 500 * time.Millisecond // beyond watchWait for an answer
	rangeTime  = 2 * time.Second
	syncWait   = 2 * time.Second
	syncSlack  = 400 * time.Millisecond
	// staleAfter is the age of a peer's documents from which a process asks the platform itself: a whole wait of the
	// reader, and its slack.
	staleAfter = watchWait + watchSlack
	// gatherFor collects changes that come one after the other into one call; each call is paid for.
	gatherFor = 120 * time.Millisecond
	// startWait is how long a process that isn't a seed waits for the documents of a peer before it reads them itself.
	startWait  = 1200 * time.Millisecond
	startPause = 100 * time.Millisecond
	retryMin   = 100 * time.Millisecond
	retryMax   = 400 * time.Millisecond
)

// readersOf returns how many of n processes watch the platform.
func readersOf(n int) int { return max(minReaders, n/perReader) }

// follower keeps the documents of this process up to date, from the platform or from a peer that is.
type follower struct {
	entry   *Entry
	control *control
	reads   atomic.Uint64 // of the platform
	lost    bool          // the platform did not answer the last read
	retry   time.Duration
	began   time.Time
	distant time.Time // read from the platform until then, since peers are stale
}

// loop runs until ctx ends.
func (f *follower) loop(ctx context.Context) {
	f.began = time.Now()
	sleep(ctx, startPause)
	for ctx.Err() == nil {
		after, complete, reader := f.state()
		var err error
		switch {
		case !complete && !f.seed() && time.Since(f.began) < startWait:
			f.startFromPeer(ctx)
			continue
		case !complete:
			err = f.start(ctx)
		case reader == "" || time.Now().Before(f.distant):
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

// state returns the revision that is held, whether that is everything, and the process to follow; empty for none.
func (f *follower) state() (after uint64, complete bool, reader string) {
	f.control.ask(func(c *control, _ time.Time) {
		after, complete, reader = c.facts.AsOf(), c.facts.Complete(), c.reader()
	})
	return after, complete, reader
}

// start reads everything.
func (f *follower) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, rangeTime)
	defer cancel()
	began := time.Now()
	f.reads.Add(1)
	docs, asOf, err := f.entry.Source.Range(ctx)
	if err != nil {
		return err
	}
	f.control.post(func(c *control, now time.Time) {
		c.proof = began
		c.took(now, c.facts.Range(now, docs, asOf))
	})
	return nil
}

// seed reports whether this process is one of the seeds, which the others ask first.
func (f *follower) seed() bool { return slices.Contains(f.entry.Seeds, f.entry.Self) }

// startFromPeer takes everything from a peer, which spares the platform one page after the other.
func (f *follower) startFromPeer(ctx context.Context) {
	var peers []string
	f.control.ask(func(c *control, _ time.Time) { peers = c.linked() })
	if len(peers) > 0 {
		f.sync(ctx, peers[rand.IntN(len(peers))], 0, 0)
	}
	sleep(ctx, startPause)
}

// sleep waits until d is over or ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// watch waits for changes at the platform.
func (f *follower) watch(ctx context.Context, after uint64) error {
	bounded, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
	defer cancel()
	f.reads.Add(1)
	docs, asOf, err := f.entry.Source.Watch(bounded, after, watchWait)
	if errors.Is(err, ErrHistory) {
		f.entry.Log.Warn("platform history dropped; reading everything", "after", after)
		return f.start(ctx)
	}
	if err != nil {
		return err
	}
	f.control.post(func(c *control, now time.Time) {
		c.proof = now
		c.took(now, c.facts.Events(now, docs, asOf))
	})
	if len(docs) > 0 {
		sleep(ctx, gatherFor)
	}
	return nil
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
	f.control.ask(func(c *control, _ time.Time) { after, peers = c.facts.AsOf(), c.linked() })
	if len(peers) > 0 {
		f.sync(ctx, peers[rand.IntN(len(peers))], after, 0)
	}
	sleep(ctx, f.retry/2+rand.N(f.retry))
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
	f.control.post(func(c *control, now time.Time) { c.heard(now, r) })
}
