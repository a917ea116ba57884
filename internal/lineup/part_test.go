package lineup_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/fuchsiarelay/fuchsiarelay/internal/lineup"
)

const window = 10 * time.Second

// drawParts draws which processes of a fleet are chosen in each of 60 seconds, and returns the parts by second and process.
func drawParts(t *rapid.T, size int) [][]float64 {
	reserves := make([]lineup.Reserve, size)
	for i := range reserves {
		reserves[i].Window = window
	}
	start := time.Unix(1000, 0)
	parts := make([][]float64, 60)
	var chosen []bool
	for second := range parts {
		if second == 0 || rapid.IntRange(0, 5).Draw(t, "change") == 0 {
			chosen = rapid.SliceOfN(rapid.Bool(), size, size).Draw(t, "chosen")
		}
		named := 0
		for _, c := range chosen {
			if c {
				named++
			}
		}
		parts[second] = make([]float64, size)
		for i := range reserves {
			f := lineup.Fleet{Size: size, Named: named, Others: size - named, Chosen: chosen[i]}
			parts[second][i] = reserves[i].Part(start.Add(time.Duration(second)*time.Second), f)
		}
	}
	return parts
}

// maxTotalUse returns the largest amount that all processes together may use in a window that ends with the given second.
func maxTotalUse(parts [][]float64, end int) (sum float64) {
	for i := range parts[end] {
		used := 0.0
		for s := max(0, end-int(window/time.Second)+1); s <= end; s++ {
			used = max(used, parts[s][i])
		}
		sum += used
	}
	return sum
}

// For any sequence of chosen processes, what all processes together may use in any window is within the whole amount.
func TestPartsStayWithinTheWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := drawParts(t, rapid.IntRange(1, 12).Draw(t, "size"))
		for end := range parts {
			assert.Assert(t, maxTotalUse(parts, end) <= 1.000001, "%f up to second %d", maxTotalUse(parts, end), end)
		}
	})
}

// During the start of a large fleet, the choice of processes changes within the first two seconds. Second sends must be
// possible when callers arrive, 14 s later; after a restart, as soon as the use before the restart has left the window.
func TestPartAfterStart(t *testing.T) {
	for first, ready := range map[bool]time.Duration{true: 12 * time.Second, false: 10 * time.Second} {
		r := lineup.Reserve{Window: window, First: first}
		start := time.Unix(1000, 0)
		at := func(d time.Duration, chosen bool) float64 {
			return r.Part(start.Add(d), lineup.Fleet{Size: 295, Named: 18, Others: 277, Chosen: chosen})
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

// The chosen processes of a fleet share most of the amount. If all processes are chosen, all parts are equal.
func TestParts(t *testing.T) {
	now := time.Unix(1000, 0)
	var named, other, small lineup.Reserve
	for _, r := range []*lineup.Reserve{&named, &other, &small} {
		r.Window = window
	}
	part := func(r *lineup.Reserve, f lineup.Fleet) (p float64) {
		for range 25 {
			p = r.Part(now, f)
			now = now.Add(time.Second)
		}
		return p
	}
	in, out := lineup.Fleet{Size: 80, Named: 8, Others: 72, Chosen: true}, lineup.Fleet{Size: 80, Named: 8, Others: 72}
	assert.Equal(t, part(&named, in), 0.1)
	assert.Equal(t, part(&other, out), 0.0025)
	// If all processes are chosen, the part follows the size of the fleet at once, also after a start with another size.
	var young lineup.Reserve
	young.Window = window
	young.Part(now, lineup.Fleet{Size: 64})
	assert.Equal(t, young.Part(now.Add(time.Second), lineup.Fleet{Size: 8, Named: 8, Chosen: true}), 0.125)
	// A process that has gone still counts in the size of a small fleet, and doesn't change the parts.
	assert.Equal(t, part(&small, lineup.Fleet{Size: 8, Named: 7, Chosen: true}), 0.125)
	assert.Equal(t, part(&small, lineup.Fleet{Size: 8, Named: 8, Chosen: true}), 0.125)
	// The part of a process shrinks at once when it is no longer chosen, and grows a window after it is chosen again.
	assert.Equal(t, named.Part(now, out), 0.0025)
	assert.Equal(t, named.Part(now.Add(time.Second), in), 0.0025)
	assert.Equal(t, named.Part(now.Add(window), in), 0.0025)
	assert.Equal(t, named.Part(now.Add(window+time.Second), in), 0.1)
}
