package bench

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// lateWork is the name of the violation that an excluded data centre received work later than outBound after the exclusion.
const lateWork = "excluded data centre received work after 3 s"

// Bounds of the verdicts. They follow from the requirements and aren't adapted to measurements.
const (
	maxTailRatio   = 1.5  // p99 with a straggler over p99 without it
	maxExtraLoad   = 0.05 // sub-requests beyond the reference, as a share of the reference
	minGoodput     = 0.9  // of the capacity
	minInspectors  = 0.99 // share of complete answers of the class inspector while lower classes are refused
	minRecovered   = 0.99 // share of complete answers at the end over that before the restart
	minCoverageOut = 0.99 // lowest coverage of a Point from the exclusion of a data centre on, over that before
)

// Verdict is the comparison of a measured figure with its bound.
type Verdict struct {
	Experiment string  `json:"experiment"`
	Variant    string  `json:"variant"`
	Name       string  `json:"name"`
	Bound      string  `json:"bound"`
	Measured   float64 `json:"measured"`
	Met        bool    `json:"met"`
}

// Verdicts compares the figures of every report with the bounds that apply to its experiment.
func Verdicts(reports []Report) []Verdict {
	var out []Verdict
	for _, r := range reports {
		j := judged{r: r}
		switch r.Experiment {
		case Steady:
			j.atMost("sub-requests beyond those needed", r.Targets.ExtraSubs-1, maxExtraLoad)
		case Straggler:
			j.straggler(reports)
		case Overload:
			j.atLeast("goodput over capacity", goodput(r)/r.Capacity, minGoodput)
			j.atLeast("inspectors' checks answered in full", r.Classes[0].ShareComplete, minInspectors)
		case ColdStart:
			j.atMost("collapses after the restart", float64(r.Targets.Restarts-1), 0)
			before, after := meanComplete(r, 0, crashAt.Seconds()), meanComplete(r, r.DurationS-2, r.DurationS)
			j.atLeast("complete answers in the last 2 s over those before", after/max(before, 1e-9), minRecovered)
		case CentreOut:
			j.atMost("work in the data centre after 3 s", float64(r.Violations[lateWork]), 0)
			j.atMost("requests cut", float64(errorsOf(r, errLost)+errorsOf(r, errNoAnswer)), 0)
			j.atLeast("lowest coverage of 500 ms over that before", leastCoverage(r, outAt.Seconds(), r.DurationS)/
				max(leastCoverage(r, 0, outAt.Seconds()), 1e-9), minCoverageOut)
		case Faults:
			j.atMost("orders doubled", float64(r.Violations[orderDoubled]), 0)
		}
		j.atMost("work or connections beyond a bound", float64(r.Targets.Overloads), 0)
		j.atMost("false statements", float64(statements(r)), 0)
		out = append(out, j.out...)
	}
	return out
}

// judged collects the verdicts on one report.
type judged struct {
	r   Report
	out []Verdict
}

func (j *judged) add(name, bound string, measured float64, met bool) {
	j.out = append(j.out, Verdict{
		Experiment: j.r.Experiment, Variant: j.r.Variant.Name, Name: name, Bound: bound, Measured: measured, Met: met,
	})
}

func (j *judged) atMost(name string, measured, bound float64) {
	j.add(name, fmt.Sprintf("<= %g", bound), measured, measured <= bound)
}

func (j *judged) atLeast(name string, measured, bound float64) {
	j.add(name, fmt.Sprintf(">= %g", bound), measured, measured >= bound)
}

// straggler compares the report with that of the experiment Steady with the same variant and seed.
func (j *judged) straggler(reports []Report) {
	for _, s := range reports {
		if s.Experiment != Steady || s.Variant != j.r.Variant || s.Seed != j.r.Seed {
			continue
		}
		for i, c := range j.r.Classes {
			j.atMost("p99 of "+c.Class+" over that without", c.P99MS/max(s.Classes[i].P99MS, 1e-3), maxTailRatio)
		}
		j.atMost("sub-requests beyond those without", j.r.Targets.ExtraSubs/s.Targets.ExtraSubs-1, maxExtraLoad)
		j.atMost("sub-requests beyond those needed", j.r.Targets.ExtraSubs-1, maxExtraLoad)
	}
}

// goodput returns the goodput of all classes together.
func goodput(r Report) float64 {
	sum := 0.0
	for _, c := range r.Classes {
		sum += c.Goodput
	}
	return sum
}

// errorsOf returns the number of requests of all classes that ended with the named error.
func errorsOf(r Report, name string) int {
	n := 0
	for _, c := range r.Classes {
		n += c.Refusals[name]
	}
	return n
}

// statements returns the number of violations other than lateWork: wrong answers, and orders that ran more than once.
func statements(r Report) int {
	n := 0
	for name, count := range r.Violations {
		if name != lateWork {
			n += count
		}
	}
	return n
}

// meanComplete returns the mean share of complete answers over the points within [from, to), in seconds.
func meanComplete(r Report, from, to float64) float64 {
	sum, n := 0.0, 0
	for _, p := range r.Series {
		if p.AtS >= from && p.AtS < to {
			sum += p.ShareComplete
			n++
		}
	}
	return sum / max(float64(n), 1)
}

// leastCoverage returns the lowest coverage of the points within [from, to), in seconds.
func leastCoverage(r Report, from, to float64) float64 {
	least := 1.0
	for _, p := range r.Series {
		if p.AtS >= from && p.AtS < to {
			least = min(least, p.Coverage)
		}
	}
	return least
}

// WriteVerdicts writes all verdicts on the variant full, and only the missed verdicts on the other variants.
func WriteVerdicts(out io.Writer, verdicts []Verdict, full string) error {
	var text strings.Builder
	fmt.Fprintln(&text, "\nexperiment\tvariant\tfigure\ttarget\tmeasured\tverdict")
	for _, v := range verdicts {
		if v.Met && v.Variant != full {
			continue
		}
		verdict := "missed"
		if v.Met {
			verdict = "met"
		}
		fmt.Fprintf(&text, "%s\t%s\t%s\t%s\t%.4g\t%s\n", v.Experiment, v.Variant, v.Name, v.Bound, v.Measured, verdict)
	}
	tw := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	if _, err := io.WriteString(tw, text.String()); err != nil {
		return err
	}
	return tw.Flush()
}

// WriteRatios writes the figures of every report divided by those of the first variant in the same experiment.
func WriteRatios(out io.Writer, reports []Report) error {
	var text strings.Builder
	fmt.Fprintln(&text, "\nexperiment\tvariant\tclass\tp50\tp99\tp99.9\tgoodput\tcomplete\tsub-requests")
	var base Report
	for _, r := range reports {
		if r.Experiment != base.Experiment {
			base = r
			continue
		}
		for i, c := range r.Classes {
			b := base.Classes[i]
			fmt.Fprintf(&text, "%s\t%s/%s\t%s\t%.2f\t%.2f\t%.2f\t%.3f\t%.3f\t%.3f\n", r.Experiment, r.Variant.Name, base.Variant.Name,
				c.Class, over(c.P50MS, b.P50MS), over(c.P99MS, b.P99MS), over(c.P999MS, b.P999MS), over(c.Goodput, b.Goodput),
				over(c.ShareComplete, b.ShareComplete), over(float64(r.Targets.SubRequests), float64(base.Targets.SubRequests)))
		}
	}
	tw := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	if _, err := io.WriteString(tw, text.String()); err != nil {
		return err
	}
	return tw.Flush()
}

// over returns a divided by b, or 0 if b is 0.
func over(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
