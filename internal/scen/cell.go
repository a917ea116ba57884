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

// MatrixCell is one experiment of the fault matrix: it injects one or two faults when a request or a configuration change
// reaches a given step.
type MatrixCell struct {
	Faults []Fault
	Step   trace.Step
	Order  bool // the traced request is an order, not a query
	Seed   uint64
	Config Config
}

// Durations of the phases of a cell.
const (
	settleTime   = 7 * time.Second  // limit of WaitServing; also the wait after it, until shares have grown and targets are warm
	faultTime    = 10 * time.Second // from the injection of the faults to the call of Heal
	recoveryTime = 15 * time.Second // from the call of Heal to the end of the traffic and the last checks
	// triggerPause is how long the traced step blocks, so that the faults are injected before the step continues.
	triggerPause = 50 * time.Microsecond
)

// String returns the name of the cell: its faults, the kind of the traced request and the step.
func (c MatrixCell) String() string {
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
	// Reached is true if the request or configuration change reached the step before the faults were injected, and for all
	// cells of the step trace.Published.
	Reached    bool
	Violations []Violation
	Calls      int // number of calls that have ended
}

// trigger closes fired when the traced request or a configuration change first reaches the step after armed was set.
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
	fire := t.armed && step == t.step && (id == "" || id == tracedRequestID || isConfigurationStep(step))
	if fire {
		t.armed = false
		close(t.fired)
	}
	t.mu.Unlock()
	if fire {
		// Run injects the faults on another goroutine while this step is blocked.
		time.Sleep(triggerPause)
	}
}

// isConfigurationStep reports whether the step belongs to a configuration change.
func isConfigurationStep(s trace.Step) bool { return slices.Contains(trace.ConfigurationSteps, s) }

// tracedRequestID is the request id of the traced request.
const tracedRequestID = "traced"

// Run starts a fleet with traffic, injects the faults at the step, ends them with Heal, and checks the invariants. It must be
// called inside a synctest bubble.
func (c MatrixCell) Run() (Verdict, error) {
	stepTrigger := &trigger{step: c.Step, fired: make(chan struct{})}
	cfg := c.Config
	setupRelay := cfg.SetupRelay
	cfg.Seed = c.Seed
	cfg.SetupRelay = func(r *relay.Relay) {
		r.Trace = stepTrigger.onStep
		if setupRelay != nil {
			setupRelay(r)
		}
	}
	sim, closeSimulation, err := New(cfg)
	if err != nil {
		return Verdict{}, err
	}
	defer closeSimulation()
	if err := sim.StartAll(); err != nil {
		return Verdict{}, err
	}
	if err := sim.WaitServing(settleTime); err != nil {
		return Verdict{}, err
	}
	time.Sleep(settleTime)
	service := sim.Fleet.Services[0].Name
	traffic := &Traffic{Simulation: sim, Service: service, Callers: 6, MeanPause: 150 * time.Millisecond, Orders: true, Seed: c.Seed}
	stopTraffic := traffic.Start()
	time.Sleep(3 * time.Second)
	site := sim.faultSite(rand.New(rand.NewPCG(c.Seed, 99)))

	stepTrigger.mu.Lock()
	stepTrigger.armed = true
	stepTrigger.mu.Unlock()
	tracedDone := make(chan struct{})
	sim.wg.Go(func() {
		defer close(tracedDone)
		sim.runTraced(c, site)
	})
	verdict := Verdict{Reached: true}
	select {
	case <-stepTrigger.fired:
	case <-time.After(5 * time.Second):
		// No relay reports the step Published. Cells of this step inject the faults after this timeout and count as reached.
		verdict.Reached = c.Step == trace.Published
	}
	for _, f := range c.Faults {
		f.Inject(sim, site)
	}
	time.Sleep(faultTime)
	// Heal runs in the order of c.Faults. The list Faults has the suspensions before the planned stops, because a
	// suspended process must be resumed before the wait for the end of its planned stop.
	for _, f := range c.Faults {
		if f.Heal != nil {
			f.Heal(sim, site)
		}
	}
	time.Sleep(recoveryTime)
	stopTraffic()
	<-tracedDone
	verdict.Violations = append(sim.Violations(), sim.recoveryViolations(service)...)
	verdict.Violations = append(verdict.Violations, sim.lostAnswerViolations(c)...)
	verdict.Calls = len(sim.Calls())
	return verdict, nil
}

// runTraced sends the traced request, or publishes changed rules if the step of the cell belongs to a configuration change.
func (sim *Simulation) runTraced(c MatrixCell, site FaultSite) {
	service := sim.Fleet.Services[0].Name
	switch {
	case isConfigurationStep(c.Step):
		sim.PublishRules(sim.Config.Rules + "limit tenant nobody in_flight=1   # Ann: probe\n")
	case c.Order:
		if tok, err := sim.Token(site.Entry); err == nil {
			sim.orderWithID(tracedRequestID, site.Entry, tok.Token, "order", service, "key")
		}
	default:
		_, _ = sim.Addresses(site.Entry) // reaches the step trace.AddressRequested
		sim.queryWithID(tracedRequestID, site.Entry, "inspector", service, "traced")
	}
}

// faultSite returns the site of the faults: a random entry process, another entry process, and a target with its primary
// dispatcher. It prefers a target whose primary dispatcher is not the random entry process.
func (sim *Simulation) faultSite(rnd *rand.Rand) FaultSite {
	entry := sim.Fleet.VMs[rnd.IntN(len(sim.Fleet.VMs))].ID
	snap := sim.EntryProcess(entry).Relay.Snapshot()
	site := FaultSite{Entry: entry}
	for _, vm := range sim.Fleet.VMs {
		if vm.ID != entry {
			site.OtherEntry = vm.ID
		}
	}
	for _, id := range sim.StandIns.IDs() {
		t := snap.Targets[id]
		if len(t.Dispatchers) > 0 && (site.Target == "" || (site.Dispatcher == entry && t.Dispatchers[0] != entry)) {
			site.Target, site.Dispatcher = id, t.Dispatchers[0]
		}
	}
	return site
}

// recoveryViolations sends a query to each entry process after the faults, and returns a violation for each process that
// doesn't give a complete answer.
func (sim *Simulation) recoveryViolations(service string) []Violation {
	var out []Violation
	for _, vm := range sim.Fleet.VMs {
		c := sim.Query(vm.ID, "inspector", service, "after")
		if c.Err != nil || c.Status.Code != codes.Complete {
			out = append(out, Violation{"recovery", fmt.Sprintf("entry process %s answers %d %s (%v) after the faults; covered %d of %d documents",
				vm.ID, c.Status.Code, c.Status.Name, c.Err, c.Answer.DocumentsCovered, c.Answer.DocumentsTotal)})
		}
	}
	return out
}

// lostAnswerViolations returns a violation for each call without an answer. It returns none if a fault of the cell may break
// connections of callers.
func (sim *Simulation) lostAnswerViolations(c MatrixCell) []Violation {
	for _, f := range c.Faults {
		if f.BreaksCallerConns {
			return nil
		}
	}
	var out []Violation
	for _, call := range sim.Calls() {
		if call.Err != nil {
			out = append(out, Violation{"P9", fmt.Sprintf("request %s to entry process %s got no answer: %v", call.RequestID, call.Entry, call.Err)})
		}
	}
	return out
}
