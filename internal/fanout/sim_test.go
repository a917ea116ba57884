package fanout

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/internal/budget"
	"github.com/fuchsiarelay/fuchsiarelay/internal/place"
	"github.com/fuchsiarelay/fuchsiarelay/internal/table"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/codes"
)

// sim simulates a load on entry processes and targets in virtual time. Plan, place.Balancer and budget.Budget are the real
// ones; targets, network and callers are models.
type sim struct {
	now                  time.Time
	queue                eventQueue
	seq                  int // number of events that were scheduled
	rnd                  *rand.Rand
	processes            []*simProcess
	targets              map[string]*simTarget // by target ID
	byService            map[string][]*table.Target
	maxOpenShareForHedge float64 // Config.MaxOpenShareForHedge of the plans; 0: the default
	baseline             bool    // use the baseline rule: a random target, no hedges or retries, no partial answer before the deadline
	results              []simResult
}

// simStart is the virtual time at which every simulation begins.
var simStart = time.Unix(1000, 0)

// event is a function that runs at a virtual time. Events with the same time run in the order in which they were scheduled.
type event struct {
	at  time.Time
	seq int
	run func()
}

// eventQueue is a heap of events, the earliest first. It implements heap.Interface.
type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// schedule schedules a function at a virtual time.
func (s *sim) schedule(t time.Time, run func()) {
	s.seq++
	heap.Push(&s.queue, event{t, s.seq, run})
}

// scheduleAfter schedules a function after a virtual duration.
func (s *sim) scheduleAfter(d time.Duration, run func()) { s.schedule(s.now.Add(d), run) }

// run runs the events that are due within the given time after simStart.
func (s *sim) run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at.Before(simStart.Add(until)) {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
}

// simTarget models a target with a number of slots, a queue of limited length and a speed that may change.
type simTarget struct {
	sim          *sim
	slots        int
	queueLength  int // largest number of waiting requests
	running      int
	waiting      []func()
	slowdown     func(t time.Duration) float64       // factor of the work time at a time since the start; nil: 1
	pauseLeft    func(t time.Duration) time.Duration // rest of a pause at a time since the start; nil: no pauses
	requestCount int                                 // number of requests that arrived
	down         bool                                // refuses connections
}

// serve runs, queues or refuses a request, and calls reply when the request has ended.
func (t *simTarget) serve(work time.Duration, reply func(outcome place.Outcome)) {
	t.requestCount++
	if t.down {
		reply(place.NotSent)
		return
	}
	job := func() {
		t.running++
		elapsed := t.sim.now.Sub(simStart)
		duration := work
		if t.slowdown != nil {
			duration = time.Duration(float64(duration) * t.slowdown(elapsed))
		}
		if t.pauseLeft != nil {
			duration += t.pauseLeft(elapsed)
		}
		t.sim.scheduleAfter(duration, func() {
			t.running--
			reply(place.Answered)
			if len(t.waiting) > 0 {
				next := t.waiting[0]
				t.waiting = t.waiting[1:]
				next()
			}
		})
	}
	switch {
	case t.running < t.slots:
		job()
	case len(t.waiting) < t.queueLength:
		t.waiting = append(t.waiting, job)
	default:
		reply(place.Refused)
	}
}

func (t *simTarget) load() *place.Load {
	return &place.Load{Running: t.running, Waiting: len(t.waiting), Slots: t.slots}
}

// simProcess models an entry process.
type simProcess struct {
	sim      *sim
	balancer *place.Balancer
	budget   *budget.Budget
	maxIdle  map[string]int // idle connections to each target that the process may keep; nil: connections aren't modelled
	idle     map[string]int // idle connections to each target
}

// connect takes an idle connection to a target or opens one, and returns the time until the connection can be used.
func (p *simProcess) connect(id string) time.Duration {
	switch {
	case p.maxIdle == nil:
		return 0
	case p.idle[id] > 0:
		p.idle[id]--
		return 0
	}
	return 2*simOneWay + simConnect
}

// release keeps a used connection as idle, or closes it if maxIdle connections to the target are idle already.
func (p *simProcess) release(id string) {
	if p.idle[id] < p.maxIdle[id] {
		p.idle[id]++
	}
}

// simConnect is the time that a target spends on a new connection.
const simConnect = 6 * time.Millisecond

// simResult records how one request ended.
type simResult struct {
	route     *table.Route
	startedAt time.Time // start of the request
	latency   time.Duration
	code      codes.Code
	coverage  float64 // share of the parts that were answered
}

// newSim returns a simulation with a number of entry processes and three targets for each service.
func newSim(seed uint64, processes int, services []string, slots int) *sim {
	s := &sim{now: simStart, rnd: rand.New(rand.NewPCG(seed, seed)), targets: map[string]*simTarget{}, byService: map[string][]*table.Target{}}
	for range processes {
		process := &simProcess{sim: s, balancer: place.New(place.Config{DataCentre: "here"}), budget: budget.New(budget.Config{Ratio: 0.2, Reserve: 56})}
		process.budget.SetShare(1 / float64(processes))
		s.processes = append(s.processes, process)
	}
	for _, name := range services {
		for i := range 3 {
			id := fmt.Sprintf("%s-t%d", name, i)
			s.targets[id] = &simTarget{sim: s, slots: slots, queueLength: 12}
			s.byService[name] = append(s.byService[name], &table.Target{ID: id, Service: name, Slots: slots, DataCentre: "here"})
		}
	}
	return s
}

// simOneWay is the one-way network latency between an entry process and a target.
const simOneWay = time.Millisecond

// request starts a request at a random entry process. The function work returns the work time of one attempt.
func (s *sim) request(route *table.Route, timeLeft time.Duration, work func() time.Duration) {
	process := s.processes[s.rnd.IntN(len(s.processes))]
	services := route.Gather
	if len(services) == 0 {
		services = []string{route.Split[0].Service}
	}
	picker := &simPicker{process, route}
	planRoute := *route
	if s.baseline {
		planRoute.LatencyGoal = 0
	}
	plan := New(Config{CallerNetworkTime: time.Millisecond, MaxOpenShareForHedge: s.maxOpenShareForHedge}, &planRoute, services, picker, s.now, Caller{TimeLeft: timeLeft})
	r := &simRequest{sim: s, process: process, plan: plan, route: route, startedAt: s.now, work: work}
	r.execute(plan.Start(s.now))
}

// simRequest runs the plan of one request.
type simRequest struct {
	sim       *sim
	process   *simProcess
	plan      *Plan
	route     *table.Route
	startedAt time.Time
	work      func() time.Duration
	nextTick  time.Time
}

// execute carries out actions and schedules the next Tick of the plan.
func (r *simRequest) execute(actions []Action) {
	for _, a := range actions {
		if a.Send != nil {
			r.send(*a.Send)
		}
		if a.Finish != nil {
			parts := max(len(r.route.Gather), 1)
			r.sim.results = append(r.sim.results, simResult{
				r.route, r.startedAt, r.sim.now.Sub(r.startedAt), a.Finish.Code, float64(parts-a.Finish.MissingCount) / float64(parts),
			})
			return
		}
	}
	if tickAt := r.plan.NextTick(); !r.plan.Finished() && !tickAt.Equal(r.nextTick) {
		r.nextTick = tickAt
		r.sim.schedule(tickAt, func() {
			if r.nextTick.Equal(tickAt) {
				r.nextTick = time.Time{}
				r.execute(r.plan.Tick(r.sim.now))
			}
		})
	}
}

// send models one attempt: the connection, the network latency in each direction, and the work of the target.
func (r *simRequest) send(a Send) {
	s := r.sim
	sentAt := s.now
	r.process.balancer.RecordSend(sentAt, a.Target.ID)
	target := s.targets[a.Target.ID]
	work := r.work()
	s.scheduleAfter(r.process.connect(a.Target.ID)+simOneWay, func() {
		target.serve(work, func(outcome place.Outcome) {
			load := target.load()
			s.scheduleAfter(simOneWay, func() {
				r.process.release(a.Target.ID)
				r.process.balancer.RecordEnd(s.now, a.Target.ID, r.route.Name, place.SendResult{Outcome: outcome, Latency: s.now.Sub(sentAt), Load: load})
				r.execute(r.plan.AttemptEnded(s.now, a.AttemptID, outcome))
			})
		})
	})
}

// simPicker implements Picker with the balancer and the budget of an entry process.
type simPicker struct {
	process *simProcess
	route   *table.Route
}

func (p *simPicker) Pick(now time.Time, service string, tried []string) (*table.Target, place.Estimate, place.Availability) {
	s := p.process.sim
	targets := s.byService[service]
	if s.baseline {
		if len(tried) > 0 {
			return nil, place.Estimate{}, place.Busy
		}
		return targets[s.rnd.IntN(len(targets))], place.Estimate{}, place.Usable
	}
	if t, expected, ok := p.process.balancer.Pick(now, s.rnd, p.route.Name, targets, tried); ok {
		return t, expected, place.Usable
	}
	availability, wait := p.process.balancer.UnavailableReason(now, targets, tried)
	return nil, place.Estimate{Time: wait}, availability
}

func (p *simPicker) Suspicion(time.Time, string) Suspicion { return Suspicion{} }

func (p *simPicker) RandomBool(x float64) bool {
	return !p.process.sim.baseline && p.process.sim.rnd.Float64() < x
}

func (p *simPicker) Shuffle(n int, swap func(i, j int)) { p.process.sim.rnd.Shuffle(n, swap) }

func (p *simPicker) RandomFactor(width float64) float64 {
	return 1 + width*(p.process.sim.rnd.Float64()-0.5)
}

func (p *simPicker) TakeRetry(now time.Time, service string, failed bool) bool {
	return !p.process.sim.baseline && p.process.budget.Take(now, service, failed)
}

func (p *simPicker) ReturnRetry(now time.Time, service string) { p.process.budget.Return(now, service) }

func (p *simPicker) RecordFirstAttempt(now time.Time, service string) {
	p.process.budget.RecordFirstAttempt(now, service)
}

func (p *simPicker) LateAfter() time.Duration {
	_, high := p.process.balancer.RouteTimes(p.route.Name)
	return high
}

// logNormal returns a function that draws work times from a log-normal distribution with the given mean. The parameter
// spread is the standard deviation of the logarithm.
func (s *sim) logNormal(mean time.Duration, spread float64) func() time.Duration {
	return func() time.Duration {
		return time.Duration(float64(mean) * math.Exp(spread*s.rnd.NormFloat64()-spread*spread/2))
	}
}

// startPoisson starts requests as a Poisson process, whose rate may change, until the given time after simStart.
func (s *sim) startPoisson(perSecond func(t time.Duration) float64, until time.Duration, start func()) {
	var next func()
	next = func() {
		start()
		rate := max(perSecond(s.now.Sub(simStart)), 0.01)
		s.scheduleAfter(time.Duration(s.rnd.ExpFloat64()/rate*float64(time.Second)), func() {
			if s.now.Sub(simStart) < until {
				next()
			}
		})
	}
	s.schedule(simStart, next)
}

// value returns the average value, 0..1, of the requests that started in a period, which is given relative to simStart. An
// answer within the goal has the square of its coverage as its value, a late answer a tenth of that, and a failure 0.
func (s *sim) value(from, to time.Duration) float64 {
	var total, requests float64
	for _, result := range s.results {
		startOffset := result.startedAt.Sub(simStart)
		if startOffset < from || startOffset >= to {
			continue
		}
		requests++
		switch {
		case !result.code.OK():
		case result.latency <= result.route.LatencyGoal:
			total += result.coverage * result.coverage
		default:
			total += 0.1 * result.coverage * result.coverage
		}
	}
	if requests == 0 {
		return 0
	}
	return total / requests
}
