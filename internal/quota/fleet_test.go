package quota

import (
	"container/heap"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Times of the simulated fleet.
const (
	simTick        = 100 * time.Millisecond
	simServiceTime = 12 * time.Millisecond
	simOneWay      = 1400 * time.Microsecond
	simWait        = 20 * time.Millisecond   // a request waits this long for permits that were requested for it
	simNews        = 300 * time.Millisecond  // longest time until a process learns of a start or planned stop
	simDetection   = 2300 * time.Millisecond // longest time until a process learns that another one was lost
	simStop        = 4300 * time.Millisecond // a stopping process serves for this long
	simSettle      = 1200 * time.Millisecond // a new process learns of the others in this time
	simShrink      = 10 * time.Second        // a process counts as one of the fleet for this long after its loss
)

// The rule for the requests that a target with a limit gets.
const (
	ruleNotice  = 4 * time.Second        // from the first reply with a limit until the rule begins to count
	ruleWindow  = 4 * time.Second        // span in which requests are counted
	ruleTold    = 500 * time.Millisecond // a process counts from this long after its first reply with a limit
	ruleExcused = 4 * time.Second        // a process doesn't count while it is cut off, and for this long after that, a restart or a freeze
	ruleOverage = 1.5
	ruleSlack   = 5
)

var simSeeds = flag.Uint64("sim.seeds", 12, "number of seeds of the simulated fleet with faults")

// simEvent is a function to call at a simulated time.
type simEvent struct {
	at  time.Time
	seq int
	f   func()
}

// simQueue is a heap of events in order of time.
type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// simProcess is one simulated process.
type simProcess struct {
	id           string
	incarnation  int
	client       *Client
	pools        *Pools
	demand       float64 // requests per second
	running      bool
	stopping     bool
	frozen       bool
	cut          bool
	startedAt    time.Time
	toldAt       time.Time // of the first reply with a limit; zero: none
	excusedUntil time.Time
	deferred     []func()             // what arrived while the process was frozen
	knows        map[string]bool      // processes that it counts as running, by ID
	lostAt       map[string]time.Time // when it learned that a process is gone
	members      []string             // sorted IDs of the processes that it counts as running; nil after a change
}

// simFleet is a simulated fleet with one target.
type simFleet struct {
	now       time.Time
	start     time.Time
	random    *rand.Rand
	queue     simQueue
	seq       int
	processes []*simProcess
	limit     float64
	namedAt   time.Time // zero: the target names no limit
	firstTold time.Time
	arrivals  []simArrival
	wanted    int // requests for the target
}

// simArrival is the arrival of a request at the target.
type simArrival struct {
	at      time.Time
	process *simProcess
	counts  bool
}

func newSimFleet(seed uint64, n int, totalDemand, limit float64) *simFleet {
	f := &simFleet{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, seed)), limit: limit}
	f.start = f.now
	weights := make([]float64, n)
	sum := 0.0
	for i := range weights {
		weights[i] = math.Pow(f.random.Float64(), 3) + 0.02 // demand differs between processes by more than ten times
		sum += weights[i]
	}
	for i := range n {
		p := &simProcess{id: fmt.Sprintf("10.0.%d.%d:7740", i/250, i%250), demand: totalDemand * weights[i] / sum}
		f.processes = append(f.processes, p)
	}
	for _, p := range f.processes {
		f.startProcess(p)
	}
	return f
}

// after calls g after a time.
func (f *simFleet) after(d time.Duration, g func()) {
	f.seq++
	heap.Push(&f.queue, simEvent{f.now.Add(d), f.seq, g})
}

// run handles the events of the given time.
func (f *simFleet) run(length time.Duration) {
	end := f.now.Add(length)
	for len(f.queue) > 0 && f.queue[0].at.Before(end) {
		e := heap.Pop(&f.queue).(simEvent)
		f.now = e.at
		e.f()
	}
	f.now = end
}

// between returns a random time between two times.
func (f *simFleet) between(low, high time.Duration) time.Duration {
	return low + time.Duration(f.random.Float64()*float64(high-low))
}

// in calls g in a process, unless the process has ended or restarted by then. A frozen process calls it when it wakes.
func (f *simFleet) in(p *simProcess, d time.Duration, g func()) {
	incarnation := p.incarnation
	f.after(d, func() {
		switch {
		case p.incarnation != incarnation || !p.running:
		case p.frozen:
			p.deferred = append(p.deferred, func() {
				if p.incarnation == incarnation {
					g()
				}
			})
		default:
			g()
		}
	})
}

// startProcess starts a process without knowledge of limits. The others learn of it, and it learns of them.
func (f *simFleet) startProcess(p *simProcess) {
	p.incarnation++
	p.client, p.pools = NewClient(), NewPools(p.id)
	p.running, p.stopping, p.frozen = true, false, false
	p.startedAt, p.toldAt, p.deferred, p.members = f.now, time.Time{}, nil, nil
	p.knows, p.lostAt = map[string]bool{p.id: true}, map[string]time.Time{}
	for _, other := range f.processes {
		if other != p && other.running && !other.stopping {
			f.tell(p, other, f.between(0, simNews))
			f.tell(other, p, f.between(0, simNews))
		}
	}
	f.in(p, f.between(0, simTick), func() { f.tick(p) })
	f.in(p, 0, func() { f.nextRequest(p) })
}

// tell makes a process learn after a while whether another one runs then and can be reached.
func (f *simFleet) tell(p, other *simProcess, d time.Duration) {
	f.in(p, d, func() {
		runs := other.running && !other.stopping && !other.frozen && p.cut == other.cut
		if p.knows[other.id] && !runs {
			p.lostAt[other.id] = f.now
		}
		if runs {
			delete(p.lostAt, other.id)
		}
		p.knows[other.id] = runs
		p.members = nil
	})
}

// tellAll makes all other processes learn whether a process runs, within the given time.
func (f *simFleet) tellAll(p *simProcess, within time.Duration) {
	for _, other := range f.processes {
		if other != p && other.running {
			f.tell(other, p, f.between(0, within))
		}
	}
}

// tick updates the members and requests permits, as an entry process does at each tick.
func (f *simFleet) tick(p *simProcess) {
	f.in(p, simTick, func() { f.tick(p) })
	if p.members == nil {
		for id, runs := range p.knows {
			if runs && (id != p.id || !p.stopping) {
				p.members = append(p.members, id)
			}
		}
		slices.Sort(p.members)
	}
	size := 64
	if f.now.Sub(p.startedAt) >= simSettle {
		size = max(len(p.members), 1)
		for _, at := range p.lostAt {
			if f.now.Sub(at) < simShrink {
				size++
			}
		}
		p.pools.SetProcesses(f.now, p.members)
	}
	p.client.SetShare(1 / float64(size))
	p.pools.Prune(f.now)
	for _, r := range p.client.DueRequests(f.now) {
		f.ask(p, r)
	}
}

// ask sends a request for permits to the allocator, and its answer back.
func (f *simFleet) ask(p *simProcess, r Request) {
	id := p.pools.Allocator(r.Target)
	if id == "" {
		return
	}
	if id == p.id {
		p.client.RecordGrant(f.now, p.pools.Request(f.now, p.id, r))
		return
	}
	i := slices.IndexFunc(f.processes, func(other *simProcess) bool { return other.id == id })
	allocator := f.processes[i]
	if p.cut != allocator.cut || !allocator.running {
		return
	}
	f.in(allocator, f.between(simOneWay, 3*simOneWay), func() {
		g := allocator.pools.Request(f.now, p.id, r)
		if p.cut == allocator.cut {
			f.in(p, f.between(simOneWay, 3*simOneWay), func() { p.client.RecordGrant(f.now, g) })
		}
	})
}

// nextRequest schedules the next request of a process for the target.
func (f *simFleet) nextRequest(p *simProcess) {
	f.in(p, time.Duration(f.random.ExpFloat64()/max(p.demand, 1e-9)*float64(time.Second)), func() {
		f.wanted++
		f.request(p)
		f.nextRequest(p)
	})
}

// request sends a request if there is a permit, and otherwise asks for one and waits.
func (f *simFleet) request(p *simProcess) { f.tryUntil(p, f.now.Add(simWait)) }

// tryUntil sends a request as soon as there is a permit, and gives it up at the given time, or if none can be expected.
func (f *simFleet) tryUntil(p *simProcess, deadline time.Time) {
	switch {
	case !p.client.Blocked(f.now, "t"):
		f.send(p)
		return
	case !f.now.Before(deadline):
		p.client.RecordDenied(f.now, "t")
		return
	case p.client.CanAsk(f.now, "t"):
		f.ask(p, p.client.RequestNow(f.now, "t"))
	case !p.client.IsWaiting(f.now, "t"):
		p.client.RecordDenied(f.now, "t")
		return
	}
	f.in(p, 2*time.Millisecond, func() { f.tryUntil(p, deadline) })
}

// send sends a request to the target, which answers it.
func (f *simFleet) send(p *simProcess) {
	p.client.RecordSend(f.now, "t")
	sent := f.now
	f.after(simOneWay, func() {
		counts := !p.toldAt.IsZero() && f.now.Sub(p.toldAt) >= ruleTold
		f.arrivals = append(f.arrivals, simArrival{f.now, p, counts && !p.cut && !f.now.Before(p.excusedUntil)})
		f.in(p, f.between(simServiceTime, 4*simServiceTime), func() {
			named := !f.namedAt.IsZero()
			p.client.RecordReply("t", Statement{Sent: sent, Received: f.now, Named: named, Limit: f.limit})
			if named && p.toldAt.IsZero() {
				p.toldAt = f.now
				if f.firstTold.IsZero() {
					f.firstTold = f.now
				}
			}
		})
	})
}

// excuse records that a process was disturbed. Its requests of the window before don't count either.
func (f *simFleet) excuse(p *simProcess) { p.excusedUntil = f.now.Add(ruleExcused) }

// kill ends a process, which starts again after a while.
func (f *simFleet) kill(p *simProcess) {
	if !p.running {
		return
	}
	f.excuse(p)
	p.running = false
	f.tellAll(p, simDetection)
	f.after(f.between(300*time.Millisecond, 3*time.Second), func() { f.startProcess(p); f.excuse(p) })
}

// stopProcess begins a planned stop, after which the process starts again.
func (f *simFleet) stopProcess(p *simProcess) {
	if !p.running || p.stopping {
		return
	}
	p.stopping = true
	p.members = nil
	f.tellAll(p, simNews)
	incarnation := p.incarnation
	f.after(simStop, func() {
		if p.running && p.incarnation == incarnation {
			p.running = false
			f.excuse(p)
			f.after(500*time.Millisecond, func() { f.startProcess(p); f.excuse(p) })
		}
	})
}

// freeze suspends a process for a while.
func (f *simFleet) freeze(p *simProcess, length time.Duration) {
	if !p.running || p.frozen {
		return
	}
	p.frozen = true
	incarnation := p.incarnation
	if length > simDetection {
		for _, other := range f.processes {
			f.tell(other, p, f.between(simDetection/2, simDetection))
		}
	}
	f.after(length, func() {
		if p.incarnation != incarnation || !p.running {
			return
		}
		p.frozen = false
		f.excuse(p)
		f.tellAll(p, simNews)
		for _, g := range p.deferred {
			g()
		}
		p.deferred = nil
	})
}

// cutOff separates processes from the others for a while. They still reach the target.
func (f *simFleet) cutOff(processes []*simProcess, length time.Duration) {
	for _, p := range processes {
		p.cut = true
		f.excuse(p)
		for _, other := range f.processes {
			if !other.cut && other.running {
				f.tell(other, p, f.between(simDetection/2, simDetection))
				f.tell(p, other, f.between(simDetection/2, simDetection))
			}
		}
	}
	f.after(length, func() {
		for _, p := range processes {
			p.cut = false
			f.excuse(p)
			for _, other := range f.processes {
				if other.running && !other.stopping {
					f.tell(p, other, f.between(0, simNews))
				}
			}
			f.tellAll(p, simNews)
		}
	})
}

// mostCounted returns the largest number of requests of one window that the rule counts, of processes that were not disturbed up to
// the end of the window.
func (f *simFleet) mostCounted() (most int) {
	first, n := 0, 0
	for _, a := range f.arrivals {
		for a.at.Sub(f.arrivals[first].at) > ruleWindow {
			if f.arrivals[first].counts {
				n--
			}
			first++
		}
		if a.counts {
			n++
		}
		if !f.firstTold.IsZero() && a.at.Sub(f.firstTold) >= ruleNotice {
			most = max(most, n)
		}
	}
	return most
}

// check fails the test if the target got more requests than the rule allows.
func (f *simFleet) check(t *testing.T, name string) {
	t.Helper()
	allowed := ruleOverage*f.limit*ruleWindow.Seconds() + ruleSlack
	most := f.mostCounted()
	assert.Check(t, float64(most) <= allowed, "%s: %d requests in %v, allowed %.1f, limit %.2f", name, most, ruleWindow, allowed, f.limit)
}

// used returns how many requests per second the target got in the last time.
func (f *simFleet) used(length time.Duration) float64 {
	n := 0
	for _, a := range f.arrivals {
		if a.at.After(f.now.Add(-length)) {
			n++
		}
	}
	return float64(n) / length.Seconds()
}

// Without faults, fleets of any size keep to a limit and use nearly all of it, even if it is below one request a second for each
// process and the demand is on a few processes.
func TestSimulatedLimitIsUsed(t *testing.T) {
	for _, n := range []int{1, 3, 9, 30, 80, 295} {
		for _, limit := range []float64{0.5, 3, 12, 34, 150} {
			for _, load := range []float64{0.6, 1.2, 4} {
				name := fmt.Sprintf("%d processes, limit %.1f, demand %.1f", n, limit, load*limit)
				f := newSimFleet(uint64(n), n, load*limit, limit)
				f.run(3 * time.Second)
				f.namedAt = f.now
				f.run(30 * time.Second)
				f.check(t, name)
				used, wanted := f.used(20*time.Second), min(load, 1)*limit
				// The number of requests in 20 s varies by its square root.
				atLeast := 0.85*wanted - 2*math.Sqrt(wanted/20)
				assert.Check(t, used >= atLeast, "%s: %.2f requests a second, at least %.2f", name, used, atLeast)
				t.Logf("%s: %.2f a second", name, used)
			}
		}
	}
}

// Processes that are killed, stopped, frozen or cut off don't make the others send more than the rule allows.
func TestSimulatedLimitWithFaults(t *testing.T) {
	for seed := range *simSeeds {
		runFaults(t, seed)
	}
}

func runFaults(t *testing.T, seed uint64) {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 7))
	n := []int{2, 9, 9, 30, 80, 295}[random.IntN(6)]
	limit := []float64{0.3, 2, 8, 25, 40, 150}[random.IntN(6)]
	load := []float64{0.8, 2, 6}[random.IntN(3)]
	f := newSimFleet(seed, n, load*limit, limit)
	f.run(3 * time.Second)
	f.namedAt = f.now
	f.run(2 * time.Second)
	pick := func() *simProcess { return f.processes[random.IntN(n)] }
	for range 12 {
		f.run(f.between(200*time.Millisecond, 3*time.Second))
		switch random.IntN(6) {
		case 0:
			f.kill(pick())
		case 1:
			for range 1 + random.IntN(max(n/4, 1)) {
				f.stopProcess(pick())
			}
		case 2:
			f.freeze(pick(), f.between(300*time.Millisecond, 6*time.Second))
		case 3:
			group := slices.Clone(f.processes[:max(n/3, 1)])
			f.cutOff(group, f.between(time.Second, 8*time.Second))
		case 4:
			for range max(n/2, 1) {
				f.kill(pick())
			}
		case 5:
			pick().demand *= 5
		}
	}
	f.run(5 * time.Second)
	f.check(t, fmt.Sprintf("seed %d, %d processes, demand %.1f", seed, n, load*limit))
}
