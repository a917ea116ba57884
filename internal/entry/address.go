package entry

import (
	"net/netip"
	"slices"

	"github.com/fuchsiarelay/fuchsiarelay/internal/lineup"
)

// nearEnough is the number of processes in the caller's own data centre from which the others aren't named. With one, a
// kill would leave its callers without an address until they ask again.
const nearEnough = 2

// address is where one process takes requests.
type address struct {
	addr       netip.AddrPort
	dataCentre string
	capacity   float64 // of its VM, in cores
	busy       bool
	chosen     bool // callers are told of it
}

// directory is what callers are told.
type directory struct {
	list     []address
	doubtful bool // most processes have disappeared at once; the links of this one may be at fault
}

// choose marks the processes that callers are told of. Connections is what each target bears from the fleet.
func (d *directory) choose(connections int) {
	members := make([]lineup.Member, len(d.list))
	for i, a := range d.list {
		members[i] = lineup.Member{ID: a.addr.String(), DataCentre: a.dataCentre, Capacity: a.capacity, Busy: a.busy}
	}
	chosen := lineup.Choose(lineup.Config{}, members, connections)
	for i := range d.list {
		_, d.list[i].chosen = slices.BinarySearch(chosen, members[i].ID)
	}
}

// chosen returns the addresses that callers are told of.
func (d *directory) chosen() []netip.AddrPort {
	var out []netip.AddrPort
	for _, a := range d.list {
		if a.chosen {
			out = append(out, a.addr)
		}
	}
	return out
}

// addresses returns the addresses for callers of a data centre. A process nearby saves a connection and a request two
// trips between data centres. While the own links may be at fault, all are named: those nearby may be cut off as well.
func (d *directory) addresses(dataCentre string) []netip.AddrPort {
	var near, all []netip.AddrPort
	for _, a := range d.list {
		if !a.chosen && !d.doubtful {
			continue
		}
		all = append(all, a.addr)
		if a.dataCentre == dataCentre {
			near = append(near, a.addr)
		}
	}
	if d.doubtful || dataCentre == "" || len(near) < nearEnough {
		return all
	}
	return near
}
