package entry

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsiarelay/fuchsiarelay/internal/fanout"
	"github.com/fuchsiarelay/fuchsiarelay/internal/place"
)

// A panic in an event ends only that event, not the process.
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

// A panic in a send ends the send as a broken connection, with an unknown outcome.
func TestPanicInSend(t *testing.T) {
	e := &Entry{}
	e.init()
	r := &runner{entry: e, results: make(chan attemptResult, 1), sendsCtx: t.Context()}
	d := &attempt{runner: r, send: fanout.Send{AttemptID: 3}} // without a target
	d.run()
	s := <-r.results
	assert.Equal(t, s.attemptID, 3)
	assert.Equal(t, s.outcome, place.Broken)
	assert.Equal(t, e.RecoveredPanics(), uint64(1))
}
