package bench

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/internal/emul"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
)

// stopLimit is the longest time that a planned stop of an entry process may take. A stopping process waits until the
// addresses and tokens that it has issued expire, so stopLimit is longer than the sum of AddressTTL and TokenTTL, which the
// table of timings in docs/design.md section 2.9 states.
const stopLimit = 20 * time.Second

// Run is one run of an experiment with one variant. Fault.Inject and Experiment.Violations receive the Run.
type Run struct {
	Fleet        *emul.RunningFleet
	Network      *emul.Network // nil over loopback
	MeasureStart time.Time     // start of the measured time

	exp     Experiment
	variant Variant
	starter Starter

	mu            sync.Mutex
	processes     map[string]Process // running entry processes by VM id
	clocks        map[string]*emul.SuspendableClock
	eventCounts   map[string]int
	recordedTimes map[string]time.Time
	errs          []error
	faultsDone    sync.WaitGroup                  // counts the faults whose Inject has not returned
	listeners     map[netip.AddrPort]net.Listener // over loopback: opened by openListeners and not yet used by an entry process
}

// RunAll runs every experiment with every variant, one after the other, and returns one report for each. At the first error
// it returns the reports so far and the error.
func RunAll(ctx context.Context, exps []Experiment, opt Options) ([]Report, error) {
	var out []Report
	for _, e := range exps {
		for _, v := range opt.Variants {
			start := opt.Start[v.Starter]
			if start == nil {
				return out, fmt.Errorf("variant %s: no starter %q", v.Name, v.Starter)
			}
			if opt.Progress != nil {
				opt.Progress(e, v)
			}
			r, err := runOne(ctx, e, v, start, opt.Network)
			if err != nil {
				return out, fmt.Errorf("experiment %s, variant %s, seed %d: %w", e.Name, v.Name, e.Seed, err)
			}
			out = append(out, r)
		}
	}
	return out, nil
}

// runOne runs an experiment with one variant and returns the report.
func runOne(ctx context.Context, e Experiment, v Variant, start Starter, network NetworkKind) (Report, error) {
	run := &Run{
		exp: e, variant: v, starter: start, processes: map[string]Process{}, clocks: map[string]*emul.SuspendableClock{}, eventCounts: map[string]int{}, recordedTimes: map[string]time.Time{},
		listeners: map[netip.AddrPort]net.Listener{},
	}
	closeStandIns, err := run.startStandIns(network)
	if err != nil {
		return Report{}, err
	}
	defer closeStandIns()
	if e.Prepare != nil {
		e.Prepare(run)
	}
	for _, vm := range run.Fleet.Fleet.VMs {
		if err := run.startVM(ctx, vm); err != nil {
			return Report{}, err
		}
	}
	loadGenerator, closeCallers := run.newGenerator(ctx)
	defer closeCallers()
	time.Sleep(e.SettleTime)
	run.MeasureStart = time.Now().Add(e.WarmUpTime)
	cancelFaults := run.scheduleFaults()
	loadGenerator.run(ctx)
	cancelFaults()
	if ctx.Err() != nil {
		return Report{}, ctx.Err()
	}
	r := run.report(loadGenerator.samples, network)
	run.mu.Lock()
	defer run.mu.Unlock()
	return r, errors.Join(run.errs...)
}

// startStandIns starts the stand-in targets and the stand-in platform, and publishes the entry VMs, the services and the
// rules. The returned function kills the entry processes that are running and stops the stand-ins and the network.
func (run *Run) startStandIns(network NetworkKind) (func(), error) {
	fleet := run.exp.Fleet.Build()
	listen := emul.ListenFunc(emul.Loopback)
	closeNetwork := run.closeListeners
	if network == InMemory {
		run.Network, closeNetwork = emul.NewNetwork()
		listen = run.Network.Listen
	} else if err := run.openListeners(fleet); err != nil {
		return nil, err
	}
	runningFleet, stopFleet, err := fleet.Start(listen, func(t *emul.Target) {
		t.Mode = emul.ModeCollapse
		t.RestartTime = 200 * time.Millisecond
		t.Seed += run.exp.Seed << 32
	})
	if err != nil {
		closeNetwork()
		return nil, err
	}
	run.Fleet = runningFleet
	if run.Network != nil {
		run.Network.Latency = linkLatency(fleet)
	}
	closeAll := func() {
		run.killAll()
		stopFleet()
		closeNetwork()
	}
	if err := fleet.Publish(runningFleet.Platform, run.exp.Rules); err != nil {
		closeAll()
		return nil, err
	}
	return closeAll, nil
}

// openListeners opens a loopback listener for both addresses of each entry VM and stores the chosen ports in the fleet, so
// that the published list of VMs contains them.
func (run *Run) openListeners(fleet *emul.Fleet) error {
	for i := range fleet.VMs {
		for _, addr := range []*netip.AddrPort{&fleet.VMs[i].Addr, &fleet.VMs[i].PeerAddr} {
			l, err := emul.Loopback(*addr)
			if err != nil {
				run.closeListeners()
				return fmt.Errorf("listen for VM %s: %w", fleet.VMs[i].ID, err)
			}
			tcp, ok := l.Addr().(*net.TCPAddr)
			if !ok {
				return fmt.Errorf("listen for VM %s: %v is not a TCP address", fleet.VMs[i].ID, l.Addr())
			}
			*addr = netip.AddrPortFrom(tcp.AddrPort().Addr().Unmap(), tcp.AddrPort().Port())
			run.listeners[*addr] = l
		}
	}
	return nil
}

// closeListeners closes the listeners of openListeners that no entry process has used.
func (run *Run) closeListeners() {
	for _, l := range run.listeners {
		_ = l.Close()
	}
}

// listen returns the listener that openListeners opened for addr. If that was returned before, as for a process that is
// started again, listen opens a new one.
func (run *Run) listen(addr netip.AddrPort) (net.Listener, error) {
	if run.Network != nil {
		return run.Network.Listen(addr)
	}
	run.mu.Lock()
	l := run.listeners[addr]
	delete(run.listeners, addr)
	run.mu.Unlock()
	if l != nil {
		return l, nil
	}
	return net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addr))
}

// linkLatency returns the function for emul.Network.Latency, which returns the one-way delay of a link of the fleet. The
// platform counts as a data centre of its own.
func linkLatency(fleet *emul.Fleet) func(from string, to netip.AddrPort) time.Duration {
	dcOfAddr := map[netip.AddrPort]string{}
	dcOfVM := map[string]string{}
	for _, vm := range fleet.VMs {
		dcOfAddr[vm.Addr], dcOfAddr[vm.PeerAddr], dcOfVM[vm.ID] = vm.DataCentre, vm.DataCentre, vm.DataCentre
	}
	for _, svc := range fleet.Services {
		for _, t := range svc.Targets {
			dcOfAddr[t.Addr] = t.DataCentre
		}
	}
	return func(from string, to netip.AddrPort) time.Duration {
		fromDC, isVM := dcOfVM[from]
		switch {
		case !isVM:
			return DelayToCallers
		case fromDC == dcOfAddr[to]:
			return DelayWithinDataCentre
		default:
			return DelayBetweenDataCentres
		}
	}
}

// dialer returns the dial function of the entry VM or the caller (see callerName) with this name in the in-memory network.
// Over loopback all have the same dial function.
func (run *Run) dialer(name string) DialFunc {
	if run.Network != nil {
		return run.Network.Dialer(name)
	}
	return (&net.Dialer{Timeout: time.Second}).DialContext
}

// startVM starts the entry process of a VM.
func (run *Run) startVM(ctx context.Context, vm plat.VM) error {
	clock := &emul.SuspendableClock{}
	run.mu.Lock()
	run.clocks[vm.ID] = clock
	run.mu.Unlock()
	p, err := run.starter(ctx, EntryConfig{
		VM: vm, Platform: run.Fleet.Fleet.Platform, Listen: run.listen, Dial: run.dialer(vm.ID),
		Policy: run.variant.Policy, Seed: run.exp.Seed, Now: clock.Now, CountEvent: run.countEvent,
	})
	if err != nil {
		return fmt.Errorf("start entry process on VM %s: %w", vm.ID, err)
	}
	run.mu.Lock()
	defer run.mu.Unlock()
	run.processes[vm.ID] = p
	return nil
}

// newGenerator returns a load generator with one caller in each data centre, and a function that stops the callers.
func (run *Run) newGenerator(ctx context.Context) (*generator, func()) {
	fleet := run.Fleet.Fleet
	var entryAddrs []netip.AddrPort
	dcs := map[string]bool{}
	for _, vm := range fleet.VMs {
		entryAddrs = append(entryAddrs, vm.Addr)
		dcs[vm.DataCentre] = true
	}
	loadGenerator := &generator{exp: run.exp, services: slices.Clone(fleet.Services)}
	var stops []func()
	for i, dc := range slices.Sorted(maps.Keys(dcs)) {
		c, stop := newCaller(ctx, entryAddrs, run.dialer(callerName(dc)), run.exp.Seed+uint64(i))
		loadGenerator.callers = append(loadGenerator.callers, c)
		stops = append(stops, stop)
	}
	return loadGenerator, func() {
		for _, stop := range stops {
			stop()
		}
	}
}

// scheduleFaults starts a timer for each fault. The returned function stops the timers and waits for faults in progress.
func (run *Run) scheduleFaults() func() {
	var timers []*time.Timer
	for _, f := range run.exp.Faults {
		run.faultsDone.Add(1)
		timers = append(timers, time.AfterFunc(run.exp.WarmUpTime+f.At, func() {
			defer run.faultsDone.Done()
			run.RecordTime(f.Name)
			f.Inject(run)
		}))
	}
	return func() {
		for _, t := range timers {
			if t.Stop() {
				run.faultsDone.Done()
			}
		}
		run.faultsDone.Wait()
	}
}

// RecordTime records the current time under a name, for use in Experiment.Violations.
func (run *Run) RecordTime(name string) {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.recordedTimes[name] = time.Now()
}

// RecordedTime returns the time that RecordTime recorded under the name, and false if there is none. The start of each fault
// is recorded under the name of the fault.
func (run *Run) RecordedTime(name string) (time.Time, bool) {
	run.mu.Lock()
	defer run.mu.Unlock()
	at, ok := run.recordedTimes[name]
	return at, ok
}

// addError records an error that makes the run fail.
func (run *Run) addError(err error) {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.errs = append(run.errs, err)
}

// removeProcess removes the entry process of a VM from the running processes and returns it, or nil if none is running.
func (run *Run) removeProcess(id string) Process {
	run.mu.Lock()
	defer run.mu.Unlock()
	p := run.processes[id]
	delete(run.processes, id)
	return p
}

// Kill ends an entry process without a planned stop. Over the in-memory network it first resets the connections of the
// process and refuses new ones, so that nothing that the process sends while it ends arrives. The VM stays in the published
// list.
func (run *Run) Kill(id string) {
	p := run.removeProcess(id)
	if p == nil {
		return
	}
	run.forEachLink(id, (*emul.Link).ResetAndRefuse)
	p.Kill()
	run.forEachLink(id, (*emul.Link).Restore)
}

// Stop performs a planned stop of an entry process and returns when the process has ended. If that fails or takes longer than
// stopLimit, the run fails.
func (run *Run) Stop(id string) {
	p := run.removeProcess(id)
	if p == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopLimit)
	defer cancel()
	if err := p.Stop(ctx); err != nil {
		run.addError(fmt.Errorf("stop entry process on VM %s: %w", id, err))
	}
	run.RecordTime("stopped " + id)
}

// Start starts a new entry process on a VM whose process was stopped or killed. If that fails, the run fails.
func (run *Run) Start(id string) {
	for _, vm := range run.Fleet.Fleet.VMs {
		if vm.ID != id {
			continue
		}
		if err := run.startVM(context.Background(), vm); err != nil {
			run.addError(err)
		}
	}
}

// killAll kills all entry processes that are running.
func (run *Run) killAll() {
	run.mu.Lock()
	all := run.processes
	run.processes = map[string]Process{}
	run.mu.Unlock()
	for _, p := range all {
		p.Kill()
	}
}

// PublishRules publishes the rules of the experiment, followed by the given lines. If that fails, the run fails.
func (run *Run) PublishRules(lines ...string) {
	text := run.exp.Rules + strings.Join(lines, "\n") + "\n"
	if _, err := run.Fleet.Platform.Publish(plat.KeyRules, []byte(text)); err != nil {
		run.addError(err)
	}
}

// TargetsIn returns the targets of a data centre.
func (run *Run) TargetsIn(dc string) []*emul.Target {
	var out []*emul.Target
	for _, svc := range run.Fleet.Fleet.Services {
		for _, t := range svc.Targets {
			if t.DataCentre == dc {
				out = append(out, run.Fleet.Targets[t.ID])
			}
		}
	}
	return out
}

// CountStarted returns the number of sub-requests and orders that the targets started within [from, to).
func CountStarted(targets []*emul.Target, from, to time.Time) int {
	n := 0
	for _, t := range targets {
		for _, work := range t.Runs() {
			if !work.Start.Before(from) && work.Start.Before(to) {
				n++
			}
		}
	}
	return n
}
