package bench

import (
	"bytes"
	"context"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsiarelay/fuchsiarelay/internal/emul"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/codes"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/target"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/wire"
)

// smallExperiment returns a short experiment on the small fleet.
func smallExperiment(name string) Experiment {
	return Experiment{
		Name: name, Seed: 7, SettleTime: time.Second, Duration: 2 * time.Second, Rate: 50, Mix: StandardMix, Fleet: emul.Small(), Rules: StandardRules,
	}
}

// runInBubble runs the experiment with the given starter in a synctest bubble and calls check with the report.
func runInBubble(t *testing.T, e Experiment, start Starter, check func(r Report)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		reports, err := RunAll(t.Context(), []Experiment{e}, Options{
			Start: map[string]Starter{"it": start}, Variants: []Variant{{Name: "it", Starter: "it"}}, Network: InMemory,
		})
		assert.NilError(t, err)
		check(reports[0])
	})
}

// totals returns the number of requests of all classes that were sent, and the number that were answered.
func totals(r Report) (sent, answered int) {
	for _, c := range r.Classes {
		sent += c.Sent
		answered += c.Answered
	}
	return sent, answered
}

// Guards against requests that are missing in the report, and against latencies below the round-trip time of the network.
func TestReportCountsAllRequests(t *testing.T) {
	runInBubble(t, smallExperiment("steady"), StartDirect, func(r Report) {
		sent, _ := totals(r)
		assert.Equal(t, sent, 100)
		assert.Equal(t, r.Targets.Orders, r.Classes[2].Sent)
		for _, c := range r.Classes {
			refused := 0
			for _, n := range c.Refusals {
				refused += n
			}
			assert.Equal(t, c.Sent, c.Answered+refused)
			assert.Assert(t, c.P50MS >= 2*DelayToCallers.Seconds()*1000, "%v", c.P50MS)
		}
		assert.Equal(t, r.Targets.Needed, 2*(r.Classes[0].Sent+r.Classes[1].Sent))
		assert.Equal(t, len(r.Series), 4)
	})
}

// slowTargetsExperiment returns an experiment in which all targets are so slow that a sub-request takes 1 s to 2.2 s.
func slowTargetsExperiment(slots int) Experiment {
	e := smallExperiment("straggling")
	e.Mix = e.Mix[:1]
	e.Fleet.Services[0].Slots = slots
	e.Fleet.Services[0].Connections = 1000
	e.Faults = []Fault{{At: 0, Name: "slow", Inject: func(run *Run) {
		for _, id := range run.Fleet.IDs() {
			run.Fleet.Targets[id].SetServiceTimeFactor(200)
		}
	}}}
	return e
}

// Guards against a generator that waits for answers before it sends the next requests, so that the load isn't open-loop.
func TestOpenLoop(t *testing.T) {
	runInBubble(t, slowTargetsExperiment(1000), StartDirect, func(r Report) {
		assert.Equal(t, r.Classes[0].Sent, 100)
		assert.Assert(t, r.Classes[0].P50MS >= 1000, "%v", r.Classes[0].P50MS)
		assert.Assert(t, r.Targets.MaxInFlight > 50, "%d", r.Targets.MaxInFlight)
		assert.Equal(t, r.Targets.Overloads, 0)
	})
}

// Guards against a report that omits work beyond the bound of a target.
func TestReportCountsOverloads(t *testing.T) {
	runInBubble(t, slowTargetsExperiment(2), StartDirect, func(r Report) {
		assert.Assert(t, r.Targets.Overloads > 0)
		assert.Equal(t, r.Targets.MaxInFlight, 2)
	})
}

// Guards against a latency that counts from the actual send time of a late request instead of the intended one.
func TestLatencyFromIntendedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw, closeNetwork := emul.NewNetwork()
		defer closeNetwork()
		f := emul.Small().Build()
		c, closeCaller := newCaller(t.Context(), []netip.AddrPort{f.VMs[0].Addr}, nw.Dialer("x"), 1)
		defer closeCaller()
		loadGenerator := &generator{exp: smallExperiment("late")}
		start := time.Now()
		time.Sleep(5 * time.Second)
		s := loadGenerator.send(t.Context(), start, plannedRequest{id: "q", service: &f.Services[0], caller: c, at: 2 * time.Second})
		assert.Equal(t, s.latency, 3*time.Second)
	})
}

// Guards against a countLateWork that reports no violation although the entry processes ignore the rules.
func TestCountLateWork(t *testing.T) {
	e := smallExperiment("out")
	e.Duration = 7 * time.Second
	e.Faults = []Fault{{At: time.Second, Name: "out", Inject: func(run *Run) { run.PublishRules(excludeRule) }}}
	e.Violations = countLateWork
	runInBubble(t, e, StartDirect, func(r Report) {
		assert.Assert(t, r.Violations[violationLateWork] > 0)
	})
}

// Guards against a checkOrders that misses a second execution, or a result code that contradicts the execution.
func TestCheckOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw, closeNetwork := emul.NewNetwork()
		defer closeNetwork()
		standIns, stop, err := emul.Small().Build().Start(nw.Listen, nil)
		assert.NilError(t, err)
		defer stop()
		sendOrder := func(id, token string) {
			c, closeClient := target.NewHTTP(standIns.Fleet.Services[0].Targets[0].Addr, target.Options{DialContext: nw.Dialer("x")})
			defer closeClient()
			_, err := c.Order(t.Context(), target.Order{RequestID: id, Token: token})
			assert.NilError(t, err)
		}
		sendOrder("1", "twice")
		sendOrder("2", "twice")
		sendOrder("3", "denied")
		run := &Run{Fleet: standIns}
		got := map[string]int{}
		run.checkOrders([]sample{
			{token: "twice", code: codes.Executed},
			{token: "denied", code: codes.Overloaded},
			{token: "never", code: codes.Executed},
			{token: "open", code: codes.OutcomeUnknown},
		}, got)
		assert.DeepEqual(t, got, map[string]int{
			"order ran more than once": 1, "order refused as not run did run": 1, "order reported as run did not run": 1,
		})
	})
}

// Guards against a checkCoverage that accepts more documents than the targets searched, or rejects the correct number.
func TestCheckCoverage(t *testing.T) {
	e := smallExperiment("partial")
	e.Faults = []Fault{{At: 0, Name: "partial", Inject: func(run *Run) { run.Target(0).SetDocumentShare(0.5) }}}
	noViolation := func(r Report) { assert.Equal(t, r.Violations["coverage differs from what was searched"], 0) }
	runInBubble(t, e, StartDirect, noViolation)
	synctest.Test(t, func(t *testing.T) {
		nw, closeNetwork := emul.NewNetwork()
		defer closeNetwork()
		standIns, stop, err := emul.Small().Build().Start(nw.Listen, nil)
		assert.NilError(t, err)
		defer stop()
		run := &Run{Fleet: standIns, exp: e}
		got := map[string]int{}
		run.checkCoverage([]sample{{plannedRequest: plannedRequest{id: "q"}, code: codes.Partial, documentsCovered: 1, hitShards: []uint32{0}}}, got)
		assert.Equal(t, got["coverage differs from what was searched"], 1)
	})
}

// Guards against an answerViolations that accepts hits of another snapshot, "complete" in an answer that lacks shards, or a
// wrong number of covered documents.
func TestAnswerViolations(t *testing.T) {
	svc := emul.Small().Build().Services[0]
	p := plannedRequest{id: "q", service: &svc}
	a := wire.Answer{Complete: true, PartitionGeneration: 1, IndexVersion: 1, Status: wire.Status{RequestID: "q"}}
	a.Hits = []wire.Hit{{Shard: 0, ID: "g1-v2-s0-d5", Body: "q"}}
	assert.DeepEqual(t, answerViolations(p, 0.9, a), []string{
		"answer below the minimum coverage of its class", "hit of another snapshot or request", "answer says complete and lacks shards",
	})
	a = wire.Answer{Coverage: 1, DocumentsCovered: 9, PartitionGeneration: 1, IndexVersion: 1, Status: wire.Status{RequestID: "q"}}
	a.Hits = []wire.Hit{{Shard: 0, ID: "g1-v1-s0-d5", Body: "q"}}
	assert.DeepEqual(t, answerViolations(p, 0.9, a), []string{"covered documents differ from those of the hits"})
}

// Guards against a killed process that still serves, and against a stopped process whose listeners stay open, so that the
// process can't be started again.
func TestStopStartAndKill(t *testing.T) {
	e := smallExperiment("processes")
	e.Faults = []Fault{
		{At: 500 * time.Millisecond, Name: "restart", Inject: func(run *Run) {
			for _, vm := range run.Fleet.Fleet.VMs {
				run.Stop(vm.ID)
				run.Start(vm.ID)
			}
		}},
		{At: time.Second, Name: "kill", Inject: func(run *Run) {
			for _, vm := range run.Fleet.Fleet.VMs {
				run.Kill(vm.ID)
			}
		}},
	}
	runInBubble(t, e, StartDirect, func(r Report) {
		sent, answered := totals(r)
		assert.Equal(t, sent, 100)
		assert.Assert(t, answered >= 40 && answered <= 52, "%d", answered)
	})
}

// Guards against a run over loopback whose reports can't be written as table, JSON or plots.
func TestWriteReports(t *testing.T) {
	e := smallExperiment("loopback")
	e.SettleTime, e.Duration = 100*time.Millisecond, time.Second
	reports, err := RunAll(context.Background(), []Experiment{e}, Options{
		Start: map[string]Starter{"direct": StartDirect}, Variants: []Variant{{Name: "direct", Starter: "direct"}}, Network: Loopback,
	})
	assert.NilError(t, err)
	_, answered := totals(reports[0])
	assert.Assert(t, answered > 0)
	var out bytes.Buffer
	assert.NilError(t, WriteTable(&out, reports))
	assert.Assert(t, bytes.Contains(out.Bytes(), []byte("seed 7")))
	assert.NilError(t, WriteJSON(&out, reports))
	dir := t.TempDir()
	paths, err := WritePlots(dir, reports)
	assert.NilError(t, err)
	assert.DeepEqual(t, paths, []string{filepath.Join(dir, "loopback-p99.png"), filepath.Join(dir, "loopback-complete.png")})
	info, err := os.Stat(paths[0])
	assert.NilError(t, err)
	assert.Assert(t, info.Size() > 0)
}
