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
	minReaders         = 2
	processesPerReader = 40
	// watchWait bounds how long a platform that has fallen silent, or deaf for changes, goes unnoticed. Both readers may
	// meet it at once, and a configuration must be in force within 3 s.
	watchWait    = time.Second
	watchSlack   = 300 * time.Millisecond // beyond watchWait for an answer
	rangeTimeout = 2 * time.Second        // all pages of the largest set on the slowest link
	// syncWait is longer than watchWait, since a reader answers as soon as it can't vouch for its documents.
	syncWait  = 2 * time.Second
	syncSlack = 400 * time.Millisecond // beyond syncWait; a reader looks at those that wait each controlTick
	// staleAfter is the age of a peer's documents from which a process asks the platform itself: a whole wait of the
	// reader, and its slack.
	staleAfter = watchWait + watchSlack + batchDelay
	// batchDelay collects changes that come one after the other into one call; each call is paid for.
	batchDelay = 120 * time.Millisecond
	// peerStartWait is how long a process that isn't a seed waits for the documents of a peer before it reads them itself.
	peerStartWait = 1200 * time.Millisecond
	// firstLinkWait is how long it waits for a link to any peer.
	firstLinkWait = 400 * time.Millisecond
	pollPause     = 100 * time.Millisecond // between two questions of a starting process; a round of controlTick
	// fallbackAfter is the age of a follower's documents from which it looks elsewhere. With the time that a reader needs to
	// notice, it stays below the 3 s in which a configuration must be in force.
	fallbackAfter = time.Second
	// platformBackoff, and up to twice this, is how long a process that isn't a reader leaves the platform alone after it has
	// failed. Readers ask all the time; hundreds of others would cost more calls than a day without failures.
	platformBackoff = time.Second
	// minRetryPause and retryMax bound the pause after a failed read; the longer one still notices a return of the platform
	// within the 2 s in which targets renew their entries.
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = 400 * time.Millisecond
)

// readerCount returns how many of n processes watch the platform.
func readerCount(n int) int { return max(minReaders, n/processesPerReader) }

// follower keeps the documents of this process up to date, from the platform or from a peer that is.
type follower struct {
	entry             *Entry
	control           *control
	platformReads     atomic.Uint64 // of the platform
	platformLost      bool          // the platform did not answer the last read
	retryPause        time.Duration
	startedAt         time.Time
	readPlatformUntil time.Time // read from the platform until then, since peers are stale
	skipPlatformUntil time.Time // the platform isn't asked until then in place of a reader, since it has just failed
}

// loop runs until ctx ends.
func (f *follower) loop(ctx context.Context) {
	f.startedAt = time.Now()
	sleep(ctx, pollPause)
	for ctx.Err() == nil {
		after, complete, reader := f.state()
		var err error
		switch {
		case !complete && !f.isSeed() && time.Since(f.startedAt) < peerStartWait && f.startFromPeer(ctx):
			continue
		case !complete:
			err = f.readAll(ctx)
		case reader == "" || time.Now().Before(f.readPlatformUntil):
			err = f.watch(ctx, after)
		default:
			if !f.syncWith(ctx, reader, after, syncWait) {
				f.fallBack(ctx, reader)
			}
			continue
		}
		f.recordRead(err)
		if err != nil && complete && reader != "" {
			f.readPlatformUntil = time.Time{}
			f.skipPlatformUntil = time.Now().Add(platformBackoff + rand.N(platformBackoff))
		}
		if err != nil && ctx.Err() == nil {
			f.syncAndPause(ctx)
		}
	}
}

// state returns the revision that is held, whether that is everything, and the process to follow; empty for none.
func (f *follower) state() (after uint64, complete bool, reader string) {
	f.control.postAndWait(func(c *control, _ time.Time) {
		after, complete, reader = c.facts.AsOf(), c.facts.Complete(), c.reader()
	})
	return after, complete, reader
}

// fallBack turns to the platform when the process that this one follows has had no fresh documents for a while. Links of a
// new reader take a moment to open.
func (f *follower) fallBack(ctx context.Context, reader string) {
	var age time.Duration // since the platform confirmed what is held
	f.control.postAndWait(func(c *control, now time.Time) { age = now.Sub(c.confirmedAt) })
	if age < fallbackAfter {
		sleep(ctx, pollPause)
		return
	}
	if f.syncWithAnyPeer(ctx) {
		return
	}
	if time.Now().Before(f.skipPlatformUntil) {
		sleep(ctx, pollPause)
		return
	}
	f.readPlatformUntil = time.Now().Add(fallbackAfter)
	f.entry.Log.Every("stale peer", time.Second).Info("no fresh documents from the process that is followed; asking the platform", "peer", reader, "age", age)
}

// readAll reads everything.
func (f *follower) readAll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, rangeTimeout)
	defer cancel()
	began := time.Now()
	f.platformReads.Add(1)
	docs, asOf, err := f.entry.Source.Range(ctx)
	if err != nil {
		return err
	}
	f.control.post(func(c *control, now time.Time) {
		c.confirmedAt = began
		c.applyAndPublish(now, c.facts.Range(now, docs, asOf))
	})
	return nil
}

// isSeed reports whether this process is one of the seeds, which the others ask first.
func (f *follower) isSeed() bool { return slices.Contains(f.entry.Seeds, f.entry.Self) }

// startFromPeer takes everything from a peer, which spares the platform one page after the other. It reports false if
// there has been no peer to ask for aloneAfter.
func (f *follower) startFromPeer(ctx context.Context) bool {
	var peers []string
	f.control.postAndWait(func(c *control, _ time.Time) { peers = c.linkedPeers() })
	switch {
	case len(peers) > 0:
		f.syncWith(ctx, peers[rand.IntN(len(peers))], 0, 0)
	case time.Since(f.startedAt) > firstLinkWait:
		return false
	}
	sleep(ctx, pollPause)
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
	f.platformReads.Add(1)
	docs, asOf, err := f.entry.Source.Watch(bounded, after, watchWait)
	if errors.Is(err, ErrHistory) {
		f.entry.Log.Warn("platform history dropped; reading everything", "after", after)
		return f.readAll(ctx)
	}
	if err != nil {
		return err
	}
	f.control.post(func(c *control, now time.Time) {
		c.confirmedAt = now
		c.applyAndPublish(now, c.facts.Events(now, docs, asOf))
	})
	if len(docs) > 0 {
		sleep(ctx, batchDelay)
	}
	return nil
}

// recordRead logs a lost or regained platform.
func (f *follower) recordRead(err error) {
	failed := err != nil
	if failed {
		f.control.post(func(c *control, now time.Time) { c.facts.Failed(now) })
	}
	if failed != f.platformLost {
		f.platformLost = failed
		if failed {
			f.entry.Log.Warn("platform lost", "error", err)
		} else {
			f.entry.Log.Info("platform regained")
		}
	}
	if !failed {
		f.retryPause = 0
	}
}

// syncAndPause learns from a peer while the platform doesn't answer, and waits before the next try.
func (f *follower) syncAndPause(ctx context.Context) {
	f.retryPause = min(max(2*f.retryPause, minRetryPause), maxRetryPause)
	f.syncWithAnyPeer(ctx)
	sleep(ctx, f.retryPause/2+rand.N(f.retryPause))
}

// syncWithAnyPeer takes what any linked process has. It reports whether that is fresh.
func (f *follower) syncWithAnyPeer(ctx context.Context) (fresh bool) {
	var after uint64
	var peers []string
	f.control.postAndWait(func(c *control, _ time.Time) { after, peers = c.facts.AsOf(), c.linkedPeers() })
	return len(peers) > 0 && f.syncWith(ctx, peers[rand.IntN(len(peers))], after, 0)
}

// syncWith takes documents from a peer. It reports whether they are fresh.
func (f *follower) syncWith(ctx context.Context, from string, after uint64, wait time.Duration) (fresh bool) {
	replies := make(chan peer.SyncReply, 1)
	f.entry.hub.Sync(from, peer.Sync{After: after, WaitMS: wait.Milliseconds()}, func(r peer.SyncReply) { replies <- r })
	timer := time.NewTimer(wait + syncSlack)
	defer timer.Stop()
	select {
	case r := <-replies:
		f.control.post(func(c *control, now time.Time) { c.mergeSyncReply(now, r) })
		return !r.Down && r.AgeMS >= 0 && time.Duration(r.AgeMS)*time.Millisecond <= staleAfter
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}
