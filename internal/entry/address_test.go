package entry

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"
)

func TestAddressesPreferCallersDataCentre(t *testing.T) {
	d := &directory{connectionsPerTarget: 72}
	for i, dc := range []string{"a", "a", "a", "b", "c", "c"} {
		d.processes = append(d.processes, entryProcess{addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1), dataCentre: dc, capacity: 0.4})
	}
	d.choose()
	assert.Equal(t, len(d.addresses("a")), 3)
	assert.Equal(t, len(d.addresses("c")), 2)
	assert.Equal(t, len(d.addresses("b")), 6) // there are fewer than minLocalProcesses processes in b
	assert.Equal(t, len(d.addresses("elsewhere")), 6)
	assert.Equal(t, len(d.addresses("")), 6)
	// A process that has lost most of the other processes may be cut off together with its whole data centre.
	d.majorityLost = true
	assert.Equal(t, len(d.addresses("a")), 6)
}

// In a fleet with more processes than its targets accept connections from, callers get the addresses of the processes with
// the highest capacity in their own data centre. While majorityLost is set, they get those of all processes.
func TestAddressesPreferHighCapacity(t *testing.T) {
	d := &directory{connectionsPerTarget: 72}
	for i := range 80 {
		p := entryProcess{addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1), dataCentre: []string{"a", "b"}[i%2], capacity: 0.2}
		if i < 12 {
			p.capacity = 0.8
		}
		d.processes = append(d.processes, p)
	}
	d.choose()
	got := d.addresses("b")
	assert.Assert(t, len(got) >= 2 && len(got) <= 6, "%v", got)
	for _, addr := range got {
		assert.Assert(t, addr.Addr().As4()[3] < 12 && addr.Addr().As4()[3]%2 == 1, "%s", addr)
	}
	d.majorityLost = true
	assert.Equal(t, len(d.addresses("b")), 80)
}

// The listener that answers address requests opens before Run is called, so Addresses must not need anything that Run sets.
func TestAddressesBeforeRun(t *testing.T) {
	assert.Equal(t, len((&Entry{}).Addresses("a")), 0)
}
