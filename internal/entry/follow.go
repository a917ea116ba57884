package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/internal/peer"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
)

// Intervals and limits for keeping up with the published documents.
const (
	// minReaders and processesPerReader determine the number of readers, the processes that watch the platform; the other
	// processes follow these. With two readers, each can replace the other. In larger fleets, more readers share the
	// transfer of large documents over slow links.
	minReaders         = 2
	processesPerReader = 40
	// watchWait is how long one call waits for changes on the platform. A reader notices only at the end of a call that the
	// platform no longer answers or no longer reports changes. Both readers may be affected at once, and a configuration
	// must be in force within 3 s.
	watchWait    = time.Second
	watchSlack   = 300 * time.Millisecond // added to watchWait, for the answer to arrive
	rangeTimeout = 2 * time.Second        // for all pages of the largest set of documents on the slowest link
	// rangeStagger is the time after which all documents are requested once more, while no earlier request has been answered.
	// It is longer than the platform takes for one page of documents, also while its answers are slow.
	rangeStagger      = 300 * time.Millisecond
	maxStaggeredReads = int(rangeTimeout / rangeStagger)
	// syncWait is how long a follower's request to a reader waits for changes. It may be longer than watchWait, since a
	// reader answers as soon as it can't confirm that its documents are current.
	syncWait  = 2 * time.Second
	syncSlack = 400 * time.Millisecond // added to syncWait; a reader checks pending requests every tickInterval
	// staleAfter is the time since the platform last confirmed the documents of a peer after which they are stale, and a
	// follower turns to another source. A reader's documents reach this age if a whole call to the platform, after batchDelay
	// and including watchSlack, has brought no answer.
	staleAfter = watchWait + watchSlack + batchDelay
	// batchDelay is the pause after a call that returned changes, so that changes in quick succession are returned by one
	// call. The platform charges for each call.
	batchDelay = 120 * time.Millisecond
	// peerStartWait is how long a starting process that isn't a seed waits for the documents of a peer before it reads them
	// from the platform itself.
	peerStartWait = 1200 * time.Millisecond
	// firstLinkWait is how long a starting process that isn't a seed waits for a link to any peer, if it is the first on its VM:
	// the whole fleet may be starting then. A process that replaces another one waits for restartLinkWait, in which a running
	// peer accepts a link. If there is none, all processes may have been lost, and callers are waiting.
	firstLinkWait   = 400 * time.Millisecond
	restartLinkWait = 60 * time.Millisecond
	pollPause       = 100 * time.Millisecond // between two attempts to get documents from a peer; equals tickInterval
	firstPollPause  = 20 * time.Millisecond  // between two attempts of a starting process to get its first documents
	// fallbackAfter is the age of a follower's documents from which the follower turns to another source, and the time for
	// which it then reads from the platform. Together with the time that a reader needs to notice a failure, this age stays
	// below the 3 s in which a configuration must be in force.
	fallbackAfter = time.Second
	// After a request to the platform has failed, a follower sends none for a random time between platformBackoff and twice
	// platformBackoff. Readers go on to send requests; if hundreds of followers did too, this would cost more calls than a
	// day without failures.
	platformBackoff = time.Second
	// minRetryPause and maxRetryPause limit the mean pause after a failed read; the pause itself varies at random by up to
	// half of the mean. Even with maxRetryPause, this process notices that the platform is available again within the 2 s in
	// which targets renew their documents.
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = 400 * time.Millisecond
)

// readerCount returns how many of n processes watch the platform.
func readerCount(n int) int { return max(minReaders, n/processesPerReader) }

// follower keeps the documents of this process up to date: from the platform if this process is a reader, else from a peer.
type follower struct {
	entry             *Entry
	control           *control
	platformReads     atomic.Uint64 // number of reads of the platform
	platformLost      bool          // the last read of the platform failed
	retryPause        time.Duration // mean pause after the last failed read; 0 after a successful one
	startedAt         time.Time
	readPlatformUntil time.Time // until then, a follower reads from the platform itself, because the documents of peers are stale
	skipPlatformUntil time.Time // until then, a follower doesn't read from the platform, because a read has failed
}

// loop reads documents until ctx ends.
func (f *follower) loop(ctx context.Context) {
	f.startedAt = time.Now()
	if f.entry.FirstOnVM {
		sleep(ctx, pollPause)
	}
	for ctx.Err() == nil {
		after, complete, reader := f.documentState()
		var err error
		switch {
		case !complete && !f.isSeed() && time.Since(f.startedAt) < peerStartWait && f.requestAllFromPeer(ctx):
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

// documentState returns the revision of this process's documents, whether they are complete, and the result of
// control.readerToFollow.
func (f *follower) documentState() (after uint64, complete bool, reader string) {
	f.control.postAndWait(func(c *control, _ time.Time) {
		after, complete, reader = c.documents.AsOf(), c.documents.Complete(), c.readerToFollow()
	})
	return after, complete, reader
}

// fallBack is called when the followed reader has sent no fresh documents. Once the documents of this process have reached
// the age fallbackAfter, it requests newer ones from any peer, and if these are stale too, makes loop read from the platform,
// unless a read of the platform has failed shortly before. It waits until the documents have that age because the link to a
// new reader takes a moment to open.
func (f *follower) fallBack(ctx context.Context, reader string) {
	var age time.Duration // since the platform last confirmed the documents
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
	f.entry.Log.Every("stale peer", time.Second).Info("no fresh documents from followed peer, reading from platform", "peer", reader, "age", age)
}

// readAll reads all documents from the platform.
func (f *follower) readAll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, rangeTimeout)
	defer cancel()
	all, err := newStaggeredRead(rangeStagger, maxStaggeredReads, f.readRange).first(ctx)
	if err != nil {
		return err
	}
	f.control.post(func(c *control, now time.Time) {
		c.confirmedAt = all.began
		c.applyAndPublish(now, c.documents.ApplyAll(now, all.docs, all.asOf))
	})
	return nil
}

// rangeResult holds all documents, as the platform returned them to one request.
type rangeResult struct {
	docs  []plat.Document
	asOf  uint64
	began time.Time // when the request was sent
}

// readRange sends one request for all documents to the platform.
func (f *follower) readRange(ctx context.Context) (rangeResult, error) {
	f.platformReads.Add(1)
	r := rangeResult{began: time.Now()}
	var err error
	r.docs, r.asOf, err = f.entry.Source.Range(ctx)
	return r, err
}

// isSeed reports whether this process is one of the seeds, to which the other processes connect first.
func (f *follower) isSeed() bool { return slices.Contains(f.entry.Seeds, f.entry.PeerAddr) }

// requestAllFromPeer requests all documents from a peer, so that the platform need not send them page by page. It returns
// false if this process has had no link to any peer for too long after its start.
func (f *follower) requestAllFromPeer(ctx context.Context) bool {
	var peers []string
	f.control.postAndWait(func(c *control, _ time.Time) { peers = c.linkedPeers() })
	linkWait := restartLinkWait
	if f.entry.FirstOnVM {
		linkWait = firstLinkWait
	}
	switch {
	case len(peers) > 0:
		f.syncWith(ctx, peers[rand.IntN(len(peers))], 0, 0)
	case time.Since(f.startedAt) > linkWait:
		return false
	}
	sleep(ctx, firstPollPause)
	return true
}

// sleep waits until d has passed or ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// watch waits for changes on the platform after a revision and applies them. If the platform no longer has these changes,
// watch reads all documents instead.
func (f *follower) watch(ctx context.Context, after uint64) error {
	bounded, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
	defer cancel()
	f.platformReads.Add(1)
	docs, asOf, err := f.entry.Source.Watch(bounded, after, watchWait)
	if errors.Is(err, ErrHistoryDropped) {
		f.entry.Log.Warn("platform has dropped changes; reading all documents", "after", after)
		return f.readAll(ctx)
	}
	if err != nil {
		return err
	}
	f.control.post(func(c *control, now time.Time) {
		c.confirmedAt = now
		c.applyAndPublish(now, c.documents.ApplyChanges(now, docs, asOf))
	})
	if len(docs) > 0 {
		sleep(ctx, batchDelay)
	}
	return nil
}

// recordRead records whether a read of the platform succeeded, and logs when the platform stops or starts to answer.
func (f *follower) recordRead(err error) {
	failed := err != nil
	if failed {
		f.control.post(func(c *control, now time.Time) { c.documents.RecordReadFailure(now) })
	}
	if failed != f.platformLost {
		f.platformLost = failed
		if failed {
			f.entry.Log.Warn("platform is unavailable", "error", err)
		} else {
			f.entry.Log.Info("platform is available again")
		}
	}
	if !failed {
		f.retryPause = 0
	}
}

// syncAndPause requests newer documents from a peer while the platform doesn't answer, and then pauses before the next read.
func (f *follower) syncAndPause(ctx context.Context) {
	f.retryPause = min(max(2*f.retryPause, minRetryPause), maxRetryPause)
	f.syncWithAnyPeer(ctx)
	sleep(ctx, f.retryPause/2+rand.N(f.retryPause))
}

// syncWithAnyPeer requests newer documents from a random linked peer. It reports whether the reply was fresh.
func (f *follower) syncWithAnyPeer(ctx context.Context) (fresh bool) {
	var after uint64
	var peers []string
	f.control.postAndWait(func(c *control, _ time.Time) { after, peers = c.documents.AsOf(), c.linkedPeers() })
	return len(peers) > 0 && f.syncWith(ctx, peers[rand.IntN(len(peers))], after, 0)
}

// syncWith requests the documents that have changed after a revision from a peer, and waits for the reply. It reports
// whether the reply was fresh: confirmed by the platform within staleAfter.
func (f *follower) syncWith(ctx context.Context, peerID string, after uint64, wait time.Duration) (fresh bool) {
	replies := make(chan peer.SyncReply, 1)
	f.entry.hub.Sync(peerID, peer.SyncRequest{After: after, WaitMS: wait.Milliseconds()}, func(r peer.SyncReply) { replies <- r })
	timer := time.NewTimer(wait + syncSlack)
	defer timer.Stop()
	select {
	case r := <-replies:
		f.control.post(func(c *control, now time.Time) { c.mergeSyncReply(now, r) })
		return !r.LinkDown && r.AgeMS >= 0 && time.Duration(r.AgeMS)*time.Millisecond <= staleAfter
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}
