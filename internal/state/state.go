// Package state holds the immutable snapshot of control state that the goroutines that serve requests read.
//
// # Usage
//
//	snap := cell.Load()
//	if err := snap.CheckSend(now); err != nil { ... refuse, the request was not run ... }
//	if err := snap.CheckTarget(now, targetID, fingerprint); err != nil { ... }
//
// The goroutine of the control loop builds a new Snapshot on every tick, and at once after an urgent change, and stores it in
// a Cell. A snapshot must not be changed after that.
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

// TargetStatus is the newest report of a dispatcher about a target. From is the VM id of the dispatcher.
type TargetStatus struct {
	From        string          `json:"from"`
	Incarnation uint64          `json:"incarnation"`
	State       target.State    `json:"state"`
	Level       int             `json:"level"` // number of sub-requests that all entry processes together may have running at the target
	Served      []target.Served `json:"served,omitempty"`
}

// Target holds what this process knows about one target.
type Target struct {
	plat.Target
	Service     string
	Dispatchers []string     // VM ids, primary first
	Shares      []int        // by level: number of sub-requests that this process may have running at the target
	Connections int          // number of connections that this process may open to the target
	Status      TargetStatus // newest report of a dispatcher
	Block       *codes.Block // reason why rules or the published lists forbid new work; nil if they don't
}

// Service is one published service.
type Service struct {
	plat.Service
	Block *codes.Block // reason why new work for the service is forbidden; nil if it isn't
}

// Snapshot is the control state at one moment.
type Snapshot struct {
	Self              string
	DataCentre        string
	Incarnation       uint64
	Serving           bool // the configuration of this process is confirmed
	Stopping          bool // a planned stop has begun
	RefusingRequests  bool // a planned stop is close to its time limit: no new requests of callers are accepted
	TargetsReleased   bool // this process has released its targets and may not send to them any more
	Digest            policy.Revisions
	Rules             *rules.Set
	VMs               []plat.VM // published entry VMs
	Permission        member.Permission
	Reachable         map[string]bool // by VM id, this process included
	Services          map[string]*Service
	Targets           map[string]*Target
	DispatchedTargets []string             // ids of the targets that this process dispatches
	Addresses         []wire.Address       // entry VMs that callers may use, in the order of preference
	Quarantined       map[uint64]time.Time // by fingerprint of the request: end of the quarantine
	Suspected         map[uint64]bool      // by fingerprint of the request: whether it is suspected of crashing targets
	// WithdrawnFrom is the time from which this process accepts no new requests of callers, because rules exclude its
	// VM or data centre. It is zero if no rule excludes them.
	WithdrawnFrom     time.Time
	WithdrawnRuleLine int // line of the rule that excludes them
}

// CheckSend returns an error if this process may not start or forward new work. It must be called immediately before
// sending, because a process that was suspended resumes with an old snapshot.
func (s *Snapshot) CheckSend(now time.Time) error {
	switch {
	case !s.Serving:
		return codes.New(codes.Starting, "no confirmed configuration yet")
	case s.TargetsReleased:
		return codes.New(codes.Stopping, "the process has released its targets")
	case !now.Before(s.Permission.SendUntil):
		return codes.New(codes.StaleView, "%s", member.ReasonNoContact)
	}
	return nil
}

// CheckTarget returns an error if new work with the fingerprint may not be sent to the target.
func (s *Snapshot) CheckTarget(now time.Time, id string, fingerprint uint64) error {
	if err := s.CheckSend(now); err != nil {
		return err
	}
	t := s.Targets[id]
	if t == nil {
		return codes.New(codes.NoTarget, "target %s is not published", id)
	}
	if t.Block != nil {
		return t.Block.Err()
	}
	return s.CheckQuarantine(now, fingerprint)
}

// quarantineError returns the error for a request that is quarantined until the given time.
func quarantineError(now, until time.Time) error {
	return codes.NewAfter(codes.Quarantined, until.Sub(now), "the request crashed targets; come back in %s", until.Sub(now).Round(time.Second))
}

// CheckQuarantine returns an error if the fingerprint is quarantined.
func (s *Snapshot) CheckQuarantine(now time.Time, fingerprint uint64) error {
	if until, ok := s.Quarantined[fingerprint]; ok && now.Before(until) {
		return quarantineError(now, until)
	}
	return nil
}

// Share returns the number of sub-requests that this process may have running at the target when the target has the level.
func (s *Snapshot) Share(id string, level int) int {
	t := s.Targets[id]
	if t == nil || len(t.Shares) == 0 {
		return 0
	}
	return t.Shares[min(max(level, 0), len(t.Shares)-1)]
}

// Rank returns the position of this process among the dispatchers of the target, 0 for the primary one. It is -1 if this
// process is no dispatcher of the target.
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

// Cell holds the newest snapshot. It is safe for concurrent use.
type Cell struct{ snapshot atomic.Pointer[Snapshot] }

// Load returns the newest snapshot, or an empty one if none has been stored. The result is never nil.
func (c *Cell) Load() *Snapshot {
	if s := c.snapshot.Load(); s != nil {
		return s
	}
	return &Snapshot{Rules: rules.Empty()}
}

// Store sets the newest snapshot.
func (c *Cell) Store(s *Snapshot) { c.snapshot.Store(s) }
