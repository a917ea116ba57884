package bench

import (
	"github.com/fuchsiarelay/fuchsiarelay/internal/emul"
)

// Suspend suspends the entry process on a VM: the clock of the process blocks, and the network holds back everything that is
// sent to or by the process. Only the in-memory network can hold data back; over loopback only the clock blocks.
func (run *Run) Suspend(id string) {
	run.clock(id).Suspend()
	run.forEachLink(id, func(l *emul.Link) {
		l.Hold(emul.DialSide)
		l.Hold(emul.ListenSide)
	})
}

// Resume resumes an entry process that Suspend has suspended, and delivers the data that was held back.
func (run *Run) Resume(id string) {
	run.forEachLink(id, func(l *emul.Link) {
		l.Release(emul.DialSide)
		l.Release(emul.ListenSide)
	})
	run.clock(id).Resume()
}

// clock returns the clock of the entry process that was last started on the VM.
func (run *Run) clock(id string) *emul.SuspendableClock {
	run.mu.Lock()
	defer run.mu.Unlock()
	return run.clocks[id]
}

// forEachLink calls f for every link of the in-memory network from and to the entry VM. Over loopback it does nothing.
func (run *Run) forEachLink(id string, f func(*emul.Link)) {
	if run.Network == nil {
		return
	}
	fleet := run.Fleet.Fleet
	for _, own := range fleet.VMs {
		if own.ID != id {
			continue
		}
		for _, vm := range fleet.VMs {
			f(run.Network.Link(id, vm.PeerAddr))
			f(run.Network.Link(vm.ID, own.PeerAddr))
			f(run.Network.Link(callerName(vm.DataCentre), own.Addr))
		}
	}
	for _, svc := range fleet.Services {
		for _, t := range svc.Targets {
			f(run.Network.Link(id, t.Addr))
		}
	}
	f(run.Network.Link(id, fleet.Platform))
}

// callerName returns the name under which the caller of a data centre dials in the in-memory network.
func callerName(dc string) string { return "client-" + dc }

// countEvent adds one to the counter of the event. Report.Trace holds the counters.
func (run *Run) countEvent(name string) {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.eventCounts[name]++
}
