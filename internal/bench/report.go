package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/fuchsiarelay/fuchsiarelay/internal/emul"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/codes"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
)

// Range and precision of latency histograms, in microseconds.
const (
	histMinMicros = 1
	histMaxMicros = 60_000_000
	histDigits    = 3
)

// violationOrderRanTwice is the name of the violation that targets ran an order more than once.
const violationOrderRanTwice = "order ran more than once"

// seriesStep is the length of time that one Point covers.
const seriesStep = 500 * time.Millisecond

// ClassReport holds the figures of one LoadShare as its callers measured them. Latencies are those of all requests that got
// an answer or a refusal. They count from the intended send time.
type ClassReport struct {
	Class         string         `json:"class"`
	Sent          int            `json:"sent"`
	Answered      int            `json:"answered"` // with a result code for which codes.Code.OK is true
	Complete      int            `json:"complete"`
	ShareComplete float64        `json:"share_complete"` // of sent; for orders: share executed
	Coverage      float64        `json:"coverage"`       // mean over sent; a request without an answer counts 0
	Goodput       float64        `json:"goodput"`        // answers within the deadline and with the minimum coverage, a second
	P50MS         float64        `json:"p50_ms"`
	P99MS         float64        `json:"p99_ms"`
	P999MS        float64        `json:"p999_ms"`
	MaxMS         float64        `json:"max_ms"`
	Refusals      map[string]int `json:"refusals"` // number by code and name, or by the name of an error without a code
}

// TargetReport holds figures from the records of the stand-in targets and of the stand-in platform.
type TargetReport struct {
	SubRequests   int     `json:"sub_requests"`    // started since Run.MeasureStart
	Orders        int     `json:"orders"`          // of the whole run, warm-up included
	Needed        int     `json:"needed"`          // fewest sub-requests (see greedyCoverSize) that cover all shards of each query, without the queries answered as not run
	ExtraSubs     float64 `json:"extra_subs"`      // SubRequests divided by Needed; 1: none extra
	ExtraShards   float64 `json:"extra_shards"`    // shards searched, divided by the shards of the queries that Needed counts; 1: none extra
	MaxInFlight   int     `json:"max_in_flight"`   // most at one target
	MaxConns      int     `json:"max_connections"` // most at one target
	Overloads     int     `json:"overloads"`       // work and connections beyond the bound of a target
	Restarts      int     `json:"restarts"`        // crashes and collapses
	PlatformCalls int     `json:"platform_calls"`
	PlatformPeak  int     `json:"platform_peak"` // most calls in one second
}

// Point holds the figures of the requests whose intended send time is within one step of a series. A step lasts seriesStep.
type Point struct {
	AtS           float64 `json:"at_s"` // start of the step, in seconds from the start of the measured time
	P99MS         float64 `json:"p99_ms"`
	Coverage      float64 `json:"coverage"`       // mean over the queries sent
	ShareComplete float64 `json:"share_complete"` // of the requests sent; an executed order counts as complete
}

// OverloadRecord is one piece of work or one connection beyond the bound of a target, with the work that was running there.
type OverloadRecord struct {
	Target   string           `json:"target"`
	AtS      float64          `json:"at_s"`
	Overload emul.Overload    `json:"overload"`
	Running  []emul.Execution `json:"running"` // work that ran at AtS or ended at most endedExecutionWindow before, also if the overload ended it
}

// endedExecutionWindow is how long before an overload an execution may have ended to be listed in OverloadRecord.Running.
const endedExecutionWindow = 20 * time.Millisecond

// overloadsWithExecutions returns every overload that the targets recorded, with the work that was running at that target.
func (run *Run) overloadsWithExecutions() []OverloadRecord {
	var out []OverloadRecord
	for _, id := range run.Fleet.IDs() {
		t := run.Fleet.Targets[id]
		for _, o := range t.Overloads() {
			record := OverloadRecord{Target: id, AtS: o.At.Sub(run.MeasureStart).Seconds(), Overload: o}
			for _, work := range t.Runs() {
				if !work.Start.After(o.At) && (work.End.IsZero() || work.End.After(o.At.Add(-endedExecutionWindow))) {
					record.Running = append(record.Running, work)
				}
			}
			out = append(out, record)
		}
	}
	return out
}

// Report holds the figures of one experiment with one variant.
type Report struct {
	Experiment string             `json:"experiment"`
	Variant    Variant            `json:"variant"`
	Seed       uint64             `json:"seed"`
	Network    NetworkKind        `json:"over"`
	Rate       float64            `json:"rate"`
	Capacity   float64            `json:"capacity"` // see Capacity
	DurationS  float64            `json:"duration_s"`
	Classes    []ClassReport      `json:"classes"`
	Targets    TargetReport       `json:"targets"`
	Violations map[string]int     `json:"violations"` // number of violations by name
	Faults     map[string]float64 `json:"faults"`     // time in seconds from the start of the measured time, by the name of the fault
	Series     []Point            `json:"series"`
	Overloads  []OverloadRecord   `json:"beyond,omitempty"` // all overloads of targets
	Trace      map[string]int     `json:"trace"`            // events that the entry processes counted; not used for verdicts
}

// report computes the report of a finished run.
func (run *Run) report(samples []sample, network NetworkKind) Report {
	report := Report{
		Experiment: run.exp.Name, Variant: run.variant, Seed: run.exp.Seed, Network: network, Rate: run.exp.Rate, Trace: run.eventCounts,
		Capacity:  Capacity(run.exp.Fleet, run.exp.Mix),
		DurationS: run.exp.Duration.Seconds(), Violations: map[string]int{}, Faults: map[string]float64{},
	}
	for i, share := range run.exp.Mix {
		report.Classes = append(report.Classes, classReport(share, run.exp.Duration, measuredSamples(samples, i)))
	}
	for _, f := range run.exp.Faults {
		report.Faults[f.Name] = f.At.Seconds()
	}
	report.Targets = run.targetReport(samples)
	report.Overloads = run.overloadsWithExecutions()
	report.Series = series(run.exp, samples)
	for _, s := range samples {
		for _, name := range s.violations {
			report.Violations[name]++
		}
	}
	run.checkOrders(samples, report.Violations)
	run.checkCoverage(samples, report.Violations)
	if run.exp.Violations != nil {
		for name, n := range run.exp.Violations(run) {
			if n > 0 {
				report.Violations[name] += n
			}
		}
	}
	return report
}

// measuredSamples returns the samples of the LoadShare at mixIndex in Experiment.Mix whose intended send time is in the
// measured time.
func measuredSamples(samples []sample, mixIndex int) []sample {
	return slices.DeleteFunc(slices.Clone(samples), func(s sample) bool { return s.mixIndex != mixIndex || s.at < 0 })
}

// classReport computes the figures of one LoadShare from its samples of the measured time, which has the length d.
func classReport(share LoadShare, d time.Duration, samples []sample) ClassReport {
	r := ClassReport{Class: share.Class, Sent: len(samples), Refusals: map[string]int{}}
	if share.Order {
		r.Class += " (order)"
	}
	h := hdrhistogram.New(histMinMicros, histMaxMicros, histDigits)
	good := 0
	for _, s := range samples {
		if s.code == 0 {
			r.Refusals[s.errName]++
			continue
		}
		recordLatency(h, s.latency)
		if !s.code.OK() {
			r.Refusals[fmt.Sprintf("%d %s", s.code, s.code.Name())]++
			continue
		}
		r.Answered++
		r.Coverage += s.coverage
		if s.complete || s.code == codes.Executed {
			r.Complete++
		}
		if s.latency <= share.Deadline && (share.Order || s.coverage >= share.MinCoverage) {
			good++
		}
	}
	if r.Sent > 0 {
		r.ShareComplete = float64(r.Complete) / float64(r.Sent)
		r.Coverage /= float64(r.Sent)
	}
	r.Goodput = float64(good) / d.Seconds()
	r.P50MS, r.P99MS, r.P999MS = percentileMS(h, 50), percentileMS(h, 99), percentileMS(h, 99.9)
	r.MaxMS = float64(h.Max()) / 1000
	return r
}

// recordLatency adds a latency to the histogram.
func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	// The value is within the range of the histogram, so RecordValue can't fail.
	_ = h.RecordValue(min(max(d.Microseconds(), histMinMicros), histMaxMicros))
}

// percentileMS returns a percentile of the latency in milliseconds.
func percentileMS(h *hdrhistogram.Histogram, percent float64) float64 {
	return float64(h.ValueAtQuantile(percent)) / 1000
}

// targetReport computes the figures from the records of the stand-in targets and of the stand-in platform.
func (run *Run) targetReport(samples []sample) TargetReport {
	var r TargetReport
	shards := 0
	for _, t := range run.Fleet.Targets {
		for _, work := range t.Runs() {
			if work.Kind == emul.KindOrder {
				r.Orders++
				continue
			}
			if work.Start.Before(run.MeasureStart) {
				continue
			}
			r.SubRequests++
			shards += len(work.Shards)
		}
		c := t.Counts()
		r.MaxInFlight = max(r.MaxInFlight, c.MaxInFlight)
		r.MaxConns = max(r.MaxConns, c.MaxConns)
		r.Overloads += c.Overloads
		r.Restarts += c.Restarts
	}
	neededShards := 0
	for _, s := range samples {
		if s.at < 0 || run.exp.Mix[s.mixIndex].Order || s.code.Ran() == codes.NotRun {
			continue
		}
		r.Needed += greedyCoverSize(s.service.Partitions[0])
		neededShards += len(s.service.Partitions[0].Shards)
	}
	r.ExtraSubs = ratio(r.SubRequests, r.Needed)
	r.ExtraShards = ratio(shards, neededShards)
	p := run.Fleet.Platform.Counts()
	r.PlatformCalls, r.PlatformPeak = p.Reads+p.Watches, p.PeakCallsPerSecond
	return r
}

// ratio returns a divided by b, or 0 if b is 0.
func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// greedyCoverSize returns the number of targets in a greedy set cover of all shards of the partition.
func greedyCoverSize(p plat.Partition) int {
	uncovered := map[uint32][]string{}
	for _, s := range p.Shards {
		if len(s.Targets) > 0 {
			uncovered[s.ID] = s.Targets
		}
	}
	n := 0
	for len(uncovered) > 0 {
		count := map[string]int{}
		for _, ids := range uncovered {
			for _, id := range ids {
				count[id]++
			}
		}
		best := ""
		for _, id := range slices.Sorted(maps.Keys(count)) {
			if best == "" || count[id] > count[best] {
				best = id
			}
		}
		maps.DeleteFunc(uncovered, func(_ uint32, ids []string) bool { return slices.Contains(ids, best) })
		n++
	}
	return n
}

// checkOrders adds to violations each order that ran more than once, and each result code that contradicts the number of
// times that targets ran the order.
func (run *Run) checkOrders(samples []sample, violations map[string]int) {
	runsByToken := map[string]int{}
	for _, t := range run.Fleet.Targets {
		for token, n := range t.OrdersByToken() {
			runsByToken[token] += n
		}
	}
	for _, n := range runsByToken {
		if n > 1 {
			violations[violationOrderRanTwice]++
		}
	}
	for _, s := range samples {
		if s.token == "" || s.code == 0 {
			continue
		}
		switch runs := runsByToken[s.token]; {
		case s.code.Ran() == codes.NotRun && runs > 0:
			violations["order refused as not run did run"]++
		case s.code.Ran() == codes.Did && runs == 0:
			violations["order reported as run did not run"]++
		}
	}
}

// checkCoverage adds to violations each answer whose number of covered documents differs from the number that targets
// searched for this query in the shards of the hits. Targets return one hit for each shard that they searched, and the text
// of a query is unique. If targets searched a shard more than once, any number between the least and the most documents
// searched is accepted for this shard.
func (run *Run) checkCoverage(samples []sample, violations map[string]int) {
	type key struct {
		query string
		shard uint32
	}
	type documentRange struct{ least, most uint64 }
	searchedDocuments := map[key]documentRange{}
	for _, t := range run.Fleet.Targets {
		for _, work := range t.Runs() {
			for shard, n := range work.Documents {
				k := key{query: work.Query, shard: shard}
				s, known := searchedDocuments[k]
				if !known {
					s = documentRange{least: n, most: n}
				}
				searchedDocuments[k] = documentRange{least: min(s.least, n), most: max(s.most, n)}
			}
		}
	}
	for _, s := range samples {
		if run.exp.Mix[s.mixIndex].Order || !s.code.OK() {
			continue
		}
		var expected documentRange
		for _, shard := range s.hitShards {
			documents := searchedDocuments[key{query: s.id, shard: shard}]
			expected = documentRange{least: expected.least + documents.least, most: expected.most + documents.most}
		}
		if s.documentsCovered < expected.least || s.documentsCovered > expected.most {
			violations["coverage differs from what was searched"]++
		}
	}
}

// series returns the figures of the measured time in steps of seriesStep.
func series(e Experiment, samples []sample) []Point {
	points := int(math.Ceil(float64(e.Duration) / float64(seriesStep)))
	histograms := make([]*hdrhistogram.Histogram, points)
	sent, complete, queries, coverage := make([]int, points), make([]int, points), make([]int, points), make([]float64, points)
	for i := range histograms {
		histograms[i] = hdrhistogram.New(histMinMicros, histMaxMicros, histDigits)
	}
	for _, s := range samples {
		if s.at < 0 {
			continue
		}
		i := int(s.at / seriesStep)
		if !e.Mix[s.mixIndex].Order {
			queries[i]++
			if s.code.OK() {
				coverage[i] += s.coverage
			}
		}
		sent[i]++
		if s.code != 0 {
			recordLatency(histograms[i], s.latency)
		}
		if s.complete || s.code == codes.Executed {
			complete[i]++
		}
	}
	out := make([]Point, points)
	for i := range out {
		out[i] = Point{
			AtS: (time.Duration(i) * seriesStep).Seconds(), P99MS: percentileMS(histograms[i], 99), ShareComplete: ratio(complete[i], sent[i]),
			Coverage: coverage[i] / max(float64(queries[i]), 1),
		}
	}
	return out
}

// WriteTable writes the reports as a text table. Reports of the same experiment must be adjacent.
func WriteTable(out io.Writer, reports []Report) error {
	var text strings.Builder
	lastExperiment := ""
	for _, r := range reports {
		if r.Experiment != lastExperiment {
			lastExperiment = r.Experiment
			fmt.Fprintf(&text, "\n%s: seed %d, %.0f/s for %.0f s over %s\n", r.Experiment, r.Seed, r.Rate, r.DurationS, r.Network)
			fmt.Fprintln(&text, "variant\tclass\tsent\tp50 ms\tp99 ms\tp99.9 ms\tcoverage\tcomplete\tgoodput/s\trefusals and errors")
		}
		for _, c := range r.Classes {
			fmt.Fprintf(&text, "%s\t%s\t%d\t%.1f\t%.1f\t%.1f\t%.4f\t%.4f\t%.1f\t%s\n", r.Variant.Name, c.Class, c.Sent, c.P50MS, c.P99MS,
				c.P999MS, c.Coverage, c.ShareComplete, c.Goodput, formatCounts(c.Refusals))
		}
		t := r.Targets
		fmt.Fprintf(&text, "%s\ttargets: %d sub-requests (%.3f of the fewest, %.3f by shards), %d orders, at most %d in flight and "+
			"%d connections, %d overloads, %d restarts; platform: at most %d calls/s\n", r.Variant.Name, t.SubRequests, t.ExtraSubs,
			t.ExtraShards, t.Orders, t.MaxInFlight, t.MaxConns, t.Overloads, t.Restarts, t.PlatformPeak)
		fmt.Fprintf(&text, "%s\tviolations: %s; trace: %s\n", r.Variant.Name, formatCounts(r.Violations), formatCounts(r.Trace))
	}
	tw := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	if _, err := io.WriteString(tw, text.String()); err != nil {
		return err
	}
	return tw.Flush()
}

// formatCounts formats counters as "name: count" in the order of their names, or as "none" if there are none.
func formatCounts(m map[string]int) string {
	var out []string
	for _, k := range slices.Sorted(maps.Keys(m)) {
		out = append(out, fmt.Sprintf("%s: %d", k, m[k]))
	}
	if len(out) == 0 {
		return "none"
	}
	return strings.Join(out, ", ")
}

// WriteJSON writes the reports as one JSON array.
func WriteJSON(out io.Writer, reports []Report) error {
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	return enc.Encode(reports)
}
