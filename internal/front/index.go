package front

import (
	"sync"

	"github.com/fuchsiarelay/fuchsiarelay/internal/route"
	"github.com/fuchsiarelay/fuchsiarelay/internal/state"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
)

// indexes caches the replica index of each service for one revision of the services document. It is safe for
// concurrent use.
type indexes struct {
	mu        sync.Mutex
	revision  uint64
	byService map[string]*route.Index
}

// indexOf returns the replica index of a service as published in the snapshot.
func (x *indexes) indexOf(snap *state.Snapshot, svc *state.Service) *route.Index {
	revision := snap.Digest.Revision(plat.KeyServices)
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.byService == nil || revision != x.revision {
		// Queries that still use a snapshot from before the change of the document also replace the cached indexes, but only
		// for a short time after each change.
		x.revision, x.byService = revision, map[string]*route.Index{}
	}
	i := x.byService[svc.Name]
	if i == nil {
		i = route.NewIndex(svc.Service)
		x.byService[svc.Name] = i
	}
	return i
}
