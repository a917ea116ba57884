package scen_test

import (
	"flag"
	"slices"
	"strings"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/fuchsiarelay/fuchsiarelay/internal/emul"
	"github.com/fuchsiarelay/fuchsiarelay/internal/scen"
	"github.com/fuchsiarelay/fuchsiarelay/internal/trace"
)

var (
	cellFilter = flag.String("cell", "", "run only the cells whose name contains this text")
	pairSeed   = flag.Uint64("pairs", 1, "seed of the cells with two faults")
)

// runCell runs the cell as a subtest, fails the subtest for each violation, and adds the verdict to the report.
func runCell(t *testing.T, c scen.MatrixCell, r *report) {
	t.Run(strings.ReplaceAll(c.String(), " ", "_"), func(t *testing.T) {
		t.Parallel()
		synctest.Test(t, func(t *testing.T) {
			verdict, err := c.Run()
			assert.NilError(t, err)
			r.add(t, c, verdict)
			if !verdict.Reached {
				t.Logf("seed %d: the step was not reached; the faults were injected 5 s after the request", c.Seed)
			}
			for i, violation := range verdict.Violations {
				if i == 8 {
					t.Errorf("%d more violations", len(verdict.Violations)-i)
					break
				}
				t.Errorf("seed %d: %s", c.Seed, violation)
			}
		})
	})
}

// cellConfig is the configuration of every cell of the matrix.
var cellConfig = scen.Config{Spec: emul.Small(), Rules: rulesText}

// singleFaultCells returns the cells that combine each fault with each step of a query, an order and a configuration change.
func singleFaultCells() []scen.MatrixCell {
	var cells []scen.MatrixCell
	for i, f := range scen.Faults {
		faults := []scen.Fault{f}
		for j, step := range trace.RequestSteps {
			cells = append(cells,
				scen.MatrixCell{Faults: faults, Step: step, Seed: uint64(100*i + j), Config: cellConfig},
				scen.MatrixCell{Faults: faults, Step: step, Order: true, Seed: uint64(100*i + 20 + j), Config: cellConfig})
		}
		for j, step := range trace.ConfigurationSteps {
			cells = append(cells, scen.MatrixCell{Faults: faults, Step: step, Seed: uint64(100*i + 40 + j), Config: cellConfig})
		}
	}
	return cells
}

// faultPairCells returns one cell for each combination of two faults. The seed determines the step and the kind of request.
func faultPairCells(seed uint64) []scen.MatrixCell {
	steps := slices.Concat(trace.RequestSteps, trace.ConfigurationSteps)
	var cells []scen.MatrixCell
	for i, a := range scen.Faults {
		for j, b := range scen.Faults[i+1:] {
			n := 10_000*seed + uint64(100*i+j)
			cells = append(cells, scen.MatrixCell{
				Faults: []scen.Fault{a, b}, Step: steps[(n*7+seed)%uint64(len(steps))], Order: n%2 == 1, Seed: n, Config: cellConfig,
			})
		}
	}
	return cells
}

// runCells runs the cells whose names contain the text of the flag -cell.
func runCells(t *testing.T, cells []scen.MatrixCell) *report {
	r := &report{}
	t.Run("cells", func(t *testing.T) {
		for _, c := range cells {
			if *cellFilter == "" || strings.Contains(c.String(), *cellFilter) {
				runCell(t, c, r)
			}
		}
	})
	return r
}

// Guards against a single fault, at any step of a query, an order or a configuration change, that violates an invariant.
func TestMatrix(t *testing.T) {
	r := runCells(t, singleFaultCells())
	r.write(t, "singles", r.singlesTable())
}

// Guards against two simultaneous faults that violate an invariant.
func TestPairs(t *testing.T) {
	cells := faultPairCells(*pairSeed)
	r := runCells(t, cells)
	r.write(t, "pairs", r.pairsTable(cells))
}
