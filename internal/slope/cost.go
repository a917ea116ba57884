package slope

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"strings"
	"time"
)

// CostOptions configures Cost. A zero Duration takes its default.
type CostOptions struct {
	FanOuts  []int         // numbers of targets of a query
	Duration time.Duration // length of each measurement
}

const (
	defaultFor  = 2 * time.Second
	heldQueries = 500 // open at the same time while their heap is measured
	heldConns   = 100 // open at the same time while their heap is measured
)

// CostRow holds the cost of one unit of work in one part of the query path.
type CostRow struct {
	Part       string
	Unit       string
	FanOut     int           // 0 if the part has no fan-out
	Count      int           // units measured
	CPU        time.Duration // per unit
	Allocs     float64       // per unit
	AllocBytes float64       // bytes allocated per unit
	SentBytes  float64       // bytes on the link per unit, both ways
	HeldBytes  float64       // heap bytes per unit while it is open
}

// Cost measures each part of the query path by itself: the front with a remote that answers at once, the address list, the
// link between two peers with a handler that answers at once, the lane of a dispatcher with a target client that answers
// at once, and the target client with a stand-in server over HTTP.
func Cost(ctx context.Context, opt CostOptions) ([]CostRow, error) {
	opt.Duration = cmp.Or(opt.Duration, defaultFor)
	var rows []CostRow
	for _, n := range opt.FanOuts {
		row, err := costFront(ctx, n, opt.Duration)
		if err != nil {
			return rows, err
		}
		rows = append(rows, row)
	}
	for _, n := range []int{9, fullNodes} {
		row, err := costAddresses(ctx, n, opt.Duration)
		if err != nil {
			return rows, err
		}
		rows = append(rows, row)
	}
	for _, part := range []func(context.Context, time.Duration) (CostRow, error){costLink, costLane, costTarget} {
		row, err := part(ctx, opt.Duration)
		if err != nil {
			return rows, err
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// measure repeats a unit of work on several goroutines for the duration d and returns the cost of one unit.
func measure(d time.Duration, workers int, unit func(worker int) error) (CostRow, error) {
	for range 20 * workers { // fills caches and pools
		if err := unit(0); err != nil {
			return CostRow{}, err
		}
	}
	before, err := usageNow()
	if err != nil {
		return CostRow{}, err
	}
	type result struct {
		n   int
		err error
	}
	results := make(chan result, workers)
	for w := range workers {
		go func() {
			r := result{}
			for end := time.Now().Add(d); r.err == nil && time.Now().Before(end); r.n++ {
				r.err = unit(w)
			}
			results <- r
		}()
	}
	row := CostRow{}
	for range workers {
		r := <-results
		row.Count += r.n
		if r.err != nil {
			err = r.err
		}
	}
	if err != nil {
		return row, err
	}
	after, err := usageNow()
	n := float64(row.Count)
	row.CPU = time.Duration(float64(after.cpu-before.cpu) / n)
	row.Allocs = float64(after.allocs-before.allocs) / n
	row.AllocBytes = float64(after.bytes-before.bytes) / n
	return row, err
}

// Work of one node at full size, per second: queries as front, and sub-requests as front and as dispatcher.
const (
	fullQueries = 430000.0 / fullNodes
	fullFanOut  = 150
	fullSubs    = fullQueries * fullFanOut
)

// WriteCost writes the rows, the fitted line of the front as a function of the fan-out, and the cores that a node needs at
// full size.
func WriteCost(w io.Writer, rows []CostRow) error {
	var t strings.Builder
	fmt.Fprintln(&t, "part\tunit\tfan-out\tmeasured\tcpu µs\tallocs\talloc B\tsent B\theld B")
	var x, y []float64
	cores := 0.0
	for _, r := range rows {
		us := float64(r.CPU) / float64(time.Microsecond)
		fmt.Fprintf(&t, "%s\t%s\t%d\t%d\t%.1f\t%.0f\t%.0f\t%.0f\t%.0f\n", r.Part, r.Unit, r.FanOut, r.Count, us, r.Allocs, r.AllocBytes, r.SentBytes, r.HeldBytes)
		if r.FanOut > 0 {
			x, y = append(x, float64(r.FanOut)), append(y, us)
		} else if r.Part != partAddress {
			cores += us * fullSubs / 1e6
		}
	}
	if len(x) > 1 {
		l := Fit(x, y)
		front := l.At(fullFanOut) * fullQueries / 1e6
		fmt.Fprintf(&t, "\nfront: %.1f µs + %.2f µs per sub-request\n", l.Base, l.Slope)
		fmt.Fprintf(&t, "a node at %.0f queries/s and %.0f sub-requests/s: front %.2f cores, link, lane and target client %.2f cores (both ends of each)\n",
			fullQueries, fullSubs, front, cores)
	}
	return writeAligned(w, t.String())
}
