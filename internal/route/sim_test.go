package route

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsiarelay/fuchsiarelay/internal/rules"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/codes"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/target"
)

// Limits that a plan with the default Config has to keep when one replica in slowOneIn is slower by the factor slowdown.
const (
	maxTailGrowth = 1.5  // p99 divided by the p99 of the run without slow replicas
	maxExtraShare = 0.05 // sub-requests sent beyond those needed, as a share of those needed
)

// slowdown is the factor by which the latency of a slow replica is longer; one replica in slowOneIn is slow.
const (
	slowdown  = 20
	slowOneIn = 20
)

// simulation runs queries one after another in virtual time. Latencies are log-normal around 10 ms and grow with the
// number of shards. The expected wait of a target is a moving average of its latencies, as an entry process would keep it.
type simulation struct {
	sets, shardsPerSet, replicas int
	scattered                    bool    // neighbouring shards are on different sets of replicas
	equalWaits                   bool    // all expected waits stay equal, as after the start of a process
	hasSlowReplicas              bool    // one replica in slowOneIn is slow
	slowSetPeriod                int     // number of queries after which other replicas become slow; 0: the same replicas stay slow
	shardCost                    float64 // increase of the latency for each further shard of a sub-request, as a share
	cfg                          Config

	rnd             *rand.Rand
	view            *View
	targetNumber    map[string]int
	recentLatencies []time.Duration
}

// simEvent is the arrival of a reply, or the time of a Wake.
type simEvent struct {
	at      time.Duration
	attempt uint64 // attempt that gets its reply; 0: time of a Wake
}

// eventQueue is a heap (container/heap) of events, the earliest one first.
type eventQueue []simEvent

func (e eventQueue) Len() int           { return len(e) }
func (e eventQueue) Less(i, j int) bool { return e[i].at < e[j].at }
func (e eventQueue) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)        { *e = append(*e, x.(simEvent)) }
func (e *eventQueue) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// result holds the measurements of one run.
type result struct {
	p50, p99        time.Duration
	targetsPerQuery float64 // sub-requests needed per query
	extraShare      float64 // sub-requests sent beyond those needed, as a share of those needed
}

const (
	simWarmUp  = 200  // queries before any replica is slow; not measured
	simQueries = 1000 // measured queries
)

// run simulates all queries and returns the measurements.
func (s *simulation) run() result {
	s.rnd = rand.New(rand.NewPCG(11, 7))
	s.build()
	budget := NewBudget(DefaultHedgeShare, DefaultRetryShare)
	var latencies []time.Duration
	sent, needed := 0, 0
	for q := range simWarmUp + simQueries {
		d, out := s.query(q, budget)
		if q%10 == 0 {
			s.updateHedgeAfter()
		}
		if q < simWarmUp {
			continue
		}
		latencies = append(latencies, d)
		sent += out.Attempts
		needed += out.NeededAttempts
	}
	slices.Sort(latencies)
	return result{
		p50: latencies[len(latencies)/2], p99: latencies[len(latencies)*99/100],
		targetsPerQuery: float64(needed) / simQueries, extraShare: float64(sent)/float64(needed) - 1,
	}
}

// build creates the view of the service.
func (s *simulation) build() {
	s.view = &View{Service: plat.Service{Name: "ledger"}, Replicas: map[string]Replica{}, HedgeAfter: 20 * time.Millisecond}
	s.targetNumber = map[string]int{}
	part := plat.Partition{Generation: 1, Version: 1}
	for i := range s.sets * s.shardsPerSet {
		shard := plat.Shard{ID: uint32(i), Documents: 10}
		for r := range s.replicas {
			n := (i/s.shardsPerSet)*s.replicas + r
			if s.scattered {
				n = (i*(2*r+1) + r) % (s.sets * s.replicas)
			}
			id := fmt.Sprintf("t%d", n)
			s.targetNumber[id] = n
			s.view.Replicas[id] = Replica{Available: true, Wait: 10 * time.Millisecond}
			shard.Targets = append(shard.Targets, id)
		}
		part.Shards = append(part.Shards, shard)
	}
	s.view.Service.Partitions = []plat.Partition{part}
	s.view.Index = NewIndex(s.view.Service)
}

// isSlow reports whether the replica is slow during the query.
func (s *simulation) isSlow(queryNumber int, id string) bool {
	if !s.hasSlowReplicas || queryNumber < simWarmUp {
		return false
	}
	epoch := 0
	if s.slowSetPeriod > 0 {
		epoch = queryNumber / s.slowSetPeriod
	}
	return (s.targetNumber[id]+7*epoch)%slowOneIn == 0
}

// latency returns a random latency of the sub-request.
func (s *simulation) latency(queryNumber int, a Action) time.Duration {
	d := 10 * math.Exp(0.3*s.rnd.NormFloat64()) * (1 + s.shardCost*float64(len(a.Shards)-1))
	if s.isSlow(queryNumber, a.Target) {
		d *= slowdown
	}
	return time.Duration(d * float64(time.Millisecond))
}

// observe updates the expected wait of a target with the duration d of an attempt. A canceled attempt has no reply (replied
// is false) and shows only that the reply would have taken longer than d.
func (s *simulation) observe(id string, d time.Duration, replied bool) {
	r := s.view.Replicas[id]
	if !s.equalWaits && (replied || d > r.Wait) {
		r.Wait = (4*r.Wait + d) / 5
		s.view.Replicas[id] = r
	}
	s.recentLatencies = append(s.recentLatencies, d)
}

// updateHedgeAfter sets HedgeAfter to the 95th percentile of the recent latencies.
func (s *simulation) updateHedgeAfter() {
	const window, minSamples = 4000, 500
	if len(s.recentLatencies) > window {
		s.recentLatencies = slices.Clone(s.recentLatencies[len(s.recentLatencies)-window:])
	}
	if len(s.recentLatencies) < minSamples {
		return
	}
	sorted := slices.Clone(s.recentLatencies)
	slices.Sort(sorted)
	s.view.HedgeAfter = sorted[len(sorted)*95/100]
}

// query runs one query and returns how long it took in virtual time, and its outcome.
func (s *simulation) query(queryNumber int, b *Budget) (time.Duration, Outcome) {
	base := time.Unix(0, 0)
	p := New(s.cfg, s.view, Query{Deadline: base.Add(5 * time.Second), Prefer: rules.PreferCoverage, MinCoverage: 1}, b, s.rnd)
	var queue eventQueue
	running := map[uint64]Action{}
	sentAt := map[uint64]time.Duration{}
	now := time.Duration(0)
	acts := p.Start(base)
	for {
		for _, a := range acts {
			switch a.Kind {
			case Send:
				running[a.Attempt], sentAt[a.Attempt] = a, now
				heap.Push(&queue, simEvent{now + s.latency(queryNumber, a), a.Attempt})
			case Cancel:
				s.observe(a.Target, now-sentAt[a.Attempt], false)
				delete(running, a.Attempt)
			case Wake:
				heap.Push(&queue, simEvent{a.At.Sub(base), 0})
			case Finish:
				return now, a.Outcome
			}
		}
		e := heap.Pop(&queue).(simEvent)
		now = e.at
		a, ok := running[e.attempt]
		switch {
		case ok:
			delete(running, e.attempt)
			s.observe(a.Target, now-sentAt[e.attempt], true)
			acts = p.HandleReply(base.Add(now), simReply(a))
		case e.attempt == 0:
			acts = p.HandleTimers(base.Add(now))
		default:
			acts = nil
		}
	}
}

// simReply returns a reply that covers all documents of all shards of the attempt.
func simReply(a Action) Reply {
	r := Reply{Attempt: a.Attempt, Code: codes.Complete, Generation: a.Generation, Version: a.Version}
	for _, id := range a.Shards {
		r.Parts = append(r.Parts, target.Part{Shard: id, Documents: 10})
	}
	return r
}

// log prints the result next to that of the baseline run.
func (r result) log(t *testing.T, name string, baseline result) {
	t.Logf("%-40s p50 %v p99 %v (%.2f of the baseline run), %.1f targets per query, extra load %.2f%%",
		name, r.p50.Round(100*time.Microsecond), r.p99.Round(100*time.Microsecond), float64(r.p99)/float64(baseline.p99), r.targetsPerQuery, 100*r.extraShare)
}

// Guards against stragglers that determine the tail latency, and against hedges that add too much load. To show that the
// check can fail, the test also requires that the latency limit is exceeded without hedges: always with random replicas, and
// with the default choice if the slow replicas change.
func TestTailWithStragglers(t *testing.T) {
	for _, period := range []int{0, 50} {
		baseline := (&simulation{sets: 150, shardsPerSet: 1, replicas: 3, slowSetPeriod: period}).run()
		runs := map[string]result{}
		for name, cfg := range map[string]Config{
			"default": {}, "no hedge": {NoHedge: true}, "random": {Choice: Random}, "random, no hedge": {Choice: Random, NoHedge: true},
		} {
			r := (&simulation{sets: 150, shardsPerSet: 1, replicas: 3, hasSlowReplicas: true, slowSetPeriod: period, cfg: cfg}).run()
			r.log(t, fmt.Sprintf("%s, other replicas slow every %d queries", name, period), baseline)
			runs[name] = r
		}
		growth := func(name string) float64 { return float64(runs[name].p99) / float64(baseline.p99) }
		assert.Assert(t, growth("default") <= maxTailGrowth, growth("default"))
		assert.Assert(t, runs["default"].extraShare <= maxExtraShare, runs["default"].extraShare)
		assert.Assert(t, growth("random, no hedge") > maxTailGrowth, growth("random, no hedge"))
		if period > 0 {
			assert.Assert(t, growth("no hedge") > maxTailGrowth, growth("no hedge"))
		}
	}
}

// Guards against spreading a query over twice the targets that it needs when replicas are equally fast, and against a
// grouping that chooses slower replicas.
func TestGroupingSavesSubRequests(t *testing.T) {
	for _, scattered := range []bool{false, true} {
		for _, shardCost := range []float64{0, 0.05} {
			for _, equalWaits := range []bool{false, true} {
				s := simulation{sets: 30, shardsPerSet: 10, replicas: 3, scattered: scattered, shardCost: shardCost, equalWaits: equalWaits}
				fastest := s
				fastest.cfg.Choice = Fastest
				fastestResult, grouped := fastest.run(), s.run()
				name := fmt.Sprintf("scattered %v, shard cost %.2f, tied %v", scattered, shardCost, equalWaits)
				fastestResult.log(t, "fastest, "+name, fastestResult)
				grouped.log(t, "grouped, "+name, fastestResult)
				if equalWaits {
					assert.Assert(t, grouped.targetsPerQuery < fastestResult.targetsPerQuery/2, grouped.targetsPerQuery)
				} else {
					assert.Assert(t, float64(grouped.p99) <= 1.1*float64(fastestResult.p99))
				}
			}
		}
	}
}
