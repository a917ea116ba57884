package bench

import (
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/internal/emul"
)

// Times of the standard experiments. Property P4 in section 1.2 of docs/design.md requires that an excluded data centre
// receives no new work after a bound.
const (
	settleTime     = 9 * time.Second // more than StartWait and GrowDelay together (2 s and 6 s), after which dispatchers have their full shares
	warmUpTime     = 2 * time.Second // load before the measured time, after which processes know levels and latencies of targets
	exclusionBound = 3 * time.Second // longest time for which an excluded data centre receives new work (P4)
	excludeAt      = 2 * time.Second
	includeAt      = 8 * time.Second
	crashAt        = 2 * time.Second
	killAt         = 2 * time.Second
	suspendAt      = 3 * time.Second
	resumeAt       = 13 * time.Second
)

// Names of the standard experiments.
const (
	Steady        = "steady"
	Straggler     = "straggler"
	Overload      = "overload"
	ColdRestart   = "cold-restart"
	DataCentreOut = "data-centre-out"
	EntryFaults   = "entry-faults"
)

// Loads and faults of the standard experiments.
const (
	// steadyRate is in requests a second: 100 for each service, about a quarter of the capacity of a desk service.
	steadyRate      = 600
	faultRate       = 300 // requests a second
	overloadFactor  = 3   // times the capacity
	highLoadFactor  = 0.8 // of the capacity
	stragglerFactor = 20  // factor on the service time
	// excludeRule is the rule that the experiment DataCentreOut adds to StandardRules.
	excludeRule = "exclude data_centre dc-b # bench: power work"
)

// StandardRules is the text of the rules that all standard experiments publish.
const StandardRules = `class inspector deadline=2s min_coverage=1.0 prefer=coverage priority=0   # bench: checks of whole answers
class counter deadline=300ms min_coverage=0.9 prefer=latency priority=1   # bench: staff waits at the counter
`

// StandardMix is the load of all standard experiments.
var StandardMix = []LoadShare{
	{Class: "inspector", Tenant: "harbor", Weight: 20, Deadline: 2 * time.Second, MinCoverage: 1},
	{Class: "counter", Tenant: "head-office", Weight: 75, Deadline: 300 * time.Millisecond, MinCoverage: 0.9},
	{Class: "counter", Tenant: "head-office", Weight: 5, Deadline: time.Second, Order: true},
}

// twentyTargetFleet returns the spec of a fleet with twenty targets: four counter desks, the van planner and billing. Each
// service has the size that docs/design.md section 1.6 states for it.
func twentyTargetFleet() emul.FleetSpec {
	s := emul.HeadOffice()
	desk, van, billing := s.Services[0], s.Services[2], s.Services[4]
	desk.Count = 4
	s.Services = []emul.ServiceSpec{desk, van, billing}
	return s
}

// twoDeskFleet returns the spec of a fleet with two counter desks. Counter desks have the fewest slots of all services, so
// that the generator can send more load than their capacity.
func twoDeskFleet() emul.FleetSpec {
	s := emul.HeadOffice()
	s.Services = s.Services[:1]
	s.Services[0].Count = 2
	return s
}

// Capacity returns the highest rate, in requests a second, that the slots of all targets can serve with the mix, if each
// query is sent to the fewest targets that hold all shards and no time passes between two sub-requests in a slot. An
// order occupies one slot of one target and opens a new connection.
func Capacity(s emul.FleetSpec, mix []LoadShare) float64 {
	minRate, services := 0.0, 0
	builtServices := s.Build().Services
	for _, spec := range s.Services {
		services += spec.Count
		subs := float64(greedyCoverSize(builtServices[services-1].Partitions[0]))
		weight, busy := 0, 0.0
		for _, share := range mix {
			weight += share.Weight
			if share.Order {
				busy += float64(share.Weight) * (spec.Mean + spec.ConnCost).Seconds()
			} else {
				busy += float64(share.Weight) * subs * spec.Mean.Seconds()
			}
		}
		rate := float64(spec.Targets*spec.Slots) * float64(weight) / busy
		if minRate == 0 || rate < minRate {
			minRate = rate
		}
	}
	return minRate * float64(services)
}

// standardExperiment returns an experiment with the settings that the standard experiments share.
func standardExperiment(name string, seed uint64, duration time.Duration) Experiment {
	return Experiment{
		Name: name, Seed: seed, SettleTime: settleTime, WarmUpTime: warmUpTime, Duration: duration, Rate: steadyRate, Mix: StandardMix, Fleet: twentyTargetFleet(),
		Rules: StandardRules,
	}
}

// Quick returns the set of experiments that is sized to end within two minutes.
func Quick(seed uint64) []Experiment {
	straggler := standardExperiment(Straggler, seed, 8*time.Second)
	straggler.Faults = []Fault{{At: 0, Name: "slow", Inject: func(run *Run) { run.Target(0).SetServiceTimeFactor(stragglerFactor) }}}

	overload := standardExperiment(Overload, seed, 5*time.Second)
	overload.Fleet = twoDeskFleet()
	overload.Rate = overloadFactor * Capacity(overload.Fleet, StandardMix)

	coldRestart := standardExperiment(ColdRestart, seed, 10*time.Second)
	coldRestart.Fleet = twoDeskFleet()
	coldRestart.Rate = highLoadFactor * Capacity(coldRestart.Fleet, StandardMix)
	coldRestart.Faults = []Fault{{At: crashAt, Name: "restart", Inject: func(run *Run) { run.Target(0).Crash() }}}

	dataCentreOut := standardExperiment(DataCentreOut, seed, 16*time.Second)
	dataCentreOut.Rate = faultRate
	dataCentreOut.Faults = []Fault{
		{At: excludeAt, Name: "out", Inject: func(run *Run) { run.PublishRules(excludeRule) }},
		{At: includeAt, Name: "back", Inject: func(run *Run) { run.PublishRules() }},
	}
	dataCentreOut.Violations = countLateWork

	entryFaults := standardExperiment(EntryFaults, seed, 16*time.Second)
	entryFaults.Rate = faultRate
	entryFaults.Faults = []Fault{
		{At: 0, Name: "platform down", Inject: func(run *Run) { run.Fleet.Platform.SetDown(true) }},
		{At: killAt, Name: "kill", Inject: func(run *Run) { run.Kill("entry-03") }},
		{At: suspendAt, Name: "freeze", Inject: func(run *Run) { run.Suspend("entry-05") }},
		{At: resumeAt, Name: "thaw", Inject: func(run *Run) { run.Resume("entry-05") }},
	}
	return []Experiment{standardExperiment(Steady, seed, 8*time.Second), straggler, overload, coldRestart, dataCentreOut, entryFaults}
}

// Full returns the experiments of Quick, one on the whole fleet of the head office, and one with a planned stop of an
// entry process, which is then started again.
func Full(seed uint64) []Experiment {
	wholeFleet := standardExperiment("whole-fleet", seed, 8*time.Second)
	wholeFleet.Fleet = emul.HeadOffice()
	wholeFleet.Rate = 5 * steadyRate
	plannedStop := standardExperiment("graceful-stop", seed, 25*time.Second)
	plannedStop.Rate = faultRate
	plannedStop.Faults = []Fault{{At: 2 * time.Second, Name: "stop entry-02", Inject: func(run *Run) {
		run.Stop("entry-02")
		run.Start("entry-02")
	}}}
	return append(Quick(seed), wholeFleet, plannedStop)
}

// countLateWork counts the work that the targets of the data centre dc-b started later than exclusionBound after the
// exclusion of the data centre, until the rules include it again. It implements Experiment.Violations.
func countLateWork(run *Run) map[string]int {
	excludedAt, recorded := run.RecordedTime("out")
	if !recorded {
		return map[string]int{"the data centre was never taken out": 1}
	}
	includedAt, recorded := run.RecordedTime("back")
	if !recorded {
		includedAt = time.Now()
	}
	return map[string]int{violationLateWork: CountStarted(run.TargetsIn("dc-b"), excludedAt.Add(exclusionBound), includedAt)}
}

// Target returns the target at index i, with all targets in the order of their ids.
func (run *Run) Target(i int) *emul.Target { return run.Fleet.Targets[run.Fleet.IDs()[i]] }
