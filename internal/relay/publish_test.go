package relay

import (
	"reflect"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsiarelay/fuchsiarelay/internal/assign"
	"github.com/fuchsiarelay/fuchsiarelay/internal/peer"
	"github.com/fuchsiarelay/fuchsiarelay/internal/state"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/target"
)

// Guards against a snapshot that reuses a part whose input has changed. After each kind of change, the snapshot must equal
// one that is built from scratch, and earlier snapshots must stay unchanged.
func TestSnapshotEqualsOneBuiltFromScratch(t *testing.T) {
	c := newLoadedControl(t, "entry-01", 12, 60)
	now := c.relay.Now()
	publish := func(name string) *state.Snapshot {
		c.publish(now)
		cached := c.relay.snapshotCell.Load()
		c.targetTable, c.reachability = targetTable{}, reachability{}
		c.publish(now)
		fresh := c.relay.snapshotCell.Load()
		assert.Check(t, reflect.DeepEqual(cached.Targets, fresh.Targets), name)
		assert.Check(t, reflect.DeepEqual(cached.DispatchedTargets, fresh.DispatchedTargets), name)
		assert.Check(t, reflect.DeepEqual(cached.Reachable, fresh.Reachable), name)
		assert.Check(t, reflect.DeepEqual(cached.Addresses, fresh.Addresses), name)
		return cached
	}
	first := publish("start")
	own := first.DispatchedTargets[0]
	assert.Equal(t, first.Share(own, 2), 0)

	c.assignments.SetDeadlines(now, now.Add(time.Hour), now.Add(time.Hour))
	now = now.Add(2 * assign.DefaultGrowDelay)
	afterGrowth := publish("growth")
	assert.Assert(t, afterGrowth.Share(own, 2) > 0 && first.Share(own, 2) == 0)

	targetStatus{from: "entry-02", status: peer.TargetStatus{Target: "s-03-t1", State: target.Warm, Level: 2, Primary: true}}.apply(c, now)
	changed := publish("status")
	assert.Equal(t, changed.Targets["s-03-t1"].Status.Level, 2)
	assert.Equal(t, afterGrowth.Targets["s-03-t1"].Status.Level, 0)

	c.membership.RecordPong(now, "entry-03", 0, false)
	assert.Assert(t, publish("pong").Reachable["entry-03"])
	now = now.Add(time.Minute)
	assert.Assert(t, !publish("silence").Reachable["entry-03"])

	c.applyDocument(now, plat.Document{Key: plat.KeyRules, Revision: 2, Value: []byte("exclude target " + own + " # Ann Lee: test\n")}, false)
	assert.Assert(t, publish("rules").Targets[own].Block != nil)
}

// Guards against a peer that keeps an old status: whatever could have made the peer miss a status must cause the status to
// be sent again.
func TestStatusIsSentAgain(t *testing.T) {
	at := time.Unix(1000, 0)
	base := sentStatus{status: peer.TargetStatus{Target: "t", Level: 2}, linksOpened: 4, sentAt: at}
	var statuses sentStatuses
	assert.Assert(t, !statuses.knownToPeers(base))
	statuses.sendIfNew(base, func() bool { return false }) // a send queue was full
	assert.Assert(t, !statuses.knownToPeers(base))
	statuses.sendIfNew(base, func() bool { return true })
	assert.Assert(t, statuses.knownToPeers(base))
	for _, change := range []func(candidate *sentStatus){
		func(candidate *sentStatus) { candidate.status.Level = 1 },
		func(candidate *sentStatus) { candidate.status.Served = []target.Served{{Version: 2}} },
		func(candidate *sentStatus) { candidate.revisions.VMs = 7 },
		func(candidate *sentStatus) { candidate.linksOpened = 5 },
		func(candidate *sentStatus) { candidate.sentAt = at.Add(statusRepeatInterval) },
	} {
		candidate := base
		change(&candidate)
		assert.Check(t, !statuses.knownToPeers(candidate), "%+v", candidate)
	}
}

// Guards against a secondary whose status replaces that of a primary that still answers, because the primary repeats an
// unchanged status rarely, and against a primary that has ended and whose status remains valid forever.
func TestPrimaryStatusHoldsWhilePrimaryAnswers(t *testing.T) {
	c := newLoadedControl(t, "entry-01", 12, 60)
	now := c.relay.Now()
	dispatchers := c.assignments.Dispatchers("s-03-t1")
	secondary := targetStatus{from: dispatchers[1], status: peer.TargetStatus{Target: "s-03-t1", State: target.Cold}}
	targetStatus{from: dispatchers[0], status: peer.TargetStatus{Target: "s-03-t1", State: target.Warm, Level: 2, Primary: true}}.apply(c, now)
	now = now.Add(2 * primaryStatusHold)
	c.membership.RecordPong(now, dispatchers[0], 0, false)
	secondary.apply(c, now)
	assert.Equal(t, c.targetStatuses["s-03-t1"].From, dispatchers[0])
	now = now.Add(2 * primaryStatusHold)
	secondary.apply(c, now)
	assert.Equal(t, c.targetStatuses["s-03-t1"].From, dispatchers[1])
}
