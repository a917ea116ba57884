// Package cover merges the partial results of one query into one answer and computes the coverage of the answer: the
// fraction of the documents that were searched.
//
// # Usage
//
//	m := cover.New(partition)
//	result := m.Add(cover.Part{Generation: 3, Version: 7, Shard: 0, Documents: 1200, Hits: hits})
//	covered, total := m.Coverage()
//
// The coverage counts documents, not replies. The documents of each shard are those that the partition map of the queried
// snapshot states. Each shard is counted once, and a part never counts for more documents than the map states for its
// shard.
//
// If a map lists a shard twice, or if the sum of its documents doesn't fit into 64 bits, the total isn't known. Nothing
// is merged for such a map: the coverage stays 0 and the answer is never complete.
//
// Add takes constant time if the shard ids are 0, 1, 2 and so on, or if the parts arrive in the order of the map.
// Otherwise it searches the shard by bisection.
package cover

import (
	"cmp"
	"math"
	"math/bits"
	"slices"

	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/wire"
)

// Part is the result of the query for one shard.
type Part struct {
	Generation uint64
	Version    uint64
	Shard      uint32
	Documents  uint64 // documents searched, as the target states
	Hits       []wire.Hit
}

// AddResult is the result of adding a part.
type AddResult uint8

// Results of Add.
const (
	Added         AddResult = iota // the part is merged
	Duplicate                      // a part of the same shard with at least as many documents is already merged
	WrongSnapshot                  // the part is of another version or generation
	UnknownShard                   // the shard isn't in the partition map, or the map is unusable
)

// mergedShard holds the merged part of one shard.
type mergedShard struct {
	covered uint64 // documents searched
	hasPart bool   // a part of the shard is merged
	hits    []wire.Hit
}

// Merge holds the parts of one answer. It isn't safe for concurrent use.
type Merge struct {
	generation, version uint64

	partition     []plat.Shard  // shards of the partition map; never modified
	mergedShards  []mergedShard // by position in partition
	positionsByID []int32       // positions in partition, by ascending shard id; nil if partition itself is in that order
	nextPosition  int           // position in partition after the shard that was found last
	unusable      bool          // the partition map lists a shard twice, or its total overflows

	coveredDocuments, totalDocuments uint64
	fullShardCount                   int // number of shards that are merged with all their documents
}

// New returns an empty merge for the snapshot of the partition map. It keeps p.Shards, which must not change afterwards.
func New(p plat.Partition) *Merge {
	m := &Merge{generation: p.Generation, version: p.Version, partition: p.Shards, mergedShards: make([]mergedShard, len(p.Shards))}
	ascending := true
	for i, s := range p.Shards {
		var carry uint64
		m.totalDocuments, carry = bits.Add64(m.totalDocuments, s.Documents, 0)
		if carry != 0 {
			m.totalDocuments, m.unusable = math.MaxUint64, true
			break
		}
		ascending = ascending && (i == 0 || p.Shards[i-1].ID < s.ID)
	}
	if !ascending {
		m.sortByID()
	}
	return m
}

// sortByID fills positionsByID, and marks the map as unusable if it lists a shard twice.
func (m *Merge) sortByID() {
	m.positionsByID = make([]int32, len(m.partition))
	for i := range m.positionsByID {
		m.positionsByID[i] = int32(i)
	}
	slices.SortFunc(m.positionsByID, func(a, b int32) int { return cmp.Compare(m.partition[a].ID, m.partition[b].ID) })
	for i := 1; i < len(m.positionsByID); i++ {
		if m.partition[m.positionsByID[i]].ID == m.partition[m.positionsByID[i-1]].ID {
			m.unusable = true
		}
	}
}

// Position returns the position of the shard in the partition map, and false if the map doesn't list the shard or is
// unusable.
func (m *Merge) Position(id uint32) (int, bool) {
	if m.unusable {
		return 0, false
	}
	pos, ok := m.lookUp(id)
	if ok {
		m.nextPosition = pos + 1
	}
	return pos, ok
}

// lookUp returns the position of the shard in partition. It tries nextPosition and the id itself before it searches by
// bisection.
func (m *Merge) lookUp(id uint32) (int, bool) {
	if m.nextPosition < len(m.partition) && m.partition[m.nextPosition].ID == id {
		return m.nextPosition, true
	}
	if uint64(id) < uint64(len(m.partition)) && m.partition[id].ID == id {
		return int(id), true
	}
	if m.positionsByID == nil {
		return slices.BinarySearchFunc(m.partition, id, func(s plat.Shard, id uint32) int { return cmp.Compare(s.ID, id) })
	}
	i, ok := slices.BinarySearchFunc(m.positionsByID, id, func(pos int32, id uint32) int { return cmp.Compare(m.partition[pos].ID, id) })
	if !ok {
		return 0, false
	}
	return int(m.positionsByID[i]), true
}

// Add merges one part. A part with more documents replaces an earlier part of the same shard.
func (m *Merge) Add(p Part) AddResult {
	if p.Generation != m.generation || p.Version != m.version {
		return WrongSnapshot
	}
	pos, ok := m.Position(p.Shard)
	if !ok {
		return UnknownShard
	}
	shard, shardDocuments := &m.mergedShards[pos], m.partition[pos].Documents
	documents := min(p.Documents, shardDocuments)
	if shard.hasPart && documents <= shard.covered {
		return Duplicate
	}
	// coveredDocuments never exceeds totalDocuments, because documents never exceeds the documents of the shard.
	m.coveredDocuments += documents - shard.covered
	if documents == shardDocuments {
		m.fullShardCount++
	}
	*shard = mergedShard{covered: documents, hasPart: true, hits: p.Hits}
	return Added
}

// Coverage returns the number of documents covered and the number of documents of the whole snapshot.
func (m *Merge) Coverage() (covered, total uint64) { return m.coveredDocuments, m.totalDocuments }

// Ratio returns the coverage as a number from 0 to 1. It is 1 only if every document is covered; a floating-point division
// alone would round up to 1 for large numbers.
func (m *Merge) Ratio() float64 {
	switch {
	case m.Complete():
		return 1
	case m.totalDocuments == 0:
		return 0
	case m.coveredDocuments == m.totalDocuments:
		return 1
	}
	return min(float64(m.coveredDocuments)/float64(m.totalDocuments), math.Nextafter(1, 0))
}

// ShardFull reports whether the shard is merged with all its documents.
func (m *Merge) ShardFull(id uint32) bool {
	pos, ok := m.Position(id)
	return ok && m.ShardFullAt(pos)
}

// ShardFullAt reports whether the shard at the position in the partition map is merged with all its documents.
func (m *Merge) ShardFullAt(pos int) bool {
	shard := &m.mergedShards[pos]
	return shard.hasPart && shard.covered == m.partition[pos].Documents
}

// ShardMissingAt returns how many documents of the shard at the position in the partition map aren't covered yet.
func (m *Merge) ShardMissingAt(pos int) uint64 {
	return m.partition[pos].Documents - m.mergedShards[pos].covered
}

// Complete reports whether every shard is merged with all its documents. It is false if the map is empty or unusable.
func (m *Merge) Complete() bool {
	return !m.unusable && len(m.mergedShards) > 0 && m.fullShardCount == len(m.mergedShards)
}

// Hits returns all hits in the order of the partition map.
func (m *Merge) Hits() []wire.Hit {
	n := 0
	for i := range m.mergedShards {
		n += len(m.mergedShards[i].hits)
	}
	hits := make([]wire.Hit, 0, n)
	for i := range m.mergedShards {
		hits = append(hits, m.mergedShards[i].hits...)
	}
	return hits
}

// Valid reports whether the partition map is usable: no shard is listed twice, and the sum of the documents fits into 64
// bits.
func (m *Merge) Valid() bool { return !m.unusable }
