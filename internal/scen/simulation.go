// Package scen runs scripted scenarios on a whole fleet inside one operating system process: real entry processes, stand-in
// targets and a stand-in platform, an in-memory network with faults, and callers. It checks the invariants of the system against
// the work that targets received and the answers that callers received.
//
// # Usage
//
//	sim, closeSimulation, err := scen.New(scen.Config{Spec: emul.Small(), Rules: rulesText})
//	defer closeSimulation()
//	sim.StartAll()
//	sim.WaitServing(10 * time.Second)
//	call := sim.Query("entry-01", "counter", "ledger", "mats of 1998")
//	for _, v := range sim.Violations() { ... } // v is a violated invariant
//
// Inside a testing/synctest bubble a scenario runs in virtual time, so that times are exact.
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
	Spec        emul.FleetSpec
	Rules       string
	Seed        uint64                            // of the entry processes
	Log         *log.Logger                       // logger of the entry processes; nil: log lines are discarded
	SetupRelay  func(r *relay.Relay)              // if set, changes a relay before it runs
	SetupTarget func(t *emul.Target)              // if set, changes a target before its first request
	WrapClient  func(target.Client) target.Client // if set, wraps target clients, so that a test can violate an invariant
}

// Simulation is a running fleet with its in-memory network. It records all calls of the callers and all restrictions on new
// work.
type Simulation struct {
	Config   Config
	Net      *emul.Network
	Fleet    *emul.Fleet
	StandIns *emul.RunningFleet

	mu             sync.Mutex
	entryProcesses map[string]*EntryProcess // newest process by VM id
	calls          []*Call
	serial         int // number in the newest request id, or newest incarnation; both count up this number
	wg             sync.WaitGroup
	restrictions   []Restriction
	// platformUnreadable is true while the platform doesn't serve new revisions.
	platformUnreadable bool
	unreadRestrictions []Restriction // restrictions published while platformUnreadable was true
}

// EntryProcess is one entry process. A process that is started again on the same VM is a new EntryProcess.
type EntryProcess struct {
	VM            plat.VM
	Relay         *relay.Relay
	cancel        context.CancelFunc // ends the process without a planned stop
	done          chan struct{}      // closed when the process has ended
	clock         *emul.SuspendableClock
	err           error // result of Relay.Run; valid once done is closed
	stopRequested bool  // a planned stop was requested
}

// New starts the targets and the platform and publishes the entry VMs, the services and the rules. It starts no entry
// process. The returned function stops everything, entry processes included.
func New(cfg Config) (*Simulation, func(), error) {
	sim := &Simulation{Config: cfg, entryProcesses: map[string]*EntryProcess{}}
	sim.Fleet = cfg.Spec.Build()
	network, closeNetwork := emul.NewNetwork()
	sim.Net = network
	dataCentres := sim.dataCentresByEndpoint()
	network.Latency = func(from string, to netip.AddrPort) time.Duration {
		fromDC, toDC := dataCentres[from], dataCentres[to.String()]
		switch {
		case fromDC == "" || toDC == "":
			return externalDelay
		case fromDC != toDC:
			return dataCentreDelay
		}
		return 0
	}
	standIns, stopStandIns, err := sim.Fleet.Start(network.Listen, cfg.SetupTarget)
	if err != nil {
		closeNetwork()
		return nil, nil, fmt.Errorf("start targets: %w", err)
	}
	sim.StandIns = standIns
	if err := sim.Fleet.Publish(standIns.Platform, cfg.Rules); err != nil {
		stopStandIns()
		closeNetwork()
		return nil, nil, fmt.Errorf("publish documents: %w", err)
	}
	return sim, func() { sim.close(stopStandIns, closeNetwork) }, nil
}

// dataCentresByEndpoint returns the data centre of each dialing side and listening side within the fleet: by VM id, peer
// address and target address.
func (sim *Simulation) dataCentresByEndpoint() map[string]string {
	byEndpoint := map[string]string{}
	for _, vm := range sim.Fleet.VMs {
		byEndpoint[vm.ID] = vm.DataCentre
		byEndpoint[vm.PeerAddr.String()] = vm.DataCentre
	}
	for _, svc := range sim.Fleet.Services {
		for _, t := range svc.Targets {
			byEndpoint[t.Addr.String()] = t.DataCentre
		}
	}
	return byEndpoint
}

// close stops the entry processes, the targets, the platform and the network, and waits until their goroutines have ended.
func (sim *Simulation) close(stopStandIns, closeNetwork func()) {
	for _, e := range sim.newestProcesses() {
		e.clock.Resume()
		e.cancel()
	}
	for _, e := range sim.newestProcesses() {
		<-e.done
	}
	stopStandIns()
	closeNetwork()
	sim.wg.Wait()
	// Handlers of stand-in targets may still wait on a timer. A synctest bubble must not end before these handlers return.
	time.Sleep(time.Second)
}

// newestProcesses returns the newest process of each VM that has one, in the order of the VMs.
func (sim *Simulation) newestProcesses() []*EntryProcess {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	var out []*EntryProcess
	for _, vm := range sim.Fleet.VMs {
		if e := sim.entryProcesses[vm.ID]; e != nil {
			out = append(out, e)
		}
	}
	return out
}

// EntryProcess returns the newest entry process on the VM, or nil if none was started.
func (sim *Simulation) EntryProcess(id string) *EntryProcess {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.entryProcesses[id]
}

// StartAll starts an entry process on every VM.
func (sim *Simulation) StartAll() error {
	for _, vm := range sim.Fleet.VMs {
		if err := sim.Start(vm.ID); err != nil {
			return err
		}
	}
	return nil
}

// Start starts a new entry process on the VM.
func (sim *Simulation) Start(id string) error {
	vm, ok := sim.vm(id)
	if !ok {
		return fmt.Errorf("unknown VM %q", id)
	}
	callers, err := sim.Net.Listen(vm.Addr)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	peers, err := sim.Net.Listen(vm.PeerAddr)
	if err != nil {
		_ = callers.Close()
		return fmt.Errorf("listen for peers: %w", err)
	}
	dial := sim.Net.Dialer(id)
	reader, closeReader := plat.NewHTTP(sim.Fleet.Platform, newTransport(dial))
	sim.mu.Lock()
	sim.serial++
	serial := uint64(sim.serial)
	sim.mu.Unlock()
	e := &EntryProcess{VM: vm, done: make(chan struct{}), clock: &emul.SuspendableClock{}}
	r := &relay.Relay{
		VM: id, DataCentre: vm.DataCentre, CallerListener: callers, PeerListener: peers, Platform: reader, Now: e.clock.Now,
		Log: sim.Config.Log, DialPeer: dial, Seed: sim.Config.Seed + serial, Incarnation: serial,
		NewClient: func(t plat.Target, opt target.Options) (target.Client, func()) {
			opt.DialContext = dial
			c, closeClient := target.NewHTTP(t.Addr, opt)
			if sim.Config.WrapClient != nil {
				return sim.Config.WrapClient(c), closeClient
			}
			return c, closeClient
		},
	}
	if sim.Config.SetupRelay != nil {
		sim.Config.SetupRelay(r)
	}
	e.Relay = r
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	sim.mu.Lock()
	sim.entryProcesses[id] = e
	sim.mu.Unlock()
	sim.wg.Go(func() {
		defer close(e.done)
		defer closeReader()
		e.err = r.Run(ctx)
	})
	return nil
}

// vm returns the entry VM with the id, and false if there is none.
func (sim *Simulation) vm(id string) (plat.VM, bool) {
	for _, vm := range sim.Fleet.VMs {
		if vm.ID == id {
			return vm, true
		}
	}
	return plat.VM{}, false
}

// Kill terminates the entry process on the VM at once: its connections are reset on both sides, and nothing that the process
// sends after that is delivered. Kill returns when the process has ended.
func (sim *Simulation) Kill(id string) {
	e := sim.EntryProcess(id)
	sim.forEachLink(id, (*emul.Link).ResetAndRefuse)
	e.clock.Resume()
	e.cancel()
	<-e.done
	sim.forEachLink(id, (*emul.Link).Restore)
}

// Stop begins a planned stop of the entry process on the VM and waits until the process has ended, at most for limit.
func (sim *Simulation) Stop(id string, limit time.Duration) error {
	e := sim.EntryProcess(id)
	e.beginStop()
	select {
	case <-e.done:
		return e.err
	case <-time.After(limit):
		return fmt.Errorf("entry process on VM %s did not stop within %s", id, limit)
	}
}

// beginStop begins a planned stop and returns at once.
func (e *EntryProcess) beginStop() {
	e.stopRequested = true
	e.Relay.Stop()
}

// Suspend suspends the entry process on the VM until Resume: reading the clock of the process blocks, and the network holds
// back all data that is written on connections from and to the process.
func (sim *Simulation) Suspend(id string) {
	sim.EntryProcess(id).clock.Suspend()
	sim.forEachLink(id, func(l *emul.Link) {
		l.Hold(emul.DialSide)
		l.Hold(emul.ListenSide)
	})
}

// Resume resumes the entry process that Suspend has suspended, and delivers the data that was held back.
func (sim *Simulation) Resume(id string) {
	sim.forEachLink(id, func(l *emul.Link) {
		l.Release(emul.DialSide)
		l.Release(emul.ListenSide)
	})
	sim.EntryProcess(id).clock.Resume()
}

// forEachLink calls f for every network link from and to the VM.
func (sim *Simulation) forEachLink(id string, f func(*emul.Link)) {
	own, _ := sim.vm(id)
	for _, vm := range sim.Fleet.VMs {
		f(sim.Net.Link(id, vm.PeerAddr))
		f(sim.Net.Link(vm.ID, own.PeerAddr))
	}
	for _, svc := range sim.Fleet.Services {
		for _, t := range svc.Targets {
			f(sim.Net.Link(id, t.Addr))
		}
	}
	f(sim.Net.Link(id, sim.Fleet.Platform))
	f(sim.Net.Link(callerName, own.Addr))
}

// Split partitions the network between the listed VMs and all other VMs, until Net.UnblockLinks is called. Targets stay
// reachable from both sides. The platform is reachable only from the listed VMs if keepPlatform is true, and only from the
// others if it is false.
func (sim *Simulation) Split(side []string, keepPlatform bool) {
	listedVMs := map[string]bool{}
	listedPeerAddrs := map[netip.AddrPort]bool{}
	for _, id := range side {
		vm, _ := sim.vm(id)
		listedVMs[id] = true
		listedPeerAddrs[vm.PeerAddr] = true
	}
	peerAddrs := map[netip.AddrPort]bool{}
	for _, vm := range sim.Fleet.VMs {
		peerAddrs[vm.PeerAddr] = true
	}
	sim.Net.BlockLinks(func(from string, to netip.AddrPort) bool {
		switch {
		case to == sim.Fleet.Platform:
			return listedVMs[from] != keepPlatform && strings.HasPrefix(from, "entry-")
		case peerAddrs[to]:
			return listedVMs[from] != listedPeerAddrs[to]
		}
		return false
	})
}

// WaitServing waits until every started entry process serves. It returns an error if that takes longer than limit.
func (sim *Simulation) WaitServing(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		ready := true
		for _, e := range sim.newestProcesses() {
			ready = ready && e.Relay.Snapshot().Serving
		}
		if ready {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("not all entry processes serve after %s", limit)
}
