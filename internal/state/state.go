// Package state is the immutable snapshot of control state that traffic goroutines read.
//
// # Usage
//
//	snap := cell.Load()
//	if err := snap.MaySend(now); err != nil { ... refuse, the request was not run ... }
//	if err := snap.MayUse(now, targetID, fingerprint); err != nil { ... }
//
// The control goroutine builds a new Snapshot after each change and stores it in a Cell. Nobody changes a
// snapshot after that.
package state

import (
	"sync/atomic"
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/internal/member"
	"github.com/fuchsiarelay/fuchsiarelay/internal/policy"
	"github.com/fuchsiarelay/fuchsiarelay/internal/rules"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/codes"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/target"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/wire"
)

// Note is what a dispatcher last said of a target.
type Note struct {
	From        string          `json:"from"`
	Incarnation uint64          `json:"incarnation"`
	State       target.State    `json:"state"`
	Level       int             `json:"level"` // concurrency that the target bears from the whole fleet
	Served      []target.Served `json:"served,omitempty"`
}

// Target is one target as this process sees it.
type Target struct {
	plat.Target
	Service     string
	Dispatchers []string     // VM ids, primary first
	Shares      []int        // by level: sub-requests that this process may have running
	Connections int          // connections that this process may open
	Note        Note         // newest word of a dispatcher
	Block       *codes.Block // set if rules or the published lists forbid new work
}

// Service is one service as published.
type Service struct {
	plat.Service
	Block *codes.Block
}

// Snapshot is the control state at one moment.
type Snapshot struct {
	Self        string
	DataCentre  string
	Incarnation uint64
	Serving     bool // the configuration is confirmed
	Stopping    bool
	Refusing    bool // a planned stop nears its limit: no new caller requests
	Released    bool
	Digest      policy.Digest
	Rules       *rules.Set
	VMs         []plat.VM
	Standing    member.Standing
	Reachable   map[string]bool // VM ids, this process included
	Services    map[string]*Service
	Targets     map[string]*Target
	Dispatched  []string // ids of the targets that this process dispatches
	Addresses   []wire.Address
	Quarantined map[uint64]time.Time
	Suspected   map[uint64]bool
	// Withdrawn is the time from which this process takes no new caller work, because rules exclude its VM or
	// data centre; zero if they don't.
	Withdrawn     time.Time
	WithdrawnRule int
}

// MaySend reports whether this process may start or pass on new work. It must be called at the moment of
// sending, because a process that was suspended wakes with an old snapshot.
func (s *Snapshot) MaySend(now time.Time) error {
	switch {
	case !s.Serving:
		return codes.New(codes.Starting, "no confirmed configuration yet")
	case s.Released:
		return codes.New(codes.Stopping, "the process has released its targets")
	case !now.Before(s.Standing.SendUntil):
		return codes.New(codes.StaleView, "%s", member.ReasonCutOff)
	}
	return nil
}

// MayUse reports whether new work may be sent to the target.
func (s *Snapshot) MayUse(now time.Time, id string, fingerprint uint64) error {
	if err := s.MaySend(now); err != nil {
		return err
	}
	t := s.Targets[id]
	if t == nil {
		return codes.New(codes.NoTarget, "target %s is not published", id)
	}
	if t.Block != nil {
		return t.Block.Err()
	}
	return s.Quarantine(now, fingerprint)
}

func quarantineError(now, until time.Time) error {
	return codes.NewAfter(codes.Quarantined, until.Sub(now), "the request crashed targets; come back in %s", until.Sub(now).Round(time.Second))
}

// Quarantine returns an error if the fingerprint is quarantined.
func (s *Snapshot) Quarantine(now time.Time, fingerprint uint64) error {
	if until, ok := s.Quarantined[fingerprint]; ok && now.Before(until) {
		return quarantineError(now, until)
	}
	return nil
}

// Share returns how many sub-requests this process may have running at the target.
func (s *Snapshot) Share(id string, level int) int {
	t := s.Targets[id]
	if t == nil || len(t.Shares) == 0 {
		return 0
	}
	return t.Shares[min(max(level, 0), len(t.Shares)-1)]
}

// Rank returns the position of this process among the dispatchers of the target; -1 if it is none.
func (s *Snapshot) Rank(id string) int {
	t := s.Targets[id]
	if t == nil {
		return -1
	}
	for i, vm := range t.Dispatchers {
		if vm == s.Self {
			return i
		}
	}
	return -1
}

// Cell holds the newest snapshot.
type Cell struct{ snapshot atomic.Pointer[Snapshot] }

// Load returns the newest snapshot; it is never nil.
func (c *Cell) Load() *Snapshot {
	if s := c.snapshot.Load(); s != nil {
		return s
	}
	return &Snapshot{Rules: rules.Empty()}
}

// Store replaces the snapshot.
func (c *Cell) Store(s *Snapshot) { c.snapshot.Store(s) }
