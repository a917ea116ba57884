package poison_test

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/fuchsiarelay/fuchsiarelay/internal/poison"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func quarantined(d *poison.Detector, now time.Time, fp uint64) bool {
	_, b := d.QuarantineEnd(now, fp)
	return b
}

const (
	bad      = uint64(1) // fingerprint of a request that crashes its targets
	harmless = uint64(2) // fingerprint of a request that doesn't
)

// Guards against a quarantine of a frequent request that is running at every crash but has succeeded on another target.
func TestFrequentHarmlessRequest(t *testing.T) {
	d := poison.New(poison.Config{})
	d.QuarantineEnd(at(0), harmless)
	d.RecordSuccessNow(harmless)
	d.ReportNow(at(10), "t1", []uint64{bad, harmless})
	d.ReportNow(at(11), "t2", []uint64{harmless, bad})
	assert.Assert(t, quarantined(d, at(12), bad))
	assert.Assert(t, !quarantined(d, at(12), harmless))
}

// Guards against a quarantine that stays in force although a copy that was still running has succeeded since.
func TestSuccessLiftsQuarantine(t *testing.T) {
	d := poison.New(poison.Config{})
	d.ReportNow(at(0), "t1", []uint64{bad, harmless})
	d.ReportNow(at(1), "t2", []uint64{bad, harmless})
	d.QuarantineEnd(at(2), harmless)
	d.RecordSuccessNow(harmless)
	assert.Assert(t, quarantined(d, at(3), bad))
	assert.Assert(t, !quarantined(d, at(3), harmless))
}

// Guards against a request that stays a suspect after Config.Window.
func TestSuspicionExpires(t *testing.T) {
	d := poison.New(poison.Config{})
	d.ReportNow(at(0), "t1", []uint64{harmless})
	assert.Assert(t, d.Suspected(harmless))
	d.QuarantineEnd(at(61_000), harmless)
	assert.Assert(t, !d.Suspected(harmless))
}

// Guards against two different requests that get the same fingerprint because a separator occurs in their fields.
func TestFingerprintFields(t *testing.T) {
	assert.Assert(t, poison.Fingerprint("s", "a\x00b", "c") != poison.Fingerprint("s", "a", "b\x00c"))
}

// Guards against crashes that aren't added up because different processes observed them, and against counting one crash
// twice because both dispatchers of the target report it.
func TestReportsOfSeveralProcesses(t *testing.T) {
	d := poison.New(poison.Config{})
	assert.Equal(t, len(d.Report(at(5), poison.Crash{Target: "t1", Incarnation: 7, At: at(0), Fingerprints: []uint64{bad}})), 0)
	assert.Equal(t, len(d.Report(at(6), poison.Crash{Target: "t1", Incarnation: 7, At: at(1), Fingerprints: []uint64{bad}})), 0)
	assert.Equal(t, len(d.Report(at(7), poison.Crash{Target: "t2", Incarnation: 3, At: at(2), Fingerprints: []uint64{bad}})), 1)
	assert.DeepEqual(t, d.RetractCrash(at(9), "t2", 3), []uint64{bad})
	assert.Assert(t, !quarantined(d, at(9), bad), "only a connection had failed")
}

// Guards against a crash or a quarantine that takes effect although it is received after a later success of the request.
func TestLateReports(t *testing.T) {
	d := poison.New(poison.Config{})
	d.RecordSuccess(at(100), harmless)
	d.Report(at(101), poison.Crash{Target: "t1", At: at(50), Fingerprints: []uint64{harmless}})
	assert.Assert(t, !d.Suspected(harmless), "the success ended after the crash")
	assert.Assert(t, !d.ApplyQuarantine(at(102), poison.Quarantine{Fingerprint: harmless, Until: at(9000), FirstCrash: at(50)}))
	crash := poison.Crash{Target: "t2", At: at(150), Fingerprints: []uint64{harmless, bad}}
	assert.DeepEqual(t, d.RecentSuccesses(at(160), crash), []poison.Success{{Fingerprint: harmless, Ended: at(100)}})
}

// Guards against a peer that states times in the future, so that a success or a quarantine would have effect for too long.
func TestTimesFromTheFuture(t *testing.T) {
	d := poison.New(poison.Config{})
	d.ApplySuccess(at(0), poison.Success{Fingerprint: bad, Ended: at(1_000_000)})
	d.ApplyQuarantine(at(1), poison.Quarantine{Fingerprint: harmless, Until: at(1_000_000), FirstCrash: at(1)})
	d.ReportNow(at(2), "t1", []uint64{bad})
	d.ReportNow(at(3), "t2", []uint64{bad})
	assert.Assert(t, quarantined(d, at(4), bad))
	assert.Assert(t, !quarantined(d, at(61_000), harmless))
}

// Guards against a request that crashes its only target again after every restart.
func TestOneTargetCrashesAgain(t *testing.T) {
	d := poison.New(poison.Config{})
	for incarnation := uint64(1); incarnation <= 3; incarnation++ {
		assert.Assert(t, !quarantined(d, at(0), bad))
		d.Report(at(0), poison.Crash{Target: "t1", Incarnation: incarnation, At: at(int(incarnation)), Fingerprints: []uint64{bad}})
	}
	assert.Assert(t, quarantined(d, at(9), bad))
}

// Guards against memory use that grows with the number of fingerprints, and against evicting a quarantine in force.
func TestBoundedMemory(t *testing.T) {
	d := poison.New(poison.Config{MaxRecords: 50})
	d.ReportNow(at(0), "t1", []uint64{bad})
	d.ReportNow(at(0), "t2", []uint64{bad})
	for fp := uint64(2); fp < 1000; fp++ {
		d.ReportNow(at(int(fp)), "t1", []uint64{fp})
	}
	assert.Assert(t, d.Len() <= 50)
	assert.Assert(t, quarantined(d, at(1000), bad))
}

// Guards against a request that, after its quarantine, may crash as many targets as before.
func TestQuarantineIsRemembered(t *testing.T) {
	d := poison.New(poison.Config{})
	d.ReportNow(at(0), "t1", []uint64{bad})
	d.ReportNow(at(1), "t2", []uint64{bad})
	assert.Assert(t, !quarantined(d, at(60_500), bad))
	assert.Assert(t, d.Suspected(bad))
	d.ReportNow(at(60_600), "t3", []uint64{bad})
	assert.Assert(t, quarantined(d, at(60_601), bad))
}

// detector is the part of poison.Detector that the simulated entry processes use.
type detector interface {
	Report(now time.Time, c poison.Crash) []poison.Quarantine
	ApplySuccess(now time.Time, s poison.Success) bool
	MayRun(now time.Time, fp uint64, running []uint64) bool
	QuarantineEnd(now time.Time, fp uint64) (time.Time, bool)
}

// counting is a detector with a broken policy: it quarantines every fingerprint that was running at two crashes, ignores
// successes, and lets suspects run together with other requests.
type counting struct{ *poison.Detector }

func (counting) ApplySuccess(time.Time, poison.Success) bool { return false }
func (counting) MayRun(time.Time, uint64, []uint64) bool     { return true }
func (c counting) Report(now time.Time, crash poison.Crash) []poison.Quarantine {
	return c.Detector.Report(now, crash)
}

// lenient is a detector with a broken policy: it never quarantines a fingerprint.
type lenient struct{ *poison.Detector }

func (lenient) Report(time.Time, poison.Crash) []poison.Quarantine { return nil }

// runningCopy is a copy of a request that is running on a target.
type runningCopy struct {
	fp         uint64
	dispatcher int // 0 or 1: the one that sent the copy to the target
}

// simulation holds the state of five targets and of the detectors of the processes.
type simulation struct {
	fleet          []detector
	running        [5][]runningCopy
	incarnation    [5]uint64
	crashedTargets map[int]bool // targets that crashed while running the bad request
}

// fingerprints returns the fingerprints of the copies on a target for which keep returns true.
func (s *simulation) fingerprints(target int, keep func(runningCopy) bool) (out []uint64) {
	for _, c := range s.running[target] {
		if keep(c) {
			out = append(out, c.fp)
		}
	}
	return out
}

func anyCopy(runningCopy) bool { return true }

func (s *simulation) badIsRunning() bool {
	return slices.ContainsFunc(s.running[:], func(r []runningCopy) bool {
		return slices.ContainsFunc(r, func(c runningCopy) bool { return c.fp == bad })
	})
}

// start runs a copy on a target if the detector allows it. A copy of the bad request starts only if no other one is running.
func (s *simulation) start(now time.Time, target int, c runningCopy) {
	d := s.fleet[(target+c.dispatcher)%len(s.fleet)]
	if _, quarantined := d.QuarantineEnd(now, c.fp); quarantined || c.fp == bad && s.badIsRunning() {
		return
	}
	if d.MayRun(now, c.fp, s.fingerprints(target, anyCopy)) {
		s.running[target] = append(s.running[target], c)
	}
}

// crash crashes a target. Both of its dispatchers report to all processes the copies that they had there.
func (s *simulation) crash(now time.Time, target int) {
	s.crashedTargets[target] = true
	s.incarnation[target]++
	for dispatcher := range 2 {
		fingerprints := s.fingerprints(target, func(c runningCopy) bool { return c.dispatcher == dispatcher })
		for _, d := range s.fleet {
			d.Report(now, poison.Crash{Target: fmt.Sprint(target), Incarnation: s.incarnation[target], At: now, Fingerprints: fingerprints})
		}
	}
	s.running[target] = nil
}

// finish lets the i-th copy on a target succeed.
func (s *simulation) finish(now time.Time, target, i int) {
	for _, d := range s.fleet {
		d.ApplySuccess(now, poison.Success{Fingerprint: s.running[target][i].fp, Ended: now})
	}
	s.running[target] = slices.Delete(s.running[target], i, i+1)
}

// violation returns a description of the rule that the present state violates; empty if there is none.
func (s *simulation) violation(now time.Time) string {
	if len(s.crashedTargets) > 2 {
		return fmt.Sprintf("the crashing request ran on %d targets", len(s.crashedTargets))
	}
	for fp := harmless; fp <= 4; fp++ {
		for _, d := range s.fleet {
			if _, quarantined := d.QuarantineEnd(now, fp); quarantined {
				return fmt.Sprintf("harmless request %d is in quarantine", fp)
			}
		}
	}
	return ""
}

// runHistory simulates a random history. One request crashes each target on which it runs, and is sent again each time that
// it fails; three requests are harmless, the first of them frequent. It returns the violation found, if any.
func runHistory(draw func(n int) int, fleet []detector) (violation string) {
	s := &simulation{fleet: fleet, crashedTargets: map[int]bool{}}
	for step := 0; step < 300 && violation == ""; step++ {
		now, target := at(10*step), draw(5)
		running := s.fingerprints(target, anyCopy)
		switch {
		case draw(8) < 5:
			s.start(now, target, runningCopy{fp: uint64([]int{1, 2, 2, 2, 3, 4}[draw(6)]), dispatcher: draw(2)})
		case slices.Contains(running, bad):
			s.crash(now, target)
		case len(running) > 0:
			s.finish(now, target, draw(len(running)))
		}
		violation = s.violation(now)
	}
	return violation
}

// newDetectors returns the detectors of three processes, each wrapped by wrap.
func newDetectors[D detector](wrap func(*poison.Detector) D) (out []detector) {
	for range 3 {
		out = append(out, wrap(poison.New(poison.Config{})))
	}
	return out
}

// Guards against a crashing request that runs on a third target, and against a quarantine of requests that were running on
// the same targets as the crashing one.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "draw") }
		fleet := newDetectors(func(d *poison.Detector) *poison.Detector { return d })
		assert.Equal(t, runHistory(draw, fleet), "")
	})
}

// Guards against a simulation that finds no violation whatever the policy: it must find one for each broken policy.
func TestCheckerFindsBrokenPolicies(t *testing.T) {
	found := map[string]int{}
	for seed := range int64(100) {
		rnd := rand.New(rand.NewSource(seed))
		if runHistory(rnd.Intn, newDetectors(func(d *poison.Detector) counting { return counting{d} })) != "" {
			found["counting"]++
		}
		if runHistory(rnd.Intn, newDetectors(func(d *poison.Detector) lenient { return lenient{d} })) != "" {
			found["lenient"]++
		}
		fleet := newDetectors(func(d *poison.Detector) *poison.Detector { return d })
		assert.Equal(t, runHistory(rnd.Intn, fleet), "", "seed %d", seed)
	}
	t.Logf("histories with a violation, of 100: %v", found)
	assert.Assert(t, found["counting"] > 0 && found["lenient"] > 0)
}
