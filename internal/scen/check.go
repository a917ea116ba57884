package scen

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/internal/emul"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/codes"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/target"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/wire"
)

// Limits that the checks apply.
const (
	// MaxConfigDelay is the time within which a published change must be in force in every process.
	MaxConfigDelay = 3 * time.Second
	// unnoticedOverloads is the number of overloads that are permitted after a target became cold: each of its two dispatchers
	// may send one piece of work before the first reply of the new incarnation reports that the target is cold.
	unnoticedOverloads = 2
)

// Violation is one violated invariant.
type Violation struct {
	Property string // P1 to P10, the names of the invariants in docs/design.md, or "recovery"
	Text     string
}

// String returns the violation on one line.
func (v Violation) String() string { return v.Property + ": " + v.Text }

// Restriction forbids new work at targets and entry processes for some time, because the scenario drains a target, lists
// it as leaving or excludes its data centre. Work that starts nevertheless is a violation.
type Restriction struct {
	At       time.Time // start of the restriction; work is permitted until MaxConfigDelay after the start
	Until    time.Time // end of the restriction; zero while it lasts
	Property string    // invariant that new work violates: P4 or P8
	Targets  []string
	EntryVMs []string // ids of VMs whose entry processes may execute no new requests
	// Published is true if processes learn of the restriction from the platform, not from the target.
	Published bool
}

// Forbid records that the targets must receive no new work, and the entry processes on the VMs must execute no requests,
// once MaxConfigDelay has passed from now.
func (sim *Simulation) Forbid(property string, targets, entryVMs []string) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.restrictions = append(sim.restrictions, Restriction{At: time.Now(), Property: property, Targets: targets, EntryVMs: entryVMs})
}

// forbidPublished is Forbid for a restriction that was published just now. If the platform doesn't serve new revisions at
// present, no process can learn of the restriction. MaxConfigDelay then counts from the time when the platform serves new
// revisions again.
func (sim *Simulation) forbidPublished(property string, targets, entryVMs []string) {
	sim.mu.Lock()
	if sim.platformUnreadable {
		sim.unreadRestrictions = append(sim.unreadRestrictions, Restriction{Property: property, Targets: targets, EntryVMs: entryVMs})
	}
	platformUnreadable := sim.platformUnreadable
	sim.mu.Unlock()
	if !platformUnreadable {
		sim.mu.Lock()
		defer sim.mu.Unlock()
		sim.restrictions = append(sim.restrictions, Restriction{At: time.Now(), Property: property, Targets: targets, EntryVMs: entryVMs, Published: true})
	}
}

// setPlatformReadable calls apply, which makes the platform serve new revisions or stop serving them, and records the new
// state. When the platform serves new revisions again, the restrictions that were published meanwhile are recorded with
// Forbid.
func (sim *Simulation) setPlatformReadable(readable bool, apply func()) {
	apply()
	sim.mu.Lock()
	sim.platformUnreadable = !readable
	var postponedRestrictions []Restriction
	if readable {
		postponedRestrictions, sim.unreadRestrictions = sim.unreadRestrictions, nil
	} else {
		sim.postponeNewRestrictions()
	}
	sim.mu.Unlock()
	for _, r := range postponedRestrictions {
		sim.Forbid(r.Property, r.Targets, r.EntryVMs)
	}
}

// postponeNewRestrictions moves the restrictions that were published at the present instant to unreadRestrictions: the
// platform stopped serving new revisions before any process could read them. The caller holds mu.
func (sim *Simulation) postponeNewRestrictions() {
	now := time.Now()
	keptRestrictions := sim.restrictions[:0]
	for _, r := range sim.restrictions {
		if r.Published && r.At.Equal(now) {
			sim.unreadRestrictions = append(sim.unreadRestrictions, r)
		} else {
			keptRestrictions = append(keptRestrictions, r)
		}
	}
	sim.restrictions = keptRestrictions
}

// Permit ends all restrictions on exactly these targets, including the restrictions that no process could read yet.
func (sim *Simulation) Permit(targets []string) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sameTargets := func(r Restriction) bool { return slices.Equal(r.Targets, targets) }
	sim.unreadRestrictions = slices.DeleteFunc(sim.unreadRestrictions, sameTargets)
	for i, r := range sim.restrictions {
		if r.Until.IsZero() && sameTargets(r) {
			sim.restrictions[i].Until = time.Now()
		}
	}
}

// Violations checks the invariants on all calls that have ended and all work that targets have received so far, and returns
// the violations.
func (sim *Simulation) Violations() []Violation {
	var out []Violation
	executions := sim.executionsByRequest()
	for _, c := range sim.Calls() {
		if c.Order.Token == "" {
			out = append(out, sim.queryViolations(c, executions)...)
		} else {
			out = append(out, orderViolations(c, executions)...)
		}
	}
	out = append(out, sim.repeatedRunViolations()...)
	out = append(out, sim.overloadViolations()...)
	return append(out, sim.forbiddenWorkViolations()...)
}

// executionsByRequest returns the work that all targets have started, by request id.
func (sim *Simulation) executionsByRequest() map[string][]emul.Execution {
	out := map[string][]emul.Execution{}
	for _, id := range sim.StandIns.IDs() {
		for _, r := range sim.StandIns.Targets[id].Runs() {
			out[r.RequestID] = append(out[r.RequestID], r)
		}
	}
	return out
}

// hitOrigin holds what a stand-in target encodes in the id of a hit: the snapshot and the shard that the target searched, and
// the number of documents that it searched in the shard.
type hitOrigin struct {
	generation, version uint64
	shard               uint32
	documents           uint64
}

// parseHitID returns the origin that the id of the hit encodes.
func parseHitID(h wire.Hit) (hitOrigin, error) {
	var origin hitOrigin
	_, err := fmt.Sscanf(h.ID, "g%d-v%d-s%d-d%d", &origin.generation, &origin.version, &origin.shard, &origin.documents)
	if err != nil {
		return origin, fmt.Errorf("parse id of hit %q: %w", h.ID, err)
	}
	return origin, nil
}

// queryViolations returns the violations of one query. The invariants are: an answer has hits of one snapshot only (P1), its
// coverage is exact (P2), it answers the request that was made (P5), and "not run" is reported only if no target ran the
// query (P6).
func (sim *Simulation) queryViolations(c *Call, executions map[string][]emul.Execution) []Violation {
	var out []Violation
	addViolation := func(property, format string, args ...any) {
		out = append(out, Violation{property, c.RequestID + " at " + c.Entry + ": " + fmt.Sprintf(format, args...)})
	}
	if c.Err != nil {
		return nil // no answer; lostAnswerViolations checks whether the faults of the cell permit that
	}
	if c.Status.RequestID != "" && c.Status.RequestID != c.RequestID {
		addViolation("P5", "received the answer to request %s", c.Status.RequestID)
	}
	if c.Status.Ran == codes.NotRun && len(executions[c.RequestID]) > 0 {
		addViolation("P6", "status is not_run (%s) but %d sub-requests ran", c.Status.Name, len(executions[c.RequestID]))
	}
	var coveredDocuments uint64
	seenShards := map[uint32]bool{}
	for _, h := range c.Answer.Hits {
		origin, err := parseHitID(h)
		switch {
		case err != nil:
			addViolation("P5", "%v", err)
			continue
		case h.Body != c.Query.Text:
			addViolation("P5", "hit belongs to query %q, the request was %q", h.Body, c.Query.Text)
		case origin.generation != c.Answer.PartitionGeneration || origin.version != c.Answer.IndexVersion:
			addViolation("P1", "hit of g%d-v%d in an answer of g%d-v%d", origin.generation, origin.version, c.Answer.PartitionGeneration, c.Answer.IndexVersion)
		case seenShards[origin.shard]:
			addViolation("P2", "shard %d occurs twice in the answer", origin.shard)
		}
		seenShards[origin.shard] = true
		coveredDocuments += origin.documents
	}
	if coveredDocuments != c.Answer.DocumentsCovered {
		addViolation("P2", "answer states %d documents covered, its hits cover %d", c.Answer.DocumentsCovered, coveredDocuments)
	}
	if total, ok := sim.totalDocuments(c); ok && c.Answer.DocumentsTotal != total && c.Status.Code.OK() {
		addViolation("P2", "answer states %d documents in total, the partition has %d", c.Answer.DocumentsTotal, total)
	}
	if c.Answer.Complete && (coveredDocuments != c.Answer.DocumentsTotal || coveredDocuments == 0) {
		addViolation("P2", "answer is marked complete with %d of %d documents", coveredDocuments, c.Answer.DocumentsTotal)
	}
	return out
}

// totalDocuments returns the number of documents in the partition from which the call was answered, and false if the service
// has no partition with the generation and version that the answer states.
func (sim *Simulation) totalDocuments(c *Call) (uint64, bool) {
	svc := sim.Fleet.Service(c.Query.Service)
	if svc == nil {
		return 0, false
	}
	for _, p := range svc.Partitions {
		if p.Generation == c.Answer.PartitionGeneration && p.Version == c.Answer.IndexVersion {
			var total uint64
			for _, s := range p.Shards {
				total += s.Documents
			}
			return total, true
		}
	}
	return 0, false
}

// orderViolations returns the violations of one order. The invariants are: "not run" is reported only if no target ran the
// order (P6), and "executed" only if a target ran it (P5).
func orderViolations(c *Call, executions map[string][]emul.Execution) []Violation {
	if c.Err != nil {
		return nil
	}
	ran := len(executions[c.RequestID])
	// A repeated order has a new request id but the same token, so executions with the same token count too.
	for id, rs := range executions {
		if id == c.RequestID {
			continue
		}
		for _, r := range rs {
			if r.Token == c.Order.Token {
				ran++
			}
		}
	}
	switch {
	case c.Status.Ran == codes.NotRun && ran > 0:
		return []Violation{{"P6", fmt.Sprintf("status of order %s is not_run (%s) but the order ran", c.RequestID, c.Status.Name)}}
	case c.Status.Code == codes.Executed && ran == 0:
		return []Violation{{"P5", fmt.Sprintf("status of order %s is executed but the order never ran", c.RequestID)}}
	}
	return nil
}

// repeatedRunViolations returns a violation of P7 for each token whose order ran more than once.
func (sim *Simulation) repeatedRunViolations() []Violation {
	var out []Violation
	total := map[string]int{}
	for _, id := range sim.StandIns.IDs() {
		for token, n := range sim.StandIns.Targets[id].OrdersByToken() {
			total[token] += n
		}
	}
	for token, n := range total {
		if n > 1 {
			out = append(out, Violation{"P7", fmt.Sprintf("order with token %s ran %d times", token, n)})
		}
	}
	return out
}

// overloadViolations returns a violation of P3 for each piece of work or connection that exceeded the bound of a target. In
// each incarnation after the first it permits unnoticedOverloads pieces of work while the target is cold and has not replied.
func (sim *Simulation) overloadViolations() []Violation {
	var out []Violation
	for _, id := range sim.StandIns.IDs() {
		t := sim.StandIns.Targets[id]
		executions := t.Runs()
		unnoticedByIncarnation := map[uint64]int{}
		for _, o := range t.Overloads() {
			if o.Kind != emul.KindConn && o.State == target.Cold && o.Incarnation > 1 && !repliedBefore(executions, o) {
				unnoticedByIncarnation[o.Incarnation]++
				if unnoticedByIncarnation[o.Incarnation] <= unnoticedOverloads {
					continue
				}
			}
			out = append(out, Violation{"P3", fmt.Sprintf("target %s: %s %s exceeded the concurrency limit: %d of %d while %s; %s",
				id, o.Kind, o.RequestID, o.Concurrency, o.Bound, o.State, overloadContext(executions, o))})
		}
	}
	return out
}

// repliedBefore reports whether the incarnation of the overload had sent a complete reply before, from which a dispatcher
// could learn of the incarnation. A reply that was cut short tells a dispatcher nothing.
func repliedBefore(executions []emul.Execution, o emul.Overload) bool {
	for _, r := range executions {
		if r.Incarnation == o.Incarnation && r.Outcome == emul.OutcomeDone && !r.ReplyCut && r.End.Before(o.At) {
			return true
		}
	}
	return false
}

// overloadContext describes the circumstances of an overload: the executions in progress with their ages, and the first two
// replies of the same incarnation with the time between each reply and the overload.
func overloadContext(executions []emul.Execution, o emul.Overload) string {
	var out []string
	replies := 0
	for _, r := range executions {
		if r.Incarnation != o.Incarnation {
			continue
		}
		ended := r.Outcome == emul.OutcomeDone && r.End.Before(o.At)
		inProgress := !r.Start.After(o.At) && (r.End.IsZero() || !r.End.Before(o.At))
		if ended && replies < 2 {
			replies++
			out = append(out, fmt.Sprintf("%s answered on connection %d %s before, cut short: %t", r.RequestID, r.Conn, o.At.Sub(r.End), r.ReplyCut))
		}
		if inProgress {
			out = append(out, fmt.Sprintf("%s running on connection %d since %s", r.RequestID, r.Conn, o.At.Sub(r.Start)))
		}
	}
	return fmt.Sprintf("on connection %d; %s", o.Conn, strings.Join(out, ", "))
}

// forbiddenWorkViolations returns a violation for each piece of work that a target started, and each request that an entry
// process executed, while a restriction forbade it: from MaxConfigDelay after the start of the restriction until its end.
func (sim *Simulation) forbiddenWorkViolations() []Violation {
	sim.mu.Lock()
	restrictions := append([]Restriction(nil), sim.restrictions...)
	sim.mu.Unlock()
	var out []Violation
	for _, restriction := range restrictions {
		from := restriction.At.Add(MaxConfigDelay)
		inForce := func(t time.Time) bool {
			return t.After(from) && (restriction.Until.IsZero() || t.Before(restriction.Until))
		}
		for _, id := range restriction.Targets {
			for _, r := range sim.StandIns.Targets[id].Runs() {
				if inForce(r.Start) {
					out = append(out, Violation{restriction.Property, fmt.Sprintf("target %s received %s %s, %s after new work was forbidden", id, r.Kind, r.RequestID, r.Start.Sub(restriction.At))})
				}
			}
		}
		for _, c := range sim.Calls() {
			for _, vm := range restriction.EntryVMs {
				if c.Entry == vm && inForce(c.Start) && c.Status.Ran == codes.Did {
					out = append(out, Violation{restriction.Property, fmt.Sprintf("entry VM %s executed request %s, %s after new work was forbidden", vm, c.RequestID, c.Start.Sub(restriction.At))})
				}
			}
		}
	}
	return out
}
