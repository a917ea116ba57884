package scen

import (
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/internal/emul"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
)

// Fault is one failure that the system must tolerate (listed in docs/design.md, section 1.5), or one operator action. Inject
// starts the failure or action, and Heal ends it. Heal is nil if there is nothing to end.
type Fault struct {
	Name   string
	Inject func(sim *Simulation, site FaultSite)
	Heal   func(sim *Simulation, site FaultSite)
	// BreaksCallerConns is true if the fault may break connections between callers and an entry process.
	BreaksCallerConns bool
}

// FaultSite names the processes and the target that a fault affects. All fields are ids; an entry process is named by the id
// of its VM.
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
		Inject: func(sim *Simulation, site FaultSite) { sim.StandIns.Targets[site.Target].Crash() },
	},
	{
		Name:   "target falls cold",
		Inject: func(sim *Simulation, site FaultSite) { sim.StandIns.Targets[site.Target].StartColdIncarnation() },
	},
	{
		Name: "target drains",
		Inject: func(sim *Simulation, site FaultSite) {
			sim.StandIns.Targets[site.Target].SetDraining(true)
			sim.Forbid("P8", []string{site.Target}, nil)
		},
		Heal: func(sim *Simulation, site FaultSite) {
			sim.Permit([]string{site.Target})
			sim.StandIns.Targets[site.Target].SetDraining(false)
		},
	},
	{
		Name: "target listed as leaving",
		Inject: func(sim *Simulation, site FaultSite) {
			sim.setTargetState(site.Target, plat.Leaving)
			sim.forbidPublished("P8", []string{site.Target}, nil)
		},
		Heal: func(sim *Simulation, site FaultSite) {
			sim.Permit([]string{site.Target})
			sim.setTargetState(site.Target, plat.Live)
		},
	},
	{
		Name:   "target straggles",
		Inject: func(sim *Simulation, site FaultSite) { sim.StandIns.Targets[site.Target].SetServiceTimeFactor(20) },
		Heal:   func(sim *Simulation, site FaultSite) { sim.StandIns.Targets[site.Target].SetServiceTimeFactor(1) },
	},
	{
		Name:   "connections go silent",
		Inject: func(sim *Simulation, site FaultSite) { sim.StandIns.Targets[site.Target].DropOpenConns() },
	},
	{
		Name: "peer links go silent",
		Inject: func(sim *Simulation, site FaultSite) {
			vm, _ := sim.vm(site.Dispatcher)
			sim.Net.Link(site.Entry, vm.PeerAddr).DropBytes(false)
		},
	},
	{
		Name:   "replies cut short",
		Inject: func(sim *Simulation, site FaultSite) { sim.StandIns.Targets[site.Target].SetTruncateAfter(60) },
		Heal:   func(sim *Simulation, site FaultSite) { sim.StandIns.Targets[site.Target].SetTruncateAfter(0) },
	},
	{
		Name:   "replies of others",
		Inject: func(sim *Simulation, site FaultSite) { sim.StandIns.Targets[site.Target].SetWrongIDs(3) },
	},
	{
		Name:   "partial parts",
		Inject: func(sim *Simulation, site FaultSite) { sim.StandIns.Targets[site.Target].SetDocumentShare(0.5) },
		Heal:   func(sim *Simulation, site FaultSite) { sim.StandIns.Targets[site.Target].SetDocumentShare(1) },
	},
	{
		Name:              "entry process killed",
		BreaksCallerConns: true,
		Inject:            func(sim *Simulation, site FaultSite) { sim.Kill(site.Entry) },
		Heal:              func(sim *Simulation, site FaultSite) { _ = sim.Start(site.Entry) },
	},
	{
		Name:              "dispatcher killed",
		BreaksCallerConns: true,
		Inject:            func(sim *Simulation, site FaultSite) { sim.Kill(site.Dispatcher) },
		Heal:              func(sim *Simulation, site FaultSite) { _ = sim.Start(site.Dispatcher) },
	},
	{
		Name:              "entry process frozen 10 s",
		BreaksCallerConns: true,
		Inject:            func(sim *Simulation, site FaultSite) { sim.Suspend(site.Entry) },
		Heal:              func(sim *Simulation, site FaultSite) { sim.Resume(site.Entry) },
	},
	{
		Name:              "dispatcher frozen 10 s",
		BreaksCallerConns: true,
		Inject:            func(sim *Simulation, site FaultSite) { sim.Suspend(site.Dispatcher) },
		Heal:              func(sim *Simulation, site FaultSite) { sim.Resume(site.Dispatcher) },
	},
	{
		Name:   "fleet split, platform with the rest",
		Inject: func(sim *Simulation, site FaultSite) { sim.Split([]string{site.Entry}, false) },
		Heal:   func(sim *Simulation, _ FaultSite) { sim.Net.UnblockLinks() },
	},
	{
		Name: "platform down",
		Inject: func(sim *Simulation, _ FaultSite) {
			sim.setPlatformReadable(false, func() { sim.StandIns.Platform.SetDown(true) })
		},
		Heal: func(sim *Simulation, _ FaultSite) {
			sim.setPlatformReadable(true, func() { sim.StandIns.Platform.SetDown(false) })
		},
	},
	{
		Name: "platform stale",
		Inject: func(sim *Simulation, _ FaultSite) {
			sim.setPlatformReadable(false, func() { sim.StandIns.Platform.SetRevisionsBehind(1) })
		},
		Heal: func(sim *Simulation, _ FaultSite) {
			sim.setPlatformReadable(true, func() { sim.StandIns.Platform.SetRevisionsBehind(0) })
		},
	},
	{
		Name:   "data centre out",
		Inject: func(sim *Simulation, site FaultSite) { sim.ExcludeDataCentre(sim.targetDataCentre(site.Target)) },
		Heal:   func(sim *Simulation, site FaultSite) { sim.IncludeDataCentre(sim.targetDataCentre(site.Target)) },
	},
	{
		Name:   "index roll-out",
		Inject: func(sim *Simulation, _ FaultSite) { sim.RollOut() },
	},
	{
		Name:   "repartition",
		Inject: func(sim *Simulation, _ FaultSite) { sim.Repartition() },
	},
	{
		Name: "planned stop",
		Inject: func(sim *Simulation, site FaultSite) {
			sim.EntryProcess(site.Entry).beginStop()
		},
		Heal: func(sim *Simulation, site FaultSite) { sim.restartStopped(site.Entry) },
	},
	{
		Name: "planned stop of a data centre's entry processes",
		Inject: func(sim *Simulation, site FaultSite) {
			for _, id := range sim.vmsInSameDataCentre(site.Entry) {
				sim.EntryProcess(id).beginStop()
			}
		},
		Heal: func(sim *Simulation, site FaultSite) {
			for _, id := range sim.vmsInSameDataCentre(site.Entry) {
				sim.restartStopped(id)
			}
		},
	},
	{
		Name: "health page lies",
		Inject: func(sim *Simulation, site FaultSite) {
			t := sim.StandIns.Targets[site.Target]
			stamp := t.Stamp()
			t.SetHealthStamp(&stamp)
			t.StartColdIncarnation()
		},
		Heal: func(sim *Simulation, site FaultSite) { sim.StandIns.Targets[site.Target].SetHealthStamp(nil) },
	},
	{
		Name:   "crashing request",
		Inject: func(sim *Simulation, site FaultSite) { sim.startCrashingRequest(site) },
		Heal:   func(sim *Simulation, _ FaultSite) { sim.endCrashingRequest() },
	},
}

// stopLimit limits the wait of restartStopped for the end of a planned stop. It exceeds the longest planned stop.
const stopLimit = 70 * time.Second

// restartStopped waits for the end of a planned stop and starts the process again. If another fault of the cell has started a
// new process on the VM meanwhile, no stop of the new process was requested, and restartStopped does nothing.
func (sim *Simulation) restartStopped(id string) {
	e := sim.EntryProcess(id)
	if !e.stopRequested {
		return
	}
	select {
	case <-e.done:
		_ = sim.Start(id)
	case <-time.After(stopLimit):
	}
}

// crashText is the text of a request that crashes each target that runs it.
const crashText = "crash me"

// startCrashingRequest makes crashText crash every target, and sends queries with this text to two entry processes.
func (sim *Simulation) startCrashingRequest(site FaultSite) {
	for _, id := range sim.StandIns.IDs() {
		sim.StandIns.Targets[id].SetCrashTexts(crashText)
	}
	service := sim.Fleet.Services[0].Name
	sim.wg.Go(func() {
		for range 6 { // the caller repeats the request at either entry process
			for _, entry := range []string{site.Entry, site.OtherEntry} {
				sim.Query(entry, "counter", service, crashText)
			}
		}
	})
}

// endCrashingRequest ends the effect of crashText on all targets.
func (sim *Simulation) endCrashingRequest() {
	for _, id := range sim.StandIns.IDs() {
		sim.StandIns.Targets[id].SetCrashTexts()
	}
}

// vmsInSameDataCentre returns the ids of all entry VMs in the data centre of the given VM, which is included.
func (sim *Simulation) vmsInSameDataCentre(entry string) []string {
	own, _ := sim.vm(entry)
	var out []string
	for _, vm := range sim.Fleet.VMs {
		if vm.DataCentre == own.DataCentre {
			out = append(out, vm.ID)
		}
	}
	return out
}

// publishedTarget returns the target as it is listed in the fleet's services, so that the caller can change it in place, or
// nil if the target doesn't exist.
func (sim *Simulation) publishedTarget(id string) *plat.Target {
	for i := range sim.Fleet.Services {
		svc := &sim.Fleet.Services[i]
		for j := range svc.Targets {
			if svc.Targets[j].ID == id {
				return &svc.Targets[j]
			}
		}
	}
	return nil
}

// targetDataCentre returns the data centre of the target.
func (sim *Simulation) targetDataCentre(target string) string {
	return sim.publishedTarget(target).DataCentre
}

// publishServices publishes the services of the fleet in their current state.
func (sim *Simulation) publishServices() {
	raw, err := sim.Fleet.ServicesJSON()
	if err == nil {
		_, err = sim.StandIns.Platform.Publish(plat.KeyServices, raw)
	}
	if err != nil {
		panic(err) // not expected: the fleet was built by FleetSpec.Build and is valid
	}
}

// PublishRules publishes a rules file.
func (sim *Simulation) PublishRules(text string) {
	if _, err := sim.StandIns.Platform.Publish(plat.KeyRules, []byte(text)); err != nil {
		panic(err) // not expected: the rules are far smaller than plat.MaxValue
	}
}

// PublishVMs publishes the list of entry VMs without the given VMs.
func (sim *Simulation) PublishVMs(without ...string) {
	omittedVMs := map[string]bool{}
	for _, id := range without {
		omittedVMs[id] = true
	}
	all := sim.Fleet.VMs
	var keptVMs []plat.VM
	for _, vm := range all {
		if !omittedVMs[vm.ID] {
			keptVMs = append(keptVMs, vm)
		}
	}
	sim.Fleet.VMs = keptVMs
	raw, err := sim.Fleet.VMsJSON()
	sim.Fleet.VMs = all
	if err == nil {
		_, err = sim.StandIns.Platform.Publish(plat.KeyVMs, raw)
	}
	if err != nil {
		panic(err)
	}
}

// setTargetState publishes a new state of the target.
func (sim *Simulation) setTargetState(id string, st plat.State) {
	sim.publishedTarget(id).State = st
	sim.publishServices()
}

// ExcludeDataCentre publishes the rules with an added rule that excludes the data centre. Once MaxConfigDelay has passed,
// new work in the data centre is a violation.
func (sim *Simulation) ExcludeDataCentre(dc string) {
	sim.PublishRules(sim.Config.Rules + "exclude data_centre " + dc + "   # Ann: power work\n")
	var targets, entryVMs []string
	for _, svc := range sim.Fleet.Services {
		for _, t := range svc.Targets {
			if t.DataCentre == dc {
				targets = append(targets, t.ID)
			}
		}
	}
	for _, vm := range sim.Fleet.VMs {
		if vm.DataCentre == dc {
			entryVMs = append(entryVMs, vm.ID)
		}
	}
	sim.forbidPublished("P4", targets, entryVMs)
}

// IncludeDataCentre reverts ExcludeDataCentre: it publishes the original rules and permits new work again.
func (sim *Simulation) IncludeDataCentre(dc string) {
	var targets []string
	for _, svc := range sim.Fleet.Services {
		for _, t := range svc.Targets {
			if t.DataCentre == dc {
				targets = append(targets, t.ID)
			}
		}
	}
	sim.Permit(targets)
	sim.PublishRules(sim.Config.Rules)
}

// RollOut publishes the next index version of the first service. The targets switch to it one after another, 500 ms apart.
func (sim *Simulation) RollOut() {
	svc := &sim.Fleet.Services[0]
	next := svc.Partitions[len(svc.Partitions)-1]
	next.Version++
	sim.rollOutPartition(svc, next)
}

// Repartition publishes a new partition generation of the first service, with a third fewer shards of 1500 documents each.
// The shards of the presets of package emul have 1000 documents, so the first Repartition doesn't change the total. The
// targets switch to the new generation one after another, 500 ms apart.
func (sim *Simulation) Repartition() {
	svc := &sim.Fleet.Services[0]
	last := svc.Partitions[len(svc.Partitions)-1]
	shards := max(1, len(last.Shards)*2/3)
	sim.rollOutPartition(svc, emul.NewPartition(svc.Targets, last.Generation+1, last.Version+1, shards, 1500, 2))
}

// rollOutPartition publishes a partition in addition to the old ones and makes the targets serve it one after another. A
// target that serves the new partition no longer serves the old ones.
func (sim *Simulation) rollOutPartition(svc *plat.Service, next plat.Partition) {
	svc.Partitions = append(append([]plat.Partition(nil), svc.Partitions...), next)
	sim.publishServices()
	targets := svc.Targets
	sim.wg.Go(func() {
		for _, t := range targets {
			time.Sleep(500 * time.Millisecond)
			sim.StandIns.Targets[t.ID].SetHoldings(emul.Holdings([]plat.Partition{next}, t.ID)...)
		}
	})
}
