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

// stopLimit is the longest time that a graceful stop of an entry process may take. A stopping process waits until the
// addresses and tokens that it has issued expire, and stopLimit is longer than AddressTTL and TokenTTL (see the table of
// timings in docs/design.md section 2.9) together.
const stopLimit = 20 * time.Second

// Run is one run of an experiment with one variant. Fault.Inject and Experiment.Violations receive the Run.
type Run struct {
	Fleet        *emul.RunningFleet
	Network      *emul.Network // nil over loopback
	MeasureStart time.Time     // start of the measured time

	exp     Experiment
	variant Variant
	starter Starter

	mu         sync.Mutex
	processes  map[string]Process
	gates      map[string]*emul.SuspendableClock
	counts     map[string]int
	marks      map[string]time.Time
	errs       []error
	faultsDone sync.WaitGroup
	listeners  map[netip.AddrPort]net.Listener // over loopback: opened before the fleet is published, not yet handed out
}

// RunAll runs every experiment with every variant and returns one report for each.
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

// runOne runs an experiment with one variant.
func runOne(ctx context.Context, e Experiment, v Variant, start Starter, over NetworkKind) (Report, error) {
	w := &Run{
		exp: e, variant: v, starter: start, processes: map[string]Process{}, gates: map[string]*emul.SuspendableClock{}, counts: map[string]int{}, marks: map[string]time.Time{},
		listeners: map[netip.AddrPort]net.Listener{},
	}
	closeWorld, err := w.startStandIns(over)
	if err != nil {
		return Report{}, err
	}
	defer closeWorld()
	if e.Prepare != nil {
		e.Prepare(w)
	}
	for _, vm := range w.Fleet.Fleet.VMs {
		if err := w.startVM(ctx, vm); err != nil {
			return Report{}, err
		}
	}
	g, closeCallers := w.newGenerator(ctx)
	defer closeCallers()
	time.Sleep(e.SettleTime)
	w.MeasureStart = time.Now().Add(e.WarmUpTime)
	cancelFaults := w.scheduleFaults()
	g.run(ctx)
	cancelFaults()
	if ctx.Err() != nil {
		return Report{}, ctx.Err()
	}
	r := w.report(g.samples, over)
	w.mu.Lock()
	defer w.mu.Unlock()
	return r, errors.Join(w.errs...)
}

// startStandIns starts the stand-in targets and the stand-in platform, and publishes the documents of the fleet.
func (w *Run) startStandIns(over NetworkKind) (func(), error) {
	f := w.exp.Fleet.Build()
	listen := emul.ListenFunc(emul.Loopback)
	closeNetwork := w.closeListeners
	if over == InMemory {
		w.Network, closeNetwork = emul.NewNetwork()
		listen = w.Network.Listen
	} else if err := w.openListeners(f); err != nil {
		return nil, err
	}
	rf, stopFleet, err := f.Start(listen, func(t *emul.Target) {
		t.Mode = emul.ModeCollapse
		t.RestartTime = 200 * time.Millisecond
		t.Seed += w.exp.Seed << 32
	})
	if err != nil {
		closeNetwork()
		return nil, err
	}
	w.Fleet = rf
	if w.Network != nil {
		w.Network.Latency = linkLatency(f)
	}
	closeAll := func() {
		w.killAll()
		stopFleet()
		closeNetwork()
	}
	if err := f.Publish(rf.Platform, w.exp.Rules); err != nil {
		closeAll()
		return nil, err
	}
	return closeAll, nil
}

// openListeners opens a loopback listener for both addresses of each entry VM and stores the chosen ports in f, so that the
// published list of VMs contains them.
func (w *Run) openListeners(f *emul.Fleet) error {
	for i := range f.VMs {
		for _, addr := range []*netip.AddrPort{&f.VMs[i].Addr, &f.VMs[i].PeerAddr} {
			l, err := emul.Loopback(*addr)
			if err != nil {
				w.closeListeners()
				return fmt.Errorf("listen for VM %s: %w", f.VMs[i].ID, err)
			}
			tcp, ok := l.Addr().(*net.TCPAddr)
			if !ok {
				return fmt.Errorf("listen for VM %s: address %v", f.VMs[i].ID, l.Addr())
			}
			*addr = netip.AddrPortFrom(tcp.AddrPort().Addr().Unmap(), tcp.AddrPort().Port())
			w.listeners[*addr] = l
		}
	}
	return nil
}

// closeListeners closes the listeners that weren't handed out.
func (w *Run) closeListeners() {
	for _, l := range w.listeners {
		_ = l.Close()
	}
}

// listen returns the listener that openListeners opened for addr, or a new one if the first was handed out before.
func (w *Run) listen(addr netip.AddrPort) (net.Listener, error) {
	if w.Network != nil {
		return w.Network.Listen(addr)
	}
	w.mu.Lock()
	l := w.listeners[addr]
	delete(w.listeners, addr)
	w.mu.Unlock()
	if l != nil {
		return l, nil
	}
	return net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addr))
}

// linkLatency returns a function that returns the one-way delay of a link of the fleet.
func linkLatency(f *emul.Fleet) func(from string, to netip.AddrPort) time.Duration {
	dcs := map[netip.AddrPort]string{}
	names := map[string]string{}
	for _, vm := range f.VMs {
		dcs[vm.Addr], dcs[vm.PeerAddr], names[vm.ID] = vm.DataCentre, vm.DataCentre, vm.DataCentre
	}
	for _, svc := range f.Services {
		for _, t := range svc.Targets {
			dcs[t.Addr] = t.DataCentre
		}
	}
	return func(from string, to netip.AddrPort) time.Duration {
		here, inside := names[from]
		switch {
		case !inside:
			return DelayClient
		case here == dcs[to]:
			return DelayWithin
		default:
			return DelayBetween
		}
	}
}

// dialer returns the dial function of a VM or of the callers of a data centre.
func (w *Run) dialer(name string) DialFunc {
	if w.Network != nil {
		return w.Network.Dialer(name)
	}
	return (&net.Dialer{Timeout: time.Second}).DialContext
}

// startVM starts the entry process of a VM.
func (w *Run) startVM(ctx context.Context, vm plat.VM) error {
	g := &emul.SuspendableClock{}
	w.mu.Lock()
	w.gates[vm.ID] = g
	w.mu.Unlock()
	p, err := w.starter(ctx, EntryConfig{
		VM: vm, Platform: w.Fleet.Fleet.Platform, Listen: w.listen, Dial: w.dialer(vm.ID),
		Policy: w.variant.Policy, Seed: w.exp.Seed, Now: g.Now, CountEvent: w.addTraceCount,
	})
	if err != nil {
		return fmt.Errorf("start %s: %w", vm.ID, err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.processes[vm.ID] = p
	return nil
}

// newGenerator returns a load generator with one caller in each data centre, and a function that stops the callers.
func (w *Run) newGenerator(ctx context.Context) (*generator, func()) {
	f := w.Fleet.Fleet
	var boot []netip.AddrPort
	dcs := map[string]bool{}
	for _, vm := range f.VMs {
		boot = append(boot, vm.Addr)
		dcs[vm.DataCentre] = true
	}
	g := &generator{exp: w.exp, services: slices.Clone(f.Services)}
	var stops []func()
	for i, dc := range slices.Sorted(maps.Keys(dcs)) {
		c, stop := newCaller(ctx, boot, w.dialer(callersName(dc)), w.exp.Seed+uint64(i))
		g.callers = append(g.callers, c)
		stops = append(stops, stop)
	}
	return g, func() {
		for _, stop := range stops {
			stop()
		}
	}
}

// scheduleFaults starts a timer for each fault. The returned function stops the timers and waits for faults in progress.
func (w *Run) scheduleFaults() func() {
	var timers []*time.Timer
	for _, f := range w.exp.Faults {
		w.faultsDone.Add(1)
		timers = append(timers, time.AfterFunc(w.exp.WarmUpTime+f.At, func() {
			defer w.faultsDone.Done()
			w.RecordTime(f.Name)
			f.Inject(w)
		}))
	}
	return func() {
		for _, t := range timers {
			if t.Stop() {
				w.faultsDone.Done()
			}
		}
		w.faultsDone.Wait()
	}
}

// RecordTime records the current time under a name, for use in Experiment.Violations.
func (w *Run) RecordTime(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.marks[name] = time.Now()
}

// RecordedTime returns the time that RecordTime recorded under the name. Each fault is recorded under its own name when it
// starts.
func (w *Run) RecordedTime(name string) (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at, ok := w.marks[name]
	return at, ok
}

// addError records an error that makes the run fail.
func (w *Run) addError(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.errs = append(w.errs, err)
}

// removeProcess removes and returns the entry process of a VM; nil if none is running.
func (w *Run) removeProcess(id string) Process {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.processes[id]
	delete(w.processes, id)
	return p
}

// Kill ends an entry process without a graceful stop: over the in-memory network its connections are reset in both
// directions first, so that nothing that the process sends while it ends arrives. The VM stays in the published list.
func (w *Run) Kill(id string) {
	p := w.removeProcess(id)
	if p == nil {
		return
	}
	w.eachLinkOf(id, (*emul.Link).ResetAndRefuse)
	p.Kill()
	w.eachLinkOf(id, (*emul.Link).Restore)
}

// Stop stops an entry process gracefully and returns when the process has ended. If stopLimit is exceeded, the run fails.
func (w *Run) Stop(id string) {
	p := w.removeProcess(id)
	if p == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopLimit)
	defer cancel()
	if err := p.Stop(ctx); err != nil {
		w.addError(fmt.Errorf("stop %s: %w", id, err))
	}
	w.RecordTime("stopped " + id)
}

// Start starts the entry process of a VM again.
func (w *Run) Start(id string) {
	for _, vm := range w.Fleet.Fleet.VMs {
		if vm.ID != id {
			continue
		}
		if err := w.startVM(context.Background(), vm); err != nil {
			w.addError(err)
		}
	}
}

// killAll kills all entry processes that are running.
func (w *Run) killAll() {
	w.mu.Lock()
	all := w.processes
	w.processes = map[string]Process{}
	w.mu.Unlock()
	for _, p := range all {
		p.Kill()
	}
}

// PublishRules publishes the rules of the experiment, followed by the given lines.
func (w *Run) PublishRules(lines ...string) {
	text := w.exp.Rules + strings.Join(lines, "\n") + "\n"
	if _, err := w.Fleet.Platform.Publish(plat.KeyRules, []byte(text)); err != nil {
		w.addError(err)
	}
}

// TargetsIn returns the targets of a data centre.
func (w *Run) TargetsIn(dc string) []*emul.Target {
	var out []*emul.Target
	for _, svc := range w.Fleet.Fleet.Services {
		for _, t := range svc.Targets {
			if t.DataCentre == dc {
				out = append(out, w.Fleet.Targets[t.ID])
			}
		}
	}
	return out
}

// CountStarted returns the number of sub-requests and orders that the targets started within [from, to).
func CountStarted(targets []*emul.Target, from, to time.Time) int {
	n := 0
	for _, t := range targets {
		for _, run := range t.Runs() {
			if !run.Start.Before(from) && run.Start.Before(to) {
				n++
			}
		}
	}
	return n
}
