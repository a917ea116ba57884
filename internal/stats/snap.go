package stats

import (
	"github.com/fuchsiarelay/fuchsiarelay/pkg/codes"
)

// Snapshot is the state of a Registry in a form that can be encoded as JSON. The series are read one after another, so that a
// series may include requests that finished after an earlier series was read.
type Snapshot struct {
	Queries     []Series             `json:"queries"`
	Orders      []Series             `json:"orders"`
	SubRequests SubRequests          `json:"sub_requests"`
	Codes       map[codes.Code]int64 `json:"codes"`     // totals of queries and orders
	InFlight    map[string]int64     `json:"in_flight"` // by tenant
}

// Series holds the figures of the queries or orders of one tenant and class.
type Series struct {
	Tenant   string               `json:"tenant"`
	Class    string               `json:"class"`
	Latency  Latency              `json:"latency"`
	Codes    map[codes.Code]int64 `json:"codes"`
	Coverage *Coverage            `json:"coverage,omitempty"` // only of queries that were run
}

// Latency summarizes a latency histogram. Percentiles are within 1%; the maximum is exact.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p99_9_ms"`
	Max   float64 `json:"max_ms"`
}

// Coverage summarizes the coverage of answers, each from 0 to 1.
type Coverage struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	Min   float64 `json:"min"`
}

// SubRequests holds the figures of the sub-requests: counts by kind and by code, and the figures of each target.
type SubRequests struct {
	First   int64                `json:"first"`
	Hedge   int64                `json:"hedge"`
	Retry   int64                `json:"retry"`
	Codes   map[codes.Code]int64 `json:"codes"`
	Targets []Target             `json:"targets"`
}

// Target holds the figures of the sub-requests to one target.
type Target struct {
	Target  string               `json:"target"`
	Latency Latency              `json:"latency"`
	Codes   map[codes.Code]int64 `json:"codes"`
}

// Snapshot returns the current state. Its lists are sorted by name.
func (r *Registry) Snapshot() Snapshot {
	totalCodes := map[codes.Code]int64{}
	return Snapshot{
		Queries:     r.queries.snapshot(totalCodes),
		Orders:      r.orders.snapshot(totalCodes),
		SubRequests: r.subRequestsSnapshot(),
		Codes:       totalCodes,
		InFlight:    r.inFlight.snapshot(),
	}
}

// snapshot returns the series of the table, and adds their codes to total.
func (t *seriesTable) snapshot(total map[codes.Code]int64) []Series {
	keys, entries := t.sortedSeries()
	out := make([]Series, len(keys))
	for i, s := range entries {
		out[i] = Series{
			Tenant:   keys[i].first,
			Class:    keys[i].second,
			Latency:  s.latency.summary(),
			Codes:    s.codeCounts(),
			Coverage: s.coverage.snapshot(),
		}
		addCounts(total, out[i].Codes)
	}
	return out
}

// subRequestsSnapshot returns the figures of the sub-requests.
func (r *Registry) subRequestsSnapshot() SubRequests {
	keys, entries := r.targets.sortedSeries()
	out := SubRequests{
		First:   r.subRequests[FirstAttempt].Count(),
		Hedge:   r.subRequests[Hedge].Count(),
		Retry:   r.subRequests[Retry].Count(),
		Codes:   map[codes.Code]int64{},
		Targets: make([]Target, len(keys)),
	}
	for i, s := range entries {
		out.Targets[i] = Target{Target: keys[i].first, Latency: s.latency.summary(), Codes: s.codeCounts()}
		addCounts(out.Codes, out.Targets[i].Codes)
	}
	return out
}

// addCounts adds the counts of part to total.
func addCounts(total, part map[codes.Code]int64) {
	for c, n := range part {
		total[c] += n
	}
}

// summary returns the count, and the percentiles and the maximum in milliseconds, all of the same moment.
func (h *histogram) summary() Latency {
	const microsecondsPerMS = 1000
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.percentilesLocked([]float64{0.5, 0.99, 0.999})
	return Latency{
		Count: h.count,
		P50:   p[0] / microsecondsPerMS,
		P99:   p[1] / microsecondsPerMS,
		P999:  p[2] / microsecondsPerMS,
		Max:   float64(h.max) / microsecondsPerMS,
	}
}
