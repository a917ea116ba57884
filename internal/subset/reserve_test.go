package subset_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/fuchsiarelay/fuchsiarelay/internal/subset"
)

const window = 10 * time.Second

// drawShares draws at random which processes of a fleet are chosen in each of 60 seconds, and returns the shares by second
// and process.
func drawShares(t *rapid.T, size int) [][]float64 {
	reserves := make([]subset.ReserveShare, size)
	for i := range reserves {
		reserves[i].Window = window
	}
	start := time.Unix(1000, 0)
	shares := make([][]float64, 60)
	var chosen []bool
	for second := range shares {
		if second == 0 || rapid.IntRange(0, 5).Draw(t, "change") == 0 {
			chosen = rapid.SliceOfN(rapid.Bool(), size, size).Draw(t, "chosen")
		}
		chosenCount := 0
		for _, c := range chosen {
			if c {
				chosenCount++
			}
		}
		shares[second] = make([]float64, size)
		for i := range reserves {
			f := subset.FleetCounts{Size: size, ChosenCount: chosenCount, StandbyCount: size - chosenCount, IsChosen: chosen[i]}
			shares[second][i] = reserves[i].Share(start.Add(time.Duration(second)*time.Second), f)
		}
	}
	return shares
}

// maxTotalUse returns the largest amount that all processes together may use in a window that ends with the given second.
func maxTotalUse(shares [][]float64, end int) (sum float64) {
	for i := range shares[end] {
		used := 0.0
		for s := max(0, end-int(window/time.Second)+1); s <= end; s++ {
			used = max(used, shares[s][i])
		}
		sum += used
	}
	return sum
}

// However the chosen processes change, what all processes together may use in any window must stay within the whole amount.
func TestSharesStayWithinAmount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shares := drawShares(t, rapid.IntRange(1, 12).Draw(t, "size"))
		for end := range shares {
			assert.Assert(t, maxTotalUse(shares, end) <= 1.000001, "%f up to second %d", maxTotalUse(shares, end), end)
		}
	})
}

// During the start of a large fleet, the chosen processes change within the first two seconds. Retries and hedges must be
// possible when callers arrive, 14 s later. After a restart, they must be possible as soon as those before the restart have
// left the window.
func TestShareAfterStart(t *testing.T) {
	for first, ready := range map[bool]time.Duration{true: 12 * time.Second, false: 10 * time.Second} {
		r := subset.ReserveShare{Window: window, FirstOnVM: first}
		start := time.Unix(1000, 0)
		at := func(d time.Duration, chosen bool) float64 {
			return r.Share(start.Add(d), subset.FleetCounts{Size: 295, ChosenCount: 18, StandbyCount: 277, IsChosen: chosen})
		}
		at(0, true) // a restarted process is chosen as before
		if first {
			at(time.Second, false)
			at(2*time.Second, true)
		}
		assert.Assert(t, at(9*time.Second, true) <= 0.2/295)
		assert.Equal(t, at(ready, true), 0.8/18)
	}
}

// The chosen processes of a fleet get most of the amount, in equal shares. If all processes are chosen, all shares are equal.
func TestShares(t *testing.T) {
	now := time.Unix(1000, 0)
	var chosen, other, small subset.ReserveShare
	for _, r := range []*subset.ReserveShare{&chosen, &other, &small} {
		r.Window = window
	}
	share := func(r *subset.ReserveShare, f subset.FleetCounts) (p float64) {
		for range 25 {
			p = r.Share(now, f)
			now = now.Add(time.Second)
		}
		return p
	}
	in, out := subset.FleetCounts{Size: 80, ChosenCount: 8, StandbyCount: 72, IsChosen: true}, subset.FleetCounts{Size: 80, ChosenCount: 8, StandbyCount: 72}
	assert.Equal(t, share(&chosen, in), 0.1)
	assert.Equal(t, share(&other, out), 0.0025)
	// If all processes are chosen, the share follows the size of the fleet at once, also after a start with another size.
	var restarted subset.ReserveShare
	restarted.Window = window
	restarted.Share(now, subset.FleetCounts{Size: 64})
	assert.Equal(t, restarted.Share(now.Add(time.Second), subset.FleetCounts{Size: 8, ChosenCount: 8, IsChosen: true}), 0.125)
	// A process that has gone still counts in the size of a small fleet, and doesn't change the shares.
	assert.Equal(t, share(&small, subset.FleetCounts{Size: 8, ChosenCount: 7, IsChosen: true}), 0.125)
	assert.Equal(t, share(&small, subset.FleetCounts{Size: 8, ChosenCount: 8, IsChosen: true}), 0.125)
	// The share of a process shrinks at once when it is no longer chosen, and grows a window after it is chosen again.
	assert.Equal(t, chosen.Share(now, out), 0.0025)
	assert.Equal(t, chosen.Share(now.Add(time.Second), in), 0.0025)
	assert.Equal(t, chosen.Share(now.Add(window), in), 0.0025)
	assert.Equal(t, chosen.Share(now.Add(window+time.Second), in), 0.1)
}
