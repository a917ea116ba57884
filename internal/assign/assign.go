// Package assign computes which entry VMs are the dispatchers of each target, and this process's share of the target's
// capacity: how many sub-requests and connections of this process the target may have.
//
// # Usage
//
//	t := assign.New(assign.Config{}, "vm-1", now)
//	t.Update(now, vms, targets)                // once for every revision of the lists that comes into force
//	t.SetDeadlines(now, p.SendUntil, p.GrowUntil)   // each time the member.Permission p was computed
//	t.Dispatchers("desk-1-t1")                 // at most two VM ids: the primary and the secondary
//	t.Share(now, "desk-1-t1", level)           // sub-requests that this process may have running
//	t.Connections("desk-1-t1")                 // connections that this process may have open
//
// # Bound
//
// Every process computes the assignment from the same published lists of VMs and targets. But processes receive a new
// revision of the lists at different times, and may miss revisions that were soon replaced. Nevertheless the sum of all
// shares of a target stays within its level, for two reasons: a share is the minimum over all assignments since it last
// grew, and a share grows only after the lists have not changed for GrowDelay.
//
// The proof: assume that the lists of every process that may send are at most MaxListAge old. A process whose share grows
// at time t has had the same revision since t-2*MaxListAge, so no newer revision was published before t-MaxListAge. At
// t-MaxListAge every sending process therefore had that same revision, and at t no share is larger than this revision
// assigns. It isn't enough to wait until the rank of this process is unchanged for GrowDelay, because a process can miss
// a revision in which it didn't have that rank.
//
// SetDeadlines starts the wait for growth again while contact with the majority is lost. If the process could not send
// for so long that its lists may be older than MaxListAge, SetDeadlines sets every share to 0 for a whole GrowDelay.
package assign

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
)

// Config holds the delays after which shares change. A delay of zero takes its default.
type Config struct {
	GrowDelay  time.Duration // time for which the lists must be unchanged before a share grows
	ResetAfter time.Duration // time without permission to send after which every share is reset to 0
	// AllVMsDispatch makes every VM a dispatcher of every target, with an equal part of the slots and at least one slot. It
	// serves as the baseline of measurements. It exceeds the slots of a target that has fewer slots than there are VMs.
	AllVMsDispatch bool
}

const (
	// MaxListAge is the largest age of the lists of a process that may send: the freshness bound (2 s) plus the time in
	// which a revision reaches every process (1 s).
	MaxListAge = 3 * time.Second
	// DefaultGrowDelay is twice MaxListAge. The proof in the package comment needs this length.
	DefaultGrowDelay = 2 * MaxListAge
	// DefaultResetAfter is MaxListAge minus the freshness bound, because the freshness bound has already passed when the
	// permission to send ends.
	DefaultResetAfter = time.Second
)

// maxDispatchers is the largest number of VMs that may send to a target.
const maxDispatchers = 2

// Rank is the position of a process among the dispatchers of a target.
type Rank int

// Ranks of a process for a target.
const (
	Primary   Rank = 0
	Secondary Rank = 1
	NoRank    Rank = 2 // not a dispatcher of the target
)

// assignment holds what one revision of the lists assigns to this process for one target.
type assignment struct {
	rank        Rank
	slots       int
	connections int
}

// targetEntry holds the assignments for one target that determine the share of this process.
type targetEntry struct {
	dispatchers []string
	current     assignment
	// pastAssignments holds the assignments since the share last grew, except the current one. No share exceeds the share
	// under any of them.
	pastAssignments []assignment
}

// addPastAssignment adds an assignment to those that limit the share until shares may grow.
func (e *targetEntry) addPastAssignment(a assignment) {
	if !slices.Contains(e.pastAssignments, a) {
		e.pastAssignments = append(e.pastAssignments, a)
	}
}

// Table holds the assignment of all targets as one process knows it. It isn't safe for concurrent use.
type Table struct {
	cfg             Config
	self            string
	latestTime      time.Time               // newest time that any method received
	growthWaitStart time.Time               // start of the wait for growth: since then the lists are unchanged and growth was allowed
	sendUntil       time.Time               // this process may send before this time
	growUntil       time.Time               // shares may grow before this time
	targets         map[string]*targetEntry // by target id
	liveCount       int                     // number of live VMs
}

// New returns an empty table. Every share is 0 until growth was allowed for GrowDelay.
func New(cfg Config, self string, now time.Time) *Table {
	cfg.GrowDelay = cmp.Or(cfg.GrowDelay, DefaultGrowDelay)
	cfg.ResetAfter = cmp.Or(cfg.ResetAfter, DefaultResetAfter)
	return &Table{cfg: cfg, self: self, latestTime: now, growthWaitStart: now, targets: map[string]*targetEntry{}}
}

// Update computes the assignment from the lists of a revision. It must be called once for every revision that comes into
// force, even if the lists are the same as before, because revisions in between may have been missed. Each call starts
// the wait for growth again.
func (t *Table) Update(now time.Time, vms []plat.VM, targets []plat.Target) {
	t.advanceTime(now)
	next := make(map[string]*targetEntry, len(targets))
	live := liveVMs(vms)
	t.liveCount = len(live.all)
	for _, target := range targets {
		entry := t.targets[target.ID]
		if entry == nil {
			entry = &targetEntry{current: assignment{rank: NoRank}}
		}
		entry.addPastAssignment(entry.current)
		entry.dispatchers = live.dispatchersOf(target)
		entry.current = assignment{rank: t.rankOf(entry.dispatchers), slots: target.Slots, connections: target.Connections}
		next[target.ID] = entry
	}
	t.targets = next
	t.growthWaitStart = t.latestTime
}

// SetDeadlines sets the times until which this process may send and until which its shares may grow. It must be called
// at least once in every ResetAfter, with the times of the member.Permission. Until the first call every share is 0.
func (t *Table) SetDeadlines(now, sendUntil, growUntil time.Time) {
	t.advanceTime(now)
	if !t.latestTime.Before(t.growUntil) {
		t.growthWaitStart = t.latestTime
	}
	if t.latestTime.Sub(t.sendUntil) >= t.cfg.ResetAfter {
		t.resetShares()
	}
	t.sendUntil = sendUntil
	t.growUntil = growUntil
}

// resetShares sets every share to 0 and starts the wait for growth again, as after a start of the process.
func (t *Table) resetShares() {
	for _, e := range t.targets {
		// Without a rank, the share under this assignment is 0.
		e.pastAssignments = []assignment{{rank: NoRank}}
	}
	t.growthWaitStart = t.latestTime
}

// advanceTime sets latestTime to now if now is later, and lets shares grow if the wait for growth is over.
func (t *Table) advanceTime(now time.Time) {
	if now.After(t.latestTime) {
		t.latestTime = now
	}
	if t.latestTime.Sub(t.growthWaitStart) < t.cfg.GrowDelay || !t.latestTime.Before(t.growUntil) || !t.latestTime.Before(t.sendUntil) {
		return
	}
	for _, e := range t.targets {
		e.pastAssignments = nil
	}
	// No past assignment limits a share now, so another wait changes nothing until the lists change.
	t.growthWaitStart = t.latestTime
}

// rankOf returns the rank of this process among the dispatchers.
func (t *Table) rankOf(dispatchers []string) Rank {
	if i := slices.Index(dispatchers, t.self); i >= 0 {
		return Rank(i)
	}
	return NoRank
}

// liveVMIDs holds the ids of the live VMs, all of them and by data centre.
type liveVMIDs struct {
	all          []string
	byDataCentre map[string][]string
}

// liveVMs returns the ids of the live VMs of the list.
func liveVMs(vms []plat.VM) liveVMIDs {
	live := liveVMIDs{byDataCentre: map[string][]string{}}
	for _, vm := range vms {
		if vm.State == plat.Live {
			live.all = append(live.all, vm.ID)
			live.byDataCentre[vm.DataCentre] = append(live.byDataCentre[vm.DataCentre], vm.ID)
		}
	}
	return live
}

// dispatchersOf returns the ids of the dispatchers of the target. VMs in the data centre of the target come before all
// others.
func (c liveVMIDs) dispatchersOf(target plat.Target) []string {
	ids := appendHighestScores(target.ID, c.byDataCentre[target.DataCentre], nil)
	if len(ids) < maxDispatchers {
		ids = appendHighestScores(target.ID, c.all, ids)
	}
	return ids
}

// appendHighestScores appends the ids with the highest scores to those already chosen, up to maxDispatchers ids. The score
// of an id is a hash of target and id (rendezvous hashing). A scan is used instead of sorting, because every change of the
// lists ranks the VMs for every target.
func appendHighestScores(target string, ids, chosen []string) []string {
	key := append([]byte(target), '/')
	prefix := len(key)
	type scored struct {
		id    string
		score uint64
	}
	var top [maxDispatchers]scored
	for _, id := range ids {
		if slices.Contains(chosen, id) {
			continue
		}
		key = append(key[:prefix], id...)
		candidate := scored{id, xxhash.Sum64(key)}
		for i, other := range top {
			if other.id == "" || candidate.score > other.score || candidate.score == other.score && candidate.id < other.id {
				top[i], candidate = candidate, other
			}
			if candidate.id == "" {
				break
			}
		}
	}
	for _, s := range top {
		if s.id != "" && len(chosen) < maxDispatchers {
			chosen = append(chosen, s.id)
		}
	}
	return chosen
}

// Dispatchers returns the VM ids of the primary and the secondary dispatcher of the target, if there are any. With
// Config.AllVMsDispatch it returns only this process.
func (t *Table) Dispatchers(target string) []string {
	if e := t.targets[target]; e != nil {
		if t.cfg.AllVMsDispatch {
			return []string{t.self}
		}
		return e.dispatchers
	}
	return nil
}

// RankShare returns the part of a level that belongs to the rank. The primary gets the level up to half of the slots,
// rounded up; the secondary gets the part of the level above that.
func RankShare(r Rank, slots, level int) int {
	level = max(0, min(level, slots))
	primaryShare := (slots + 1) / 2
	switch r {
	case Primary:
		return min(level, primaryShare)
	case Secondary:
		return max(0, level-primaryShare)
	}
	return 0
}

// RankConnections returns the part of a target's connections that belongs to the rank.
func RankConnections(r Rank, connections int) int {
	switch r {
	case Primary:
		return connections - connections/2
	case Secondary:
		return connections / 2
	}
	return 0
}

// Share returns how many sub-requests this process may have running at the target. The level is the number that all
// entry processes together may have running there. The share is 0 while this process may not send.
func (t *Table) Share(now time.Time, target string, level int) int {
	t.advanceTime(now)
	e := t.targets[target]
	if e == nil || !t.latestTime.Before(t.sendUntil) {
		return 0
	}
	if t.cfg.AllVMsDispatch && level > 0 {
		return max(1, e.current.slots/max(t.liveCount, 1))
	}
	share := e.current.share(level)
	for _, a := range e.pastAssignments {
		share = min(share, a.share(level))
	}
	return share
}

// share returns the share of a level under this assignment. The connections bound the share too, because each running
// sub-request occupies one.
func (a assignment) share(level int) int {
	return min(RankShare(a.rank, a.slots, level), RankConnections(a.rank, a.connections))
}

// Connections returns how many connections this process may have open to the target, at the newest time that any method
// received. Like the share, the number is the minimum over all assignments since it last grew.
func (t *Table) Connections(target string) int {
	e := t.targets[target]
	if e == nil || !t.latestTime.Before(t.sendUntil) {
		return 0
	}
	if t.cfg.AllVMsDispatch {
		return max(1, e.current.connections/max(t.liveCount, 1))
	}
	connections := RankConnections(e.current.rank, e.current.connections)
	for _, a := range e.pastAssignments {
		connections = min(connections, RankConnections(a.rank, a.connections))
	}
	return connections
}
