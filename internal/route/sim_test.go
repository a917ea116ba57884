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

// Limits that the policy has to keep when one replica in slowOneIn is slower by the factor slowdown.
const (
	maxTailGrowth = 1.5  // p99 divided by the p99 of the run without slow replicas
	maxExtra      = 0.05 // sub-requests sent beyond those needed
)

// slowdown is the factor by which the latency of a slow replica is longer; one replica in slowOneIn is slow.
const (
	slowdown  = 20
	slowOneIn = 20
)

// simulation runs queries one after another in virtual time. Latencies are log-normal around 10 ms and grow with the
// number of shards. The expected wait of a target is a moving average of its latencies, as an entry process would keep it.
type simulation struct {
	sets, perSet, replicas int
	scattered              bool // neighbouring shards are on different sets of replicas
	equalWaits             bool // all expected waits stay equal, as after the start of a process
	slow                   bool
	moveEvery              int // number of queries after which other replicas become slow; 0: the same replicas stay slow
	shardCost              float64
	cfg                    Config

	rnd    *rand.Rand
	view   *View
	number map[string]int
	recent []time.Duration
}

type event struct {
	at      time.Duration
	attempt uint64 // attempt that gets its reply; 0: time of a Wake
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// result holds the measurements of one run.
type result struct {
	p50, p99 time.Duration
	targets  float64 // sub-requests needed per query
	extra    float64 // sub-requests sent beyond those needed, as a share of those needed
}

const (
	simWarmUp  = 200  // queries before any replica is slow; not measured
	simQueries = 1000 // measured queries
)

func (s *simulation) run() result {
	s.rnd = rand.New(rand.NewPCG(11, 7))
	s.build()
	budget := NewBudget(DefaultHedgeShare, DefaultRetryShare)
	var latencies []time.Duration
	sent, needed := 0, 0
	for q := range simWarmUp + simQueries {
		d, out := s.query(q, budget)
		if q%10 == 0 {
			s.refresh()
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
		targets: float64(needed) / simQueries, extra: float64(sent)/float64(needed) - 1,
	}
}

func (s *simulation) build() {
	s.view = &View{Service: plat.Service{Name: "ledger"}, Replicas: map[string]Replica{}, HedgeAfter: 20 * time.Millisecond}
	s.number = map[string]int{}
	part := plat.Partition{Generation: 1, Version: 1}
	for i := range s.sets * s.perSet {
		shard := plat.Shard{ID: uint32(i), Documents: 10}
		for r := range s.replicas {
			n := (i/s.perSet)*s.replicas + r
			if s.scattered {
				n = (i*(2*r+1) + r) % (s.sets * s.replicas)
			}
			id := fmt.Sprintf("t%d", n)
			s.number[id] = n
			s.view.Replicas[id] = Replica{Available: true, Wait: 10 * time.Millisecond}
			shard.Targets = append(shard.Targets, id)
		}
		part.Shards = append(part.Shards, shard)
	}
	s.view.Service.Partitions = []plat.Partition{part}
	s.view.Index = NewIndex(s.view.Service)
}

func (s *simulation) isSlow(query int, id string) bool {
	if !s.slow || query < simWarmUp {
		return false
	}
	epoch := 0
	if s.moveEvery > 0 {
		epoch = query / s.moveEvery
	}
	return (s.number[id]+7*epoch)%slowOneIn == 0
}

func (s *simulation) latency(query int, a Action) time.Duration {
	d := 10 * math.Exp(0.3*s.rnd.NormFloat64()) * (1 + s.shardCost*float64(len(a.Shards)-1))
	if s.isSlow(query, a.Target) {
		d *= slowdown
	}
	return time.Duration(d * float64(time.Millisecond))
}

// observe updates the expected wait of a target with the duration of an attempt. A cancelled attempt has no reply (whole is
// false) and shows only that the reply would have taken longer than d.
func (s *simulation) observe(id string, d time.Duration, whole bool) {
	r := s.view.Replicas[id]
	if !s.equalWaits && (whole || d > r.Wait) {
		r.Wait = (4*r.Wait + d) / 5
		s.view.Replicas[id] = r
	}
	s.recent = append(s.recent, d)
}

// refresh sets HedgeAfter to the 95th percentile of the recent latencies.
func (s *simulation) refresh() {
	const window, least = 4000, 500
	if len(s.recent) > window {
		s.recent = slices.Clone(s.recent[len(s.recent)-window:])
	}
	if len(s.recent) < least {
		return
	}
	sorted := slices.Clone(s.recent)
	slices.Sort(sorted)
	s.view.HedgeAfter = sorted[len(sorted)*95/100]
}

// query runs one query and returns how long it took in virtual time, and its outcome.
func (s *simulation) query(n int, b *Budget) (time.Duration, Outcome) {
	base := time.Unix(0, 0)
	p := New(s.cfg, s.view, Query{Deadline: base.Add(5 * time.Second), Prefer: rules.PreferCoverage, MinCoverage: 1}, b, s.rnd)
	var queue events
	running := map[uint64]Action{}
	sentAt := map[uint64]time.Duration{}
	now := time.Duration(0)
	acts := p.Start(base)
	for {
		for _, a := range acts {
			switch a.Kind {
			case Send:
				running[a.Attempt], sentAt[a.Attempt] = a, now
				heap.Push(&queue, event{now + s.latency(n, a), a.Attempt})
			case Cancel:
				s.observe(a.Target, now-sentAt[a.Attempt], false)
				delete(running, a.Attempt)
			case Wake:
				heap.Push(&queue, event{a.At.Sub(base), 0})
			case Finish:
				return now, a.Outcome
			}
		}
		e := heap.Pop(&queue).(event)
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

func simReply(a Action) Reply {
	r := Reply{Attempt: a.Attempt, Code: codes.Complete, Generation: a.Generation, Version: a.Version}
	for _, id := range a.Shards {
		r.Parts = append(r.Parts, target.Part{Shard: id, Documents: 10})
	}
	return r
}

func (r result) log(t *testing.T, name string, baseline result) {
	t.Logf("%-40s p50 %v p99 %v (%.2f of the baseline run), %.1f targets per query, extra load %.2f%%",
		name, r.p50.Round(100*time.Microsecond), r.p99.Round(100*time.Microsecond), float64(r.p99)/float64(baseline.p99), r.targets, 100*r.extra)
}

// Guards against stragglers that determine the tail latency, and against hedges that load targets beyond their limit. The
// runs without hedges or with random replicas exceed the latency limit, which shows that it can fail.
func TestTailWithStragglers(t *testing.T) {
	for _, move := range []int{0, 50} {
		baseline := (&simulation{sets: 150, perSet: 1, replicas: 3, moveEvery: move}).run()
		runs := map[string]result{}
		for name, cfg := range map[string]Config{
			"default": {}, "no hedge": {NoHedge: true}, "random": {Choice: Random}, "random, no hedge": {Choice: Random, NoHedge: true},
		} {
			r := (&simulation{sets: 150, perSet: 1, replicas: 3, slow: true, moveEvery: move, cfg: cfg}).run()
			r.log(t, fmt.Sprintf("%s, other replicas slow every %d queries", name, move), baseline)
			runs[name] = r
		}
		growth := func(name string) float64 { return float64(runs[name].p99) / float64(baseline.p99) }
		assert.Assert(t, growth("default") <= maxTailGrowth, growth("default"))
		assert.Assert(t, runs["default"].extra <= maxExtra, runs["default"].extra)
		assert.Assert(t, growth("random, no hedge") > maxTailGrowth, growth("random, no hedge"))
		if move > 0 {
			assert.Assert(t, growth("no hedge") > maxTailGrowth, growth("no hedge"))
		}
	}
}

// Guards against spreading a query over twice the targets it needs when replicas are equally fast, and against a grouping
// that chooses slower replicas.
func TestGrouping(t *testing.T) {
	for _, scattered := range []bool{false, true} {
		for _, cost := range []float64{0, 0.05} {
			for _, tied := range []bool{false, true} {
				s := simulation{sets: 30, perSet: 10, replicas: 3, scattered: scattered, shardCost: cost, equalWaits: tied}
				fastest := s
				fastest.cfg.Choice = Fastest
				base, got := fastest.run(), s.run()
				name := fmt.Sprintf("scattered %v, shard cost %.2f, tied %v", scattered, cost, tied)
				base.log(t, "fastest, "+name, base)
				got.log(t, "grouped, "+name, base)
				if tied {
					assert.Assert(t, got.targets < base.targets/2, got.targets)
				} else {
					assert.Assert(t, float64(got.p99) <= 1.1*float64(base.p99))
				}
			}
		}
	}
}
