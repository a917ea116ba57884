// Package facts keeps the newest known document of each key that the platform publishes, whether this process or a peer
// has read it. It decides when a document that has disappeared from the platform counts as removed.
//
// # Usage
//
//	s := facts.New(facts.Config{})
//	changed := s.Range(now, docs, asOf)         // all documents, read from the platform
//	changed := s.Events(now, docs, asOf)        // the changes since s.AsOf(), read from the platform
//	s.Failed(now)                               // a read failed: the platform may be unavailable
//	changed := s.Tick(now)                      // remove lapsed documents whose grace period is over
//	batch := s.Since(after)                     // answer a peer that has the documents up to revision after
//	changed := s.Merge(now, batch)              // the answer of a peer
//
// # Lapses
//
// While the platform is unavailable, targets can't renew their documents, and the documents expire although the targets
// still run. A removal that arrives less than Config.Doubt after a failed read may be such an expiry. The document is then
// kept as lapsed until the platform has been readable again for Config.Grace, and is removed if it hasn't been written again
// by then. A batch for a peer names the lapsed documents, since the peer may not have noticed that the platform was
// unavailable.
//
// # Order
//
// Each document has the revision of its last change, and a removal has the revision of the removal. The higher revision
// of a key replaces the lower one, so that documents may arrive in any order, from the platform and from peers.
package facts

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
)

// Config holds the intervals. Zero fields take the defaults.
type Config struct {
	Doubt      time.Duration // time after a failed read in which a removal counts as a lapse
	Grace      time.Duration // time after the platform is readable again until a lapsed document is removed
	Tombstones time.Duration // time for which removals are kept, so that peers can be told of them
}

// Defaults of Config.
const (
	// DefaultDoubt covers the longest time after which a document that its target doesn't renew expires: three heartbeats
	// of the target.
	DefaultDoubt = 4 * time.Second
	// DefaultGrace is the time in which running targets renew their documents once the platform is available again: 2 s,
	// and the jitter of one heartbeat.
	DefaultGrace = 2200 * time.Millisecond
	// DefaultTombstones is longer than any partition between peers for which the platform keeps its history.
	DefaultTombstones = time.Minute
)

// sweepEvery is the interval at which expired tombstones are deleted.
const sweepEvery = time.Second

// Batch holds the documents that one entry process sends to another.
type Batch struct {
	Documents []plat.Document
	AsOf      uint64   // revision up to which the sender has all changes
	Whole     bool     // whether Documents holds all documents that exist, and not only changes
	Lapsed    []string // keys of documents that the sender keeps as lapsed
}

type entry struct {
	doc     plat.Document
	lapsed  time.Time // when the document lapsed; zero if it hasn't
	removed time.Time // when the removal was recorded; zero if doc is not a removal
}

// Set holds the documents that one process knows. Use New.
type Set struct {
	cfg      Config
	entries  map[string]*entry
	asOf     uint64
	floor    uint64    // some removals at or below this revision are no longer recorded
	failed   time.Time // last failed read
	back     time.Time // first successful read or merge after the last failed read
	waiting  int       // number of lapsed documents
	complete bool
	swept    time.Time       // last search for expired tombstones
	dubious  map[string]bool // keys that the batch of a peer names as lapsed; set only during Merge
}

// New returns an empty set.
func New(cfg Config) *Set {
	cfg.Doubt = cmp.Or(cfg.Doubt, DefaultDoubt)
	cfg.Grace = cmp.Or(cfg.Grace, DefaultGrace)
	cfg.Tombstones = cmp.Or(cfg.Tombstones, DefaultTombstones)
	return &Set{cfg: cfg, entries: map[string]*entry{}}
}

// AsOf returns the revision up to which the set has all changes; 0 before the first read.
func (s *Set) AsOf() uint64 { return s.asOf }

// Complete reports whether the set has ever held all published documents.
func (s *Set) Complete() bool { return s.complete }

// Range takes all documents that exist as of a revision, and returns those that changed. A known document that isn't among
// them, and isn't newer than the revision, is removed.
func (s *Set) Range(now time.Time, docs []plat.Document, asOf uint64) (changed []plat.Document) {
	s.reached(now)
	seen := make(map[string]bool, len(docs))
	for _, d := range docs {
		seen[d.Key] = true
		changed = s.take(now, d, changed)
	}
	for key, e := range s.entries {
		if seen[key] || e.doc.Removed || e.doc.Revision > asOf {
			continue
		}
		changed = s.take(now, plat.Document{Key: key, Revision: max(asOf, e.doc.Revision+1), Removed: true}, changed)
	}
	if asOf > s.asOf {
		s.floor = asOf
	}
	s.asOf = max(s.asOf, asOf)
	s.complete = true
	return changed
}

// Events takes the changes between AsOf and a revision, and returns the documents that changed in the set.
func (s *Set) Events(now time.Time, docs []plat.Document, asOf uint64) (changed []plat.Document) {
	s.reached(now)
	for _, d := range docs {
		changed = s.take(now, d, changed)
	}
	s.asOf = max(s.asOf, asOf)
	return changed
}

// Failed records that a read of the platform failed.
func (s *Set) Failed(now time.Time) {
	s.failed = now
	s.back = time.Time{}
}

// reached records a successful read of the platform, or a batch of a peer.
func (s *Set) reached(now time.Time) {
	if s.back.IsZero() {
		s.back = now
	}
}

// take stores a document or removal unless a newer one is known, and appends it to changed if it takes effect now.
func (s *Set) take(now time.Time, d plat.Document, changed []plat.Document) []plat.Document {
	e := s.entries[d.Key]
	if e != nil && d.Revision <= e.doc.Revision {
		return changed
	}
	if e != nil && e.doc.Removed && d.Removed {
		e.doc = d
		return changed
	}
	if e == nil {
		e = &entry{}
		s.entries[d.Key] = e
	}
	wasLapsed := !e.lapsed.IsZero()
	if wasLapsed {
		s.waiting--
		e.lapsed = time.Time{}
	}
	if d.Removed && e.doc.Key != "" && (s.doubtful(now) || s.dubious[d.Key]) {
		// The document may have lapsed: its value stays in use until Tick removes it.
		e.lapsed = now
		s.waiting++
		e.doc.Revision = d.Revision
		return changed
	}
	e.doc = d
	e.removed = time.Time{}
	if d.Removed {
		e.removed = now
	}
	return append(changed, d)
}

// doubtful reports whether a removal that arrives now may be an expiry while the platform was unavailable.
func (s *Set) doubtful(now time.Time) bool {
	return !s.failed.IsZero() && now.Sub(s.failed) < s.cfg.Doubt
}

// Tick removes the lapsed documents whose grace period is over and returns their removals. It also deletes expired
// tombstones.
func (s *Set) Tick(now time.Time) (changed []plat.Document) {
	if s.waiting == 0 && now.Sub(s.swept) < sweepEvery {
		return nil
	}
	s.swept = now
	for key, e := range s.entries {
		switch {
		case !e.lapsed.IsZero():
			if s.back.IsZero() || now.Sub(s.back) < s.cfg.Grace || now.Sub(e.lapsed) < s.cfg.Grace {
				continue
			}
			s.waiting--
			e.lapsed = time.Time{}
			e.doc = plat.Document{Key: key, Revision: e.doc.Revision, Removed: true}
			e.removed = now
			changed = append(changed, e.doc)
		case e.doc.Removed && now.Sub(e.removed) > s.cfg.Tombstones:
			s.floor = max(s.floor, e.doc.Revision)
			delete(s.entries, key)
		}
	}
	return changed
}

// Lapsed returns the number of lapsed documents, which are kept although the platform has removed them.
func (s *Set) Lapsed() int { return s.waiting }

// Since returns the changes after a revision. If some removals after that revision are no longer recorded, it returns all
// documents instead.
func (s *Set) Since(after uint64) Batch {
	b := Batch{AsOf: s.asOf, Whole: after < s.floor}
	for key, e := range s.entries {
		lapsed := !e.lapsed.IsZero()
		if b.Whole && e.doc.Removed || !b.Whole && e.doc.Revision <= after {
			continue
		}
		d := e.doc
		if lapsed {
			b.Lapsed = append(b.Lapsed, key)
			if !b.Whole {
				d = plat.Document{Key: key, Revision: d.Revision, Removed: true}
			}
		}
		b.Documents = append(b.Documents, d)
	}
	slices.SortFunc(b.Documents, func(x, y plat.Document) int { return cmp.Compare(x.Revision, y.Revision) })
	slices.Sort(b.Lapsed)
	return b
}

// Merge takes the batch of a peer, and returns the documents that changed. A whole batch is ignored if its revision is lower
// than that of the set.
func (s *Set) Merge(now time.Time, b Batch) (changed []plat.Document) {
	if b.Whole && b.AsOf < s.asOf {
		return nil
	}
	s.dubious = make(map[string]bool, len(b.Lapsed))
	for _, key := range b.Lapsed {
		s.dubious[key] = true
	}
	if b.Whole {
		changed = s.Range(now, b.Documents, b.AsOf)
		for key := range s.dubious {
			if e := s.entries[key]; e != nil && !e.doc.Removed && e.lapsed.IsZero() {
				e.lapsed = now
				s.waiting++
			}
		}
	} else {
		changed = s.Events(now, b.Documents, b.AsOf)
	}
	s.dubious = nil
	return changed
}
