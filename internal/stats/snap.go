package stats

import (
	"github.com/fuchsiarelay/fuchsiarelay/pkg/codes"
)

// Snapshot is the state of a Registry, for JSON. Series are read one after another, so counts of different series
// may differ by the requests that finished meanwhile.
type Snapshot struct {
	Queries  []Series             `json:"queries"`
	Orders   []Series             `json:"orders"`
	Subs     Subs                 `json:"sub_requests"`
	Codes    map[codes.Code]int64 `json:"codes"`     // queries and orders
	InFlight map[string]int64     `json:"in_flight"` // by tenant
}

// Series describes the requests of one tenant and class.
type Series struct {
	Tenant   string               `json:"tenant"`
	Class    string               `json:"class"`
	Latency  Latency              `json:"latency"`
	Codes    map[codes.Code]int64 `json:"codes"`
	Coverage *Coverage            `json:"coverage,omitempty"` // queries that were run
}

// Latency describes a latency histogram. Percentiles are within 1%; the maximum is exact.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p99_9_ms"`
	Max   float64 `json:"max_ms"`
}

// Coverage describes the coverage of answers, 0..1.
type Coverage struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	Min   float64 `json:"min"`
}

// Subs describes sub-requests.
type Subs struct {
	First   int64                `json:"first"`
	Hedge   int64                `json:"hedge"`
	Retry   int64                `json:"retry"`
	Codes   map[codes.Code]int64 `json:"codes"`
	Targets []Target             `json:"targets"`
}

// Target describes the sub-requests to one target.
type Target struct {
	Target  string               `json:"target"`
	Latency Latency              `json:"latency"`
	Codes   map[codes.Code]int64 `json:"codes"`
}

// Snapshot returns the current state, sorted by name.
func (r *Registry) Snapshot() Snapshot {
	all := map[codes.Code]int64{}
	return Snapshot{
		Queries:  r.queries.snapshot(all),
		Orders:   r.orders.snapshot(all),
		Subs:     r.subSnapshot(),
		Codes:    all,
		InFlight: r.inFlight.snapshot(),
	}
}

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

func (r *Registry) subSnapshot() Subs {
	keys, entries := r.targets.sortedSeries()
	out := Subs{
		First:   r.subs[First].Count(),
		Hedge:   r.subs[Hedge].Count(),
		Retry:   r.subs[Retry].Count(),
		Codes:   map[codes.Code]int64{},
		Targets: make([]Target, len(keys)),
	}
	for i, s := range entries {
		out.Targets[i] = Target{Target: keys[i].first, Latency: s.latency.summary(), Codes: s.codeCounts()}
		addCounts(out.Codes, out.Targets[i].Codes)
	}
	return out
}

func addCounts(total, part map[codes.Code]int64) {
	for c, n := range part {
		total[c] += n
	}
}

// summary returns count and percentiles of one moment, in milliseconds.
func (h *histogram) summary() Latency {
	const perMS = 1000
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.percentiles([]float64{0.5, 0.99, 0.999})
	return Latency{
		Count: h.size,
		P50:   p[0] / perMS,
		P99:   p[1] / perMS,
		P999:  p[2] / perMS,
		Max:   float64(h.max) / perMS,
	}
}
