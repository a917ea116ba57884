package front

import (
	"sync"

	"github.com/fuchsiarelay/fuchsiarelay/internal/route"
	"github.com/fuchsiarelay/fuchsiarelay/internal/state"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
)

// indexCache holds the replica index of each service for one revision of the services document. It is safe for
// concurrent use.
type indexCache struct {
	mu        sync.Mutex
	revision  uint64
	byService map[string]*route.Index
}

// indexFor returns the replica index of a service as published in the snapshot.
func (x *indexCache) indexFor(snap *state.Snapshot, svc *state.Service) *route.Index {
	revision := snap.Digest.Revision(plat.KeyServices)
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.byService == nil || revision != x.revision {
		// For a short time after each change of the document, queries that still use an older snapshot also replace the
		// cached indexes.
		x.revision, x.byService = revision, map[string]*route.Index{}
	}
	i := x.byService[svc.Name]
	if i == nil {
		i = route.NewIndex(svc.Service)
		x.byService[svc.Name] = i
	}
	return i
}
