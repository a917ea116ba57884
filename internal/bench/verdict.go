package bench

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// violationLateWork is the name of the violation that an excluded data centre received work later than exclusionBound after
// the exclusion.
const violationLateWork = "excluded data centre received work after 3 s"

// Bounds of the verdicts. They follow from the requirements and aren't adapted to measurements.
const (
	maxP99Ratio          = 1.5  // p99 with a straggler over p99 without it
	maxExtraLoad         = 0.05 // sub-requests beyond the reference, as a share of the reference
	minGoodput           = 0.9  // of the capacity
	minInspectorComplete = 0.99 // share of complete answers of the class inspector while lower classes are refused
	minCompleteRatio     = 0.99 // share of complete answers at the end over that before the restart
	minCoverageRatio     = 0.99 // lowest coverage of a Point from the exclusion of a data centre on, over that before
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
		j := verdictList{r: r}
		switch r.Experiment {
		case Steady:
			j.addAtMost("sub-requests beyond those needed", r.Targets.ExtraSubs-1, maxExtraLoad)
		case Straggler:
			j.addStraggler(reports)
		case Overload:
			j.addAtLeast("goodput over capacity", goodput(r)/r.Capacity, minGoodput)
			j.addAtLeast("inspectors' checks answered in full", r.Classes[0].ShareComplete, minInspectorComplete)
		case ColdStart:
			j.addAtMost("collapses after the restart", float64(r.Targets.Restarts-1), 0)
			before, after := meanShareComplete(r, 0, crashAt.Seconds()), meanShareComplete(r, r.DurationS-2, r.DurationS)
			j.addAtLeast("complete answers in the last 2 s over those before", after/max(before, 1e-9), minCompleteRatio)
		case DataCentreOut:
			j.addAtMost("work in the data centre after 3 s", float64(r.Violations[violationLateWork]), 0)
			j.addAtMost("requests cut", float64(errorCount(r, nameConnectionLost)+errorCount(r, nameNoAnswer)), 0)
			j.addAtLeast("lowest coverage of 500 ms over that before", lowestCoverage(r, excludeAt.Seconds(), r.DurationS)/
				max(lowestCoverage(r, 0, excludeAt.Seconds()), 1e-9), minCoverageRatio)
		case EntryFaults:
			j.addAtMost("orders doubled", float64(r.Violations[violationOrderDoubled]), 0)
		}
		j.addAtMost("work or connections beyond a bound", float64(r.Targets.Overloads), 0)
		j.addAtMost("false statements", float64(falseStatements(r)), 0)
		out = append(out, j.out...)
	}
	return out
}

// verdictList collects the verdicts on one report.
type verdictList struct {
	r   Report
	out []Verdict
}

func (j *verdictList) add(name, bound string, measured float64, met bool) {
	j.out = append(j.out, Verdict{
		Experiment: j.r.Experiment, Variant: j.r.Variant.Name, Name: name, Bound: bound, Measured: measured, Met: met,
	})
}

func (j *verdictList) addAtMost(name string, measured, bound float64) {
	j.add(name, fmt.Sprintf("<= %g", bound), measured, measured <= bound)
}

func (j *verdictList) addAtLeast(name string, measured, bound float64) {
	j.add(name, fmt.Sprintf(">= %g", bound), measured, measured >= bound)
}

// addStraggler compares the report with that of the experiment Steady with the same variant and seed.
func (j *verdictList) addStraggler(reports []Report) {
	for _, s := range reports {
		if s.Experiment != Steady || s.Variant != j.r.Variant || s.Seed != j.r.Seed {
			continue
		}
		for i, c := range j.r.Classes {
			j.addAtMost("p99 of "+c.Class+" over that without", c.P99MS/max(s.Classes[i].P99MS, 1e-3), maxP99Ratio)
		}
		j.addAtMost("sub-requests beyond those without", j.r.Targets.ExtraSubs/s.Targets.ExtraSubs-1, maxExtraLoad)
		j.addAtMost("sub-requests beyond those needed", j.r.Targets.ExtraSubs-1, maxExtraLoad)
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

// errorCount returns the number of requests of all classes that ended with the named error.
func errorCount(r Report, name string) int {
	n := 0
	for _, c := range r.Classes {
		n += c.Refusals[name]
	}
	return n
}

// falseStatements returns the number of violations other than violationLateWork: wrong answers, and orders that ran more
// than once.
func falseStatements(r Report) int {
	n := 0
	for name, count := range r.Violations {
		if name != violationLateWork {
			n += count
		}
	}
	return n
}

// meanShareComplete returns the mean share of complete answers over the points within [from, to), in seconds.
func meanShareComplete(r Report, from, to float64) float64 {
	sum, n := 0.0, 0
	for _, p := range r.Series {
		if p.AtS >= from && p.AtS < to {
			sum += p.ShareComplete
			n++
		}
	}
	return sum / max(float64(n), 1)
}

// lowestCoverage returns the lowest coverage of the points within [from, to), in seconds.
func lowestCoverage(r Report, from, to float64) float64 {
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
				c.Class, quotient(c.P50MS, b.P50MS), quotient(c.P99MS, b.P99MS), quotient(c.P999MS, b.P999MS), quotient(c.Goodput, b.Goodput),
				quotient(c.ShareComplete, b.ShareComplete), quotient(float64(r.Targets.SubRequests), float64(base.Targets.SubRequests)))
		}
	}
	tw := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	if _, err := io.WriteString(tw, text.String()); err != nil {
		return err
	}
	return tw.Flush()
}

// quotient returns a divided by b, or 0 if b is 0.
func quotient(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
