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
	// MaxControlDelay is the time within which a published change must be in force everywhere.
	MaxControlDelay = 3 * time.Second
	// unnoticedOverloads is the number of overloads that are permitted after a target became cold without notice: each of its
	// two dispatchers may have sent one piece of work before the first reply of the new incarnation.
	unnoticedOverloads = 2
)

// Violation is one violated invariant.
type Violation struct {
	Property string // P1 to P10, the numbers of the invariants in docs/design.md, or "recovery"
	Text     string
}

// String returns the violation on one line.
func (v Violation) String() string { return v.Property + ": " + v.Text }

// Restriction is an action of the scenario, on a target or a data centre, that forbids new work there.
type Restriction struct {
	At       time.Time
	Until    time.Time // zero while the restriction is in force
	Property string    // P4 or P8
	Targets  []string
	Entries  []string // ids of VMs whose entry processes may execute no new requests
	// Published is true if processes learn of the restriction only from the platform, not from the target.
	Published bool
}

// Forbid records that the targets must receive no new work, and the entry processes on the VMs must execute no requests,
// once MaxControlDelay has passed from now.
func (w *Simulation) Forbid(property string, targets, entries []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.changes = append(w.changes, Restriction{At: time.Now(), Property: property, Targets: targets, Entries: entries})
}

// forbidPublished is Forbid for a restriction that was published just now. While the platform doesn't serve new revisions, no
// process can learn of it; MaxControlDelay then counts from the time when the platform serves new revisions again.
func (w *Simulation) forbidPublished(property string, targets, entries []string) {
	w.mu.Lock()
	if w.platformUnreadable {
		w.unreadChanges = append(w.unreadChanges, Restriction{Property: property, Targets: targets, Entries: entries})
	}
	unreadable := w.platformUnreadable
	w.mu.Unlock()
	if !unreadable {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.changes = append(w.changes, Restriction{At: time.Now(), Property: property, Targets: targets, Entries: entries, Published: true})
	}
}

// setPlatformReadable calls change, which makes the platform serve new revisions or stop serving them, and records the new
// state. When the platform serves new revisions again, the changes that were published meanwhile are recorded with Forbid.
func (w *Simulation) setPlatformReadable(readable bool, change func()) {
	change()
	w.mu.Lock()
	w.platformUnreadable = !readable
	var due []Restriction
	if readable {
		due, w.unreadChanges = w.unreadChanges, nil
	} else {
		w.postponeNewChanges()
	}
	w.mu.Unlock()
	for _, c := range due {
		w.Forbid(c.Property, c.Targets, c.Entries)
	}
}

// postponeNewChanges moves the changes that were published at the present instant to unreadChanges: the platform stopped
// serving new revisions before any process could read the changes. The caller holds mu.
func (w *Simulation) postponeNewChanges() {
	now := time.Now()
	kept := w.changes[:0]
	for _, c := range w.changes {
		if c.Published && c.At.Equal(now) {
			w.unreadChanges = append(w.unreadChanges, c)
		} else {
			kept = append(kept, c)
		}
	}
	w.changes = kept
}

// Permit ends all recorded changes that list exactly these targets, including the changes that no process could read yet.
func (w *Simulation) Permit(targets []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	sameTargets := func(c Restriction) bool { return slices.Equal(c.Targets, targets) }
	w.unreadChanges = slices.DeleteFunc(w.unreadChanges, sameTargets)
	for i, c := range w.changes {
		if c.Until.IsZero() && sameTargets(c) {
			w.changes[i].Until = time.Now()
		}
	}
}

// Violations checks all calls that have ended and all work that targets have received so far, and returns the violations.
func (w *Simulation) Violations() []Violation {
	var out []Violation
	runs := w.runsByRequest()
	for _, c := range w.Calls() {
		if c.Order.Token == "" {
			out = append(out, w.queryViolations(c, runs)...)
		} else {
			out = append(out, orderViolations(c, runs)...)
		}
	}
	out = append(out, w.repeatedRunViolations()...)
	out = append(out, w.overloadViolations()...)
	return append(out, w.forbiddenWorkViolations()...)
}

// runsByRequest returns the work that all targets have started, by request id.
func (w *Simulation) runsByRequest() map[string][]emul.Run {
	out := map[string][]emul.Run{}
	for _, id := range w.StandIns.IDs() {
		for _, r := range w.StandIns.Targets[id].Runs() {
			out[r.RequestID] = append(out[r.RequestID], r)
		}
	}
	return out
}

// hitOrigin is what the id of a hit of a stand-in target tells about the part that contains the hit.
type hitOrigin struct {
	generation, version uint64
	shard               uint32
	documents           uint64
}

// parseHitID decodes the id of the hit.
func parseHitID(h wire.Hit) (hitOrigin, error) {
	var s hitOrigin
	_, err := fmt.Sscanf(h.ID, "g%d-v%d-s%d-d%d", &s.generation, &s.version, &s.shard, &s.documents)
	if err != nil {
		return s, fmt.Errorf("parse id of hit %q: %w", h.ID, err)
	}
	return s, nil
}

// queryViolations checks one query. Invariants: an answer has hits of one snapshot only (P1), its coverage is exact (P2), it
// answers the request that was made (P5), and "not run" is reported only if no target ran the query (P6).
func (w *Simulation) queryViolations(c *Call, runs map[string][]emul.Run) []Violation {
	var out []Violation
	fail := func(property, format string, args ...any) {
		out = append(out, Violation{property, c.RequestID + " at " + c.Entry + ": " + fmt.Sprintf(format, args...)})
	}
	if c.Err != nil {
		return nil // no answer; lostAnswerViolations checks whether the faults of the cell permit that
	}
	if c.Status.RequestID != "" && c.Status.RequestID != c.RequestID {
		fail("P5", "received the answer to request %s", c.Status.RequestID)
	}
	if c.Status.Ran == codes.NotRun && len(runs[c.RequestID]) > 0 {
		fail("P6", "status is not_run (%s) but %d sub-requests ran", c.Status.Name, len(runs[c.RequestID]))
	}
	var covered uint64
	seen := map[uint32]bool{}
	for _, h := range c.Answer.Hits {
		s, err := parseHitID(h)
		switch {
		case err != nil:
			fail("P5", "%v", err)
			continue
		case h.Body != c.Query.Text:
			fail("P5", "hit belongs to query %q, the request was %q", h.Body, c.Query.Text)
		case s.generation != c.Answer.PartitionGeneration || s.version != c.Answer.IndexVersion:
			fail("P1", "hit of g%d-v%d in an answer of g%d-v%d", s.generation, s.version, c.Answer.PartitionGeneration, c.Answer.IndexVersion)
		case seen[s.shard]:
			fail("P2", "shard %d occurs twice in the answer", s.shard)
		}
		seen[s.shard] = true
		covered += s.documents
	}
	if covered != c.Answer.DocumentsCovered {
		fail("P2", "answer states %d documents covered, its hits cover %d", c.Answer.DocumentsCovered, covered)
	}
	if total, ok := w.totalDocuments(c); ok && c.Answer.DocumentsTotal != total && c.Status.Code.OK() {
		fail("P2", "answer states %d documents in total, the partition has %d", c.Answer.DocumentsTotal, total)
	}
	if c.Answer.Complete && (covered != c.Answer.DocumentsTotal || covered == 0) {
		fail("P2", "answer is marked complete with %d of %d documents", covered, c.Answer.DocumentsTotal)
	}
	return out
}

// totalDocuments returns the number of documents in the partition from which the call was answered, and false if no such
// partition was published.
func (w *Simulation) totalDocuments(c *Call) (uint64, bool) {
	svc := w.Fleet.Service(c.Query.Service)
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

// orderViolations checks one order: "not run" is reported only if no target ran the order (P6), and "executed" only if a
// target ran it (P5).
func orderViolations(c *Call, runs map[string][]emul.Run) []Violation {
	if c.Err != nil {
		return nil
	}
	ran := len(runs[c.RequestID])
	// A repeated order has a new request id but the same token, so runs with the same token count too.
	for id, rs := range runs {
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
func (w *Simulation) repeatedRunViolations() []Violation {
	var out []Violation
	total := map[string]int{}
	for _, id := range w.StandIns.IDs() {
		for token, n := range w.StandIns.Targets[id].OrdersByToken() {
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

// overloadViolations returns a violation of P3 for each piece of work or connection beyond the concurrency limit of a
// target. It permits the first unnoticedOverloads of an incarnation after the target became cold without notice.
func (w *Simulation) overloadViolations() []Violation {
	var out []Violation
	for _, id := range w.StandIns.IDs() {
		t := w.StandIns.Targets[id]
		runs := t.Runs()
		perIncarnation := map[uint64]int{}
		for _, o := range t.Overloads() {
			if o.Kind != emul.KindConn && o.State == target.Cold && o.Incarnation > 1 && !repliedBefore(runs, o) {
				perIncarnation[o.Incarnation]++
				if perIncarnation[o.Incarnation] <= unnoticedOverloads {
					continue
				}
			}
			out = append(out, Violation{"P3", fmt.Sprintf("target %s: %s %s exceeded the concurrency limit: %d of %d while %s; %s",
				id, o.Kind, o.RequestID, o.Concurrency, o.Bound, o.State, overloadContext(runs, o))})
		}
	}
	return out
}

// repliedBefore reports whether the new incarnation had sent a reply before the overload, so that a dispatcher could know of
// it.
func repliedBefore(runs []emul.Run, o emul.Overload) bool {
	for _, r := range runs {
		if r.Incarnation == o.Incarnation && r.Outcome == emul.OutcomeDone && r.End.Before(o.At) {
			return true
		}
	}
	return false
}

// overloadContext describes the circumstances of an overload: the runs in progress with their ages, and up to two replies of
// the same incarnation with the time that had passed since.
func overloadContext(runs []emul.Run, o emul.Overload) string {
	var out []string
	replies := 0
	for _, r := range runs {
		if r.Incarnation != o.Incarnation {
			continue
		}
		ended := r.Outcome == emul.OutcomeDone && r.End.Before(o.At)
		inProgress := !r.Start.After(o.At) && (r.End.IsZero() || !r.End.Before(o.At))
		if ended && replies < 2 {
			replies++
			out = append(out, fmt.Sprintf("%s answered on connection %d %s before", r.RequestID, r.Conn, o.At.Sub(r.End)))
		}
		if inProgress {
			out = append(out, fmt.Sprintf("%s running on connection %d since %s", r.RequestID, r.Conn, o.At.Sub(r.Start)))
		}
	}
	return fmt.Sprintf("on connection %d; %s", o.Conn, strings.Join(out, ", "))
}

// forbiddenWorkViolations returns a violation for each piece of work that started at a forbidden target, and for each
// request that a forbidden entry process executed, after MaxControlDelay and before Permit.
func (w *Simulation) forbiddenWorkViolations() []Violation {
	w.mu.Lock()
	changes := append([]Restriction(nil), w.changes...)
	w.mu.Unlock()
	var out []Violation
	for _, ch := range changes {
		from := ch.At.Add(MaxControlDelay)
		inForce := func(t time.Time) bool { return t.After(from) && (ch.Until.IsZero() || t.Before(ch.Until)) }
		for _, id := range ch.Targets {
			for _, r := range w.StandIns.Targets[id].Runs() {
				if inForce(r.Start) {
					out = append(out, Violation{ch.Property, fmt.Sprintf("target %s received %s %s, %s after new work was forbidden", id, r.Kind, r.RequestID, r.Start.Sub(ch.At))})
				}
			}
		}
		for _, c := range w.Calls() {
			for _, vm := range ch.Entries {
				if c.Entry == vm && inForce(c.Start) && c.Status.Ran == codes.Did {
					out = append(out, Violation{ch.Property, fmt.Sprintf("entry VM %s executed request %s, %s after new work was forbidden", vm, c.RequestID, c.Start.Sub(ch.At))})
				}
			}
		}
	}
	return out
}
