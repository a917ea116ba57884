// Package lineup chooses which entry processes callers are told of, and divides the reserves of the fleet among these and
// the others. It is pure.
//
// # Usage
//
//	chosen := lineup.Choose(lineup.Config{}, members, connections)
//	busy := lag.Observe(late)                          // for each tick; Member.Busy of this process
//	part := reserve.Part(now, lineup.Fleet{Size: 80, Named: len(chosen), Others: 72, Chosen: true})
//
// All processes that know the same members choose the same ones.
//
// # Load pattern
//
// A fleet that is larger than the connections of its targets, on uneven machines. If callers use all of it, each process
// sees each target about once a second: connections are opened for one request, a second send has to dial first, what was
// learned of a slow target is out of date, and machines with thin links and slow cores serve as many callers as strong
// ones. Callers are therefore told of the strongest processes of each data centre, as many as are needed to bear the
// load; the others stand by, and take over when these are gone or busy.
package lineup

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Config holds the weights. Zero fields take the defaults.
type Config struct {
	Share  float64 // of the capacity of a data centre that must be chosen, 0..1
	Fewest int     // processes of a data centre, if it has as many
	PerVM  int     // connections to each target that a process should have
}

// Defaults of Config.
const (
	// DefaultShare leaves room for five times the load of a fleet that uses a twenty-fifth of its capacity.
	DefaultShare = 0.2
	// DefaultFewest leaves the callers of a data centre an address when one process is lost.
	DefaultFewest = 2
	// DefaultPerVM is one that is in use and one for a second request.
	DefaultPerVM = 2
)

// Member is one process that takes requests.
type Member struct {
	ID         string
	DataCentre string
	Capacity   float64 // in cores; if none states it, all are chosen
	Busy       bool    // has no room for more
}

// Choose returns the IDs of the chosen processes, in order. Connections is what each target bears from the fleet; 0 for no
// bound. If every process can have enough of them, all are chosen.
func Choose(cfg Config, members []Member, connections int) []string {
	cfg.Share = cmp.Or(cfg.Share, DefaultShare)
	cfg.Fewest = cmp.Or(cfg.Fewest, DefaultFewest)
	cfg.PerVM = cmp.Or(cfg.PerVM, DefaultPerVM)
	var out []string
	all := connections == 0 || cfg.PerVM*len(members) <= connections
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
		out = append(out, strongest(cfg, group)...)
	}
	slices.Sort(out)
	return out
}

// strongest chooses among the processes of one data centre. A busy one is chosen in its turn, but doesn't count.
func strongest(cfg Config, group []Member) []string {
	slices.SortFunc(group, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)))
	})
	var total, sum float64
	for _, m := range group {
		total += m.Capacity
	}
	var out []string
	for _, m := range group {
		if total > 0 && len(out) >= cfg.Fewest && sum >= cfg.Share*total {
			break
		}
		out = append(out, m.ID)
		if !m.Busy {
			sum += m.Capacity
		}
	}
	return out
}

// Bounds of Lag.
const (
	// lagKeep is the weight of the past; with ten observations a second, a load of half a second shows.
	lagKeep = 0.8
	// busyAbove is a third of the shortest goals of callers, 40 to 50 ms.
	busyAbove = 15 * time.Millisecond
	// freeBelow is above the scheduling delay of a process that has room on a fraction of a core.
	freeBelow = 6 * time.Millisecond
	// longest bounds one observation: a process that was suspended has not been busy.
	longest = 200 * time.Millisecond
)

// Lag tells from the lateness of timers whether a process has room for more: on a core that is used up, everything waits.
// The zero value is ready for use.
type Lag struct {
	mean time.Duration
	busy bool
}

// Observe takes how late a timer was and reports whether the process is busy.
func (l *Lag) Observe(late time.Duration) (busy bool) {
	late = min(max(late, 0), longest)
	l.mean = time.Duration(lagKeep*float64(l.mean) + (1-lagKeep)*float64(late))
	switch {
	case l.mean > busyAbove:
		l.busy = true
	case l.mean < freeBelow:
		l.busy = false
	}
	return l.busy
}
