// Package docset keeps the newest known document of each key that the platform publishes, whether this process or a peer
// has read it. It decides when a document that has disappeared from the platform counts as removed.
//
// # Usage
//
//	s := docset.New(docset.Config{})
//	changed := s.ApplyAll(now, docs, asOf)      // all documents, read from the platform
//	changed := s.ApplyChanges(now, docs, asOf)  // the changes since s.AsOf(), read from the platform
//	s.RecordReadFailure(now)                    // a read failed: the platform may be unavailable
//	changed := s.Tick(now)                      // remove lapsed documents whose grace period is over
//	batch := s.ChangesSince(after)              // answer a peer that has the documents up to revision after
//	changed := s.Merge(now, batch)              // the answer of a peer
//
// # Lapses
//
// While the platform is unavailable, targets can't renew their documents, and the documents expire although the targets
// still run. A removal that arrives less than Config.ExpiryWindow after a failed read may be such an expiry. The document is
// then kept as lapsed for at least Config.RenewalGrace, and until the platform has been readable again for that long. It is
// removed if it hasn't been written again by then. A batch for a peer names the lapsed documents, since the peer may not have
// noticed that the platform was unavailable.
//
// # Order
//
// Each document has the revision of its last change, and a removal has the revision of the removal. The higher revision
// of a key replaces the lower one, so that documents may arrive in any order, from the platform and from peers.
package docset

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
)

// Config holds the time limits of a Set. Zero fields take the defaults.
type Config struct {
	ExpiryWindow time.Duration // time after a failed read in which a removal counts as a lapse
	RenewalGrace time.Duration // time after the platform is readable again until a lapsed document is removed
	TombstoneTTL time.Duration // time for which removals are kept, so that peers can be told of them
}

// Defaults of Config.
const (
	// DefaultExpiryWindow covers the longest time until a document that its target no longer renews expires: three heartbeats
	// of the target.
	DefaultExpiryWindow = 4 * time.Second
	// DefaultRenewalGrace is the time in which running targets renew their documents once the platform is available again: 2 s,
	// and the jitter of one heartbeat.
	DefaultRenewalGrace = 2200 * time.Millisecond
	// DefaultTombstoneTTL is longer than any network partition after which the platform still has the changes that a process
	// has missed.
	DefaultTombstoneTTL = time.Minute
)

// sweepInterval is the interval at which expired tombstones are deleted.
const sweepInterval = time.Second

// Batch holds the documents that one entry process sends to another.
type Batch struct {
	Documents  []plat.Document
	AsOf       uint64   // revision up to which the sender has all changes
	Complete   bool     // whether Documents holds all documents that exist, and not only changes
	LapsedKeys []string // keys of documents that the sender keeps as lapsed
}

// record holds the newest known state of one key.
type record struct {
	doc       plat.Document
	lapsedAt  time.Time // when the document lapsed; zero if it hasn't
	removedAt time.Time // when the removal was recorded; zero if doc is not a removal
}

// Set holds the documents that one process knows. Use New.
type Set struct {
	cfg               Config
	records           map[string]*record
	asOf              uint64          // see AsOf
	compactedRevision uint64          // some removals at or below this revision are no longer recorded
	lastFailure       time.Time       // last failed read
	recoveredAt       time.Time       // first successful read or merge after the last failed read; zero if there is none
	lapsedCount       int             // number of lapsed documents
	complete          bool            // see Complete
	lastSweep         time.Time       // last search for expired tombstones
	lapsedAtPeer      map[string]bool // keys that the batch of a peer names as lapsed; set only during Merge
}

// New returns an empty set.
func New(cfg Config) *Set {
	cfg.ExpiryWindow = cmp.Or(cfg.ExpiryWindow, DefaultExpiryWindow)
	cfg.RenewalGrace = cmp.Or(cfg.RenewalGrace, DefaultRenewalGrace)
	cfg.TombstoneTTL = cmp.Or(cfg.TombstoneTTL, DefaultTombstoneTTL)
	return &Set{cfg: cfg, records: map[string]*record{}}
}

// AsOf returns the revision up to which the set has all changes; 0 before the first read.
func (s *Set) AsOf() uint64 { return s.asOf }

// Complete reports whether all published documents have been read since the set was created.
func (s *Set) Complete() bool { return s.complete }

// ApplyAll applies a list of all documents that exist as of a revision, and returns the documents that changed in the set. If
// a known document isn't in the list and isn't newer than the revision, this counts as a removal of the document.
func (s *Set) ApplyAll(now time.Time, docs []plat.Document, asOf uint64) (changed []plat.Document) {
	s.recordSuccess(now)
	seen := make(map[string]bool, len(docs))
	for _, d := range docs {
		seen[d.Key] = true
		changed = s.apply(now, d, changed)
	}
	for key, r := range s.records {
		if seen[key] || r.doc.Removed || r.doc.Revision > asOf {
			continue
		}
		changed = s.apply(now, plat.Document{Key: key, Revision: max(asOf, r.doc.Revision+1), Removed: true}, changed)
	}
	if asOf > s.asOf {
		s.compactedRevision = asOf
	}
	s.asOf = max(s.asOf, asOf)
	s.complete = true
	return changed
}

// ApplyChanges applies the changes between AsOf and a revision, and returns the documents that changed in the set.
func (s *Set) ApplyChanges(now time.Time, docs []plat.Document, asOf uint64) (changed []plat.Document) {
	s.recordSuccess(now)
	for _, d := range docs {
		changed = s.apply(now, d, changed)
	}
	s.asOf = max(s.asOf, asOf)
	return changed
}

// RecordReadFailure records that a read of the platform failed.
func (s *Set) RecordReadFailure(now time.Time) {
	s.lastFailure = now
	s.recoveredAt = time.Time{}
}

// recordSuccess records a successful read of the platform, or the merge of a peer's batch.
func (s *Set) recordSuccess(now time.Time) {
	if s.recoveredAt.IsZero() {
		s.recoveredAt = now
	}
}

// apply stores a document or removal unless a newer one is known, and appends it to changed if it takes effect now. A removal
// that may be a lapse doesn't take effect before Tick.
func (s *Set) apply(now time.Time, d plat.Document, changed []plat.Document) []plat.Document {
	r := s.records[d.Key]
	if r != nil && d.Revision <= r.doc.Revision {
		return changed
	}
	if r != nil && r.doc.Removed && d.Removed {
		r.doc = d
		return changed
	}
	if r == nil {
		r = &record{}
		s.records[d.Key] = r
	}
	wasLapsed := !r.lapsedAt.IsZero()
	if wasLapsed {
		s.lapsedCount--
		r.lapsedAt = time.Time{}
	}
	if d.Removed && r.doc.Key != "" && (s.mayBeExpiry(now) || s.lapsedAtPeer[d.Key]) {
		// The document may have lapsed: its value stays in use until Tick removes it.
		r.lapsedAt = now
		s.lapsedCount++
		r.doc.Revision = d.Revision
		return changed
	}
	r.doc = d
	r.removedAt = time.Time{}
	if d.Removed {
		r.removedAt = now
	}
	return append(changed, d)
}

// mayBeExpiry reports whether a removal that arrives now may mean that a document has expired because its target could not
// renew it while the platform was unavailable.
func (s *Set) mayBeExpiry(now time.Time) bool {
	return !s.lastFailure.IsZero() && now.Sub(s.lastFailure) < s.cfg.ExpiryWindow
}

// Tick removes the lapsed documents whose grace period is over and returns their removals. It also deletes expired
// tombstones, the records of removals.
func (s *Set) Tick(now time.Time) (changed []plat.Document) {
	if s.lapsedCount == 0 && now.Sub(s.lastSweep) < sweepInterval {
		return nil
	}
	s.lastSweep = now
	for key, r := range s.records {
		switch {
		case !r.lapsedAt.IsZero():
			if s.recoveredAt.IsZero() || now.Sub(s.recoveredAt) < s.cfg.RenewalGrace || now.Sub(r.lapsedAt) < s.cfg.RenewalGrace {
				continue
			}
			s.lapsedCount--
			r.lapsedAt = time.Time{}
			r.doc = plat.Document{Key: key, Revision: r.doc.Revision, Removed: true}
			r.removedAt = now
			changed = append(changed, r.doc)
		case r.doc.Removed && now.Sub(r.removedAt) > s.cfg.TombstoneTTL:
			s.compactedRevision = max(s.compactedRevision, r.doc.Revision)
			delete(s.records, key)
		}
	}
	return changed
}

// LapsedCount returns the number of lapsed documents, which are kept although the platform has removed them.
func (s *Set) LapsedCount() int { return s.lapsedCount }

// ChangesSince returns the changes after a revision. If removals after that revision may no longer be recorded, it returns all
// documents instead.
func (s *Set) ChangesSince(after uint64) Batch {
	b := Batch{AsOf: s.asOf, Complete: after < s.compactedRevision}
	for key, r := range s.records {
		lapsed := !r.lapsedAt.IsZero()
		if b.Complete && r.doc.Removed || !b.Complete && r.doc.Revision <= after {
			continue
		}
		d := r.doc
		if lapsed {
			b.LapsedKeys = append(b.LapsedKeys, key)
			if !b.Complete {
				d = plat.Document{Key: key, Revision: d.Revision, Removed: true}
			}
		}
		b.Documents = append(b.Documents, d)
	}
	slices.SortFunc(b.Documents, func(x, y plat.Document) int { return cmp.Compare(x.Revision, y.Revision) })
	slices.Sort(b.LapsedKeys)
	return b
}

// Merge applies the batch of a peer, and returns the documents that changed in the set. A complete batch is ignored if its
// AsOf is lower than that of the set.
func (s *Set) Merge(now time.Time, b Batch) (changed []plat.Document) {
	if b.Complete && b.AsOf < s.asOf {
		return nil
	}
	s.lapsedAtPeer = make(map[string]bool, len(b.LapsedKeys))
	for _, key := range b.LapsedKeys {
		s.lapsedAtPeer[key] = true
	}
	if b.Complete {
		changed = s.ApplyAll(now, b.Documents, b.AsOf)
		for key := range s.lapsedAtPeer {
			if r := s.records[key]; r != nil && !r.doc.Removed && r.lapsedAt.IsZero() {
				r.lapsedAt = now
				s.lapsedCount++
			}
		}
	} else {
		changed = s.ApplyChanges(now, b.Documents, b.AsOf)
	}
	s.lapsedAtPeer = nil
	return changed
}
