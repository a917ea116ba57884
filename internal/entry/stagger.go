package entry

import (
	"context"
	"time"
)

// staggeredRead reads from a source that may leave a request without any answer. While no request has been answered, it sends
// another one after each interval, and returns the first result that is not an error.
//
// Load pattern: all processes of a fleet start while the platform is silent. A request that was sent during the silence is
// never answered, so a process that only waits for it starts to serve one whole timeout after the platform is back. With
// staggered requests, it starts to serve one interval after that.
type staggeredRead[T any] struct {
	interval time.Duration // between two requests
	limit    int           // largest number of requests
	read     func(ctx context.Context) (T, error)
	results  chan readResult[T]
}

// readResult is the result of one request of a staggeredRead.
type readResult[T any] struct {
	value T
	err   error
}

func newStaggeredRead[T any](interval time.Duration, limit int, read func(ctx context.Context) (T, error)) *staggeredRead[T] {
	return &staggeredRead[T]{interval: interval, limit: limit, read: read, results: make(chan readResult[T], limit)}
}

// first returns the first value that was read. It returns an error if all requests that were sent have failed, or the error of
// ctx if it ends earlier. The other requests are canceled.
func (s *staggeredRead[T]) first(ctx context.Context) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ticker := time.NewTicker(s.interval)
	defer ticker.Stop()
	go s.run(ctx)
	for sent, ended := 1, 0; ; {
		select {
		case r := <-s.results:
			ended++
			if r.err == nil || ended == sent {
				return r.value, r.err
			}
		case <-ticker.C:
			if sent < s.limit {
				sent++
				go s.run(ctx)
			}
		case <-ctx.Done():
			var none T
			return none, ctx.Err()
		}
	}
}

// run sends one request.
func (s *staggeredRead[T]) run(ctx context.Context) {
	value, err := s.read(ctx)
	s.results <- readResult[T]{value, err}
}
