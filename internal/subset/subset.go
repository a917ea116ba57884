// Package subset chooses the entry processes whose addresses callers get, and divides the reserves of the fleet between the
// chosen processes and the others, the standbys. It also detects whether a process is overloaded. It does no I/O and reads no
// clock.
//
// # Usage
//
//	chosen := subset.Choose(subset.Config{}, members, connections)
//	busy := overloadDetector.Observe(late)             // at each timer tick; the value of Member.Busy for this process
//	share := reserveShare.Share(now, subset.FleetCounts{Size: 80, ChosenCount: len(chosen), StandbyCount: 72, IsChosen: true})
//
// All processes that know the same members choose the same ones.
//
// # Load pattern
//
// A fleet has machines of different capacity, and more processes than a target accepts connections. If callers used all
// processes, each process would use each target only about once a second. A connection would be opened for a single request,
// a retry or hedge would have to dial first, what a process has learned of a slow target would be out of date, and machines
// with slow links and slow cores would serve as many callers as others. Callers therefore get the addresses of the processes
// with the highest capacity in each data centre, as many as the load needs. The standbys take over when chosen processes are
// gone or busy.
package subset

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Config holds the parameters of Choose. Zero fields take the defaults.
type Config struct {
	MinCapacityFraction float64 // minimum fraction of the capacity of a data centre that is chosen, 0..1
	MinProcesses        int     // minimum number of chosen processes in a data centre, if it has as many
	ConnsPerTarget      int     // number of connections that a process should be able to have to each target
}

// Defaults of Config.
const (
	// DefaultMinCapacityFraction is enough for five times the load of a fleet that uses a twenty-fifth of its capacity.
	DefaultMinCapacityFraction = 0.2
	// DefaultMinProcesses leaves the callers of a data centre another address when one process is lost.
	DefaultMinProcesses = 2
	// DefaultConnsPerTarget is one connection that is in use, and one for a second request at the same time.
	DefaultConnsPerTarget = 2
)

// Member is an entry process that accepts requests.
type Member struct {
	ID         string
	DataCentre string
	Capacity   float64 // in cores; if all processes of a data centre state 0, all are chosen
	Busy       bool    // the process is overloaded, as reported by OverloadDetector.Observe
}

// Choose returns the sorted IDs of the chosen processes. Each target accepts at most the given number of connections from
// the whole fleet; 0 means no limit. If this is enough for Config.ConnsPerTarget connections of each process, all processes
// are chosen.
func Choose(cfg Config, members []Member, connections int) []string {
	cfg.MinCapacityFraction = cmp.Or(cfg.MinCapacityFraction, DefaultMinCapacityFraction)
	cfg.MinProcesses = cmp.Or(cfg.MinProcesses, DefaultMinProcesses)
	cfg.ConnsPerTarget = cmp.Or(cfg.ConnsPerTarget, DefaultConnsPerTarget)
	var out []string
	all := connections == 0 || cfg.ConnsPerTarget*len(members) <= connections
	byDC := map[string][]Member{}
	for _, m := range members {
		byDC[m.DataCentre] = append(byDC[m.DataCentre], m)
	}
	for _, group := range byDC {
		if all {
			for _, m := range group {
				out = append(out, m.ID)
			}
			continue
		}
		out = append(out, chooseByCapacity(cfg, group)...)
	}
	slices.Sort(out)
	return out
}

// chooseByCapacity returns the IDs of the chosen processes of one data centre. It chooses them in order of capacity, highest
// first, until they have the capacity and number that Config requires. The capacity of a busy process doesn't count, so that
// others are chosen in addition.
func chooseByCapacity(cfg Config, group []Member) []string {
	slices.SortFunc(group, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)))
	})
	var total, sum float64
	for _, m := range group {
		total += m.Capacity
	}
	var out []string
	for _, m := range group {
		if total > 0 && len(out) >= cfg.MinProcesses && sum >= cfg.MinCapacityFraction*total {
			break
		}
		out = append(out, m.ID)
		if !m.Busy {
			sum += m.Capacity
		}
	}
	return out
}

// Constants of OverloadDetector.
const (
	// latenessDecay is the weight of earlier observations in the moving average. With ten observations a second, an overload that
	// lasts for half a second is detected.
	latenessDecay = 0.8
	// busyAbove is the mean lateness above which a process is busy: a third of the shortest latency goals of callers, 40 to
	// 50 ms.
	busyAbove = 15 * time.Millisecond
	// freeBelow is the mean lateness below which a process is no longer busy. It is above the scheduling delay of a process
	// that has spare capacity on a fraction of a core.
	freeBelow = 6 * time.Millisecond
	// maxLateness limits a single observation, since a process that was suspended has not been busy.
	maxLateness = 200 * time.Millisecond
)

// OverloadDetector detects from the lateness of timers that a process is busy: on a fully used core, all work has to wait. The
// zero value is ready for use.
type OverloadDetector struct {
	mean time.Duration // moving average of the lateness
	busy bool          // last result of Observe
}

// Observe records how late a timer was, and reports whether the process is busy.
func (d *OverloadDetector) Observe(late time.Duration) (busy bool) {
	late = min(max(late, 0), maxLateness)
	d.mean = time.Duration(latenessDecay*float64(d.mean) + (1-latenessDecay)*float64(late))
	switch {
	case d.mean > busyAbove:
		d.busy = true
	case d.mean < freeBelow:
		d.busy = false
	}
	return d.busy
}
