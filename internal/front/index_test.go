package front

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fuchsiarelay/fuchsiarelay/internal/policy"
	"github.com/fuchsiarelay/fuchsiarelay/internal/state"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
)

// Guards against a plan that uses the partitions of an earlier services document, and against an index that is built anew
// for every query.
func TestIndexIsRebuiltAfterServicesChange(t *testing.T) {
	var x indexCache
	svc := &state.Service{Service: plat.Service{Name: "ledger"}}
	first := x.indexFor(&state.Snapshot{Digest: policy.Revisions{Services: 1}}, svc)
	assert.Assert(t, x.indexFor(&state.Snapshot{Digest: policy.Revisions{Services: 1, Rules: 5}}, svc) == first)
	assert.Assert(t, x.indexFor(&state.Snapshot{Digest: policy.Revisions{Services: 2}}, svc) != first)
}
