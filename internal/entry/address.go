package entry

import "net/netip"

// nearEnough is the number of processes in the caller's own data centre from which the others aren't named. With one, a
// kill would leave its callers without an address until they ask again.
const nearEnough = 2

// address is where one process takes requests.
type address struct {
	addr       netip.AddrPort
	dataCentre string
}

// directory is what callers are told.
type directory struct {
	list     []address
	doubtful bool // most processes have disappeared at once; the links of this one may be at fault
}

// addresses returns the addresses for callers of a data centre. A process nearby saves a connection and a request two
// trips between data centres. While the own links may be at fault, all are named: those nearby may be cut off as well.
func (d *directory) addresses(dataCentre string) []netip.AddrPort {
	var near, all []netip.AddrPort
	for _, a := range d.list {
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
