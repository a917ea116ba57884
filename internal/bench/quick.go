package bench

import (
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/internal/emul"
)

// Times of the standard experiments. Property P4 in section 1.2 of docs/design.md requires that an excluded data centre
// receives no new work after a bound.
const (
	settleTime     = 9 * time.Second // StartWait and GrowDelay together, after which dispatchers have their full shares
	warmUpTime     = 2 * time.Second // of load before the measured time, after which levels and latencies are known
	exclusionBound = 3 * time.Second // longest time for which an excluded data centre receives new work (P4)
	excludeAt      = 2 * time.Second
	includeAt      = 8 * time.Second
	crashAt        = 2 * time.Second
	killAt         = 2 * time.Second
	freezeAt       = 3 * time.Second
	thawAt         = 13 * time.Second
)

// Names of the standard experiments.
const (
	Steady        = "steady"
	Straggler     = "straggler"
	Overload      = "overload"
	ColdStart     = "cold-restart"
	DataCentreOut = "data-centre-out"
	EntryFaults   = "entry-faults"
)

// Loads of the standard experiments.
const (
	steadyRate      = 600 // requests a second; 100 for each service, about a quarter of the capacity of a desk service
	faultRate       = 300 // requests a second
	overloadFactor  = 3   // times the capacity
	fullLoadFactor  = 0.8 // of the capacity
	stragglerFactor = 20  // factor on the service time
	excludedRule    = "exclude data_centre dc-b # bench: power work"
)

// Rules is the text of the rules that all standard experiments publish.
const Rules = `class inspector deadline=2s min_coverage=1.0 prefer=coverage priority=0   # bench: checks of whole answers
class counter deadline=300ms min_coverage=0.9 prefer=latency priority=1   # bench: staff waits at the counter
`

// Mix is the load of all standard experiments.
var Mix = []LoadShare{
	{Class: "inspector", Tenant: "harbor", Weight: 20, Deadline: 2 * time.Second, MinCoverage: 1},
	{Class: "counter", Tenant: "head-office", Weight: 75, Deadline: 300 * time.Millisecond, MinCoverage: 0.9},
	{Class: "counter", Tenant: "head-office", Weight: 5, Deadline: time.Second, Order: true},
}

// twentyTargets returns a fleet with twenty targets: four desks, the van planner and billing, each with the size that
// docs/design.md section 1.6 states for this service.
func twentyTargets() emul.Spec {
	s := emul.HeadOffice()
	desk, van, billing := s.Services[0], s.Services[2], s.Services[4]
	desk.Count = 4
	s.Services = []emul.ServiceSpec{desk, van, billing}
	return s
}

// twoDesks returns a fleet with two desks. Desks are the services with the fewest slots, so that a load beyond their
// capacity stays small enough to be generated.
func twoDesks() emul.Spec {
	s := emul.HeadOffice()
	s.Services = s.Services[:1]
	s.Services[0].Count = 2
	return s
}

// Capacity returns the highest rate, in requests a second, that the slots of all targets can serve with the mix, if each
// query is sent to the fewest targets that hold all shards and no time passes between two sub-requests in a slot. An
// order occupies one slot of one target and opens a new connection.
func Capacity(s emul.Spec, mix []LoadShare) float64 {
	least, services := 0.0, 0
	built := s.Build().Services
	for _, spec := range s.Services {
		services += spec.Count
		subs := float64(greedyCoverSize(built[services-1].Partitions[0]))
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
		if least == 0 || rate < least {
			least = rate
		}
	}
	return least * float64(services)
}

// standardExperiment returns an experiment with the settings that the standard experiments share.
func standardExperiment(name string, seed uint64, d time.Duration) Experiment {
	return Experiment{
		Name: name, Seed: seed, SettleTime: settleTime, WarmUpTime: warmUpTime, Duration: d, Rate: steadyRate, Mix: Mix, Fleet: twentyTargets(),
		Rules: Rules,
	}
}

// Quick returns the set of experiments that ends within two minutes.
func Quick(seed uint64) []Experiment {
	straggler := standardExperiment(Straggler, seed, 8*time.Second)
	straggler.Faults = []Fault{{At: 0, Name: "slow", Inject: func(w *Run) { w.Target(0).SetServiceTimeFactor(stragglerFactor) }}}

	overload := standardExperiment(Overload, seed, 5*time.Second)
	overload.Fleet = twoDesks()
	overload.Rate = overloadFactor * Capacity(overload.Fleet, Mix)

	cold := standardExperiment(ColdStart, seed, 10*time.Second)
	cold.Fleet = twoDesks()
	cold.Rate = fullLoadFactor * Capacity(cold.Fleet, Mix)
	cold.Faults = []Fault{{At: crashAt, Name: "restart", Inject: func(w *Run) { w.Target(0).Crash() }}}

	out := standardExperiment(DataCentreOut, seed, 16*time.Second)
	out.Rate = faultRate
	out.Faults = []Fault{
		{At: excludeAt, Name: "out", Inject: func(w *Run) { w.PublishRules(excludedRule) }},
		{At: includeAt, Name: "back", Inject: func(w *Run) { w.PublishRules() }},
	}
	out.Violations = countLateWork

	lost := standardExperiment(EntryFaults, seed, 16*time.Second)
	lost.Rate = faultRate
	lost.Faults = []Fault{
		{At: 0, Name: "platform down", Inject: func(w *Run) { w.Fleet.Platform.SetDown(true) }},
		{At: killAt, Name: "kill", Inject: func(w *Run) { w.Kill("entry-03") }},
		{At: freezeAt, Name: "freeze", Inject: func(w *Run) { w.Freeze("entry-05") }},
		{At: thawAt, Name: "thaw", Inject: func(w *Run) { w.Thaw("entry-05") }},
	}
	return []Experiment{standardExperiment(Steady, seed, 8*time.Second), straggler, overload, cold, out, lost}
}

// Full returns the experiments of Quick, one on the whole fleet of the head office, and one in which an entry process is
// stopped gracefully and started again.
func Full(seed uint64) []Experiment {
	whole := standardExperiment("whole-fleet", seed, 8*time.Second)
	whole.Fleet = emul.HeadOffice()
	whole.Rate = 5 * steadyRate
	stop := standardExperiment("graceful-stop", seed, 25*time.Second)
	stop.Rate = faultRate
	stop.Faults = []Fault{{At: 2 * time.Second, Name: "stop entry-02", Inject: func(w *Run) {
		w.Stop("entry-02")
		w.Start("entry-02")
	}}}
	return append(Quick(seed), whole, stop)
}

// countLateWork counts the work that the targets of an excluded data centre started later than exclusionBound
// after the exclusion.
func countLateWork(w *Run) map[string]int {
	out, marked := w.RecordedTime("out")
	if !marked {
		return map[string]int{"the data centre was never taken out": 1}
	}
	back, marked := w.RecordedTime("back")
	if !marked {
		back = time.Now()
	}
	return map[string]int{violationLateWork: CountStarted(w.TargetsIn("dc-b"), out.Add(exclusionBound), back)}
}

// Target returns the target at index i of all targets in the order of their ids.
func (w *Run) Target(i int) *emul.Target { return w.Fleet.Targets[w.Fleet.IDs()[i]] }
