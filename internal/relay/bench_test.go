package relay

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsiarelay/fuchsiarelay/internal/disp"
	"github.com/fuchsiarelay/fuchsiarelay/internal/emul"
	"github.com/fuchsiarelay/fuchsiarelay/internal/peer"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
)

// newLoadedControl returns the control state of an entry process that holds the documents of a fleet.
func newLoadedControl(tb testing.TB, self string, vms, targets int) *control {
	tb.Helper()
	fleet := emul.FleetSpec{DataCentres: 12, EntryVMs: vms, Services: []emul.ServiceSpec{{
		Name: "s", Count: max(targets/10, 1), Targets: 10, Slots: 2, Connections: 25, Shards: 10, DocumentsPerShard: 1, Replicas: 2,
	}}}.Build()
	r := &Relay{VM: self, DataCentre: "dc-a"}
	r.initStopChannel()
	r.setDefaults()
	r.control = newControl(r)
	dispatcher, closeDisp := disp.New(disp.Config{State: &r.snapshotCell, Now: r.Now, NewClient: r.NewClient, Events: (*targetEvents)(r), Log: r.Log})
	tb.Cleanup(closeDisp)
	r.disp = dispatcher
	hub, closeHub := peer.New(peer.Config{Handler: (*peerEvents)(r), Now: r.Now, Log: r.Log})
	tb.Cleanup(closeHub)
	r.hub = hub
	vmsDoc, err := fleet.VMsJSON()
	assert.NilError(tb, err)
	services, err := fleet.ServicesJSON()
	assert.NilError(tb, err)
	for key, value := range map[string][]byte{
		plat.KeyVMs: vmsDoc, plat.KeyServices: services, plat.KeyRules: []byte("exclude data_centre dc-b # Ann Lee: test\n"),
	} {
		_, err := r.control.policy.Offer(plat.Document{Key: key, Revision: 1, Value: value})
		assert.NilError(tb, err)
	}
	c := r.control
	c.assignments.Update(r.Now(), c.dispatcherVMs(), c.targets())
	return c
}

// targetCounts are the numbers of published targets in the benchmarks. A services document of more than about 5,400 targets
// exceeds plat.MaxValue, so the full size of 11,000 targets can't be loaded.
var targetCounts = []int{90, 500, 2000, 5000}

// vmCount returns the number of entry VMs for a number of targets, in proportion to the full size of 1,800 VMs and 11,000
// targets.
func vmCount(targets int) int { return max(targets*1800/11000, 9) }

// BenchmarkPublish measures the cost of one snapshot.
func BenchmarkPublish(b *testing.B) {
	for _, n := range targetCounts {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			c := newLoadedControl(b, "observer", vmCount(n), n)
			b.ReportAllocs()
			for b.Loop() {
				c.publish(time.Now())
			}
		})
	}
}

// BenchmarkRebuild measures the cost of the first snapshot after a change of a document.
func BenchmarkRebuild(b *testing.B) {
	for _, n := range targetCounts {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			c := newLoadedControl(b, "observer", vmCount(n), n)
			b.ReportAllocs()
			for b.Loop() {
				c.targetTable, c.reachability = targetTable{}, reachability{}
				c.publish(time.Now())
			}
		})
	}
}

// BenchmarkAssign measures the cost of applying a change of the published lists to the assignment.
func BenchmarkAssign(b *testing.B) {
	for _, n := range targetCounts {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			c := newLoadedControl(b, "observer", vmCount(n), n)
			b.ReportAllocs()
			for b.Loop() {
				c.assignments.Update(time.Now(), c.dispatcherVMs(), c.targets())
			}
		})
	}
}

// BenchmarkDocuments measures the cost of accepting the documents of services and VMs. The metric bytes is the size of the
// document.
func BenchmarkDocuments(b *testing.B) {
	for _, n := range targetCounts {
		for _, key := range []string{plat.KeyServices, plat.KeyVMs} {
			b.Run(fmt.Sprintf("%s/targets=%d", key, n), func(b *testing.B) {
				c := newLoadedControl(b, "observer", vmCount(n), n)
				doc, _ := c.policy.Document(key)
				b.ReportAllocs()
				for b.Loop() {
					doc.Revision++
					accepted, err := c.policy.Offer(doc)
					assert.Assert(b, accepted, err)
				}
				b.ReportMetric(float64(len(doc.Value)), "bytes")
			})
		}
	}
}
