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
	perReader  = 40
	// watchWait bounds how long a platform that has fallen silent, or deaf for changes, goes unnoticed. Both readers may
	// meet it at once, and a configuration must be in force within 3 s.
	watchWait  = time.Second
	watchSlack = 300 * time.Millisecond // beyond watchWait for an answer
	rangeTime  = 2 * time.Second        // all pages of the largest set on the slowest link
	// syncWait is longer than watchWait, since a reader answers as soon as it can't vouch for its documents.
	syncWait  = 2 * time.Second
	syncSlack = 400 * time.Millisecond // beyond syncWait; a reader looks at those that wait each controlTick
	// staleAfter is the age of a peer's documents from which a process asks the platform itself: a whole wait of the
	// reader, and its slack.
	staleAfter = watchWait + watchSlack + gatherFor
	// gatherFor collects changes that come one after the other into one call; each call is paid for.
	gatherFor = 120 * time.Millisecond
	// startWait is how long a process that isn't a seed waits for the documents of a peer before it reads them itself.
	startWait = 1200 * time.Millisecond
	// aloneAfter is how long it waits for a link to any peer.
	aloneAfter = 400 * time.Millisecond
	startPause = 100 * time.Millisecond // between two questions of a starting process; a round of controlTick
	// doubtAfter is the age of a follower's documents from which it looks elsewhere. With the time that a reader needs to
	// notice, it stays below the 3 s in which a configuration must be in force.
	doubtAfter = time.Second
	// barredFor, and up to twice this, is how long a process that isn't a reader leaves the platform alone after it has
	// failed. Readers ask all the time; hundreds of others would cost more calls than a day without failures.
	barredFor = time.Second
	// retryMin and retryMax bound the pause after a failed read; the longer one still notices a return of the platform
	// within the 2 s in which targets renew their entries.
	retryMin = 100 * time.Millisecond
	retryMax = 400 * time.Millisecond
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
	barred  time.Time // the platform isn't asked until then in place of a reader, since it has just failed
}

// loop runs until ctx ends.
func (f *follower) loop(ctx context.Context) {
	f.began = time.Now()
	sleep(ctx, startPause)
	for ctx.Err() == nil {
		after, complete, reader := f.state()
		var err error
		switch {
		case !complete && !f.seed() && time.Since(f.began) < startWait && f.startFromPeer(ctx):
			continue
		case !complete:
			err = f.start(ctx)
		case reader == "" || time.Now().Before(f.distant):
			err = f.watch(ctx, after)
		default:
			if !f.sync(ctx, reader, after, syncWait) {
				f.doubt(ctx, reader)
			}
			continue
		}
		f.note(err)
		if err != nil && complete && reader != "" {
			f.distant = time.Time{}
			f.barred = time.Now().Add(barredFor + rand.N(barredFor))
		}
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

// doubt turns to the platform when the process that this one follows has had no fresh documents for a while. Links of a
// new reader take a moment to open.
func (f *follower) doubt(ctx context.Context, reader string) {
	var age time.Duration // since the platform confirmed what is held
	f.control.ask(func(c *control, now time.Time) { age = now.Sub(c.proof) })
	if age < doubtAfter {
		sleep(ctx, startPause)
		return
	}
	if f.askNeighbour(ctx) {
		return
	}
	if time.Now().Before(f.barred) {
		sleep(ctx, startPause)
		return
	}
	f.distant = time.Now().Add(doubtAfter)
	f.entry.Log.Every("stale peer", time.Second).Info("no fresh documents from the process that is followed; asking the platform", "peer", reader, "age", age)
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

// startFromPeer takes everything from a peer, which spares the platform one page after the other. It reports false if
// there has been no peer to ask for aloneAfter.
func (f *follower) startFromPeer(ctx context.Context) bool {
	var peers []string
	f.control.ask(func(c *control, _ time.Time) { peers = c.linked() })
	switch {
	case len(peers) > 0:
		f.sync(ctx, peers[rand.IntN(len(peers))], 0, 0)
	case time.Since(f.began) > aloneAfter:
		return false
	}
	sleep(ctx, startPause)
	return true
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
	f.askNeighbour(ctx)
	sleep(ctx, f.retry/2+rand.N(f.retry))
}

// askNeighbour takes what any linked process has. It reports whether that is fresh.
func (f *follower) askNeighbour(ctx context.Context) (fresh bool) {
	var after uint64
	var peers []string
	f.control.ask(func(c *control, _ time.Time) { after, peers = c.facts.AsOf(), c.linked() })
	return len(peers) > 0 && f.sync(ctx, peers[rand.IntN(len(peers))], after, 0)
}

// sync takes documents from a peer. It reports whether they are fresh.
func (f *follower) sync(ctx context.Context, from string, after uint64, wait time.Duration) (fresh bool) {
	replies := make(chan peer.SyncReply, 1)
	f.entry.hub.Sync(from, peer.Sync{After: after, WaitMS: wait.Milliseconds()}, func(r peer.SyncReply) { replies <- r })
	timer := time.NewTimer(wait + syncSlack)
	defer timer.Stop()
	select {
	case r := <-replies:
		f.control.post(func(c *control, now time.Time) { c.heard(now, r) })
		return !r.Down && r.AgeMS >= 0 && time.Duration(r.AgeMS)*time.Millisecond <= staleAfter
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}
