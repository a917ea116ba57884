package stats_test

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/fuchsiarelay/fuchsiarelay/internal/stats"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/codes"
)

// Guards against percentiles that differ by more than 1% from the true values, and against a maximum that is lost or
// rounded.
func TestPercentiles(t *testing.T) {
	r := stats.New()
	for i := 1; i <= 10000; i++ {
		r.ObserveQuery("a", "c", codes.Complete, time.Duration(i)*100*time.Microsecond, 1)
	}
	r.ObserveQuery("a", "c", codes.OutcomeUnknown, 5*time.Minute, math.NaN())
	r.ObserveQuery("a", "c", codes.Complete, -time.Second, 0.5)
	l := r.Snapshot().Queries[0].Latency
	assert.Equal(t, l.Count, int64(10002))
	for _, c := range []struct{ got, want float64 }{{l.P50, 500}, {l.P99, 990}, {l.P999, 999}} {
		assert.Assert(t, math.Abs(c.got-c.want) <= c.want/100, "%v, expected %v", c.got, c.want)
	}
	assert.Equal(t, l.Max, 300_000.0)
	registry := stats.New()
	registry.ObserveOrder("a", "c", codes.Executed, 1001*time.Microsecond)
	assert.Equal(t, registry.Snapshot().Orders[0].Latency.P999, 1.001)
}

// Guards against counts in the wrong series, and against refused queries that lower the reported coverage.
func TestSnapshot(t *testing.T) {
	r := stats.New()
	r.ObserveQuery("a", "c", codes.Partial, time.Millisecond, 0.75)
	r.ObserveQuery("a", "c", codes.Overloaded, time.Millisecond, 0)
	r.ObserveOrder("a", "c", codes.Executed, time.Millisecond)
	r.ObserveOrder("b", "c", codes.Code(77), time.Millisecond)
	r.ObserveSubRequest("t1", stats.FirstAttempt, codes.Complete, time.Millisecond)
	r.ObserveSubRequest("t1", stats.Hedge, codes.Complete, time.Millisecond)
	r.ObserveSubRequest("t2", stats.Retry, codes.TargetFailed, time.Millisecond)
	r.ObserveSubRequest("t2", stats.SubRequestKind(9), codes.TargetFailed, time.Millisecond)
	r.AddInFlight("a", 2)
	r.AddInFlight("a", -1)
	s := r.Snapshot()
	assert.DeepEqual(t, s.Codes, map[codes.Code]int64{codes.Partial: 1, codes.Overloaded: 1, codes.Executed: 1, 0: 1})
	assert.DeepEqual(t, s.Queries[0].Coverage, &stats.Coverage{Count: 1, Mean: 0.75, Min: 0.75})
	assert.Equal(t, s.SubRequests.First+10*s.SubRequests.Hedge+100*s.SubRequests.Retry, int64(111))
	assert.Equal(t, s.SubRequests.Targets[0].Latency.Count, int64(2))
	assert.Equal(t, s.InFlight["a"], int64(1))
	text, err := json.Marshal(s)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(text), `"codes":{"1001":1,"2006":1}`), "%s", text)
	_, ok := r.Metrics().Get(`query{"a","c"}.latency_us`).(metrics.Histogram)
	assert.Assert(t, ok)
}

// Guards against a caller that exhausts memory by sending new names, and against tenants that lose their counts when the
// bound is reached.
func TestBoundedNames(t *testing.T) {
	r := stats.New()
	for i := range 10_000 {
		name := fmt.Sprint("n", i)
		r.ObserveQuery(name, name, codes.Complete, time.Millisecond, 1)
		r.ObserveSubRequest(name, stats.FirstAttempt, codes.Complete, time.Millisecond)
		r.AddInFlight(name, 1)
	}
	r.AddInFlight("n9999", -1)
	r.ObserveQuery("n1", strings.Repeat("x", 1<<20), codes.Complete, time.Millisecond, 1)
	s := r.Snapshot()
	assert.Assert(t, len(s.Queries) <= (stats.MaxTenants+1)*(stats.MaxClasses+1))
	assert.Equal(t, len(s.SubRequests.Targets), stats.MaxTargets+1)
	assert.Equal(t, len(s.InFlight), stats.MaxTenants+1)
	assert.Equal(t, s.InFlight[stats.Other], int64(10_000-stats.MaxTenants-1))
	var total int64
	for _, q := range s.Queries {
		total += q.Latency.Count
	}
	assert.Equal(t, total, int64(10_001))
}

// Guards against lost counts when many goroutines count requests of new and known names while snapshots are read.
func TestConcurrent(t *testing.T) {
	r := stats.New()
	var wg sync.WaitGroup
	for g := range 8 {
		wg.Go(func() {
			for i := range 1000 {
				r.ObserveQuery(fmt.Sprint("t", i%50), fmt.Sprint("c", g), codes.Complete, time.Millisecond, 1)
				r.AddInFlight(fmt.Sprint("t", i%50), 1)
				if i%250 == 0 {
					r.Snapshot()
				}
			}
		})
	}
	wg.Wait()
	s := r.Snapshot()
	assert.Equal(t, s.Codes[codes.Complete], int64(8000))
	var inFlight int64
	for _, n := range s.InFlight {
		inFlight += n
	}
	assert.Equal(t, inFlight, int64(8000))
}

// Guards against memory allocations for a request whose names are known.
func TestObserveDoesNotAllocate(t *testing.T) {
	r := stats.New()
	observe := func() {
		r.AddInFlight("tenant", 1)
		r.ObserveQuery("tenant", "class", codes.Complete, 12345*time.Microsecond, 1)
		r.ObserveSubRequest("target", stats.FirstAttempt, codes.Complete, time.Millisecond)
	}
	observe()
	assert.Equal(t, testing.AllocsPerRun(100, observe), 0.0)
}

func BenchmarkObserveQuery(b *testing.B) {
	r := stats.New()
	b.ReportAllocs()
	for b.Loop() {
		r.ObserveQuery("tenant", "class", codes.Complete, 12345*time.Microsecond, 1)
	}
}

func BenchmarkObserveSubParallel(b *testing.B) {
	r := stats.New()
	b.SetParallelism(1)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r.ObserveSubRequest("target", stats.FirstAttempt, codes.Complete, 12345*time.Microsecond)
		}
	})
}

// BenchmarkExpDecaySample measures the sample of go-metrics, for comparison with BenchmarkObserveQuery.
func BenchmarkExpDecaySample(b *testing.B) {
	h := metrics.NewHistogram(metrics.NewExpDecaySample(1028, 0.015))
	b.ReportAllocs()
	for b.Loop() {
		h.Update(12345)
	}
}

func BenchmarkNewSeries(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		stats.New().ObserveQuery("tenant", "class", codes.Complete, time.Millisecond, 1)
	}
}

func BenchmarkSnapshot(b *testing.B) {
	r := stats.New()
	for i := range 10_000 {
		r.ObserveQuery(fmt.Sprint("t", i%40), fmt.Sprint("c", i%10), codes.Complete, time.Millisecond, 1)
		r.ObserveSubRequest(fmt.Sprint("t", i%200), stats.FirstAttempt, codes.Complete, time.Millisecond)
	}
	b.ReportAllocs()
	for b.Loop() {
		r.Snapshot()
	}
}
