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
	maxP99Ratio          = 1.5  // p99 with a straggler over p99 in the experiment Steady
	maxExtraLoad         = 0.05 // sub-requests beyond those needed, or beyond those in the experiment Steady, as a share of these
	minGoodput           = 0.9  // goodput over capacity
	minInspectorComplete = 0.99 // share of complete answers of the class inspector while lower classes are refused
	minCompleteRatio     = 0.99 // share of complete answers at the end, over the share before the restart of a target
	minCoverageRatio     = 0.99 // lowest coverage of a Point after the exclusion of a data centre, over the lowest before it
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
		l := verdictList{r: r}
		switch r.Experiment {
		case Steady:
			l.addAtMost("sub-requests beyond those needed", r.Targets.ExtraSubs-1, maxExtraLoad)
		case Straggler:
			l.addStraggler(reports)
		case Overload:
			l.addAtLeast("goodput over capacity", goodput(r)/r.Capacity, minGoodput)
			l.addAtLeast("inspectors' checks answered in full", r.Classes[0].ShareComplete, minInspectorComplete)
		case ColdRestart:
			l.addAtMost("collapses after the restart", float64(r.Targets.Restarts-1), 0)
			before, after := meanShareComplete(r, 0, crashAt.Seconds()), meanShareComplete(r, r.DurationS-2, r.DurationS)
			l.addAtLeast("complete answers in the last 2 s over those before", after/max(before, 1e-9), minCompleteRatio)
		case DataCentreOut:
			l.addAtMost("work in the data centre after 3 s", float64(r.Violations[violationLateWork]), 0)
			l.addAtMost("requests cut", float64(errorCount(r, nameConnectionLost)+errorCount(r, nameNoAnswer)), 0)
			l.addAtLeast("lowest coverage of 500 ms over that before", lowestCoverage(r, excludeAt.Seconds(), r.DurationS)/
				max(lowestCoverage(r, 0, excludeAt.Seconds()), 1e-9), minCoverageRatio)
		case EntryFaults:
			l.addAtMost("orders doubled", float64(r.Violations[violationOrderRanTwice]), 0)
		}
		l.addAtMost("work or connections beyond a bound", float64(r.Targets.Overloads), 0)
		l.addAtMost("false statements", float64(falseStatements(r)), 0)
		out = append(out, l.out...)
	}
	return out
}

// verdictList collects the verdicts on one report.
type verdictList struct {
	r   Report
	out []Verdict
}

// add adds a verdict on the report.
func (l *verdictList) add(name, bound string, measured float64, met bool) {
	l.out = append(l.out, Verdict{
		Experiment: l.r.Experiment, Variant: l.r.Variant.Name, Name: name, Bound: bound, Measured: measured, Met: met,
	})
}

// addAtMost adds a verdict that is met if the measured figure is at most the bound.
func (l *verdictList) addAtMost(name string, measured, bound float64) {
	l.add(name, fmt.Sprintf("<= %g", bound), measured, measured <= bound)
}

// addAtLeast adds a verdict that is met if the measured figure is at least the bound.
func (l *verdictList) addAtLeast(name string, measured, bound float64) {
	l.add(name, fmt.Sprintf(">= %g", bound), measured, measured >= bound)
}

// addStraggler adds verdicts that compare the report with the report of the experiment Steady with the same variant and seed.
func (l *verdictList) addStraggler(reports []Report) {
	for _, steady := range reports {
		if steady.Experiment != Steady || steady.Variant != l.r.Variant || steady.Seed != l.r.Seed {
			continue
		}
		for i, c := range l.r.Classes {
			l.addAtMost("p99 of "+c.Class+" over that without", c.P99MS/max(steady.Classes[i].P99MS, 1e-3), maxP99Ratio)
		}
		l.addAtMost("sub-requests beyond those without", l.r.Targets.ExtraSubs/steady.Targets.ExtraSubs-1, maxExtraLoad)
		l.addAtMost("sub-requests beyond those needed", l.r.Targets.ExtraSubs-1, maxExtraLoad)
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

// falseStatements returns the number of violations other than violationLateWork: answers that contradict the records of the
// targets, and orders that ran more than once.
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
	lowest := 1.0
	for _, p := range r.Series {
		if p.AtS >= from && p.AtS < to {
			lowest = min(lowest, p.Coverage)
		}
	}
	return lowest
}

// WriteVerdicts writes all verdicts on the variant named mainVariant, and only the missed verdicts on the other variants.
func WriteVerdicts(out io.Writer, verdicts []Verdict, mainVariant string) error {
	var text strings.Builder
	fmt.Fprintln(&text, "\nexperiment\tvariant\tfigure\ttarget\tmeasured\tverdict")
	for _, v := range verdicts {
		if v.Met && v.Variant != mainVariant {
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

// WriteRatios writes the figures of every report divided by the figures of the first report of the same experiment. Reports
// of the same experiment must be adjacent.
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
			baseClass := base.Classes[i]
			fmt.Fprintf(&text, "%s\t%s/%s\t%s\t%.2f\t%.2f\t%.2f\t%.3f\t%.3f\t%.3f\n", r.Experiment, r.Variant.Name, base.Variant.Name,
				c.Class, quotient(c.P50MS, baseClass.P50MS), quotient(c.P99MS, baseClass.P99MS), quotient(c.P999MS, baseClass.P999MS), quotient(c.Goodput, baseClass.Goodput),
				quotient(c.ShareComplete, baseClass.ShareComplete), quotient(float64(r.Targets.SubRequests), float64(base.Targets.SubRequests)))
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
