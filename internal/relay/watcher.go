package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
)

// watcher reads the documents of the platform in goroutines of its own whenever the control loop starts a read.
type watcher struct {
	relay *Relay
	ctx   context.Context
	wg    sync.WaitGroup
}

// platformRead is one read of every key of the platform. Each key is watched for Timing.WatchTimeout. The read ends with a
// readDone event.
type platformRead struct {
	watcher    *watcher
	startedAt  time.Time
	mu         sync.Mutex
	hasFailure bool // a key could not be read, or the platform returned a stale document
}

// startRead begins a read of every key.
func (w *watcher) startRead(now time.Time) {
	newRead := &platformRead{watcher: w, startedAt: now}
	w.wg.Go(newRead.run)
}

// run watches every key and posts a readDone event when all watches have ended.
func (r *platformRead) run() {
	var wg sync.WaitGroup
	for _, key := range plat.Keys {
		k := keyRead{read: r, key: key}
		wg.Go(k.run)
	}
	wg.Wait()
	r.watcher.relay.control.post(readDone{read: r})
}

// keyRead is the part of a read that watches one key.
type keyRead struct {
	read *platformRead
	key  string
}

// run watches the key until WatchTimeout after the start of the read, and posts each new revision of the document at once.
func (k keyRead) run() {
	w := k.read.watcher
	c := w.relay.control
	heldRevision := c.revisions.Load().Revision(k.key)
	for {
		remaining := w.relay.Timing.WatchTimeout - w.relay.Now().Sub(k.read.startedAt)
		if remaining <= 0 || w.ctx.Err() != nil {
			return
		}
		doc, changed, err := k.fetch(heldRevision, remaining)
		if err != nil {
			w.relay.Log.Debug("cannot read from platform", "key", k.key, "error", err)
			k.read.mu.Lock()
			k.read.hasFailure = true
			k.read.mu.Unlock()
			return
		}
		if !changed {
			return // the revision held here was the newest until the watch ended
		}
		c.post(platformDocument{read: k.read, doc: doc})
		if doc.Revision <= heldRevision {
			return // the data of the platform is stale, so it would answer every further watch at once
		}
		heldRevision = doc.Revision
	}
}

// fetch returns the document of the key. If this process already holds a revision of the document, fetch waits for a newer
// one and returns false if there is none within the wait.
func (k keyRead) fetch(heldRevision uint64, wait time.Duration) (plat.Document, bool, error) {
	w := k.read.watcher
	if heldRevision == 0 {
		doc, err := w.relay.Platform.Read(w.ctx, k.key)
		return doc, err == nil, err
	}
	return w.relay.Platform.Watch(w.ctx, k.key, heldRevision, wait)
}

// platformDocument is a document that the platform returned during a read.
type platformDocument struct {
	read *platformRead
	doc  plat.Document
}

func (e platformDocument) apply(c *control, now time.Time) {
	c.applyDocument(now, e.doc, true)
	if !c.policy.Confirms(e.doc) {
		// The platform returned an older revision than the one in force. Its data is stale, so the read does not confirm
		// that the documents held here are the newest.
		e.read.mu.Lock()
		e.read.hasFailure = true
		e.read.mu.Unlock()
	}
}

// readDone ends a read of every key.
type readDone struct{ read *platformRead }

func (e readDone) apply(c *control, _ time.Time) {
	c.readRunning = false
	c.dirty = true // the next read may be due already
	e.read.mu.Lock()
	defer e.read.mu.Unlock()
	if e.read.hasFailure {
		c.membership.RecordFailedRead(e.read.startedAt)
	} else {
		c.membership.RecordRead(e.read.startedAt)
	}
}

// scheduleRead starts the next read of the platform if it is due.
func (c *control) scheduleRead(now time.Time, rnd *rand.Rand) {
	due, ok := c.membership.NextRead(now, rnd)
	if !ok || c.readRunning || now.Before(due) {
		return
	}
	c.readRunning = true
	c.watcher.startRead(now)
}
