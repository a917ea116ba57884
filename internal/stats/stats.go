// Package stats counts the requests and sub-requests of one entry process as metrics of github.com/rcrowley/go-metrics:
// latency histograms per tenant and class and per target, counts by result code, and requests in flight per tenant.
//
// # Usage
//
//	r := stats.New()
//	r.AddInFlight(tenant, 1)
//	defer r.AddInFlight(tenant, -1)
//	r.ObserveQuery(tenant, class, codes.Complete, latency, 1.0)
//	r.ObserveSubRequest(target, stats.Hedge, codes.Complete, latency)
//	json.NewEncoder(w).Encode(r.Snapshot())
//
// All values except the requests in flight are totals since the process started. The number of tenants, classes and targets
// is bounded, so that a caller that keeps sending new names can't exhaust memory: a name is counted as Other if it first
// occurs after the bound is reached, is empty, or is longer than MaxNameBytes. Names are never removed, so that a name
// belongs to the same series as long as the process runs.
//
// All methods are safe for concurrent use. Counting a request of known names does not allocate.
package stats

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/fuchsiarelay/fuchsiarelay/pkg/codes"
)

// Bounds of the number and the length of names. A series takes about 22 KB, so that the three tables at their bounds take
// less than 16 MB of the 128 MB of memory that an entry process may use for control.
const (
	MaxTenants   = 32
	MaxClasses   = 8
	MaxTargets   = 128
	MaxNameBytes = 64
)

// Other is the name under which all requests with names beyond the bounds are counted.
const Other = "other"

// SubRequestKind says why a sub-request was sent.
type SubRequestKind uint8

// Kinds of sub-requests.
const (
	FirstAttempt SubRequestKind = iota
	Hedge
	Retry
	numSubRequestKinds
)

// String returns the name of the kind.
func (s SubRequestKind) String() string {
	switch s {
	case FirstAttempt:
		return "first"
	case Hedge:
		return "hedge"
	case Retry:
		return "retry"
	}
	return fmt.Sprintf("sub(%d)", uint8(s))
}

// Registry holds the metrics of one entry process.
type Registry struct {
	metrics     metrics.Registry
	queries     seriesTable
	orders      seriesTable
	targets     seriesTable
	subRequests [numSubRequestKinds]metrics.Counter
	inFlight    inFlightCounters
}

// New returns a registry in which all counts are 0.
func New() *Registry {
	m := metrics.NewRegistry()
	r := &Registry{
		metrics:  m,
		queries:  newSeriesTable("query", m, MaxTenants, MaxClasses),
		orders:   newSeriesTable("order", m, MaxTenants, MaxClasses),
		targets:  newSeriesTable("target", m, MaxTargets, 1),
		inFlight: inFlightCounters{metrics: m, names: newNameSet(MaxTenants), counters: map[string]metrics.Counter{}},
	}
	for kind := range numSubRequestKinds {
		r.subRequests[kind] = metrics.NewCounter()
		register(m, "sub."+kind.String(), r.subRequests[kind])
	}
	return r
}

// Metrics returns the underlying registry of go-metrics, for its reporters.
func (r *Registry) Metrics() metrics.Registry { return r.metrics }

// ObserveQuery counts one finished query. The coverage is from 0 to 1. A coverage outside this range, or that of a query that
// was not run, is not counted.
func (r *Registry) ObserveQuery(tenant, class string, code codes.Code, latency time.Duration, coverage float64) {
	s := r.queries.series(tenant, class)
	s.observe(code, latency)
	if code.Ran() != codes.NotRun && coverage >= 0 && coverage <= 1 {
		s.coverage.add(coverage)
	}
}

// ObserveOrder counts one finished order.
func (r *Registry) ObserveOrder(tenant, class string, code codes.Code, latency time.Duration) {
	r.orders.series(tenant, class).observe(code, latency)
}

// ObserveSubRequest counts one finished sub-request. If the kind is unknown, the sub-request is counted only for the target.
func (r *Registry) ObserveSubRequest(target string, kind SubRequestKind, code codes.Code, latency time.Duration) {
	if kind < numSubRequestKinds {
		r.subRequests[kind].Inc(1)
	}
	r.targets.series(target, "").observe(code, latency)
}

// AddInFlight adds delta to the number of requests in flight of a tenant.
func (r *Registry) AddInFlight(tenant string, delta int64) { r.inFlight.add(tenant, delta) }

// register adds a metric. It ignores the only error of Register, a duplicate name, which can't occur: each name is registered
// once, when its metric is created.
func register(m metrics.Registry, name string, metric any) { _ = m.Register(name, metric) }

// nameSet is a bounded set of names.
type nameSet struct {
	limit int
	known map[string]struct{}
}

func newNameSet(limit int) nameSet { return nameSet{limit: limit, known: map[string]struct{}{}} }

// resolve returns the name, or Other if the name is not in the set and can't be added. isFinal is false if the name is not in
// the set but can be added.
func (n *nameSet) resolve(name string) (resolved string, isFinal bool) {
	if name == "" || len(name) > MaxNameBytes {
		return Other, true
	}
	if _, ok := n.known[name]; ok {
		return name, true
	}
	if len(n.known) >= n.limit {
		return Other, true
	}
	return name, false
}

// add resolves the name, and adds it to the set if possible. The name must not be a part of a longer string, such as a request
// body, which the set would keep in memory.
func (n *nameSet) add(name string) string {
	resolved, isFinal := n.resolve(name)
	if !isFinal {
		n.known[resolved] = struct{}{}
	}
	return resolved
}

// inFlightCounters holds the number of requests in flight per tenant. The metrics are counters, because a Gauge of
// go-metrics can't be changed by a difference.
type inFlightCounters struct {
	metrics  metrics.Registry
	mu       sync.RWMutex
	names    nameSet
	counters map[string]metrics.Counter
}

// add adds delta to the counter of the tenant.
func (g *inFlightCounters) add(tenant string, delta int64) {
	g.mu.RLock()
	name, _ := g.names.resolve(tenant)
	c := g.counters[name]
	g.mu.RUnlock()
	if c == nil {
		c = g.create(tenant)
	}
	c.Inc(delta)
}

// create returns the counter of the tenant, and creates it if there is none yet.
func (g *inFlightCounters) create(tenant string) metrics.Counter {
	g.mu.Lock()
	defer g.mu.Unlock()
	name := g.names.add(cloneUnlessTooLong(tenant))
	c := g.counters[name]
	if c == nil {
		c = metrics.NewCounter()
		g.counters[name] = c
		register(g.metrics, fmt.Sprintf("in_flight{tenant=%q}", name), c)
	}
	return c
}

// snapshot returns the number of requests in flight per tenant.
func (g *inFlightCounters) snapshot() map[string]int64 {
	g.mu.RLock()
	defer g.mu.RUnlock()
	out := make(map[string]int64, len(g.counters))
	for name, c := range g.counters {
		out[name] = c.Count()
	}
	return out
}

// cloneUnlessTooLong returns a copy of the name. A name longer than MaxNameBytes is returned as it is, because it is counted
// as Other and never kept.
func cloneUnlessTooLong(name string) string {
	if len(name) > MaxNameBytes {
		return name
	}
	return string([]byte(name))
}

// seriesKey identifies a series by two names: tenant and class, or target and an empty name.
type seriesKey struct{ first, second string }

// seriesTable holds the series of one kind: queries, orders or sub-requests by target.
type seriesTable struct {
	kind    string
	metrics metrics.Registry
	mu      *sync.RWMutex
	first   nameSet // tenants, or targets
	second  nameSet // classes; no names in the table of targets
	entries map[seriesKey]*series
}

func newSeriesTable(kind string, m metrics.Registry, maxFirst, maxSecond int) seriesTable {
	return seriesTable{
		kind:    kind,
		metrics: m,
		mu:      &sync.RWMutex{},
		first:   newNameSet(maxFirst),
		second:  newNameSet(maxSecond),
		entries: map[seriesKey]*series{},
	}
}

// series returns the series of the two names, and creates it if there is none yet. Only creation takes the write lock, so
// that requests with names beyond the bounds, which share the series of Other, don't block other requests.
func (t *seriesTable) series(first, second string) *series {
	t.mu.RLock()
	firstName, _ := t.first.resolve(first)
	secondName, _ := t.second.resolve(second)
	s := t.entries[seriesKey{firstName, secondName}]
	t.mu.RUnlock()
	if s != nil {
		return s
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	key := seriesKey{t.first.add(cloneUnlessTooLong(first)), t.second.add(cloneUnlessTooLong(second))}
	s = t.entries[key]
	if s == nil {
		s = newSeries()
		t.entries[key] = s
		register(t.metrics, fmt.Sprintf("%s{%q,%q}.latency_us", t.kind, key.first, key.second), s.latency)
	}
	return s
}

// sortedSeries returns the keys in sorted order, and their series in the same order.
func (t *seriesTable) sortedSeries() ([]seriesKey, []*series) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	keys := make([]seriesKey, 0, len(t.entries))
	for k := range t.entries {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b seriesKey) int {
		return cmp.Or(cmp.Compare(a.first, b.first), cmp.Compare(a.second, b.second))
	})
	out := make([]*series, len(keys))
	for i, k := range keys {
		out[i] = t.entries[k]
	}
	return keys, out
}

// series holds the metrics of one seriesKey.
type series struct {
	latency      *histogram
	codeCounters []metrics.Counter // indexed by codeIndex
	coverage     coverage
}

func newSeries() *series {
	s := &series{latency: newHistogram(), codeCounters: make([]metrics.Counter, len(codes.All)+1)}
	for i := range s.codeCounters {
		s.codeCounters[i] = metrics.NewCounter()
	}
	return s
}

// observe counts one finished request or sub-request.
func (s *series) observe(code codes.Code, latency time.Duration) {
	s.latency.Update(latency.Microseconds())
	s.codeCounters[codeIndex(code)].Inc(1)
}

// codeIndex returns the position of the code in codes.All, or len(codes.All) for a code that is not listed.
func codeIndex(code codes.Code) int {
	i, ok := slices.BinarySearchFunc(codes.All, code, func(info codes.Info, c codes.Code) int {
		return cmp.Compare(info.Code, c)
	})
	if !ok {
		return len(codes.All)
	}
	return i
}

// codeCounts returns the count of each code that has occurred. Codes that are not in codes.All are counted under code 0.
func (s *series) codeCounts() map[codes.Code]int64 {
	out := map[codes.Code]int64{}
	for i, c := range s.codeCounters {
		n := c.Count()
		switch {
		case n == 0:
		case i < len(codes.All):
			out[codes.All[i].Code] = n
		default:
			out[0] = n
		}
	}
	return out
}

// coverage accumulates the coverage of answers: count, sum and minimum.
type coverage struct {
	mu    sync.Mutex
	count int64
	sum   float64
	min   float64
}

// add counts the coverage of one answer.
func (c *coverage) add(v float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.count == 0 || v < c.min {
		c.min = v
	}
	c.count++
	c.sum += v
}

// snapshot returns the summary of the coverage; nil if none has been counted.
func (c *coverage) snapshot() *Coverage {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.count == 0 {
		return nil
	}
	return &Coverage{Count: c.count, Mean: math.Min(1, c.sum/float64(c.count)), Min: c.min}
}
