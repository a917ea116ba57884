// Package facts keeps the newest published document of each key, whoever read it, and decides when one that has
// disappeared is to be taken as gone.
//
// # Usage
//
//	s := facts.New(facts.Config{})
//	changed := s.Range(now, docs, asOf)         // everything that exists, read from the platform
//	changed := s.Events(now, docs, asOf)        // what has changed since s.AsOf()
//	s.Failed(now)                               // a read failed: the platform may be away
//	changed := s.Tick(now)                      // lapsed documents whose grace is over
//	batch := s.Since(after)                     // for a peer that asks
//	changed := s.Merge(now, batch)              // from a peer
//
// # Lapses
//
// While the platform is away, targets can't renew their documents, so that these lapse although the targets live.
// A document that disappears within Config.Doubt of a failed read stays for Config.Grace after the platform is
// back; if it has not been written again by then, it is gone. A batch for a peer names such documents, since the peer
// may not have noticed the absence.
//
// # Order
//
// Each document has the revision of its last change, and a removal has the revision of the removal. The higher
// revision of a key wins, so that documents may arrive in any order, from the platform and from peers.
package facts

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
)

// Config holds the intervals. Zero fields take the defaults.
type Config struct {
	Doubt      time.Duration
	Grace      time.Duration
	Tombstones time.Duration // removals are kept this long for peers
}

// Defaults of Config.
const (
	// DefaultDoubt covers the longest silence after which a published entry lapses: three heartbeats.
	DefaultDoubt = 4 * time.Second
	// DefaultGrace is the time in which live targets renew their entries after the platform's return: 2 s, and one
	// heartbeat's jitter.
	DefaultGrace = 2200 * time.Millisecond
	// DefaultTombstones is longer than any partition between peers that the platform's history outlasts.
	DefaultTombstones = time.Minute
)

// sweepEvery is the interval at which old removals are looked for.
const sweepEvery = time.Second

// Batch is what one process tells another.
type Batch struct {
	Documents []plat.Document
	AsOf      uint64
	Whole     bool     // everything that exists, not only changes
	Lapsed    []string // keys that have disappeared in doubt
}

type entry struct {
	doc     plat.Document
	lapsed  time.Time // when it disappeared in doubt; zero if it stands
	removed time.Time // of a tombstone
}

// Set is the state of one process. Use New.
type Set struct {
	cfg      Config
	entries  map[string]*entry
	asOf     uint64
	floor    uint64    // removals at or below this revision may be unknown here
	failed   time.Time // last failed read
	back     time.Time // first successful read after a failed one
	waiting  int       // entries with lapsed set
	complete bool
	swept    time.Time       // last look for old removals
	dubious  map[string]bool // keys that a peer says have lapsed, during Merge
}

// New returns an empty set.
func New(cfg Config) *Set {
	cfg.Doubt = cmp.Or(cfg.Doubt, DefaultDoubt)
	cfg.Grace = cmp.Or(cfg.Grace, DefaultGrace)
	cfg.Tombstones = cmp.Or(cfg.Tombstones, DefaultTombstones)
	return &Set{cfg: cfg, entries: map[string]*entry{}}
}

// AsOf returns the revision up to which the set is complete; 0 before the first whole read.
func (s *Set) AsOf() uint64 { return s.asOf }

// Complete reports whether the set has held everything that is published at least once.
func (s *Set) Complete() bool { return s.complete }

// Range takes everything that exists as of a revision. Documents that are missing from it are removed.
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

// Events takes the changes between AsOf and a revision.
func (s *Set) Events(now time.Time, docs []plat.Document, asOf uint64) (changed []plat.Document) {
	s.reached(now)
	for _, d := range docs {
		changed = s.take(now, d, changed)
	}
	s.asOf = max(s.asOf, asOf)
	return changed
}

// Failed says that a read of the platform failed.
func (s *Set) Failed(now time.Time) {
	s.failed = now
	s.back = time.Time{}
}

func (s *Set) reached(now time.Time) {
	if s.back.IsZero() {
		s.back = now
	}
}

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
		// The value stays in force until Tick removes it.
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

// doubtful reports whether a removal may be a lapse during an absence of the platform.
func (s *Set) doubtful(now time.Time) bool {
	return !s.failed.IsZero() && now.Sub(s.failed) < s.cfg.Doubt
}

// Tick returns the documents that are gone for good now, and forgets old removals.
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

// Lapsed returns the number of documents that have disappeared in doubt.
func (s *Set) Lapsed() int { return s.waiting }

// Since returns what has changed after a revision, or everything if that isn't known any more.
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

// Merge takes what a peer holds. A whole batch that is older than this set is ignored.
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
