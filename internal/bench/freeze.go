package bench

import (
	"github.com/fuchsiarelay/fuchsiarelay/internal/emul"
)

// Freeze suspends an entry process: the clock of the process blocks, and the network holds back everything that is sent
// to or by the process. Only the in-memory network can hold data back; over loopback only the clock blocks.
func (w *Run) Freeze(id string) {
	w.gate(id).Suspend()
	w.eachLinkOf(id, func(l *emul.Link) {
		l.Hold(emul.DialSide)
		l.Hold(emul.ListenSide)
	})
}

// Thaw resumes an entry process that Freeze suspended.
func (w *Run) Thaw(id string) {
	w.eachLinkOf(id, func(l *emul.Link) {
		l.Release(emul.DialSide)
		l.Release(emul.ListenSide)
	})
	w.gate(id).Resume()
}

// gate returns the suspendable clock of an entry process.
func (w *Run) gate(id string) *emul.SuspendableClock {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.gates[id]
}

// eachLinkOf calls f for every link from and to an entry VM of the in-memory network; over loopback it does nothing.
func (w *Run) eachLinkOf(id string, f func(*emul.Link)) {
	if w.Network == nil {
		return
	}
	fleet := w.Fleet.Fleet
	for _, own := range fleet.VMs {
		if own.ID != id {
			continue
		}
		for _, vm := range fleet.VMs {
			f(w.Network.Link(id, vm.PeerAddr))
			f(w.Network.Link(vm.ID, own.PeerAddr))
			f(w.Network.Link(callersName(vm.DataCentre), own.Addr))
		}
	}
	for _, svc := range fleet.Services {
		for _, t := range svc.Targets {
			f(w.Network.Link(id, t.Addr))
		}
	}
	f(w.Network.Link(id, fleet.Platform))
}

// callersName returns the name that the callers of a data centre have in the in-memory network.
func callersName(dc string) string { return "client-" + dc }

// addTraceCount adds one to a counter of Report.Trace.
func (w *Run) addTraceCount(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts[name]++
}
