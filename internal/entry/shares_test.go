package entry

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/fuchsiarelay/fuchsiarelay/internal/roster"
	"github.com/fuchsiarelay/fuchsiarelay/internal/subset"
	"github.com/fuchsiarelay/fuchsiarelay/internal/table"
)

// totalConnections returns how many connections all processes of a fleet of n, of which some are chosen, may open to a target
// that accepts 72.
func totalConnections(n, chosen int, target string, recentStart bool) (sum int) {
	rt := table.New()
	rt.SetConfig(table.Config{Version: 1, Services: []table.Service{{Name: "s", MaxConnections: 72}}})
	view := rt.View()
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

// For any size of the fleet, the processes together must stay within the number of connections that a target accepts, and use
// at least 30 of them, or one for each chosen process. After a power failure, one connection of each restarted process must
// fit beside the connections that the lost processes have left open: one for each process and target, or as many as the
// fleet uses if it is large.
func TestConnectionsOfAllProcesses(t *testing.T) {
	for _, n := range []int{1, 2, 8, 9, 13, 35, 36, 37, 51, 52, 80, 300} {
		for _, chosen := range []int{n, max(n/3, 1), max(n/10, 1)} {
			for _, target := range []string{"a", "b", "c"} {
				steady, restarted := totalConnections(n, chosen, target, false), totalConnections(n, chosen, target, true)
				minConnections := 30
				if chosen < n {
					minConnections = min(30, chosen) // one for each chosen process
				}
				assert.Assert(t, steady <= 72 && steady >= minConnections, "%d processes, %d chosen: %d connections", n, chosen, steady)
				leftOpen := min(steady, n)
				if 2*n > 72 {
					leftOpen = steady
				}
				assert.Assert(t, leftOpen+min(restarted, n) <= 72, "%d processes, %d chosen: %d connections beside %d", n, chosen, restarted, leftOpen)
			}
		}
	}
}

// The 8 chosen ones of 80 processes must have enough connections to a target for a retry or hedge beside the first send.
func TestConnectionsOfChosenProcesses(t *testing.T) {
	assert.Equal(t, totalConnections(80, 8, "a", false), 8*5)
	assert.Equal(t, totalConnections(80, 8, "a", true), 8*3)
}

// For any size of the fleet, the processes together must send a cold target no more requests than it accepts in any second,
// even while only some processes know of a change of the chosen processes.
func TestColdLimitsOfAllProcesses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 300).Draw(t, "processes")
		perSecond := rapid.Float64Range(0.5, 60).Draw(t, "per second")
		maxPerSecond := perSecond*1.5 + 5
		rt := table.New()
		rt.SetConfig(table.Config{Version: 1, Services: []table.Service{{Name: "s", WarmupRequestsPerSecond: perSecond}}})
		var all []netip.AddrPort
		for i := range n {
			all = append(all, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i % 250)}), 1))
		}
		chosen := rapid.IntRange(1, n).Draw(t, "chosen")
		before, after := all[:chosen], all[:max(chosen-rapid.IntRange(0, 1).Draw(t, "lost"), 1)]
		target := &table.Target{ID: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "target"), Service: "s"}
		sum := 0
		for _, self := range all {
			old := newShares(n, false, self, before, rt.View())
			s := old
			if rapid.Bool().Draw(t, "knows") {
				s = newShares(n, false, self, after, rt.View())
				s.since, s.previous = time.Now(), old
			}
			e := &Entry{Bounds: Bounds{WarmupOverage: 1.5, WarmupSlack: 5}}
			e.shares.Store(s)
			sum += e.coldLimit(target)
		}
		assert.Assert(t, float64(sum) <= maxPerSecond, "%d of %f", sum, maxPerSecond)
		assert.Assert(t, sum > 0)
	})
}

// Processes in a planned stop still serve callers. While several stop at once, the fleet must send a cold target no more requests
// than it accepts in any second.
func TestColdTargetGetsTooMuchWhileProcessesStop(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 100).Draw(t, "processes")
		perSecond := rapid.Float64Range(0.5, 60).Draw(t, "per second")
		rt := table.New()
		rt.SetConfig(table.Config{Version: 1, Services: []table.Service{{Name: "s", WarmupRequestsPerSecond: perSecond}}})
		var all []netip.AddrPort
		for i := range n {
			all = append(all, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i % 250)}), 1))
		}
		stopping := rapid.IntRange(1, n-1).Draw(t, "stopping")
		target := &table.Target{ID: "a", Service: "s"}
		sum := 0
		for i, self := range all {
			s := newShares(n, false, self, all, rt.View())
			if i >= stopping {
				// It has learned of the stops more than coldTransition ago.
				recent := subset.Recent[netip.AddrPort]{Window: roster.DefaultShrinkDelay, Compare: netip.AddrPort.Compare}
				recent.Update(time.Now().Add(-4*time.Second), all)
				next := newShares(n, false, self, all[stopping:], rt.View())
				next.senders = recent.Update(time.Now(), all[stopping:])
				next.since, next.previous = time.Now().Add(-2*coldTransition), s
				s = next
			}
			e := &Entry{Bounds: Bounds{WarmupOverage: 1.5, WarmupSlack: 5}}
			e.shares.Store(s)
			sum += e.coldLimit(target)
		}
		assert.Assert(t, float64(sum) <= perSecond*1.5+5, "%d of %f", sum, perSecond*1.5+5)
	})
}
