package poison_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/fuchsiarelay/fuchsiarelay/internal/poison"
)

// fleetConfig returns the configuration for a fleet in which each process sends to all targets.
func fleetConfig(stagger float64) poison.Config {
	return poison.Config{MinTargets: 3, MinCrashes: 3, Window: 10 * time.Minute, DoubtfulDuration: time.Second, MinCrashGap: 500 * time.Millisecond, PriorSuccessWindow: time.Minute, Stagger: stagger}
}

func crash(target string, ms int, fps ...uint64) poison.Crash {
	return poison.Crash{Target: target, At: at(ms), LastSent: at(ms - 1), Fingerprints: fps}
}

func status(d *poison.Detector, ms int, fp uint64) poison.Status {
	s, _ := d.Status(at(ms), fp)
	return s
}

// Guards against sending a third copy of a request while it isn't known yet whether the targets of the first two have ended,
// and against requests that become suspects because connections alone were lost.
func TestLostConnectionsAreCheckedFirst(t *testing.T) {
	d := poison.New(fleetConfig(0))
	assert.Assert(t, d.RecordLostConnection(at(10), at(9), "t1", []uint64{bad}))
	assert.Assert(t, !d.RecordLostConnection(at(11), at(9), "t1", []uint64{harmless}), "one check of a target at a time")
	assert.Equal(t, status(d, 11, bad), poison.Clear)
	assert.Assert(t, d.RecordLostConnection(at(12), at(9), "t2", []uint64{bad}))
	assert.Equal(t, status(d, 12, bad), poison.CheckPending)
	assert.Equal(t, status(d, 12, harmless), poison.Clear)
	c, report := d.FinishCheck(at(20), "t1", true)
	assert.Assert(t, report)
	assert.DeepEqual(t, c.Fingerprints, []uint64{bad, harmless})
	d.Report(at(20), c)
	assert.Equal(t, status(d, 20, bad), poison.CheckPending)
	_, report = d.FinishCheck(at(21), "t2", false)
	assert.Assert(t, !report, "only a connection was lost")
	assert.Equal(t, status(d, 21, bad), poison.Clear)
}

// Guards against a request that stays restricted forever because the check of a target never ends.
func TestCheckThatNeverEnds(t *testing.T) {
	d := poison.New(fleetConfig(0))
	d.RecordLostConnection(at(0), at(-1), "t1", []uint64{bad})
	d.RecordLostConnection(at(0), at(-1), "t2", []uint64{bad})
	assert.Equal(t, status(d, 1, bad), poison.CheckPending)
	d.Sweep(at(6000))
	assert.Equal(t, status(d, 6001, bad), poison.Clear)
}

// Guards against reporting a crash to peers if the request has succeeded before the end of the target is known.
func TestSuccessBeforeCheckEnds(t *testing.T) {
	d := poison.New(fleetConfig(0))
	d.RecordLostConnection(at(10), at(9), "t1", []uint64{harmless})
	d.RecordSuccess(at(15), harmless)
	_, report := d.FinishCheck(at(20), "t1", true)
	assert.Assert(t, !report)
}

// Guards against counting one crash of a target several times because several processes report it, and against counting
// several crashes of one target as one.
func TestEndsOfOneTarget(t *testing.T) {
	d := poison.New(fleetConfig(0))
	for ms := 100; ms < 400; ms += 100 {
		peerReport := crash("t1", ms, bad)
		peerReport.LastSent, peerReport.FromPeer = time.Time{}, true
		d.Report(at(ms), peerReport)
	}
	assert.Equal(t, status(d, 400, bad), poison.Clear)
	d.Report(at(450), crash("t1", 450, bad))
	assert.Equal(t, status(d, 450, bad), poison.Suspect, "the target had restarted when the request was sent")
	assert.Equal(t, len(d.Report(at(500), crash("t1", 500, bad))), 1)
	assert.Equal(t, status(d, 501, bad), poison.Quarantined)
}

// Guards against a quarantine of a minute for a request that succeeded just before, when its targets end for another cause.
func TestShortFirstQuarantine(t *testing.T) {
	d := poison.New(fleetConfig(0))
	d.RecordSuccess(at(0), harmless)
	for i := range 3 {
		d.Report(at(100+i), crash(fmt.Sprint("t", i), 100+i, harmless))
	}
	assert.Equal(t, status(d, 1000, harmless), poison.Quarantined)
	assert.Equal(t, status(d, 1200, harmless), poison.Suspect, "one copy may run after the short quarantine")
	assert.Assert(t, d.RecordSuccess(at(1250), harmless), "peers must receive the success")
	assert.Equal(t, status(d, 1250, harmless), poison.Clear)
}

// Guards against a second retry of a request after its quarantine if the first retry has crashed a target.
func TestRetryThatEndsATarget(t *testing.T) {
	d := poison.New(fleetConfig(0))
	d.RecordSuccess(at(0), bad)
	for i := range 3 {
		d.Report(at(100+i), crash(fmt.Sprint("t", i), 100+i, bad))
	}
	lateReport := crash("t1", 110, bad)
	lateReport.FromPeer = true
	assert.Equal(t, len(d.Report(at(1200), lateReport)), 0, "a late report of an earlier crash isn't the result of a retry")
	assert.Equal(t, len(d.Report(at(1300), crash("t4", 1300, bad))), 1)
	assert.Equal(t, status(d, 60_000, bad), poison.Quarantined)
	assert.Equal(t, status(d, 62_000, bad), poison.Suspect)
	assert.Equal(t, len(d.Report(at(62_100), crash("t4", 62_100, bad))), 1, "one crash suffices although the quarantine has ended")
	assert.Equal(t, status(d, 100_000, bad), poison.Quarantined)
}

// Guards against a quarantine of a minute for a request that was running on some of many targets that ended.
func TestUnrelatedEndsShortenQuarantine(t *testing.T) {
	for _, unrelatedEnds := range []int{0, 3} {
		d := poison.New(fleetConfig(0))
		for i := range unrelatedEnds {
			d.RecordTargetEnd(at(99), fmt.Sprint("other-", i))
		}
		for i := range 3 {
			d.Report(at(100+i), crash(fmt.Sprint("t", i), 100+i, bad))
		}
		want := poison.Quarantined
		if unrelatedEnds > 0 {
			want = poison.Suspect
		}
		assert.Equal(t, status(d, 1500, bad), want, "%d unrelated ends", unrelatedEnds)
	}
}

// Guards against a quarantine of requests that were running on the same targets as the one that crashed them.
func TestRequestsBesideQuarantinedOne(t *testing.T) {
	d := poison.New(fleetConfig(0))
	d.Report(at(100), crash("t0", 100, bad, harmless))
	d.Report(at(101), crash("t1", 101, bad, harmless))
	d.Report(at(102), crash("t2", 102, bad))
	assert.Equal(t, status(d, 103, bad), poison.Quarantined)
	assert.Equal(t, status(d, 103, harmless), poison.Clear, "crashes before the quarantine")
	for i := range 5 {
		c := crash(fmt.Sprint("u", i), 200+i, bad, harmless)
		assert.Assert(t, !d.IsNewCrash(at(200+i), c))
		d.Report(at(200+i), c)
	}
	assert.Equal(t, status(d, 300, harmless), poison.Clear, "crashes by copies that were still in flight")
}

// Guards against a long quarantine in a process that knows the crashes only from peers, unless a peer has decided on one. The
// peers know more about the crashes.
func TestOnlyPeerReports(t *testing.T) {
	d := poison.New(fleetConfig(0))
	for i := range 3 {
		c := crash(fmt.Sprint("t", i), 100+i, bad)
		c.FromPeer = true
		d.Report(at(110), c)
	}
	assert.Equal(t, status(d, 500, bad), poison.Quarantined)
	assert.Equal(t, status(d, 2000, bad), poison.Suspect)
	assert.Assert(t, d.ApplyQuarantine(at(600), poison.Quarantine{Fingerprint: bad, Until: at(60_600), FirstCrash: at(100)}))
	assert.Equal(t, status(d, 2000, bad), poison.Quarantined)
}

// Guards against a long quarantine that a peer decided without knowing that the request succeeded in this process shortly
// before.
func TestPeerDoesNotKnowOfTheSuccess(t *testing.T) {
	d := poison.New(fleetConfig(0))
	d.RecordSuccess(at(0), harmless)
	d.ApplyQuarantine(at(200), poison.Quarantine{Fingerprint: harmless, Until: at(60_000), FirstCrash: at(100)})
	assert.Equal(t, status(d, 300, harmless), poison.Quarantined)
	assert.Equal(t, status(d, 1300, harmless), poison.Suspect)
}

// Guards against a crashing request that is never quarantined, because its copies arrive so rarely that the crashes by
// earlier copies no longer count.
func TestInfrequentCopies(t *testing.T) {
	d := poison.New(fleetConfig(0))
	for i := range 3 {
		assert.Assert(t, !quarantined(d, at(100_000*i), bad))
		d.Report(at(100_000*i), crash("t1", 100_000*i, bad))
	}
	assert.Assert(t, quarantined(d, at(200_001), bad))
}

// Guards against a long quarantine of a harmless request whose targets keep ending together with many others.
func TestRetryAmongUnrelatedEnds(t *testing.T) {
	d := poison.New(fleetConfig(0))
	quarantine := 1000
	for ms := 0; ms < 100_000; ms += quarantine + 100 {
		for i := range 3 {
			d.RecordTargetEnd(at(ms), fmt.Sprint("other-", i))
			d.Report(at(ms), crash(fmt.Sprint("t", i), ms, harmless))
		}
		assert.Equal(t, status(d, ms+quarantine-1, harmless), poison.Quarantined)
		assert.Equal(t, status(d, ms+quarantine, harmless), poison.Suspect)
		quarantine = min(2*quarantine, 60_000)
	}
}

// Guards against two crashing requests of which each keeps the other out of quarantine.
func TestTwoCrashingRequests(t *testing.T) {
	d := poison.New(fleetConfig(0))
	sendCounts := map[uint64]int{} // by fingerprint
	for ms := 0; ms < 50_000; ms += 50 {
		fp := []uint64{bad, harmless}[ms/50%2] // in this test, both requests crash their targets
		if status(d, ms, fp) == poison.Quarantined {
			continue
		}
		sendCounts[fp]++
		d.Report(at(ms), crash(fmt.Sprint("t", ms/50%6), ms, fp))
	}
	// Three crashes, and the retry after the first quarantine, which is short.
	assert.Assert(t, sendCounts[bad] <= 4 && sendCounts[harmless] <= 4, "%v", sendCounts)
}

// Guards against all processes of a fleet retrying a request at the same time.
func TestStaggeredRetries(t *testing.T) {
	first, last := poison.New(fleetConfig(0)), poison.New(fleetConfig(1))
	for _, d := range []*poison.Detector{first, last} {
		d.ApplyQuarantine(at(0), poison.Quarantine{Fingerprint: bad, Until: at(60_000), FirstCrash: at(0)})
	}
	assert.Equal(t, status(first, 60_001, bad), poison.Suspect)
	assert.Equal(t, status(last, 60_001, bad), poison.Quarantined)
	assert.Equal(t, status(last, 90_001, bad), poison.Suspect)
}

// Guards against records that use memory and processor time long after the crashes.
func TestSweep(t *testing.T) {
	d := poison.New(fleetConfig(0))
	d.Report(at(0), crash("t0", 0, harmless))
	for i := range 3 {
		d.Report(at(i), crash(fmt.Sprint("t", i), i, bad))
	}
	assert.Equal(t, len(d.UnresolvedCrashes(at(100))), 0, "the crash of the other request is attributed to the one in quarantine")
	d.Sweep(at(70_000))
	assert.Equal(t, d.Len(), 1, "the record of the quarantine is kept")
	d.Sweep(at(700_000))
	assert.Assert(t, d.IsEmpty())
}

// fleet simulates several processes that each send to all targets, and exchange reports of crashes, successes and quarantines.
type fleet struct {
	draw                 func(n int) int // returns a random number from 0 to n-1
	now                  int             // ms
	detectors            []*poison.Detector
	targets              []targetState
	messages             []message
	running              []send
	checks               []check
	badSentAfterThirdEnd int // copies of the bad request sent after it ended a target for the third time
	badEnds              int // how often the bad request ended a target
	thirdEndAt           int // in ms, when badEnds reached 3; 0: not yet
	harmlessChecks       int // calls of Status for the harmless request, which is frequent
	harmlessClear        int // number of these calls that returned Clear
}

type targetState struct {
	downUntil   int // in ms
	incarnation int
}

type send struct {
	process, target, incarnation int
	fp                           uint64
	sentAt, endsAt               int
}

type message struct {
	deliverAt, to int
	apply         func(d *poison.Detector, now time.Time)
}

type check struct{ at, process, target int }

const (
	maxDelayMS = 15 // longest delay of a message between processes
	checkMS    = 12 // time until it is known whether a target has ended
)

// broadcast calls apply for the detector of each other process, each after its own random delay.
func (f *fleet) broadcast(from int, apply func(d *poison.Detector, now time.Time)) {
	for to := range f.detectors {
		if to != from {
			f.messages = append(f.messages, message{f.now + 1 + f.draw(maxDelayMS), to, apply})
		}
	}
}

// startSend sends a request to a target if the target is up and the detector of the process allows it.
func (f *fleet) startSend(process, target int, fp uint64) {
	d := f.detectors[process]
	s, _ := d.Status(at(f.now), fp)
	alreadyRunning := slices.ContainsFunc(f.running, func(r send) bool { return r.process == process && r.fp == fp })
	if s == poison.Quarantined || s == poison.CheckPending || s == poison.Suspect && alreadyRunning || f.targets[target].downUntil > f.now {
		return
	}
	duration := 2 + f.draw(20)
	if fp == bad {
		duration = 1 + f.draw(3)
		if f.thirdEndAt > 0 {
			f.badSentAfterThirdEnd++
		}
	}
	f.running = append(f.running, send{process, target, f.targets[target].incarnation, fp, f.now, f.now + duration})
}

// endTarget ends a target. Each process with a request on the target loses its connection.
func (f *fleet) endTarget(target int) {
	ended := &f.targets[target]
	ended.downUntil, ended.incarnation = f.now+1000+f.draw(3000), ended.incarnation+1
	var remaining []send
	for _, r := range f.running {
		if r.target != target {
			remaining = append(remaining, r)
			continue
		}
		if f.detectors[r.process].RecordLostConnection(at(f.now), at(r.sentAt), fmt.Sprint(target), []uint64{r.fp}) {
			f.checks = append(f.checks, check{f.now + checkMS, r.process, target})
		}
	}
	f.running = remaining
}

// step advances the simulation by one millisecond.
func (f *fleet) step() {
	f.now++
	for _, message := range f.messages {
		if message.deliverAt == f.now {
			message.apply(f.detectors[message.to], at(f.now))
		}
	}
	f.messages = slices.DeleteFunc(f.messages, func(message message) bool { return message.deliverAt <= f.now })
	for _, c := range slices.Clone(f.checks) {
		if c.at == f.now {
			f.finishCheck(c)
		}
	}
	f.checks = slices.DeleteFunc(f.checks, func(c check) bool { return c.at <= f.now })
	for _, r := range slices.Clone(f.running) {
		if r.endsAt > f.now || f.targets[r.target].incarnation != r.incarnation {
			continue
		}
		if r.fp == bad {
			f.badEnds++
			if f.badEnds == 3 {
				f.thirdEndAt = f.now
			}
			f.endTarget(r.target)
			continue
		}
		f.running = slices.DeleteFunc(f.running, func(x send) bool { return x == r })
		if f.detectors[r.process].RecordSuccess(at(f.now), r.fp) {
			ended := at(f.now)
			f.broadcast(r.process, func(d *poison.Detector, now time.Time) {
				d.ApplySuccess(now, poison.Success{Fingerprint: r.fp, Ended: ended})
			})
		}
	}
}

// finishCheck ends the check of a target that has ended, and sends the crash and new quarantines to the other processes.
func (f *fleet) finishCheck(c check) {
	d := f.detectors[c.process]
	crash, report := d.FinishCheck(at(f.now), fmt.Sprint(c.target), true)
	if !report {
		return
	}
	isNewCrash := d.IsNewCrash(at(f.now), crash)
	quarantines := d.Report(at(f.now), crash)
	if isNewCrash {
		peerReport := crash
		peerReport.FromPeer, peerReport.LastSent = true, time.Time{}
		f.broadcast(c.process, func(d *poison.Detector, now time.Time) { d.Report(now, peerReport) })
	}
	for _, q := range quarantines {
		f.broadcast(c.process, func(d *poison.Detector, now time.Time) { d.ApplyQuarantine(now, q) })
	}
}

// runCrashHistory simulates a fleet in which the bad request is sent repeatedly and crashes its targets. Now and then a target
// ends for another cause. A frequent harmless request runs on all targets meanwhile. runCrashHistory returns a description of
// the violation found; empty if there is none.
func runCrashHistory(seed uint64, config func(stagger float64) poison.Config) string {
	draw := rand.New(rand.NewPCG(seed, seed)).IntN
	processes := 3 + int(seed%6)
	f := &fleet{draw: draw, targets: make([]targetState, 6)}
	for i := range processes {
		f.detectors = append(f.detectors, poison.New(config(float64(i)/float64(processes))))
	}
	interval := 5 + draw(200)
	for f.now < 20_000 {
		f.step()
		if f.now%interval == 0 && f.now > 500 {
			f.startSend(draw(processes), draw(len(f.targets)), bad)
		}
		if f.now%4 == 0 {
			p := draw(processes)
			f.startSend(p, draw(len(f.targets)), harmless)
			s, _ := f.detectors[p].Status(at(f.now), harmless)
			f.harmlessChecks++
			if s == poison.Clear {
				f.harmlessClear++
			}
		}
		if draw(2000) == 0 {
			f.endTarget(draw(len(f.targets)))
		}
	}
	switch {
	// One retry after the first quarantine, which is short. Both at the third end and at the retry, each process may have a
	// copy in flight.
	case f.badSentAfterThirdEnd > 2*processes:
		return fmt.Sprintf("%d copies sent after the third end, one every %d ms", f.badSentAfterThirdEnd, interval)
	case float64(f.harmlessClear) < 0.95*float64(f.harmlessChecks):
		return fmt.Sprintf("the harmless request was restricted in %d of %d cases", f.harmlessChecks-f.harmlessClear, f.harmlessChecks)
	}
	return ""
}

// Guards against sending a crashing request without end, and against restricting a harmless request that is running on most
// of the targets when they crash.
func TestCrashHistories(t *testing.T) {
	for seed := range uint64(30) {
		assert.Equal(t, runCrashHistory(seed, fleetConfig), "", "seed %d", seed)
	}
	// Guards against a simulation that accepts any detector: one never quarantines, the other ends quarantines after 10 ms.
	for name, breakConfig := range map[string]func(c *poison.Config){
		"never":   func(c *poison.Config) { c.MinTargets, c.MinCrashes = 1<<20, 1<<20 },
		"forgets": func(c *poison.Config) { c.Duration, c.DoubtfulDuration = 10*time.Millisecond, 10*time.Millisecond },
	} {
		violations := 0
		for seed := range uint64(30) {
			if runCrashHistory(seed, func(stagger float64) poison.Config {
				c := fleetConfig(stagger)
				breakConfig(&c)
				return c
			}) != "" {
				violations++
			}
		}
		t.Logf("%s: found in %d of 30", name, violations)
		assert.Check(t, violations > 0, name)
	}
}

// Guards against a panic or contradicting results of Status and QuarantineEnd after any order of reports, successes and
// quarantines.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := poison.New(fleetConfig(0))
		now := 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.IntRange(0, 3000).Draw(t, "pause")
			fp := uint64(rapid.IntRange(0, 4).Draw(t, "fp"))
			target := fmt.Sprint("t", rapid.IntRange(0, 3).Draw(t, "target"))
			eventTime := now - rapid.IntRange(-500, 5000).Draw(t, "age")
			switch rapid.IntRange(0, 7).Draw(t, "what") {
			case 0:
				d.RecordLostConnection(at(now), at(eventTime), target, []uint64{fp, fp + 1})
			case 1:
				if c, ok := d.FinishCheck(at(now), target, true); ok {
					d.Report(at(now), c)
				}
			case 2:
				c := crash(target, eventTime, fp)
				c.FromPeer, c.LastSent = true, time.Time{}
				d.Report(at(now), c)
				assert.Assert(t, !d.IsNewCrash(at(now), c))
			case 3:
				d.ApplySuccess(at(now), poison.Success{Fingerprint: fp, Ended: at(eventTime)})
			case 4:
				d.ApplyQuarantine(at(now), poison.Quarantine{Fingerprint: fp, Until: at(now + 30_000), FirstCrash: at(eventTime)})
			case 5:
				d.Sweep(at(now))
			case 6:
				if d.RecordSuccess(at(now), fp); fp != 0 {
					assert.Equal(t, status(d, now, fp), poison.Clear)
				}
			case 7:
				d.RecordTargetEnd(at(now), target)
				d.UnresolvedCrashes(at(now))
			}
			s, until := d.Status(at(now), fp)
			_, quarantined := d.QuarantineEnd(at(now), fp)
			assert.Equal(t, s == poison.Quarantined, quarantined)
			assert.Assert(t, !quarantined || until.Sub(at(now)) <= time.Minute)
		}
	})
}
