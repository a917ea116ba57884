package entry

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a process that starts while the platform is silent and waits a whole timeout for the request that it sent
// then, although the platform has long been back. No read can succeed before the platform is back; staggered reads succeed
// within one interval after that.
func TestReadWhilePlatformReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const silence = 900 * time.Millisecond
		began := time.Now()
		read := newStaggeredRead(rangeStagger, maxStaggeredReads, func(ctx context.Context) (int, error) {
			if time.Since(began) < silence {
				<-ctx.Done()
				return 0, ctx.Err()
			}
			time.Sleep(10 * time.Millisecond)
			return 7, nil
		})
		ctx, cancel := context.WithTimeout(t.Context(), rangeTimeout)
		defer cancel()
		value, err := read.first(ctx)
		assert.NilError(t, err)
		assert.Equal(t, value, 7)
		assert.Assert(t, time.Since(began) <= silence+rangeStagger+10*time.Millisecond, "took %s", time.Since(began))
	})
}

// A request that the platform refuses is not repeated, since the code that reads pauses after a failure. An answer that is
// only slow wins over the failure of a later request.
func TestStaggeredReadErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		errDown := errors.New("down")
		sent := 0
		_, err := newStaggeredRead(rangeStagger, maxStaggeredReads, func(context.Context) (int, error) {
			sent++
			return 0, errDown
		}).first(t.Context())
		assert.ErrorIs(t, err, errDown)
		assert.Equal(t, sent, 1)

		sent = 0
		value, err := newStaggeredRead(rangeStagger, maxStaggeredReads, func(context.Context) (int, error) {
			if sent++; sent > 1 {
				return 0, errDown
			}
			time.Sleep(2 * rangeStagger)
			return 7, nil
		}).first(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, value, 7)
	})
}
