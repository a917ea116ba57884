package entry

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/fuchsiarelay/fuchsiarelay/internal/table"
)

// totalConnections returns the connections of all processes of a fleet of n to a target that bears 72. Callers are told of the first
// named of them.
func totalConnections(n, chosen int, target string, recentStart bool) (sum int) {
	b := table.New()
	b.SetConfig(table.Config{Version: 1, Services: []table.Service{{Name: "s", Connections: 72}}})
	view := b.View()
	var all []netip.AddrPort
	for i := range n {
		all = append(all, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i % 250)}), 1))
	}
	for _, self := range all {
		s := newShares(n, recentStart, self, all[:chosen], view)
		sum += s.connections(&table.Target{ID: target, Service: "s"})
	}
	return sum
}

// Whatever the size of the fleet, the processes together stay below the connections that a target bears, and use many of
// them. A fleet that has lost power and is back keeps them beside what it has left behind: one for each process and
// target, or what it had kept.
func TestConnectionsOfAllProcesses(t *testing.T) {
	for _, n := range []int{1, 2, 8, 9, 13, 35, 36, 37, 51, 52, 80, 300} {
		for _, chosen := range []int{n, max(n/3, 1), max(n/10, 1)} {
			for _, target := range []string{"a", "b", "c"} {
				steady, restarted := totalConnections(n, chosen, target, false), totalConnections(n, chosen, target, true)
				least := 30
				if chosen < n {
					least = min(30, chosen) // one for each
				}
				assert.Assert(t, steady <= 72 && steady >= least, "%d processes, %d named: %d connections", n, chosen, steady)
				left := min(steady, n)
				if 2*n > 72 {
					left = steady
				}
				assert.Assert(t, left+min(restarted, n) <= 72, "%d processes, %d named: %d connections beside %d", n, chosen, restarted, left)
			}
		}
	}
}

// In a fleet of 80 processes of which 8 are named, these have enough connections for a second send.
func TestConnectionsOfChosenProcesses(t *testing.T) {
	assert.Equal(t, totalConnections(80, 8, "a", false), 8*5)
	assert.Equal(t, totalConnections(80, 8, "a", true), 8*3)
}

// Whatever the size of the fleet, the processes together send a cold target no more than it bears in any second, also while
// they differ on who is named: some know of a change of the lineup, the others don't yet.
func TestColdLimitsOfAllProcesses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 300).Draw(t, "processes")
		perSecond := rapid.Float64Range(0.5, 60).Draw(t, "per second")
		bound := perSecond*1.5 + 5
		b := table.New()
		b.SetConfig(table.Config{Version: 1, Services: []table.Service{{Name: "s", WarmupPerSecond: perSecond}}})
		var all []netip.AddrPort
		for i := range n {
			all = append(all, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i % 250)}), 1))
		}
		chosen := rapid.IntRange(1, n).Draw(t, "named")
		before, after := all[:chosen], all[:max(chosen-rapid.IntRange(0, 1).Draw(t, "lost"), 1)]
		target := &table.Target{ID: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "target"), Service: "s"}
		sum := 0
		for _, self := range all {
			old := newShares(n, false, self, before, b.View())
			s := old
			if rapid.Bool().Draw(t, "knows") {
				s = newShares(n, false, self, after, b.View())
				s.since, s.previous = time.Now(), old
			}
			e := &Entry{Bounds: Bounds{WarmupOverage: 1.5, WarmupSlack: 5}}
			e.shares.Store(s)
			sum += e.coldLimit(target)
		}
		assert.Assert(t, float64(sum) <= bound, "%d of %f", sum, bound)
		assert.Assert(t, sum > 0)
	})
}
