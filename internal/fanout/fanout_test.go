package fanout

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/fuchsiarelay/fuchsiarelay/internal/place"
	"github.com/fuchsiarelay/fuchsiarelay/internal/poison"
	"github.com/fuchsiarelay/fuchsiarelay/internal/table"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/codes"
)

// fakePicker picks the first target of a service that wasn't tried.
type fakePicker struct {
	targets                 map[string][]*table.Target // by service
	availability            place.Availability         // returned if no untried target is left
	usableIn                time.Duration              // until a target is usable again, returned with availability
	retryBudget             int                        // attempts left in the retry budget
	recordFirstAttemptCalls int                        // calls of RecordFirstAttempt
	expected                map[string]time.Duration   // duration of an attempt, by service
	suspicions              map[string]Suspicion       // by service
}

func (p *fakePicker) Pick(_ time.Time, service string, tried []string) (*table.Target, place.Estimate, place.Availability) {
	for _, t := range p.targets[service] {
		if !slices.Contains(tried, t.ID) {
			return t, place.Estimate{Time: p.expected[service]}, place.Usable
		}
	}
	return nil, place.Estimate{Time: p.usableIn}, p.availability
}

func (p *fakePicker) TakeRetry(time.Time, string, bool) bool {
	p.retryBudget--
	return p.retryBudget >= 0
}

func (p *fakePicker) ReturnRetry(time.Time, string) { p.retryBudget++ }

func (p *fakePicker) Suspicion(_ time.Time, service string) Suspicion { return p.suspicions[service] }

func (p *fakePicker) RecordFirstAttempt(time.Time, string) { p.recordFirstAttemptCalls++ }

func (p *fakePicker) RandomBool(float64) bool { return false }

func (p *fakePicker) Shuffle(int, func(i, j int)) {}

func (p *fakePicker) RandomFactor(float64) float64 { return 1 }

func (p *fakePicker) LateAfter() time.Duration { return 20 * time.Millisecond }

// newFakePicker returns a picker with three targets for each service and a budget of 100 retries.
func newFakePicker(services ...string) *fakePicker {
	p := &fakePicker{targets: map[string][]*table.Target{}, retryBudget: 100, availability: place.Down}
	for _, s := range services {
		for _, n := range []string{"-a", "-b", "-c"} {
			p.targets[s] = append(p.targets[s], &table.Target{ID: s + n, Service: s})
		}
	}
	return p
}

// at returns the time that is the given number of milliseconds after simStart.
func at(ms int) time.Time { return simStart.Add(time.Duration(ms) * time.Millisecond) }

// sends returns the Sends among the actions.
func sends(actions []Action) (out []Send) {
	for _, a := range actions {
		if a.Send != nil {
			out = append(out, *a.Send)
		}
	}
	return out
}

// finishOf returns the Finish among the actions, and fails the test if there is none.
func finishOf(t *testing.T, actions []Action) Finish {
	t.Helper()
	for _, a := range actions {
		if a.Finish != nil {
			return *a.Finish
		}
	}
	t.Fatal("no action finishes the plan")
	return Finish{}
}

// singleRoute returns a route with one service and two attempts.
func singleRoute(kind table.Kind) *table.Route {
	return &table.Route{Kind: kind, Timeout: 500 * time.Millisecond, LatencyGoal: 100 * time.Millisecond, MaxAttempts: 2, Split: []table.WeightedService{{Service: "s", Weight: 1}}}
}

// newPlan returns the plan of a request that arrives at at(0) and whose caller waits for 1 s.
func newPlan(r *table.Route, p Picker) *Plan {
	services := r.Gather
	if len(services) == 0 {
		services = []string{"s"}
	}
	return New(Config{}, r, services, p, at(0), Caller{TimeLeft: time.Second})
}

// A request that may run only once is retried only if the first target can't have run it.
func TestUnsafeIsRetriedOnlyIfNotRun(t *testing.T) {
	for _, c := range []struct {
		outcome   place.Outcome
		wantRetry bool
		wantCode  codes.Code
	}{
		{place.Refused, true, 0},
		{place.Replaced, true, 0},
		{place.NotSent, true, 0},
		{place.Broken, false, codes.OutcomeUnknown},
		{place.NoReply, false, codes.OutcomeUnknown},
		{place.Failed, false, codes.TargetFailed},
	} {
		p := newPlan(singleRoute(table.Unsafe), newFakePicker("s"))
		assert.Equal(t, len(sends(p.Start(at(0)))), 1)
		actions := p.AttemptEnded(at(5), 0, c.outcome)
		assert.Equal(t, len(sends(actions)) == 1, c.wantRetry)
		if !c.wantRetry {
			assert.Equal(t, finishOf(t, actions).Code, c.wantCode)
		}
	}
}

// A request that may run only once is never hedged.
func TestUnsafeIsNotHedged(t *testing.T) {
	p := newPlan(singleRoute(table.Unsafe), newFakePicker("s"))
	p.Start(at(0))
	assert.Equal(t, p.NextTick(), at(500))
	assert.Equal(t, len(p.Tick(at(400))), 0)
	assert.Equal(t, finishOf(t, p.Tick(at(500))).Code, codes.DeadlineRunning)
}

// A request that no target has run is refused with a code for "not run" and a Retry-After.
func TestRefusedEverywhereSaysNotRun(t *testing.T) {
	p := newPlan(singleRoute(table.Unsafe), newFakePicker("s"))
	p.Start(at(0))
	p.AttemptEnded(at(1), 0, place.Refused)
	p.AttemptEnded(at(2), 1, place.NotSent)
	f := finishOf(t, p.AttemptEnded(at(3), 2, place.Refused))
	assert.Equal(t, f.Code.Ran(), codes.NotRun)
	assert.Assert(t, f.RetryAfter > 0)
}

// A late attempt is hedged within the limits of Route.MaxAttempts and the retry budget, and the first reply counts.
func TestHedge(t *testing.T) {
	fake := newFakePicker("s")
	p := newPlan(singleRoute(table.Safe), fake)
	p.Start(at(0))
	assert.Equal(t, p.NextTick(), at(20))
	hedges := sends(p.Tick(at(20)))
	assert.Equal(t, len(hedges), 1)
	assert.Assert(t, hedges[0].Repeated)
	assert.Equal(t, hedges[0].Target.ID, "s-b")
	assert.Equal(t, len(p.Tick(at(60))), 0) // both attempts of the route are used
	f := finishOf(t, p.AttemptEnded(at(61), 1, place.Answered))
	assert.DeepEqual(t, f.AttemptIDs, []int{1})
	assert.Equal(t, f.Code, codes.Complete)

	fake.retryBudget = 0
	p = newPlan(singleRoute(table.Safe), fake)
	p.Start(at(0))
	assert.Equal(t, len(sends(p.Tick(at(20)))), 0)
}

// gatherRouteAndPicker returns a gather route of n shards with the given Route.MinCoverage, and a picker with targets for
// the shards.
func gatherRouteAndPicker(n int, minCoverage float64) (*table.Route, *fakePicker) {
	return &table.Route{Kind: table.Safe, Timeout: 800 * time.Millisecond, LatencyGoal: 80 * time.Millisecond, MaxAttempts: 2, Gather: shards(n), MinCoverage: minCoverage}, newFakePicker(shards(n)...)
}

// Until the goal the plan waits for all shards; at the goal it answers without the missing ones if enough have replied.
func TestAnswerAtTheGoal(t *testing.T) {
	r, fake := gatherRouteAndPicker(10, 0.89)
	p := newPlan(r, fake)
	assert.Equal(t, len(sends(p.Start(at(0)))), 10)
	assert.Equal(t, fake.recordFirstAttemptCalls, 10)
	for i := range 9 {
		assert.Equal(t, len(p.AttemptEnded(at(10), i, place.Answered)), 0)
	}
	p.Tick(at(20))
	f := finishOf(t, p.Tick(at(80).Add(-DefaultCallerNetworkTime)))
	assert.Equal(t, f.Code, codes.Partial)
	assert.Equal(t, f.MissingCount, 1)
	assert.Equal(t, f.Reason, ReasonGoalReached)
}

// Callers are 3 ms away, the goal is 80 ms, and one shard of ten doesn't reply. The answer must reach each caller within the
// goal, however long the caller took before the request to get the addresses and to connect. A caller that has spent the
// whole goal already gets its answer as late, and so with as many parts, as one that has spent no time.
func TestAnswerInTimeForTheCaller(t *testing.T) {
	const oneWay = 3 * time.Millisecond
	for _, spent := range []time.Duration{0, 2 * oneWay, 5 * oneWay, 200 * time.Millisecond} {
		r, fake := gatherRouteAndPicker(10, 0.89)
		p := New(Config{}, r, r.Gather, fake, at(0), Caller{TimeLeft: time.Second, TimeSpent: spent, OneWayTime: oneWay})
		p.Start(at(0))
		for i := range 9 {
			p.AttemptEnded(at(10), i, place.Answered)
		}
		ms := 0
		for ; len(p.Tick(at(ms))) == 0 || !p.Finished(); ms++ {
			assert.Assert(t, ms < 800, "the plan has not answered within 800 ms")
		}
		elapsed := time.Duration(ms)*time.Millisecond + 2*oneWay // from the caller's sending of the request to its receipt of the answer
		if spent < r.LatencyGoal {
			elapsed += spent
		}
		assert.Assert(t, elapsed <= r.LatencyGoal, "%s spent: the answer arrives too late, after %s", spent, elapsed)
		assert.Assert(t, elapsed >= r.LatencyGoal-10*time.Millisecond, "%s spent: the answer arrives too early, after %s", spent, elapsed)
	}
}

// If fewer parts than Route.MinCoverage have replied at the goal, the plan goes on, and a reply after the goal still counts.
func TestNoAnswerBelowMinCoverage(t *testing.T) {
	r, fake := gatherRouteAndPicker(10, 0.89)
	p := newPlan(r, fake)
	p.Start(at(0))
	for i := range 8 {
		p.AttemptEnded(at(10), i, place.Answered)
	}
	assert.Equal(t, len(sends(p.Tick(at(40)))), 2) // the last moment to hedge: both open parts are hedged
	assert.Equal(t, len(p.Tick(at(80))), 0)
	assert.Assert(t, p.NextTick().After(at(80)))
	assert.Equal(t, finishOf(t, p.AttemptEnded(at(120), 8, place.Answered)).MissingCount, 1)

	p = newPlan(r, fake)
	p.Start(at(0))
	p.Tick(at(20))
	f := finishOf(t, p.Tick(at(800)))
	assert.Equal(t, f.Code, codes.DeadlineRunning)
}

// The plan doesn't wait for a shard without any target. If too many shards have none, nothing is sent, and the refusal says
// when to retry.
func TestShardsWithoutTargets(t *testing.T) {
	r, fake := gatherRouteAndPicker(10, 0.89)
	delete(fake.targets, "shard-03")
	p := newPlan(r, fake)
	assert.Equal(t, len(sends(p.Start(at(0)))), 9)
	var lastActions []Action
	for i := range 9 {
		lastActions = p.AttemptEnded(at(10), i, place.Answered)
	}
	assert.Equal(t, finishOf(t, lastActions).Reason, ReasonPartsWithoutTarget)

	delete(fake.targets, "shard-07")
	fake.recordFirstAttemptCalls = 0
	actions := newPlan(r, fake).Start(at(3)) // 3 ms after the request arrived
	assert.Equal(t, len(sends(actions)), 0)
	assert.Equal(t, fake.recordFirstAttemptCalls, 0)
	f := finishOf(t, actions)
	assert.Equal(t, f.Code, codes.NoTarget)
	assert.Equal(t, f.RetryAfter, DefaultDownRetryAfter)
}

// A shard that is too slow for the goal is left out if the route can do without it, and an attempt at it is not hedged while
// a hedge would be too slow as well.
func TestSlowShardsAreLeftOut(t *testing.T) {
	r, fake := gatherRouteAndPicker(10, 0.89)
	fake.expected = map[string]time.Duration{"shard-02": 90 * time.Millisecond, "shard-05": 200 * time.Millisecond}
	p := newPlan(r, fake)
	first := sends(p.Start(at(0)))
	assert.Equal(t, len(first), 9)
	for _, s := range first {
		assert.Assert(t, s.Service != "shard-05")
	}
	for _, s := range first {
		if s.Service != "shard-02" {
			p.AttemptEnded(at(10), s.AttemptID, place.Answered)
		}
	}
	assert.Equal(t, len(sends(p.Tick(at(20)))), 0)
	fake.expected = nil
	assert.Equal(t, len(sends(p.Tick(at(40)))), 1)

	// A route that needs every shard sends to slow ones too.
	r.MinCoverage = 1
	fake.expected = map[string]time.Duration{"shard-05": 200 * time.Millisecond}
	assert.Equal(t, len(sends(newPlan(r, fake).Start(at(0)))), 10)
}

// A part whose targets are all busy waits, and is sent once a target is usable.
func TestBusyPartWaits(t *testing.T) {
	fake := newFakePicker()
	fake.availability = place.Busy
	p := newPlan(singleRoute(table.Safe), fake)
	assert.Equal(t, len(p.Start(at(0))), 0)
	assert.Equal(t, p.NextTick(), at(0).Add(DefaultWaitInterval))
	fake.targets = newFakePicker("s").targets
	assert.Equal(t, len(sends(p.Tick(at(5)))), 1)
	assert.Equal(t, fake.recordFirstAttemptCalls, 1)
}

// randomRun runs a plan with random replies and checks after each step how often a part may have run.
type randomRun struct {
	rt            *rapid.T
	plan          *Plan
	route         *table.Route
	now           time.Time
	openSends     []Send
	possibleRuns  map[int]int // attempts of a part that may have run or may still run
	anyMayHaveRun bool        // a target may have run an attempt that has ended
	finish        *Finish
}

// record records the actions of the plan, and fails the test if a part may run more often than its route allows.
func (r *randomRun) record(actions []Action) {
	for _, a := range actions {
		if a.Send != nil {
			r.openSends = append(r.openSends, *a.Send)
			r.possibleRuns[a.Send.Part]++
		}
		if a.Finish != nil {
			r.finish = a.Finish
		}
	}
	for part, n := range r.possibleRuns {
		if n > r.route.MaxAttempts || r.route.Kind == table.Unsafe && n > 1 {
			r.rt.Fatalf("part %d may run on %d targets", part, n)
		}
	}
}

// step ends one open attempt with a random outcome, or advances the time to the plan's NextTick.
func (r *randomRun) step() {
	if len(r.openSends) == 0 || !rapid.Bool().Draw(r.rt, "reply") {
		r.now = r.plan.NextTick()
		r.record(r.plan.Tick(r.now))
		return
	}
	i := rapid.IntRange(0, len(r.openSends)-1).Draw(r.rt, "which")
	send := r.openSends[i]
	r.openSends = slices.Delete(r.openSends, i, i+1)
	outcome := rapid.SampledFrom([]place.Outcome{place.Answered, place.Failed, place.Refused, place.NotSent, place.Broken}).Draw(r.rt, "outcome")
	if outcome == place.Refused || outcome == place.NotSent {
		r.possibleRuns[send.Part]--
	} else {
		r.anyMayHaveRun = true
	}
	r.record(r.plan.AttemptEnded(r.now, send.AttemptID, outcome))
}

// For random replies, a plan ends by its deadline, runs no part on more targets than allowed, and never says "not run" after
// an attempt that may have run or may still run.
func TestEveryPlanEnds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		kind := rapid.SampledFrom([]table.Kind{table.Safe, table.Unsafe}).Draw(rt, "kind")
		route, fake := gatherRouteAndPicker(rapid.IntRange(1, 5).Draw(rt, "parts"), 0.7)
		if kind == table.Unsafe {
			route, fake = singleRoute(kind), newFakePicker("s")
		}
		fake.retryBudget = rapid.IntRange(0, 6).Draw(rt, "budget")
		fake.availability = rapid.SampledFrom([]place.Availability{place.Busy, place.Down}).Draw(rt, "availability")
		run := &randomRun{rt: rt, plan: newPlan(route, fake), route: route, now: at(0), possibleRuns: map[int]int{}}
		run.record(run.plan.Start(run.now))
		for steps := 0; run.finish == nil; steps++ {
			if steps > 2000 || run.now.After(at(801)) {
				rt.Fatalf("the plan has not ended after %v", run.now.Sub(at(0)))
			}
			run.step()
		}
		if (run.anyMayHaveRun || len(run.openSends) > 0) && run.finish.Code.Ran() == codes.NotRun {
			rt.Fatalf("a target may have run the request, but the plan says not run: %+v", *run.finish)
		}
	})
}

// A shard whose targets are all in backoff (they have asked to receive no requests for a time) is left out, or waited for if
// a target is usable again soon. If the answer needs the shard, the request is refused at once, with the time at which it
// can be retried.
func TestShardsInBackoff(t *testing.T) {
	for _, c := range []struct {
		inBackoff      int
		usableIn       time.Duration
		wantSends      int
		wantRetryAfter time.Duration // RetryAfter of the refusal; 0: the request isn't refused
	}{
		{1, 2 * time.Second, 2, 0},
		{1, time.Millisecond, 2, 0},
		{2, 2 * time.Second, 0, 2 * time.Second},
		{2, time.Millisecond, 1, 0},
	} {
		route, fake := gatherRouteAndPicker(3, 0.6)
		fake.availability, fake.usableIn = place.InBackoff, c.usableIn
		for _, s := range route.Gather[:c.inBackoff] {
			delete(fake.targets, s)
		}
		p := newPlan(route, fake)
		actions := p.Start(at(0))
		assert.Equal(t, len(sends(actions)), c.wantSends)
		if c.wantRetryAfter > 0 {
			f := finishOf(t, actions)
			assert.Equal(t, f.Code, codes.Overloaded)
			assert.Equal(t, f.RetryAfter, c.wantRetryAfter)
			continue
		}
		_, recovered := gatherRouteAndPicker(3, 0.6)
		fake.targets = recovered.targets
		waits := c.usableIn < 10*time.Millisecond
		assert.Equal(t, len(sends(p.Tick(at(5)))) > 0, waits)
	}
}

// An attempt that didn't reach its target put no load on the service, so the next attempt needs no retry budget. An attempt
// after a refusal by the target or a failure does.
func TestNotSentNeedsNoBudget(t *testing.T) {
	for outcome, wantSends := range map[place.Outcome]int{place.NotSent: 1, place.Refused: 0, place.Failed: 0} {
		fake := newFakePicker("s")
		fake.retryBudget = 0
		p := newPlan(singleRoute(table.Safe), fake)
		p.Start(at(0))
		assert.Equal(t, len(sends(p.AttemptEnded(at(1), 0, outcome))), wantSends, outcome.String())
	}
}

// searchRoute returns a gather route of two shards that can do without one.
func searchRoute() *table.Route {
	return &table.Route{Name: "search", Kind: table.Safe, Gather: []string{"s1", "s2"}, MaxAttempts: 2, MinCoverage: 0.5, LatencyGoal: 300 * time.Millisecond}
}

// Guards against a request suspected of crashing targets that runs on several targets at once, by its parts or hedges.
func TestSuspectRunsAlone(t *testing.T) {
	picker := newFakePicker("s1", "s2")
	suspect := Suspicion{Status: poison.Suspect, WholeRequest: true}
	picker.suspicions = map[string]Suspicion{"s1": suspect, "s2": suspect}
	plan := New(Config{}, searchRoute(), []string{"s1", "s2"}, picker, at(0), Caller{TimeLeft: time.Second})
	first := sends(plan.Start(at(0)))
	assert.Equal(t, len(first), 1)
	for ms := 5; ms < 200; ms += 5 {
		assert.Equal(t, len(sends(plan.Tick(at(ms)))), 0, "a hedge or another part was sent")
	}
	picker.suspicions = nil // the success clears the request of suspicion
	plan.AttemptEnded(at(200), first[0].AttemptID, place.Answered)
	remaining := sends(plan.Tick(at(205)))
	assert.Equal(t, len(remaining), 1)
	assert.Equal(t, remaining[0].Service, "s2")
	f := finishOf(t, plan.AttemptEnded(at(210), remaining[0].AttemptID, place.Answered))
	assert.Equal(t, f.Code, codes.Complete)
}

// Guards against a copy of a suspect request that waits for another copy until its deadline instead of DefaultSuspectWait.
func TestCopyOfSuspectIsGivenUp(t *testing.T) {
	picker := newFakePicker("b")
	picker.suspicions = map[string]Suspicion{"b": {Status: poison.Suspect, WholeRequest: true, Running: true}}
	plan := New(Config{}, &table.Route{Name: "b", Kind: table.Safe, MaxAttempts: 2}, []string{"b"}, picker, at(0), Caller{TimeLeft: 10 * time.Second})
	assert.Equal(t, len(plan.Start(at(0))), 0)
	assert.Equal(t, len(plan.Tick(at(200))), 0)
	f := finishOf(t, plan.Tick(at(250)))
	assert.Equal(t, f.Code.Ran(), codes.NotRun)
	assert.Assert(t, f.RetryAfter > 0)
}

// Guards against a request in quarantine that is sent, waits, or is refused without a Retry-After; and against the answer
// "not run" for a request whose quarantine began after it had been sent.
func TestQuarantinedRequest(t *testing.T) {
	picker := newFakePicker("s1", "s2")
	quarantined := Suspicion{Status: poison.Quarantined, WholeRequest: true, QuarantineEnd: at(60_000)}
	picker.suspicions = map[string]Suspicion{"s1": quarantined, "s2": quarantined}
	actions := New(Config{}, searchRoute(), []string{"s1", "s2"}, picker, at(0), Caller{TimeLeft: time.Second}).Start(at(0))
	assert.Equal(t, len(sends(actions)), 0)
	f := finishOf(t, actions)
	assert.Equal(t, f.Code, codes.Quarantined)
	assert.Equal(t, f.RetryAfter, time.Minute)

	picker.suspicions = nil
	plan := New(Config{}, searchRoute(), []string{"s1", "s2"}, picker, at(0), Caller{TimeLeft: time.Second})
	first := sends(plan.Start(at(0)))
	assert.Equal(t, len(first), 2)
	picker.suspicions = map[string]Suspicion{"s1": quarantined, "s2": quarantined}
	assert.Equal(t, len(sends(plan.AttemptEnded(at(5), first[0].AttemptID, place.Broken))), 0)
	f = finishOf(t, plan.AttemptEnded(at(6), first[1].AttemptID, place.Broken))
	assert.Equal(t, f.Code, codes.OutcomeUnknown)
}

// Guards against refusing a whole gather request because it is in quarantine at one shard.
func TestQuarantineAtOneShard(t *testing.T) {
	picker := newFakePicker("s1", "s2")
	picker.suspicions = map[string]Suspicion{"s2": {Status: poison.Quarantined, QuarantineEnd: at(60_000)}}
	plan := New(Config{}, searchRoute(), []string{"s1", "s2"}, picker, at(0), Caller{TimeLeft: time.Second})
	first := sends(plan.Start(at(0)))
	assert.Equal(t, len(first), 1)
	f := finishOf(t, plan.AttemptEnded(at(5), first[0].AttemptID, place.Answered))
	assert.Equal(t, f.Code, codes.Partial)
	assert.DeepEqual(t, f.MissingParts, []string{"s2:" + string(ReasonQuarantined)})
}

// Guards against a request that fails although a part could be asked that was left out as too slow at its start.
func TestLeftOutPartReplacesLostPart(t *testing.T) {
	r, picker := gatherRouteAndPicker(10, 0.89)
	picker.expected = map[string]time.Duration{"shard-05": 200 * time.Millisecond}
	picker.retryBudget = 0
	p := newPlan(r, picker)
	for _, s := range sends(p.Start(at(0))) {
		if s.Service == "shard-02" {
			replacements := sends(p.AttemptEnded(at(2), s.AttemptID, place.Refused))
			assert.Equal(t, len(replacements), 1)
			assert.Equal(t, replacements[0].Service, "shard-05")
			assert.Assert(t, !replacements[0].Repeated)
			p.AttemptEnded(at(202), replacements[0].AttemptID, place.Answered)
		} else {
			p.AttemptEnded(at(10), s.AttemptID, place.Answered)
		}
	}
	assert.Assert(t, p.Finished())
	assert.Equal(t, picker.recordFirstAttemptCalls, 10)
}

// Guards against a search that has waited for busy targets until its deadline, has sent nothing, and is reported as one that may
// have run, without a reason.
func TestNothingSentUntilDeadline(t *testing.T) {
	fake := newFakePicker()
	fake.availability = place.Busy
	r, _ := gatherRouteAndPicker(3, 1)
	p := newPlan(r, fake)
	assert.Equal(t, len(sends(p.Start(at(0)))), 0)
	var actions []Action
	for !p.Finished() {
		actions = p.Tick(p.NextTick())
	}
	f := finishOf(t, actions)
	assert.Equal(t, f.Code, codes.Overloaded)
	assert.Equal(t, f.Code.Ran(), codes.NotRun)
	assert.Equal(t, f.MissingParts[0], r.Gather[0]+":"+string(ReasonBusy))
}

// Guards against repetitions that use up the retry budget although nothing of them has reached a target.
func TestUnsentRetryIsReturned(t *testing.T) {
	fake := newFakePicker("s")
	fake.retryBudget = 1
	r := singleRoute(table.Safe)
	r.MaxAttempts = 3
	p := newPlan(r, fake)
	p.Start(at(0))
	actions := p.AttemptEnded(at(5), 0, place.Refused)
	assert.Equal(t, fake.retryBudget, 0)
	actions = p.AttemptEnded(at(6), sends(actions)[0].AttemptID, place.NotSent)
	assert.Equal(t, len(sends(actions)), 1)
	assert.Equal(t, fake.retryBudget, 0)
}
