package entry

import (
	"net/netip"
	"slices"

	"github.com/fuchsiarelay/fuchsiarelay/internal/subset"
)

// minNearby is the number of processes in the caller's own data centre from which only these are returned to the caller.
// With a minimum of one, the loss of that process would leave its callers without an address until they request the
// addresses again.
const minNearby = 2

// address is where one entry process accepts requests, with the properties of the process that decide whether callers are
// told of it.
type address struct {
	addr       netip.AddrPort
	dataCentre string
	capacity   float64 // of its VM, in cores
	busy       bool    // the process has no room for more requests
}

// directory holds the entry processes that callers may be told of.
type directory struct {
	list         []address // all processes that accept requests
	connections  int       // that each target accepts from the whole fleet; 0 for no limit
	majorityLost bool      // most processes have disappeared at once, so the network links of this process may be at fault
	chosen       []address // the processes of list that callers are told of, unless majorityLost is set
}

// choose sets chosen from the other fields.
func (d *directory) choose() {
	members := make([]subset.Member, len(d.list))
	for i, a := range d.list {
		members[i] = subset.Member{ID: a.addr.String(), DataCentre: a.dataCentre, Capacity: a.capacity, Busy: a.busy}
	}
	chosen := subset.Choose(subset.Config{}, members, d.connections)
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

// addresses returns the addresses for callers in a data centre. A process in the caller's own data centre saves two trips
// between data centres, for a new connection and for each request. While the network links of this process may be at fault,
// the addresses of all processes are returned, since the processes in the caller's data centre may be cut off too.
func (d *directory) addresses(dataCentre string) []netip.AddrPort {
	candidates := d.chosen
	if d.majorityLost {
		candidates = d.list
	}
	var near, all []netip.AddrPort
	for _, a := range candidates {
		all = append(all, a.addr)
		if a.dataCentre == dataCentre {
			near = append(near, a.addr)
		}
	}
	if d.majorityLost || dataCentre == "" || len(near) < minNearby {
		return all
	}
	return near
}
