package entry

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"
)

func TestAddressesNearby(t *testing.T) {
	d := &directory{}
	for i, dc := range []string{"a", "a", "a", "b", "c", "c"} {
		d.list = append(d.list, address{netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1), dc})
	}
	assert.Equal(t, len(d.addresses("a")), 3)
	assert.Equal(t, len(d.addresses("c")), 2)
	assert.Equal(t, len(d.addresses("b")), 6) // one alone isn't enough
	assert.Equal(t, len(d.addresses("elsewhere")), 6)
	assert.Equal(t, len(d.addresses("")), 6)
	// A process that has lost most of the others may be cut off with its whole data centre.
	d.doubtful = true
	assert.Equal(t, len(d.addresses("a")), 6)
}
