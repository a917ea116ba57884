package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsiarelay/fuchsiarelay/internal/peer"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
)

// answeringSource is a platform without documents that answers each read after the given time.
type answeringSource struct{ delay time.Duration }

func (s answeringSource) Range(context.Context) ([]plat.Document, uint64, error) {
	time.Sleep(s.delay)
	return nil, 1, nil
}

func (s answeringSource) Watch(ctx context.Context, _ uint64, wait time.Duration) ([]plat.Document, uint64, error) {
	sleep(ctx, wait)
	return nil, 1, nil
}

// Guards against a fleet that has lost all its processes and comes back late: the new processes waited for links to peers that
// had been lost as well. A process that replaces another one has the documents within 100 ms if the platform answers at once;
// the first process on a VM gives the peers, which may be starting too, the time to open links.
func TestReadyAfterRestart(t *testing.T) {
	for _, first := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			e := &Entry{FirstOnVM: first, Source: answeringSource{10 * time.Millisecond}}
			e.init()
			hub, closeHub := peer.New(peer.Config{Now: time.Now, Log: e.Log.Logger})
			defer closeHub()
			e.hub = hub
			ctx, cancel := context.WithCancel(t.Context())
			c := newControl(e, time.Now())
			e.control = c
			began := time.Now()
			go c.loop(ctx)
			go c.follower.loop(ctx)
			complete := false
			for !complete {
				time.Sleep(time.Millisecond)
				c.postAndWait(func(c *control, _ time.Time) { complete = c.documents.Complete() })
			}
			cancel()
			if first {
				assert.Assert(t, time.Since(began) > firstLinkWait)
			} else {
				assert.Assert(t, time.Since(began) <= 100*time.Millisecond, "took %s", time.Since(began))
			}
			synctest.Wait()
		})
	}
}
