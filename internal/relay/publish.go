package relay

import (
	"fmt"
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/internal/policy"
	"github.com/fuchsiarelay/fuchsiarelay/internal/rules"
	"github.com/fuchsiarelay/fuchsiarelay/internal/state"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/codes"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/wire"
)

// withdrawalGrace is the time for which an entry process that rules exclude still accepts requests of callers. The
// addresses that callers hold expire within this time. An excluded data centre must be out of use within 3 s, so 500 ms
// remain as a margin.
const withdrawalGrace = 2500 * time.Millisecond

// dispatcherVMs returns the entry VMs that may dispatch: those that the rules don't exclude.
func (c *control) dispatcherVMs() []plat.VM {
	set := c.policy.Rules()
	var out []plat.VM
	for _, vm := range c.policy.VMs() {
		if _, excluded := vmExclusion(set, vm); !excluded {
			out = append(out, vm)
		}
	}
	return out
}

// vmExclusion returns the rule that excludes the VM or its data centre, and whether there is one.
func vmExclusion(set *rules.Set, vm plat.VM) (rules.Origin, bool) {
	if origin, ok := set.Excluded(rules.VM, vm.ID); ok {
		return origin, true
	}
	return set.Excluded(rules.DataCentre, vm.DataCentre)
}

// targets returns all published targets with the limits of the rules applied.
func (c *control) targets() []plat.Target {
	var out []plat.Target
	for _, svc := range c.policy.Services() {
		for _, t := range svc.Targets {
			out = append(out, limitedTarget(c.policy.Rules(), svc.Name, t))
		}
	}
	return out
}

// limitedTarget returns the target with the most restrictive limit of the rules applied.
func limitedTarget(set *rules.Set, service string, t plat.Target) plat.Target {
	limit, ok := set.EffectiveLimit(service, t.ID)
	if !ok {
		return t
	}
	if limit.Slots > 0 {
		t.Slots = min(t.Slots, limit.Slots)
	}
	if limit.Connections > 0 {
		t.Connections = min(t.Connections, limit.Connections)
	}
	return t
}

// targetTable is the part of a snapshot whose size depends on the published lists. Snapshots share the table until one of
// its inputs changes, because building the table takes about 2 µs per target and a snapshot is published on every tick.
type targetTable struct {
	revisions  policy.Revisions
	services   map[string]*state.Service
	targets    map[string]*state.Target
	dispatched []string // ids of the targets that this process dispatches
}

// reachability is the part of a snapshot that states which entry VMs answer and which addresses callers may use. Snapshots
// share it until one of its inputs changes.
type reachability struct {
	revisions policy.Revisions
	stopping  bool
	vmStates  []vmState // one for each published VM
	reachable map[string]bool
	addresses []wire.Address
}

// vmState says whether an entry VM answers; see member.View.Reachable and member.View.Alive.
type vmState struct{ reachable, alive bool }

// publish builds a snapshot and publishes it to the goroutines that serve requests. The dispatcher creates lanes for the
// targets that this process newly dispatches, and receives the known status of these targets.
func (c *control) publish(now time.Time) {
	permission := c.membership.Permission(now)
	c.sendUntil = permission.SendUntil
	c.storeEvidenceTime()
	s := &state.Snapshot{
		Self: c.relay.VM, DataCentre: c.relay.DataCentre, Incarnation: c.relay.Incarnation,
		Serving: c.serving, Stopping: c.plannedStop.Stopping(), RefusingRequests: c.refusingRequests, TargetsReleased: c.targetsReleased, Digest: c.policy.Revisions(),
		Rules: c.policy.Rules(), VMs: c.policy.VMs(), Permission: permission, Quarantined: map[uint64]time.Time{},
		Suspected: c.poisonDetector.Suspects(),
	}
	for _, q := range c.poisonDetector.Quarantines(now) {
		s.Quarantined[q.Fingerprint] = q.Until
	}
	dispatchedBefore := c.targetTable.dispatched
	c.addTargets(now, s)
	c.addReachability(now, s)
	c.setWithdrawal(now, s)
	c.relay.snapshotCell.Store(s)
	c.relay.disp.Update()
	for _, id := range c.targetTable.dispatched {
		if !slices.Contains(dispatchedBefore, id) {
			c.replayStatus(id)
		}
	}
	c.dirty = false
}

// storeEvidenceTime stores the time as of which the documents held here were the newest, for the answers to pings.
func (c *control) storeEvidenceTime() {
	evidence := time.Time{}
	if len(c.policy.VMs()) > 0 {
		evidence = c.membership.Evidence()
	}
	c.evidenceTime.Store(&evidence)
}

// addTargets adds the services and targets to the snapshot. The table is rebuilt only after a change of the documents.
// Between two changes of the documents, only the status of targets and the shares of this process change, so addTargets
// replaces only the entries in which one of them changed.
func (c *control) addTargets(now time.Time, s *state.Snapshot) {
	if c.targetTable.targets == nil || c.targetTable.revisions != s.Digest {
		c.buildTargetTable(now, s)
	}
	changed := c.changedStatuses
	for _, id := range c.targetTable.dispatched {
		if !changed[id] && !c.sharesUnchanged(now, c.targetTable.targets[id]) {
			changed[id] = true
		}
	}
	if len(changed) > 0 {
		c.targetTable.targets = maps.Clone(c.targetTable.targets)
		for id := range changed {
			if old := c.targetTable.targets[id]; old != nil {
				c.targetTable.targets[id] = c.updatedEntry(now, old)
			}
		}
		clear(c.changedStatuses)
	}
	s.Services, s.Targets, s.DispatchedTargets = c.targetTable.services, c.targetTable.targets, c.targetTable.dispatched
}

// buildTargetTable builds the table from the documents in force.
func (c *control) buildTargetTable(now time.Time, s *state.Snapshot) {
	c.targetTable = targetTable{revisions: s.Digest, services: map[string]*state.Service{}, targets: map[string]*state.Target{}}
	clear(c.changedStatuses)
	for _, svc := range c.policy.Services() {
		entry := &state.Service{Service: svc}
		if origin, ok := s.Rules.Excluded(rules.Service, svc.Name); ok {
			entry.Block = exclusionBlock(origin, "service "+svc.Name)
		}
		c.targetTable.services[svc.Name] = entry
		for _, t := range svc.Targets {
			e := c.newTargetEntry(s, entry, t)
			if slices.Contains(e.Dispatchers, s.Self) {
				c.targetTable.dispatched = append(c.targetTable.dispatched, t.ID)
			}
			c.targetTable.targets[t.ID] = c.updatedEntry(now, e)
		}
	}
}

// sharesUnchanged reports whether the shares and connections of an entry are still those of the assignment.
func (c *control) sharesUnchanged(now time.Time, t *state.Target) bool {
	if t.Connections != c.assignments.Connections(t.ID) {
		return false
	}
	for level, share := range t.Shares {
		if share != c.assignments.Share(now, t.ID, level) {
			return false
		}
	}
	return true
}

// updatedEntry returns a copy of the entry with the newest status of the target and the shares at the time now. Only a
// dispatcher of the target has shares.
func (c *control) updatedEntry(now time.Time, old *state.Target) *state.Target {
	e := *old
	e.Status = c.targetStatuses[e.ID].TargetStatus
	e.Shares, e.Connections = nil, 0
	if slices.Contains(e.Dispatchers, c.relay.VM) {
		for level := range e.Slots + 1 {
			e.Shares = append(e.Shares, c.assignments.Share(now, e.ID, level))
		}
		e.Connections = c.assignments.Connections(e.ID)
	}
	return &e
}

// exclusionBlock returns the Block of a target or service that a rule excludes. The subject is what the rule names.
func exclusionBlock(origin rules.Origin, subject string) *codes.Block {
	return &codes.Block{Code: codes.Excluded, RuleLine: origin.Line, Text: fmt.Sprintf("%s is excluded by rule line %d (%s: %s)", subject, origin.Line, origin.Who, origin.Why)}
}

// newTargetEntry returns the entry of a published target in the table, without its status and shares.
func (c *control) newTargetEntry(s *state.Snapshot, svc *state.Service, t plat.Target) *state.Target {
	t = limitedTarget(s.Rules, svc.Name, t)
	e := &state.Target{Target: t, Service: svc.Name, Dispatchers: c.assignments.Dispatchers(t.ID), Block: svc.Block}
	for _, subject := range []struct {
		kind rules.SubjectKind
		name string
	}{{rules.Target, t.ID}, {rules.VM, t.VM}, {rules.DataCentre, t.DataCentre}} {
		if origin, ok := s.Rules.Excluded(subject.kind, subject.name); ok {
			e.Block = exclusionBlock(origin, string(subject.kind)+" "+subject.name)
		}
	}
	if t.State == plat.Leaving && e.Block == nil {
		e.Block = &codes.Block{Code: codes.NoTarget, Text: "target " + t.ID + " is leaving"}
	}
	return e
}

// addReachability adds the VMs that answer and the addresses that callers may use to the snapshot. Both are computed again
// only if one of their inputs has changed.
func (c *control) addReachability(now time.Time, s *state.Snapshot) {
	states := make([]vmState, len(s.VMs))
	for i, vm := range s.VMs {
		states[i] = vmState{c.membership.Reachable(now, vm.ID), c.membership.Alive(now, vm.ID)}
	}
	r := &c.reachability
	if r.reachable == nil || r.revisions != s.Digest || r.stopping != s.Stopping || !slices.Equal(r.vmStates, states) {
		*r = reachability{revisions: s.Digest, stopping: s.Stopping, vmStates: states, reachable: map[string]bool{s.Self: true}}
		for i, vm := range s.VMs {
			if states[i].reachable {
				r.reachable[vm.ID] = true
			}
		}
		r.addresses = c.addresses(s, states)
	}
	s.Reachable, s.Addresses = r.reachable, r.addresses
}

// addresses returns the entry VMs that callers may use: the VM of this process first, then those of the same data centre,
// then the others.
func (c *control) addresses(s *state.Snapshot, states []vmState) []wire.Address {
	own := wire.Address{}
	var out []wire.Address
	for i, vm := range s.VMs {
		a := wire.Address{Addr: vm.Addr, DataCentre: vm.DataCentre}
		if vm.ID == s.Self {
			own = a
		}
		_, excluded := vmExclusion(s.Rules, vm)
		if excluded || vm.State != plat.Live || !states[i].alive || (vm.ID == s.Self && s.Stopping) {
			continue
		}
		out = append(out, a)
	}
	sort.SliceStable(out, func(i, j int) bool { return addressDistance(out[i], own) < addressDistance(out[j], own) })
	return out
}

// addressDistance returns the sort key of an address: 0 for the VM of this process, 1 for the same data centre, 2 for
// others.
func addressDistance(a, own wire.Address) int {
	switch {
	case a == own:
		return 0
	case a.DataCentre == own.DataCentre:
		return 1
	}
	return 2
}

// setWithdrawal sets in the snapshot from when this process refuses requests of callers, and the rule that causes it, if
// rules exclude the VM or the data centre of this process.
func (c *control) setWithdrawal(now time.Time, s *state.Snapshot) {
	i := slices.IndexFunc(s.VMs, func(vm plat.VM) bool { return vm.ID == s.Self })
	if i < 0 {
		return
	}
	origin, excluded := vmExclusion(s.Rules, s.VMs[i])
	if !excluded {
		c.excludedSince = time.Time{}
		return
	}
	if c.excludedSince.IsZero() {
		c.excludedSince = now
	}
	s.WithdrawnFrom = c.excludedSince.Add(withdrawalGrace)
	s.WithdrawnRuleLine = origin.Line
}
