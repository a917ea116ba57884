package slope

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a wrong extrapolation: Fit must return the line on which the points are.
func TestFitFindsTheLine(t *testing.T) {
	l := Fit([]float64{8, 16, 64}, []float64{26, 42, 138})
	assert.Assert(t, math.Abs(l.At(1800)-3610) < 1e-6, "%v", l)
	x, ok := l.Reaches(110)
	assert.Assert(t, ok && math.Abs(x-50) < 1e-6)
	_, ok = Fit([]float64{8, 16}, []float64{5, 5}).Reaches(9)
	assert.Assert(t, !ok)
}

// Guards against a figure that is never computed: these figures of a small fleet must be above zero.
func TestControlMeasuresEveryFigure(t *testing.T) {
	rows, err := MeasureControl(t.Context(), ControlOptions{Sizes: []int{3}, Overlay: Mesh, TargetsPerNode: 2, IdleTime: time.Second})
	assert.NilError(t, err)
	r := rows[0]
	for _, v := range []float64{r.CPU, r.Bytes, r.Messages, r.Heap, r.Goroutines, r.PlatformCalls, r.PropagationSeconds[0]} {
		assert.Assert(t, v > 0, "%+v", r)
	}
}

// Guards against a part that MeasureCost skips or fails to measure: every row must have a number of units and their cost.
func TestCostMeasuresEveryPart(t *testing.T) {
	rows, err := MeasureCost(t.Context(), CostOptions{FanOuts: []int{3}, Duration: 50 * time.Millisecond})
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 6)
	for _, r := range rows {
		assert.Assert(t, r.Count > 0 && r.CPU > 0 && r.Allocs > 0, "%+v", r)
		assert.Assert(t, r.Part != partLink || r.SentBytes > 100, "%+v", r)
	}
}
