package scen

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/internal/relay"
	"github.com/fuchsiarelay/fuchsiarelay/internal/trace"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/codes"
)

// Cell is one experiment of the fault matrix: it injects one or two faults when a request or a configuration change reaches
// a given step.
type Cell struct {
	Faults []Fault
	Step   trace.Step
	Order  bool // the traced request is an order, not a query
	Seed   uint64
	Config Config
}

// Durations of the phases of a cell.
const (
	settleTime   = 7 * time.Second  // limit for the start, then the wait until capacity shares have grown and targets are warm
	faultTime    = 10 * time.Second // from the injection of the faults to the call of Heal
	recoveryTime = 15 * time.Second // from the call of Heal to the end of the traffic and the last checks
	// triggerPause blocks the traced step, so that the fault is injected before the step goes on.
	triggerPause = 50 * time.Microsecond
)

// String returns the name of the cell: its faults, the kind of the traced request and the step.
func (c Cell) String() string {
	name := ""
	for i, f := range c.Faults {
		if i > 0 {
			name += " + "
		}
		name += f.Name
	}
	kind := "query"
	if c.Order {
		kind = "order"
	}
	return fmt.Sprintf("%s, %s at %q", name, kind, c.Step)
}

// Verdict is the result of a cell.
type Verdict struct {
	// Reached is true if the request or configuration change reached the step before the faults were injected.
	Reached    bool
	Violations []Violation
	Calls      int // number of calls that have ended
}

// trigger closes fired when the traced request or a configuration change reaches the step for the first time after arming.
type trigger struct {
	mu    sync.Mutex
	step  trace.Step
	armed bool
	fired chan struct{}
}

// onStep is the trace function of the relays. It fires the trigger for the traced request, for a step that has no id, and
// for a step of a configuration change with any id.
func (t *trigger) onStep(step trace.Step, id string) {
	t.mu.Lock()
	hit := t.armed && step == t.step && (id == "" || id == tracedRequestID || isControlStep(step))
	if hit {
		t.armed = false
		close(t.fired)
	}
	t.mu.Unlock()
	if hit {
		// Run injects the faults on another goroutine while this step is blocked.
		time.Sleep(triggerPause)
	}
}

func isControlStep(s trace.Step) bool { return slices.Contains(trace.ControlSteps, s) }

// tracedRequestID is the request id of the traced request.
const tracedRequestID = "traced"

// Run starts a fleet with traffic, injects the faults at the step, calls Heal, and checks the invariants. It must be called
// inside a synctest bubble.
func (c Cell) Run() (Verdict, error) {
	tr := &trigger{step: c.Step, fired: make(chan struct{})}
	cfg := c.Config
	changeRelay := cfg.SetupRelay
	cfg.Seed = c.Seed
	cfg.SetupRelay = func(r *relay.Relay) {
		r.Trace = tr.onStep
		if changeRelay != nil {
			changeRelay(r)
		}
	}
	w, closeWorld, err := New(cfg)
	if err != nil {
		return Verdict{}, err
	}
	defer closeWorld()
	if err := w.StartAll(); err != nil {
		return Verdict{}, err
	}
	if err := w.WaitServing(settleTime); err != nil {
		return Verdict{}, err
	}
	time.Sleep(settleTime)
	service := w.Fleet.Services[0].Name
	traffic := &Traffic{World: w, Service: service, Callers: 6, MeanPause: 150 * time.Millisecond, Orders: true, Seed: c.Seed}
	stopTraffic := traffic.Start()
	time.Sleep(3 * time.Second)
	site := w.faultSite(rand.New(rand.NewPCG(c.Seed, 99)))

	tr.mu.Lock()
	tr.armed = true
	tr.mu.Unlock()
	ended := make(chan struct{})
	w.wg.Go(func() {
		defer close(ended)
		w.runTraced(c, site)
	})
	v := Verdict{Reached: true}
	select {
	case <-tr.fired:
	case <-time.After(5 * time.Second):
		// Nothing reports the step Published. Cells of this step inject the faults after this timeout and count as reached.
		v.Reached = c.Step == trace.Published
	}
	for _, f := range c.Faults {
		f.Inject(w, site)
	}
	time.Sleep(faultTime)
	// Heal runs in the order of Faults: a frozen process must be thawed before the wait for the end of its planned stop.
	for _, f := range c.Faults {
		if f.Heal != nil {
			f.Heal(w, site)
		}
	}
	time.Sleep(recoveryTime)
	stopTraffic()
	<-ended
	v.Violations = append(w.Violations(), w.recoveryViolations(service)...)
	v.Violations = append(v.Violations, w.lostAnswerViolations(c)...)
	v.Calls = len(w.Calls())
	return v, nil
}

// runTraced sends the traced request, or publishes changed rules if the step belongs to a configuration change.
func (w *Simulation) runTraced(c Cell, v FaultSite) {
	service := w.Fleet.Services[0].Name
	switch {
	case isControlStep(c.Step):
		w.PublishRules(w.Config.Rules + "limit tenant nobody in_flight=1   # Ann: probe\n")
	case c.Order:
		if tok, err := w.Token(v.Entry); err == nil {
			w.orderWithID(tracedRequestID, v.Entry, tok.Token, "order", service, "key")
		}
	default:
		_, _ = w.Addresses(v.Entry)
		w.queryWithID(tracedRequestID, v.Entry, "inspector", service, "traced")
	}
}

// faultSite returns a random entry process and a target. It prefers a target whose primary dispatcher is another process.
func (w *Simulation) faultSite(rnd *rand.Rand) FaultSite {
	entry := w.Fleet.VMs[rnd.IntN(len(w.Fleet.VMs))].ID
	snap := w.EntryProcess(entry).Relay.Snapshot()
	v := FaultSite{Entry: entry}
	for _, vm := range w.Fleet.VMs {
		if vm.ID != entry {
			v.OtherEntry = vm.ID
		}
	}
	for _, id := range w.StandIns.IDs() {
		t := snap.Targets[id]
		if len(t.Dispatchers) > 0 && (v.Target == "" || (v.Dispatcher == entry && t.Dispatchers[0] != entry)) {
			v.Target, v.Dispatcher = id, t.Dispatchers[0]
		}
	}
	return v
}

// recoveryViolations returns a violation for each entry process that doesn't answer a query completely after the faults.
func (w *Simulation) recoveryViolations(service string) []Violation {
	var out []Violation
	for _, vm := range w.Fleet.VMs {
		c := w.Query(vm.ID, "inspector", service, "after")
		if c.Err != nil || c.Status.Code != codes.Complete {
			out = append(out, Violation{"recovery", fmt.Sprintf("entry process %s answers %d %s (%v) after the faults; covered %d of %d documents",
				vm.ID, c.Status.Code, c.Status.Name, c.Err, c.Answer.DocumentsCovered, c.Answer.DocumentsTotal)})
		}
	}
	return out
}

// lostAnswerViolations returns a violation for each call without an answer. It returns none if a fault of the cell may cost
// callers their connections.
func (w *Simulation) lostAnswerViolations(c Cell) []Violation {
	for _, f := range c.Faults {
		if f.CutsCallers {
			return nil
		}
	}
	var out []Violation
	for _, call := range w.Calls() {
		if call.Err != nil {
			out = append(out, Violation{"P9", fmt.Sprintf("request %s to entry process %s got no answer: %v", call.RequestID, call.Entry, call.Err)})
		}
	}
	return out
}
