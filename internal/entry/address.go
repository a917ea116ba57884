package entry

import (
	"net/netip"
	"slices"

	"github.com/fuchsiarelay/fuchsiarelay/internal/subset"
)

// minLocalProcesses is the number of chosen processes that a data centre must have for its callers to get the addresses of
// these processes only. With a minimum of one, the loss of that process would leave its callers without an address until they
// request the addresses again.
const minLocalProcesses = 2

// entryProcess is one entry process that accepts requests, with the properties that decide whether callers get its address.
type entryProcess struct {
	addr       netip.AddrPort
	dataCentre string
	capacity   float64 // of its VM, in cores
	busy       bool    // the process is overloaded, see subset.OverloadDetector
}

// directory lists the entry processes whose addresses callers may get.
type directory struct {
	processes            []entryProcess // all processes that accept requests
	connectionsPerTarget int            // number of connections that each target accepts from the whole fleet; 0 for no limit
	majorityLost         bool           // most processes have disappeared at once, so the network of this process may be at fault
	chosen               []entryProcess // result of choose; callers get only the addresses of these, unless majorityLost is set
}

// choose sets chosen to the subset of processes that subset.Choose selects.
func (d *directory) choose() {
	members := make([]subset.Member, len(d.processes))
	for i, p := range d.processes {
		members[i] = subset.Member{ID: p.addr.String(), DataCentre: p.dataCentre, Capacity: p.capacity, Busy: p.busy}
	}
	chosen := subset.Choose(subset.Config{}, members, d.connectionsPerTarget)
	d.chosen = nil
	for i, p := range d.processes {
		if _, ok := slices.BinarySearch(chosen, members[i].ID); ok {
			d.chosen = append(d.chosen, p)
		}
	}
}

// chosenAddrs returns the addresses of the chosen processes.
func (d *directory) chosenAddrs() []netip.AddrPort {
	var out []netip.AddrPort
	for _, p := range d.chosen {
		out = append(out, p.addr)
	}
	return out
}

// addresses returns the addresses for callers in a data centre: those of the chosen processes there, or those of all chosen
// processes if dataCentre is empty or has fewer than minLocalProcesses. A process in the caller's own data centre saves a
// round trip between data centres for each new connection and for each request. While majorityLost is set, the addresses of
// all processes are returned, since the processes in the caller's data centre may be cut off too.
func (d *directory) addresses(dataCentre string) []netip.AddrPort {
	candidates := d.chosen
	if d.majorityLost {
		candidates = d.processes
	}
	var local, all []netip.AddrPort
	for _, p := range candidates {
		all = append(all, p.addr)
		if p.dataCentre == dataCentre {
			local = append(local, p.addr)
		}
	}
	if d.majorityLost || dataCentre == "" || len(local) < minLocalProcesses {
		return all
	}
	return local
}
