package scen_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsiarelay/fuchsiarelay/internal/emul"
	"github.com/fuchsiarelay/fuchsiarelay/internal/scen"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/codes"
)

const rulesText = `class counter deadline=300ms min_coverage=0.5 prefer=latency priority=1    # Ann: desk
class inspector deadline=2s min_coverage=1.0 prefer=coverage priority=0   # Bo: permits
class order deadline=2s min_coverage=0 prefer=latency priority=0          # Bo: orders
`

// Guards against a query or an order that doesn't get from a caller to a target and back, at any of four entry processes.
func TestQueryAndOrderRoundTrip(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim, closeSimulation, err := scen.New(scen.Config{Spec: emul.Small(), Rules: rulesText, Seed: 1})
		assert.NilError(t, err)
		defer closeSimulation()
		assert.NilError(t, sim.StartAll())
		assert.NilError(t, sim.WaitServing(10*time.Second))
		time.Sleep(6 * time.Second)
		for _, e := range []string{"entry-01", "entry-02", "entry-03", "entry-04"} {
			c := sim.Query(e, "inspector", "ledger", "mats")
			assert.NilError(t, c.Err)
			assert.Equal(t, c.Status.Code, codes.Complete, "%+v", c.Status)
			tok, err := sim.Token(e)
			assert.NilError(t, err)
			o := sim.Order(e, tok.Token, "order", "ledger", "key-"+e)
			assert.NilError(t, o.Err)
			assert.Equal(t, o.Status.Code, codes.Executed, "%+v", o.Status)
		}
		for _, v := range sim.Violations() {
			t.Error(v)
		}
	})
}
