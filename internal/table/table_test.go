package table

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func newTestTable(t *testing.T) *Table {
	t.Helper()
	rt := New()
	assert.Assert(t, rt.SetConfig(Config{Version: 3, Routes: []Route{
		{Name: "short", Host: "desk", Prefix: "/a/"},
		{Name: "long", Host: "desk", Prefix: "/a/b/"},
		{Name: "other", Host: "ledger", Prefix: "/a/"},
	}, Services: []Service{{Name: "desk-01", MaxConnections: 26, WarmupDuration: time.Second}}}))
	return rt
}

func TestMatchTakesLongestPrefixOfHost(t *testing.T) {
	v := newTestTable(t).View()
	for _, c := range []struct{ host, path, want string }{
		{"desk", "/a/x", "short"},
		{"desk", "/a/b/x", "long"},
		{"desk", "/a/b", "short"}, // a prefix ends with a slash
		{"ledger", "/a/b/x", "other"},
		{"ledger", "/b/", ""},
		{"nobody", "/a/x", ""},
	} {
		r, ok := v.Match(c.host, c.path)
		assert.Equal(t, ok, c.want != "", c.path)
		if ok {
			assert.Equal(t, r.Name, c.want)
		}
	}
}

// An older version of the configuration that arrives late, from a peer or a slow read, must not replace a newer one.
func TestOlderConfigIsIgnored(t *testing.T) {
	rt := newTestTable(t)
	assert.Assert(t, !rt.SetConfig(Config{Version: 3}))
	assert.Assert(t, !rt.SetConfig(Config{Version: 2}))
	assert.Equal(t, len(rt.View().Config.Routes), 3)
	assert.Assert(t, rt.SetConfig(Config{Version: 9}))
	_, ok := rt.View().Match("desk", "/a/x")
	assert.Assert(t, !ok)
}

func TestLeavingAndExcludedTargetsAreOmitted(t *testing.T) {
	rt := newTestTable(t)
	rt.SetTarget(Target{ID: "t2", Service: "desk-01", DataCentre: "b"})
	rt.SetTarget(Target{ID: "t1", Service: "desk-01", DataCentre: "a"})
	rt.SetTarget(Target{ID: "t3", Service: "desk-01", DataCentre: "a", Leaving: true})
	before := rt.View()
	ids := func(v *View) (out []string) {
		for _, t := range v.Targets("desk-01") {
			out = append(out, t.ID)
		}
		return out
	}
	assert.DeepEqual(t, ids(before), []string{"t1", "t2"})
	assert.Assert(t, before.HasTarget("t3"))

	rt.SetExcluded("a", true)
	assert.DeepEqual(t, ids(rt.View()), []string{"t2"})
	rt.SetExcluded("a", false)
	rt.RemoveTarget("t2")
	assert.DeepEqual(t, ids(rt.View()), []string{"t1"})
	// A view that was taken earlier doesn't change.
	assert.DeepEqual(t, ids(before), []string{"t1", "t2"})
}

// MinShardConnections must be the lowest limit among the services of gather routes. Other services, and services without a
// limit, don't count.
func TestMinShardConnections(t *testing.T) {
	rt := New()
	assert.Equal(t, rt.View().MinShardConnections(), 0)
	rt.SetConfig(Config{
		Version:  1,
		Routes:   []Route{{Name: "search", Gather: []string{"s1", "s2", "free"}}, {Name: "book", Split: []WeightedService{{Service: "b", Weight: 1}}}},
		Services: []Service{{Name: "s1", MaxConnections: 72}, {Name: "s2", MaxConnections: 26}, {Name: "free"}, {Name: "b", MaxConnections: 6}},
	})
	assert.Equal(t, rt.View().MinShardConnections(), 26)
}

// A target that has announced that it is leaving must get no new requests, even if its document is removed and written again.
// A later incarnation must get requests, even if the departure of the earlier one is reported again.
func TestDeparture(t *testing.T) {
	rt := newTestTable(t)
	first, second := time.UnixMilli(1000), time.UnixMilli(2000)
	targetCount := func() int { return len(rt.View().Targets("desk-01")) }
	rt.SetTarget(Target{ID: "t1", Service: "desk-01", Started: first})
	assert.Assert(t, rt.RecordDeparture(Departure{"t1", first}))
	assert.Assert(t, !rt.RecordDeparture(Departure{"t1", first}))
	assert.Equal(t, targetCount(), 0)
	assert.Assert(t, !rt.View().HasTarget("t1"))
	rt.RemoveTarget("t1")
	assert.Assert(t, rt.View().HasDeparted(&Target{ID: "t1", Started: first}))
	assert.Assert(t, !rt.View().HasDeparted(&Target{ID: "t1", Started: second}))
	rt.SetTarget(Target{ID: "t1", Service: "desk-01", Started: first})
	assert.Equal(t, targetCount(), 0)
	rt.SetTarget(Target{ID: "t1", Service: "desk-01", Started: second})
	assert.Equal(t, targetCount(), 1)
	assert.Assert(t, !rt.RecordDeparture(Departure{"t1", first}))
	assert.Equal(t, targetCount(), 1)
	assert.DeepEqual(t, rt.Departures(), []Departure{{"t1", first}})
}

// The number of recorded departures must stay bounded however many targets are replaced. The departures of listed targets
// must never be dropped.
func TestDeparturesAreBounded(t *testing.T) {
	rt := newTestTable(t)
	rt.SetTarget(Target{ID: "t1", Service: "desk-01"})
	rt.RecordDeparture(Departure{Target: "t1"})
	for i := range 3 * maxDepartures {
		rt.RecordDeparture(Departure{Target: fmt.Sprint("gone-", i)})
	}
	assert.Assert(t, len(rt.Departures()) <= maxDepartures)
	assert.Equal(t, len(rt.View().Targets("desk-01")), 0)
}
