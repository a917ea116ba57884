package entry

import (
	"net/netip"
	"slices"

	"github.com/fuchsiarelay/fuchsiarelay/internal/lineup"
)

// minNearby is the number of processes in the caller's own data centre from which the others aren't named. With one, a
// kill would leave its callers without an address until they ask again.
const minNearby = 2

// address is where one process takes requests.
type address struct {
	addr       netip.AddrPort
	dataCentre string
	capacity   float64 // of its VM, in cores
	busy       bool
}

// directory is what callers are told.
type directory struct {
	list        []address // of all processes that take requests
	connections int       // that each target bears from the fleet
	doubtful    bool      // most processes have disappeared at once; the links of this one may be at fault
	chosen      []address // those of list that callers are told of, unless it is doubtful
}

// choose sets chosen from the other fields.
func (d *directory) choose() {
	members := make([]lineup.Member, len(d.list))
	for i, a := range d.list {
		members[i] = lineup.Member{ID: a.addr.String(), DataCentre: a.dataCentre, Capacity: a.capacity, Busy: a.busy}
	}
	chosen := lineup.Choose(lineup.Config{}, members, d.connections)
	d.chosen = nil
	for i, a := range d.list {
		if _, ok := slices.BinarySearch(chosen, members[i].ID); ok {
			d.chosen = append(d.chosen, a)
		}
	}
}

// chosenAddrs returns the addresses of the chosen processes.
func (d *directory) chosenAddrs() []netip.AddrPort {
	var out []netip.AddrPort
	for _, a := range d.chosen {
		out = append(out, a.addr)
	}
	return out
}

// addresses returns the addresses for callers of a data centre. A process nearby saves a connection and a request two
// trips between data centres. While the own links may be at fault, all are named: those nearby may be cut off as well.
func (d *directory) addresses(dataCentre string) []netip.AddrPort {
	candidates := d.chosen
	if d.doubtful {
		candidates = d.list
	}
	var near, all []netip.AddrPort
	for _, a := range candidates {
		all = append(all, a.addr)
		if a.dataCentre == dataCentre {
			near = append(near, a.addr)
		}
	}
	if d.doubtful || dataCentre == "" || len(near) < minNearby {
		return all
	}
	return near
}
