package scen

import (
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/internal/emul"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
)

// Fault is one failure that the system must tolerate (listed in docs/design.md, section 1.5), or one operator action. Inject
// begins it and Heal ends it; Heal may be nil.
type Fault struct {
	Name   string
	Inject func(w *Simulation, v FaultSite)
	Heal   func(w *Simulation, v FaultSite)
	// CutsCallers is true if callers may lose their connections to an entry process because of the fault.
	CutsCallers bool
}

// FaultSite names the processes and the target that a fault affects. All VMs are given by id.
type FaultSite struct {
	Entry      string // VM of the entry process that receives the traced request
	OtherEntry string // VM of another entry process
	Target     string
	// Dispatcher is the VM of the primary dispatcher of Target.
	Dispatcher string
}

// Faults lists every fault of the matrix. The names appear in the names of tests and in generated tables.
var Faults = []Fault{
	{
		Name:   "target crash",
		Inject: func(w *Simulation, v FaultSite) { w.StandIns.Targets[v.Target].Crash() },
	},
	{
		Name:   "target falls cold",
		Inject: func(w *Simulation, v FaultSite) { w.StandIns.Targets[v.Target].StartColdIncarnation() },
	},
	{
		Name: "target drains",
		Inject: func(w *Simulation, v FaultSite) {
			w.StandIns.Targets[v.Target].SetDraining(true)
			w.Forbid("P8", []string{v.Target}, nil)
		},
		Heal: func(w *Simulation, v FaultSite) {
			w.Permit([]string{v.Target})
			w.StandIns.Targets[v.Target].SetDraining(false)
		},
	},
	{
		Name: "target listed as leaving",
		Inject: func(w *Simulation, v FaultSite) {
			w.setTargetState(v.Target, plat.Leaving)
			w.forbidPublished("P8", []string{v.Target}, nil)
		},
		Heal: func(w *Simulation, v FaultSite) {
			w.Permit([]string{v.Target})
			w.setTargetState(v.Target, plat.Live)
		},
	},
	{
		Name:   "target straggles",
		Inject: func(w *Simulation, v FaultSite) { w.StandIns.Targets[v.Target].SetServiceTimeFactor(20) },
		Heal:   func(w *Simulation, v FaultSite) { w.StandIns.Targets[v.Target].SetServiceTimeFactor(1) },
	},
	{
		Name:   "connections go silent",
		Inject: func(w *Simulation, v FaultSite) { w.StandIns.Targets[v.Target].DropOpenConns() },
	},
	{
		Name: "peer links go silent",
		Inject: func(w *Simulation, v FaultSite) {
			vm, _ := w.vm(v.Dispatcher)
			w.Net.Link(v.Entry, vm.PeerAddr).DropBytes(false)
		},
	},
	{
		Name:   "replies cut short",
		Inject: func(w *Simulation, v FaultSite) { w.StandIns.Targets[v.Target].SetTruncateAfter(60) },
		Heal:   func(w *Simulation, v FaultSite) { w.StandIns.Targets[v.Target].SetTruncateAfter(0) },
	},
	{
		Name:   "replies of others",
		Inject: func(w *Simulation, v FaultSite) { w.StandIns.Targets[v.Target].SetWrongIDs(3) },
	},
	{
		Name:   "partial parts",
		Inject: func(w *Simulation, v FaultSite) { w.StandIns.Targets[v.Target].SetDocumentShare(0.5) },
		Heal:   func(w *Simulation, v FaultSite) { w.StandIns.Targets[v.Target].SetDocumentShare(1) },
	},
	{
		Name:        "entry process killed",
		CutsCallers: true,
		Inject:      func(w *Simulation, v FaultSite) { w.Kill(v.Entry) },
		Heal:        func(w *Simulation, v FaultSite) { _ = w.Start(v.Entry) },
	},
	{
		Name:        "dispatcher killed",
		CutsCallers: true,
		Inject:      func(w *Simulation, v FaultSite) { w.Kill(v.Dispatcher) },
		Heal:        func(w *Simulation, v FaultSite) { _ = w.Start(v.Dispatcher) },
	},
	{
		Name:        "entry process frozen 10 s",
		CutsCallers: true,
		Inject:      func(w *Simulation, v FaultSite) { w.Freeze(v.Entry) },
		Heal:        func(w *Simulation, v FaultSite) { w.Thaw(v.Entry) },
	},
	{
		Name:        "dispatcher frozen 10 s",
		CutsCallers: true,
		Inject:      func(w *Simulation, v FaultSite) { w.Freeze(v.Dispatcher) },
		Heal:        func(w *Simulation, v FaultSite) { w.Thaw(v.Dispatcher) },
	},
	{
		Name:   "fleet split, platform with the rest",
		Inject: func(w *Simulation, v FaultSite) { w.Split([]string{v.Entry}, false) },
		Heal:   func(w *Simulation, _ FaultSite) { w.Net.UnblockLinks() },
	},
	{
		Name: "platform down",
		Inject: func(w *Simulation, _ FaultSite) {
			w.setPlatformReadable(false, func() { w.StandIns.Platform.SetDown(true) })
		},
		Heal: func(w *Simulation, _ FaultSite) {
			w.setPlatformReadable(true, func() { w.StandIns.Platform.SetDown(false) })
		},
	},
	{
		Name: "platform stale",
		Inject: func(w *Simulation, _ FaultSite) {
			w.setPlatformReadable(false, func() { w.StandIns.Platform.SetRevisionsBehind(1) })
		},
		Heal: func(w *Simulation, _ FaultSite) {
			w.setPlatformReadable(true, func() { w.StandIns.Platform.SetRevisionsBehind(0) })
		},
	},
	{
		Name:   "data centre out",
		Inject: func(w *Simulation, v FaultSite) { w.ExcludeDataCentre(w.targetDataCentre(v.Target)) },
		Heal:   func(w *Simulation, v FaultSite) { w.IncludeDataCentre(w.targetDataCentre(v.Target)) },
	},
	{
		Name:   "index roll-out",
		Inject: func(w *Simulation, _ FaultSite) { w.RollOut() },
	},
	{
		Name:   "repartition",
		Inject: func(w *Simulation, _ FaultSite) { w.Repartition() },
	},
	{
		Name: "planned stop",
		Inject: func(w *Simulation, v FaultSite) {
			w.EntryProcess(v.Entry).beginStop()
		},
		Heal: func(w *Simulation, v FaultSite) { w.restartStopped(v.Entry) },
	},
	{
		Name: "planned stop of a data centre's entry processes",
		Inject: func(w *Simulation, v FaultSite) {
			for _, id := range w.vmsInSameDataCentre(v.Entry) {
				w.EntryProcess(id).beginStop()
			}
		},
		Heal: func(w *Simulation, v FaultSite) {
			for _, id := range w.vmsInSameDataCentre(v.Entry) {
				w.restartStopped(id)
			}
		},
	},
	{
		Name: "health page lies",
		Inject: func(w *Simulation, v FaultSite) {
			t := w.StandIns.Targets[v.Target]
			stamp := t.Stamp()
			t.SetHealthStamp(&stamp)
			t.StartColdIncarnation()
		},
		Heal: func(w *Simulation, v FaultSite) { w.StandIns.Targets[v.Target].SetHealthStamp(nil) },
	},
	{
		Name:   "crashing request",
		Inject: func(w *Simulation, v FaultSite) { w.startCrashingRequest(v) },
		Heal:   func(w *Simulation, _ FaultSite) { w.endCrashingRequest() },
	},
}

// stopLimit limits the wait for the end of a planned stop. It exceeds the longest planned stop.
const stopLimit = 70 * time.Second

// restartStopped waits for the end of a planned stop and starts the process again. It does nothing if the present process on
// the VM wasn't asked to stop because another fault of the cell has replaced the stopping process.
func (w *Simulation) restartStopped(id string) {
	e := w.EntryProcess(id)
	if !e.stopRequested {
		return
	}
	select {
	case <-e.done:
		_ = w.Start(id)
	case <-time.After(stopLimit):
	}
}

// crashText is the text of a request that crashes each target that runs it.
const crashText = "crash me"

// startCrashingRequest makes crashText crash every target, and sends queries with this text to two entry processes.
func (w *Simulation) startCrashingRequest(v FaultSite) {
	for _, id := range w.StandIns.IDs() {
		w.StandIns.Targets[id].SetCrashTexts(crashText)
	}
	service := w.Fleet.Services[0].Name
	w.wg.Go(func() {
		for range 6 { // the caller repeats the request at either entry process
			for _, entry := range []string{v.Entry, v.OtherEntry} {
				w.Query(entry, "counter", service, crashText)
			}
		}
	})
}

// endCrashingRequest ends the effect of crashText on all targets.
func (w *Simulation) endCrashingRequest() {
	for _, id := range w.StandIns.IDs() {
		w.StandIns.Targets[id].SetCrashTexts()
	}
}

// vmsInSameDataCentre returns the ids of the entry VMs in the data centre of the given one, itself included.
func (w *Simulation) vmsInSameDataCentre(entry string) []string {
	own, _ := w.vm(entry)
	var out []string
	for _, vm := range w.Fleet.VMs {
		if vm.DataCentre == own.DataCentre {
			out = append(out, vm.ID)
		}
	}
	return out
}

// publishedTarget returns the published entry of the target, or nil if the target doesn't exist.
func (w *Simulation) publishedTarget(id string) *plat.Target {
	for i := range w.Fleet.Services {
		svc := &w.Fleet.Services[i]
		for j := range svc.Targets {
			if svc.Targets[j].ID == id {
				return &svc.Targets[j]
			}
		}
	}
	return nil
}

// targetDataCentre returns the data centre of the target.
func (w *Simulation) targetDataCentre(target string) string {
	return w.publishedTarget(target).DataCentre
}

// publishServices publishes the present services of the fleet.
func (w *Simulation) publishServices() {
	raw, err := w.Fleet.ServicesJSON()
	if err == nil {
		_, err = w.StandIns.Platform.Publish(plat.KeyServices, raw)
	}
	if err != nil {
		panic(err) // can't fail: the scenario itself has built the fleet
	}
}

// PublishRules publishes a rules file.
func (w *Simulation) PublishRules(text string) {
	if _, err := w.StandIns.Platform.Publish(plat.KeyRules, []byte(text)); err != nil {
		panic(err) // can't fail: the text is far below the size limit
	}
}

// PublishVMs publishes the list of entry VMs, leaving out the VMs in without.
func (w *Simulation) PublishVMs(without ...string) {
	omitted := map[string]bool{}
	for _, id := range without {
		omitted[id] = true
	}
	all := w.Fleet.VMs
	var kept []plat.VM
	for _, vm := range all {
		if !omitted[vm.ID] {
			kept = append(kept, vm)
		}
	}
	w.Fleet.VMs = kept
	raw, err := w.Fleet.VMsJSON()
	w.Fleet.VMs = all
	if err == nil {
		_, err = w.StandIns.Platform.Publish(plat.KeyVMs, raw)
	}
	if err != nil {
		panic(err)
	}
}

// setTargetState publishes a new state of the target.
func (w *Simulation) setTargetState(id string, st plat.State) {
	w.publishedTarget(id).State = st
	w.publishServices()
}

// ExcludeDataCentre publishes a rule that excludes the data centre. Once MaxControlDelay has passed, new work in the data
// centre is a violation.
func (w *Simulation) ExcludeDataCentre(dc string) {
	w.PublishRules(w.Config.Rules + "exclude data_centre " + dc + "   # Ann: power work\n")
	var targets, entries []string
	for _, svc := range w.Fleet.Services {
		for _, t := range svc.Targets {
			if t.DataCentre == dc {
				targets = append(targets, t.ID)
			}
		}
	}
	for _, vm := range w.Fleet.VMs {
		if vm.DataCentre == dc {
			entries = append(entries, vm.ID)
		}
	}
	w.forbidPublished("P4", targets, entries)
}

// IncludeDataCentre reverts ExcludeDataCentre: it publishes the original rules and permits new work again.
func (w *Simulation) IncludeDataCentre(dc string) {
	var targets []string
	for _, svc := range w.Fleet.Services {
		for _, t := range svc.Targets {
			if t.DataCentre == dc {
				targets = append(targets, t.ID)
			}
		}
	}
	w.Permit(targets)
	w.PublishRules(w.Config.Rules)
}

// RollOut publishes the next index version. The targets switch to it one after another, 500 ms apart.
func (w *Simulation) RollOut() {
	svc := &w.Fleet.Services[0]
	next := svc.Partitions[len(svc.Partitions)-1]
	next.Version++
	w.rollOutPartition(svc, next)
}

// Repartition publishes a new partition generation with a third fewer shards. The targets switch to it one after another,
// 500 ms apart.
func (w *Simulation) Repartition() {
	svc := &w.Fleet.Services[0]
	last := svc.Partitions[len(svc.Partitions)-1]
	shards := max(1, len(last.Shards)*2/3)
	w.rollOutPartition(svc, emul.Layout(svc.Targets, last.Generation+1, last.Version+1, shards, 1500, 2))
}

// rollOutPartition publishes a partition in addition to the old ones and makes the targets serve it one after another. A
// target that serves the new partition no longer serves the old ones.
func (w *Simulation) rollOutPartition(svc *plat.Service, next plat.Partition) {
	svc.Partitions = append(append([]plat.Partition(nil), svc.Partitions...), next)
	w.publishServices()
	targets := svc.Targets
	w.wg.Go(func() {
		for _, t := range targets {
			time.Sleep(500 * time.Millisecond)
			w.StandIns.Targets[t.ID].SetHoldings(emul.Holdings([]plat.Partition{next}, t.ID)...)
		}
	})
}
