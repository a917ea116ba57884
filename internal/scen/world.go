// Package scen runs fleets in one operating system process for scripted scenarios: real entry processes, simulated targets
// and platform, an in-memory network with faults, and callers. It checks the invariants of the system on what targets and
// callers have received.
//
// # Usage
//
//	w, closeWorld, err := scen.New(scen.Config{Spec: emul.Small(), Rules: rulesText})
//	defer closeWorld()
//	w.StartAll()
//	w.WaitServing(10 * time.Second)
//	call := w.Query("entry-01", "counter", "ledger", "mats of 1998")
//	for _, v := range w.Violations() { ... } // v is a violated invariant
//
// Inside a testing/synctest bubble a scenario runs on a simulated clock, so that times are exact.
package scen

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/fuchsiarelay/fuchsiarelay/internal/emul"
	"github.com/fuchsiarelay/fuchsiarelay/internal/relay"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/target"
)

// One-way delays of the in-memory network. There is no delay within a data centre.
const (
	dataCentreDelay = 1500 * time.Microsecond
	externalDelay   = time.Millisecond // from and to callers, and to the platform
)

// Config describes the fleet of a Simulation. Spec and Rules are required.
type Config struct {
	Spec        emul.Spec
	Rules       string
	Seed        uint64
	Log         *log.Logger                       // logger of the entry processes; nil discards
	SetupRelay  func(r *relay.Relay)              // if set, changes a relay before it runs
	SetupTarget func(t *emul.Target)              // if set, changes a target before its first request
	WrapClient  func(target.Client) target.Client // if set, wraps target clients, so that a test can break a policy
}

// Simulation is a running fleet with the record of its calls.
type Simulation struct {
	Config   Config
	Net      *emul.Network
	Fleet    *emul.Fleet
	StandIns *emul.RunningFleet

	mu      sync.Mutex
	entries map[string]*EntryProcess // newest process by VM id
	calls   []*Call
	serial  int // last number given to a request id or an incarnation
	wg      sync.WaitGroup
	changes []Restriction
	// platformUnreadable is true while the platform doesn't serve new revisions.
	platformUnreadable bool
	unreadChanges      []Restriction // restrictions published while platformUnreadable was true
}

// EntryProcess is one entry process. A process that is started again on the same VM is a new EntryProcess.
type EntryProcess struct {
	VM            plat.VM
	Relay         *relay.Relay
	cancel        context.CancelFunc
	done          chan struct{}
	clock         *emul.SuspendableClock
	err           error
	stopRequested bool // a planned stop was requested
}

// New starts the targets and the platform and publishes all documents. It starts no entry process. The returned function
// stops everything, entry processes included.
func New(cfg Config) (*Simulation, func(), error) {
	w := &Simulation{Config: cfg, entries: map[string]*EntryProcess{}}
	w.Fleet = cfg.Spec.Build()
	network, closeNetwork := emul.NewNetwork()
	w.Net = network
	dataCentres := w.dataCentresByEndpoint()
	network.Latency = func(from string, to netip.AddrPort) time.Duration {
		a, b := dataCentres[from], dataCentres[to.String()]
		switch {
		case a == "" || b == "":
			return externalDelay
		case a != b:
			return dataCentreDelay
		}
		return 0
	}
	running, stop, err := w.Fleet.Start(network.Listen, cfg.SetupTarget)
	if err != nil {
		closeNetwork()
		return nil, nil, fmt.Errorf("start targets: %w", err)
	}
	w.StandIns = running
	if err := w.Fleet.Publish(running.Platform, cfg.Rules); err != nil {
		stop()
		closeNetwork()
		return nil, nil, fmt.Errorf("publish documents: %w", err)
	}
	return w, func() { w.close(stop, closeNetwork) }, nil
}

// dataCentresByEndpoint returns the data centres by VM id, peer address and target address.
func (w *Simulation) dataCentresByEndpoint() map[string]string {
	byEndpoint := map[string]string{}
	for _, vm := range w.Fleet.VMs {
		byEndpoint[vm.ID] = vm.DataCentre
		byEndpoint[vm.PeerAddr.String()] = vm.DataCentre
	}
	for _, svc := range w.Fleet.Services {
		for _, t := range svc.Targets {
			byEndpoint[t.Addr.String()] = t.DataCentre
		}
	}
	return byEndpoint
}

// close stops the entry processes, the targets, the platform and the network, and waits until their goroutines have ended.
func (w *Simulation) close(stop, closeNetwork func()) {
	for _, e := range w.newestEntries() {
		e.clock.Resume()
		e.cancel()
	}
	for _, e := range w.newestEntries() {
		<-e.done
	}
	stop()
	closeNetwork()
	w.wg.Wait()
	// Handlers of simulated targets may still be waiting on a timer. A synctest bubble must not end before they return.
	time.Sleep(time.Second)
}

// newestEntries returns the newest process of each VM that has one, in the order of the VMs.
func (w *Simulation) newestEntries() []*EntryProcess {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*EntryProcess
	for _, vm := range w.Fleet.VMs {
		if e := w.entries[vm.ID]; e != nil {
			out = append(out, e)
		}
	}
	return out
}

// EntryProcess returns the newest entry process on the VM, or nil if none was started.
func (w *Simulation) EntryProcess(id string) *EntryProcess {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.entries[id]
}

// StartAll starts an entry process on every VM.
func (w *Simulation) StartAll() error {
	for _, vm := range w.Fleet.VMs {
		if err := w.Start(vm.ID); err != nil {
			return err
		}
	}
	return nil
}

// Start starts a new entry process on the VM.
func (w *Simulation) Start(id string) error {
	vm, ok := w.vm(id)
	if !ok {
		return fmt.Errorf("unknown VM %q", id)
	}
	callers, err := w.Net.Listen(vm.Addr)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	peers, err := w.Net.Listen(vm.PeerAddr)
	if err != nil {
		_ = callers.Close()
		return fmt.Errorf("listen for peers: %w", err)
	}
	dial := w.Net.Dialer(id)
	reader, closeReader := plat.NewHTTP(w.Fleet.Platform, transport(dial))
	w.mu.Lock()
	w.serial++
	serial := uint64(w.serial)
	w.mu.Unlock()
	e := &EntryProcess{VM: vm, done: make(chan struct{}), clock: &emul.SuspendableClock{}}
	r := &relay.Relay{
		VM: id, DataCentre: vm.DataCentre, CallerListener: callers, PeerListener: peers, Platform: reader, Now: e.clock.Now,
		Log: w.Config.Log, DialPeer: dial, Seed: w.Config.Seed + serial, Incarnation: serial,
		NewClient: func(t plat.Target, opt target.Options) (target.Client, func()) {
			opt.DialContext = dial
			c, closeClient := target.NewHTTP(t.Addr, opt)
			if w.Config.WrapClient != nil {
				return w.Config.WrapClient(c), closeClient
			}
			return c, closeClient
		},
	}
	if w.Config.SetupRelay != nil {
		w.Config.SetupRelay(r)
	}
	e.Relay = r
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	w.mu.Lock()
	w.entries[id] = e
	w.mu.Unlock()
	w.wg.Go(func() {
		defer close(e.done)
		defer closeReader()
		e.err = r.Run(ctx)
	})
	return nil
}

// vm returns the entry VM with the id, and false if there is none.
func (w *Simulation) vm(id string) (plat.VM, bool) {
	for _, vm := range w.Fleet.VMs {
		if vm.ID == id {
			return vm, true
		}
	}
	return plat.VM{}, false
}

// Kill terminates the entry process on the VM at once: its connections are reset on both sides, and nothing that the process
// sends after that is delivered. Kill returns when the process has ended.
func (w *Simulation) Kill(id string) {
	e := w.EntryProcess(id)
	w.forEachLink(id, (*emul.Link).ResetAndRefuse)
	e.clock.Resume()
	e.cancel()
	<-e.done
	w.forEachLink(id, (*emul.Link).Restore)
}

// Stop begins a planned stop of the entry process on the VM and waits until the process has ended, at most for limit.
func (w *Simulation) Stop(id string, limit time.Duration) error {
	e := w.EntryProcess(id)
	e.beginStop()
	select {
	case <-e.done:
		return e.err
	case <-time.After(limit):
		return fmt.Errorf("entry process on VM %s did not stop within %s", id, limit)
	}
}

// beginStop begins a planned stop.
func (e *EntryProcess) beginStop() {
	e.stopRequested = true
	e.Relay.Stop()
}

// Freeze suspends the entry process on the VM: reading its clock blocks, and data that is written on connections from and to
// the process is held in the network until Thaw.
func (w *Simulation) Freeze(id string) {
	w.EntryProcess(id).clock.Suspend()
	w.forEachLink(id, func(l *emul.Link) {
		l.Hold(emul.DialSide)
		l.Hold(emul.ListenSide)
	})
}

// Thaw resumes a process that Freeze has suspended, and delivers the held data.
func (w *Simulation) Thaw(id string) {
	w.forEachLink(id, func(l *emul.Link) {
		l.Release(emul.DialSide)
		l.Release(emul.ListenSide)
	})
	w.EntryProcess(id).clock.Resume()
}

// forEachLink calls f for every network link from and to the VM.
func (w *Simulation) forEachLink(id string, f func(*emul.Link)) {
	own, _ := w.vm(id)
	for _, vm := range w.Fleet.VMs {
		f(w.Net.Link(id, vm.PeerAddr))
		f(w.Net.Link(vm.ID, own.PeerAddr))
	}
	for _, svc := range w.Fleet.Services {
		for _, t := range svc.Targets {
			f(w.Net.Link(id, t.Addr))
		}
	}
	f(w.Net.Link(id, w.Fleet.Platform))
	f(w.Net.Link(callerName, own.Addr))
}

// Split partitions the network between the listed VMs and all other VMs, until Net.UnblockLinks is called. Targets stay
// reachable from both sides. The platform is reachable only from the listed VMs if keepPlatform is true, and only from the
// others if it is false.
func (w *Simulation) Split(side []string, keepPlatform bool) {
	listed := map[string]bool{}
	listedPeerAddrs := map[netip.AddrPort]bool{}
	for _, id := range side {
		vm, _ := w.vm(id)
		listed[id] = true
		listedPeerAddrs[vm.PeerAddr] = true
	}
	peerAddrs := map[netip.AddrPort]bool{}
	for _, vm := range w.Fleet.VMs {
		peerAddrs[vm.PeerAddr] = true
	}
	w.Net.BlockLinks(func(from string, to netip.AddrPort) bool {
		switch {
		case to == w.Fleet.Platform:
			return listed[from] != keepPlatform && strings.HasPrefix(from, "entry-")
		case peerAddrs[to]:
			return listed[from] != listedPeerAddrs[to]
		}
		return false
	})
}

// WaitServing waits until every started entry process serves, at most for limit.
func (w *Simulation) WaitServing(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		ready := true
		for _, e := range w.newestEntries() {
			ready = ready && e.Relay.Snapshot().Serving
		}
		if ready {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("not all entry processes serve after %s", limit)
}
