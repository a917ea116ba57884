package entry

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsiarelay/fuchsiarelay/internal/fanout"
	"github.com/fuchsiarelay/fuchsiarelay/internal/place"
)

// Guards against a panic in one event that ends the process or the event loop.
func TestPanicInEvent(t *testing.T) {
	e := &Entry{}
	e.init()
	c := newControl(e, time.Now())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go c.loop(ctx)
	c.post(func(*control, time.Time) { panic("malformed") })
	done := make(chan struct{})
	c.post(func(*control, time.Time) { close(done) })
	select {
	case <-done:
	case <-time.After(time.Second):
		t.Fatal("the loop has ended")
	}
	assert.Assert(t, e.RecoveredPanics() >= 1)
}

// Guards against a panic in a send that leaves the plan without a result of the send. The result is place.Broken, since it is
// unknown whether the target has run the request.
func TestPanicInSend(t *testing.T) {
	e := &Entry{}
	e.init()
	r := &runner{entry: e, results: make(chan attemptResult, 1), sendsCtx: t.Context()}
	a := &attempt{runner: r, send: fanout.Send{AttemptID: 3}} // a send without a target panics
	a.run()
	s := <-r.results
	assert.Equal(t, s.attemptID, 3)
	assert.Equal(t, s.outcome, place.Broken)
	assert.Equal(t, e.RecoveredPanics(), uint64(1))
}
