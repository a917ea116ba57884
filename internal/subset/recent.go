package subset

import (
	"slices"
	"time"
)

// Recent lists the values that have been in a list within the last Window. A process in a planned stop leaves the list of the
// chosen processes at once, but goes on sending requests with its share of the limits of the fleet; the others may use that share
// only after it has ended. Set Window and Compare before the first call of Update.
type Recent[T comparable] struct {
	Window  time.Duration
	Compare func(a, b T) int // order of the result of Update
	lastAt  map[T]time.Time  // when each value was last in the list
}

// Update records the present list, and returns the sorted values that were in the list within the last Window.
func (r *Recent[T]) Update(now time.Time, list []T) []T {
	if r.lastAt == nil {
		r.lastAt = map[T]time.Time{}
	}
	for _, v := range list {
		r.lastAt[v] = now
	}
	out := make([]T, 0, len(r.lastAt))
	for v, at := range r.lastAt {
		if now.Sub(at) > r.Window {
			delete(r.lastAt, v)
			continue
		}
		out = append(out, v)
	}
	slices.SortFunc(out, r.Compare)
	return out
}
