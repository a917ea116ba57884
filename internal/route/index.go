package route

import (
	"github.com/fuchsiarelay/fuchsiarelay/internal/cover"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
)

// Index holds the partitions of a service with its targets numbered from 0, so that a plan needs one map access per target
// instead of one per shard and replica. An Index is immutable and may be shared by all plans of a service.
type Index struct {
	service   string
	targets   []string
	snapshots []snapshot
}

// snapshot is one partition of the service: a version of its documents, split into the shards of a generation.
type snapshot struct {
	plat.Partition
	valid     bool // the partition map lists no shard twice and its number of documents fits into 64 bits
	documents uint64
	offsets   []int32 // index in replicas of each shard's first replica, followed by len(replicas)
	replicas  []int32 // target numbers, in the order of the shards
}

// NewIndex returns the index of a service. The service must not change afterwards. Building the index costs one map access
// per shard and replica, so it should be built once per revision of the services document.
func NewIndex(svc plat.Service) *Index {
	x := &Index{service: svc.Name, snapshots: make([]snapshot, len(svc.Partitions))}
	targetNumbers := make(map[string]int32, len(svc.Targets))
	for i, part := range svc.Partitions {
		s := snapshot{Partition: part, offsets: make([]int32, 1, len(part.Shards)+1)}
		empty := cover.New(part)
		s.valid = empty.Valid()
		_, s.documents = empty.Coverage()
		for _, shard := range part.Shards {
			for _, id := range shard.Targets {
				n, ok := targetNumbers[id]
				if !ok {
					n = int32(len(x.targets))
					targetNumbers[id] = n
					x.targets = append(x.targets, id)
				}
				s.replicas = append(s.replicas, n)
			}
			s.offsets = append(s.offsets, int32(len(s.replicas)))
		}
		x.snapshots[i] = s
	}
	return x
}

// replicasAt returns the target numbers of the replicas of the shard at position pos in the partition map.
func (s *snapshot) replicasAt(pos int32) []int32 { return s.replicas[s.offsets[pos]:s.offsets[pos+1]] }

// equals reports whether both snapshots have the same generation and version.
func (s *snapshot) equals(o *snapshot) bool {
	return s.Generation == o.Generation && s.Version == o.Version
}
