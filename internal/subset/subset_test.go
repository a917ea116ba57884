package subset_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsiarelay/fuchsiarelay/internal/subset"
)

// unevenFleet returns a fleet of four data centres, each with two processes of high capacity, called strong, and eighteen of
// low capacity, called weak.
func unevenFleet() []subset.Member {
	var out []subset.Member
	for dc := range 4 {
		for i := range 20 {
			m := subset.Member{ID: fmt.Sprintf("10.%d.0.%d:1", dc, i), DataCentre: fmt.Sprint("dc-", dc), Capacity: 0.2}
			if i >= 18 {
				m.Capacity = 0.8
			}
			out = append(out, m)
		}
	}
	return out
}

// totalCapacity returns the total capacity of the chosen members.
func totalCapacity(members []subset.Member, chosen []string) (sum float64) {
	for _, m := range members {
		if slices.Contains(chosen, m.ID) {
			sum += m.Capacity
		}
	}
	return sum
}

// filter returns the members for which f returns true.
func filter(members []subset.Member, f func(i int, m subset.Member) bool) []subset.Member {
	var out []subset.Member
	for i, m := range members {
		if f(i, m) {
			out = append(out, m)
		}
	}
	return out
}

// In a fleet of uneven machines with more processes than a target accepts connections, the processes with the highest
// capacity must be chosen, few enough for each to have more than one connection to a target.
func TestStrongestAreChosen(t *testing.T) {
	fleet := unevenFleet()
	chosen := subset.Choose(subset.Config{}, fleet, 72)
	assert.Equal(t, len(chosen), 8)
	assert.Assert(t, totalCapacity(fleet, chosen) > 6.3)
}

// All processes must be chosen in a small fleet, and in a fleet whose targets have no limit of connections.
func TestAllAreChosen(t *testing.T) {
	fleet := unevenFleet()
	assert.Equal(t, len(subset.Choose(subset.Config{}, fleet, 0)), 80)
	assert.Equal(t, len(subset.Choose(subset.Config{}, fleet[:9], 26)), 9)
	assert.Equal(t, len(subset.Choose(subset.Config{}, nil, 72)), 0)
}

// After the loss of the strong machines of a data centre, enough weak ones of the same data centre are chosen.
func TestWeakProcessesReplaceLostStrongOnes(t *testing.T) {
	for lost := 1; lost <= 2; lost++ {
		fleet := filter(unevenFleet(), func(i int, _ subset.Member) bool { return i < 20-lost || i >= 20 })
		chosen := subset.Choose(subset.Config{MinCapacityFraction: 0.3}, fleet, 72)
		sameDataCentre := filter(fleet, func(_ int, m subset.Member) bool { return m.DataCentre == "dc-0" })
		assert.Assert(t, totalCapacity(sameDataCentre, chosen) >= 0.3*totalCapacity(sameDataCentre, ids(sameDataCentre)), "%d lost: %v", lost, chosen)
		assert.Assert(t, len(chosen) > 8)
	}
}

func ids(members []subset.Member) (out []string) {
	for _, m := range members {
		out = append(out, m.ID)
	}
	return out
}

// When a burst of load makes the strong processes of a data centre busy, others are chosen in addition.
func TestBusyCapacityIsReplaced(t *testing.T) {
	fleet := unevenFleet()
	for i := range fleet {
		fleet[i].Busy = fleet[i].Capacity > 0.5 && fleet[i].DataCentre == "dc-1"
	}
	chosen := subset.Choose(subset.Config{}, fleet, 72)
	assert.Assert(t, len(chosen) > 8+4, "%v", chosen)
	for i := range fleet {
		if fleet[i].Busy {
			assert.Assert(t, slices.Contains(chosen, fleet[i].ID))
		}
	}
}

// The choice must not depend on the order of the members. After the loss of a chosen process, at most one other must be chosen
// in addition.
func TestChoiceIsIndependentOfOrder(t *testing.T) {
	fleet := unevenFleet()
	for i := range fleet {
		fleet[i].Capacity = 0.4
	}
	chosen := subset.Choose(subset.Config{}, slices.Clone(fleet), 72)
	slices.Reverse(fleet)
	assert.DeepEqual(t, subset.Choose(subset.Config{}, slices.Clone(fleet), 72), chosen)
	rest := slices.DeleteFunc(slices.Clone(fleet), func(m subset.Member) bool { return m.ID == chosen[0] })
	next := subset.Choose(subset.Config{}, rest, 72)
	added := 0
	for _, id := range next {
		if !slices.Contains(chosen, id) {
			added++
		}
	}
	assert.Assert(t, added <= 1, "%d others are new", added)
}

// An overloaded core must make a process busy within half a second, and the process must stop being busy within a second
// after the overload.
func TestOverloadDetector(t *testing.T) {
	var d subset.OverloadDetector
	ticksUntilChange := func(late time.Duration) (ticks int) {
		was := d.Observe(late)
		for ticks = 1; ticks < 100 && d.Observe(late) == was; ticks++ {
		}
		return ticks
	}
	for range 50 {
		assert.Assert(t, !d.Observe(time.Millisecond))
	}
	assert.Assert(t, ticksUntilChange(40*time.Millisecond) <= 5)
	assert.Assert(t, ticksUntilChange(time.Millisecond) <= 10)
	// A single long suspension of the process must not make it busy.
	d = subset.OverloadDetector{}
	d.Observe(time.Minute)
	for range 8 {
		d.Observe(0)
	}
	assert.Assert(t, !d.Observe(0))
}
