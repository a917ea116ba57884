package cover_test

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fuchsiarelay/fuchsiarelay/internal/cover"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/wire"
)

// newMerge returns an empty merge for a partition of the shards.
func newMerge(shards ...plat.Shard) *cover.Merge {
	return cover.New(plat.Partition{Generation: 3, Version: 7, Shards: shards})
}

// newPart returns a part of the same snapshot as that of newMerge, with one hit.
func newPart(shard uint32, docs uint64) cover.Part {
	return cover.Part{Generation: 3, Version: 7, Shard: shard, Documents: docs, Hits: []wire.Hit{{Shard: shard}}}
}

// checkMerge checks coverage, total and completeness of the merge.
func checkMerge(t *testing.T, m *cover.Merge, covered, total uint64, complete bool) {
	t.Helper()
	gotCovered, gotTotal := m.Coverage()
	assert.Equal(t, gotCovered, covered)
	assert.Equal(t, gotTotal, total)
	assert.Equal(t, m.Complete(), complete)
}

// Guards against an overflow of the total, which would report more coverage than there is.
func TestOverflowOfTotalIsNeverCovered(t *testing.T) {
	m := newMerge(plat.Shard{ID: 1, Documents: math.MaxUint64}, plat.Shard{ID: 2, Documents: 2})
	m.Add(newPart(2, 2))
	checkMerge(t, m, 0, math.MaxUint64, false)
}

// Guards against counting the hits of a shard twice because the map lists the shard twice.
func TestMapWithRepeatedShardIsNeverCovered(t *testing.T) {
	m := newMerge(plat.Shard{ID: 1, Documents: 2}, plat.Shard{ID: 1, Documents: 2})
	m.Add(newPart(1, 2))
	checkMerge(t, m, 0, 4, false)
	assert.Equal(t, len(m.Hits()), 0)
}

// Guards against a complete answer for an empty map.
func TestEmptyMapIsNeverComplete(t *testing.T) { checkMerge(t, newMerge(), 0, 0, false) }

// Guards against counting a shard twice, counting a part for more documents than it searched, and counting more documents
// than the map states.
func TestPartsCountOnceUpToMapDocuments(t *testing.T) {
	m := newMerge(plat.Shard{ID: 9, Documents: 5}, plat.Shard{ID: 4, Documents: 5}, plat.Shard{ID: 6})
	assert.Equal(t, m.Add(newPart(9, 3)), cover.Added)
	assert.Equal(t, m.Add(newPart(9, 2)), cover.Duplicate)
	checkMerge(t, m, 3, 10, false)
	assert.Equal(t, m.Add(newPart(9, 50)), cover.Added)
	assert.Equal(t, m.Add(newPart(9, 5)), cover.Duplicate)
	assert.Equal(t, m.Add(newPart(4, 5)), cover.Added)
	checkMerge(t, m, 10, 10, false)
	assert.Equal(t, m.Add(newPart(6, 0)), cover.Added)
	checkMerge(t, m, 10, 10, true)
	assert.Equal(t, len(m.Hits()), 3)
	assert.Equal(t, m.Add(newPart(5, 1)), cover.UnknownShard)
	otherGeneration := newPart(4, 5)
	otherGeneration.Generation = 2
	assert.Equal(t, m.Add(otherGeneration), cover.WrongSnapshot)
}
