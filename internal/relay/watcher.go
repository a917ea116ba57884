package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
)

// watcher reads the documents of the platform whenever the control loop starts a read.
type watcher struct {
	relay *Relay
	ctx   context.Context
	wg    sync.WaitGroup
}

// read is one read of every key of the platform. Each key is watched for Timing.WatchTimeout. The read ends with a readDone
// event.
type read struct {
	watcher *watcher
	started time.Time
	mu      sync.Mutex
	failed  bool
}

// start begins a read of every key.
func (w *watcher) start(now time.Time) {
	r := &read{watcher: w, started: now}
	w.wg.Go(r.run)
}

// run watches every key and posts a readDone event when all watches have ended.
func (r *read) run() {
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
	read *read
	key  string
}

// run watches the key until the time of the read is over, so that a change of the document is received at once.
func (k keyRead) run() {
	w := k.read.watcher
	c := w.relay.control
	have := c.digest.Load().Revision(k.key)
	for {
		left := w.relay.Timing.WatchTimeout - w.relay.Now().Sub(k.read.started)
		if left <= 0 || w.ctx.Err() != nil {
			return
		}
		doc, changed, err := k.fetch(have, left)
		if err != nil {
			w.relay.Log.Debug("cannot read from platform", "key", k.key, "error", err)
			k.read.mu.Lock()
			k.read.failed = true
			k.read.mu.Unlock()
			return
		}
		if !changed {
			return // the revision held here was the newest until the watch ended
		}
		c.post(platformDocument{read: k.read, doc: doc})
		if doc.Revision <= have {
			return // a platform with stale data answers every watch at once
		}
		have = doc.Revision
	}
}

func (k keyRead) fetch(have uint64, wait time.Duration) (plat.Document, bool, error) {
	w := k.read.watcher
	if have == 0 {
		doc, err := w.relay.Platform.Read(w.ctx, k.key)
		return doc, err == nil, err
	}
	return w.relay.Platform.Watch(w.ctx, k.key, have, wait)
}

// platformDocument is a document that the platform returned during a read.
type platformDocument struct {
	read *read
	doc  plat.Document
}

func (e platformDocument) apply(c *control, now time.Time) {
	c.applyDocument(now, e.doc, true)
	if !c.policy.Confirms(e.doc) {
		// The platform returned an older revision than the one in force. Its data is stale, so the read does not confirm
		// that the documents held here are the newest.
		e.read.mu.Lock()
		e.read.failed = true
		e.read.mu.Unlock()
	}
}

// readDone ends a read of every key.
type readDone struct{ read *read }

func (e readDone) apply(c *control, _ time.Time) {
	c.readRunning = false
	c.dirty = true // the next read may be due already
	e.read.mu.Lock()
	defer e.read.mu.Unlock()
	if e.read.failed {
		c.member.RecordFailedRead(e.read.started)
	} else {
		c.member.RecordRead(e.read.started)
	}
}

// scheduleRead starts the next read of the platform if it is due.
func (c *control) scheduleRead(now time.Time, rnd *rand.Rand) {
	due, ok := c.member.NextRead(now, rnd)
	if !ok || c.readRunning || now.Before(due) {
		return
	}
	c.readRunning = true
	c.watcher.start(now)
}
