package fanout

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsiarelay/fuchsiarelay/internal/place"
	"github.com/fuchsiarelay/fuchsiarelay/internal/table"
)

// shards returns the names of n services, one for each shard.
func shards(n int) (out []string) {
	for i := range n {
		out = append(out, fmt.Sprintf("shard-%02d", i))
	}
	return out
}

// gatherRoute returns a gather route of n shards that can do without a tenth of them.
func gatherRoute(n int) *table.Route {
	return &table.Route{Name: "search", Kind: table.Safe, Timeout: 800 * time.Millisecond, LatencyGoal: 80 * time.Millisecond, MaxAttempts: 2, Gather: shards(n), MaxRecords: 50, MinCoverage: 0.89}
}

// simulateLoad simulates a load twice, with the plan and with the baseline rule (sim.baseline), and returns sim.value of the
// requests between from and to for both. The function configure sets up the targets before each simulation.
func simulateLoad(t *testing.T, configure func(s *sim), perSecond float64, from, to time.Duration) (value, baseline float64) {
	t.Helper()
	for _, useBaseline := range []bool{false, true} {
		s := newSim(7, 8, shards(10), 2)
		s.baseline = useBaseline
		configure(s)
		route := gatherRoute(10)
		work := s.logNormal(7500*time.Microsecond, 0.35)
		s.startPoisson(func(time.Duration) float64 { return perSecond }, to, func() { s.request(route, 800*time.Millisecond, work) })
		s.run(to + 2*time.Second)
		if useBaseline {
			baseline = s.value(from, to)
		} else {
			value = s.value(from, to)
		}
	}
	t.Logf("value %.3f, baseline %.3f", value, baseline)
	return value, baseline
}

// Targets pause for 100 ms every 2.4 s, each at a different time, so that a pause delays one request in three.
func TestSimulatedPauses(t *testing.T) {
	value, baseline := simulateLoad(t, func(s *sim) {
		n := 0
		for _, name := range shards(10) {
			for _, target := range s.byService[name] {
				n++
				phase := time.Duration(n*977%2400) * time.Millisecond
				s.targets[target.ID].pauseLeft = func(at time.Duration) time.Duration {
					sincePause := (at + phase) % (2400 * time.Millisecond)
					return max(100*time.Millisecond-sincePause, 0)
				}
			}
		}
	}, 150, time.Second, 12*time.Second)
	assert.Assert(t, value > 0.97, "value %v", value)
	assert.Assert(t, value > baseline+0.1, "value %v, baseline %v", value, baseline)
}

// Two shards have one target left each, and it is slow. Each of the two targets can serve two thirds of the load, and
// the route can do without one of ten shards. If every query were sent to both shards, none would be answered in time.
func TestSimulatedOverloadedShards(t *testing.T) {
	value, baseline := simulateLoad(t, func(s *sim) {
		for i := range 2 {
			for j := range 3 {
				target := s.targets[fmt.Sprintf("shard-%02d-t%d", i, j)]
				target.down = j > 0
				target.slowdown = func(time.Duration) float64 { return 4 }
			}
		}
	}, 100, 2*time.Second, 10*time.Second)
	assert.Assert(t, value > 0.4, "value %v", value)
	assert.Assert(t, value > baseline+0.3, "value %v, baseline %v", value, baseline)
}

// Four targets are eight times slower for six seconds. The other targets must soon get their requests, and the value must
// recover afterwards.
func TestSimulatedSlowTargets(t *testing.T) {
	configure := func(s *sim) {
		for i := range 4 {
			s.targets[fmt.Sprintf("shard-%02d-t%d", 2*i, i%3)].slowdown = func(at time.Duration) float64 {
				if at > 3*time.Second && at < 9*time.Second {
					return 8
				}
				return 1
			}
		}
	}
	value, baseline := simulateLoad(t, configure, 150, 3*time.Second, 9*time.Second)
	assert.Assert(t, value > 0.93, "value %v", value)
	assert.Assert(t, value > baseline+0.2, "value %v, baseline %v", value, baseline)
	after, _ := simulateLoad(t, configure, 150, 10*time.Second, 14*time.Second)
	assert.Assert(t, after > 0.97, "value %v after the slow period", after)
}

// Compares a fleet whose callers use all 80 processes with one whose callers use only 8 of them. Targets accept 72
// connections each, of which the fleet keeps keptConnections. They pause every 2.4 s, and one in six is five times slower for
// six seconds. If callers use all 80 processes, half of these have a connection to a given target, and each sends to the
// target about once a second. If callers use 8 processes, each has five connections to a target and detects quickly that the
// target is slow.
func TestSimulatedFewProcesses(t *testing.T) {
	simulate := func(processes int, maxOpenShare float64) float64 {
		s := newSim(7, processes, shards(36), 4)
		s.maxOpenShareForHedge = maxOpenShare
		const keptConnections = 41 // connections to each target that the fleet keeps in total
		for i, process := range s.processes {
			process.maxIdle, process.idle = map[string]int{}, map[string]int{}
			for j, id := range slices.Sorted(maps.Keys(s.targets)) {
				process.maxIdle[id] = keptConnections / processes
				if (i+j)%processes < keptConnections%processes {
					process.maxIdle[id]++
				}
				process.idle[id] = process.maxIdle[id]
			}
			process.balancer = place.New(place.Config{DataCentre: "here", HasIdle: func(id string) bool { return process.idle[id] > 0 }})
		}
		for i, id := range slices.Sorted(maps.Keys(s.targets)) {
			phase := time.Duration(i*977%2400) * time.Millisecond
			s.targets[id].pauseLeft = func(at time.Duration) time.Duration {
				return max(100*time.Millisecond-(at+phase)%(2400*time.Millisecond), 0)
			}
			if i%6 == 0 {
				s.targets[id].slowdown = func(at time.Duration) float64 {
					if at > 2*time.Second && at < 8*time.Second {
						return 5
					}
					return 1
				}
			}
		}
		route := gatherRoute(36)
		route.LatencyGoal = 50 * time.Millisecond
		route.MinCoverage = 0.95
		work := s.logNormal(7500*time.Microsecond, 0.35)
		s.startPoisson(func(time.Duration) float64 { return 100 }, 12*time.Second, func() { s.request(route, 800*time.Millisecond, work) })
		s.run(14 * time.Second)
		return s.value(time.Second, 12*time.Second)
	}
	withAll, withFew, hedgedAtOnce := simulate(80, 0), simulate(8, 0), simulate(8, 1)
	t.Logf("value with 80 processes %.3f, with 8 processes %.3f, with 8 processes that hedge every late attempt at once %.3f", withAll, withFew, hedgedAtOnce)
	assert.Assert(t, withFew > hedgedAtOnce+0.03, "value %v, %v if every late attempt is hedged at once", withFew, hedgedAtOnce)
	assert.Assert(t, withFew > 0.8, "value %v", withFew) // the required value while targets are in trouble
	assert.Assert(t, withFew > withAll+0.05, "value %v with 8 processes, %v with 80", withFew, withAll)
}
