package slope

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"strings"
	"time"
)

// CostOptions configures MeasureCost. A zero Duration takes its default.
type CostOptions struct {
	FanOuts  []int         // numbers of targets of a query
	Duration time.Duration // length of each measurement
}

// Default duration of a measurement, and sizes of the measurements of HeldBytes.
const (
	defaultDuration = 2 * time.Second
	openQueries     = 500 // queries open at the same time while their heap is measured
	openConns       = 100 // connections open at the same time while their heap is measured
)

// CostRow holds the cost of one unit of work in one part of the query path. Part is one of the constants part*.
type CostRow struct {
	Part       string
	Unit       string
	FanOut     int           // 0 if the part has no fan-out
	Count      int           // units measured
	CPU        time.Duration // per unit
	Allocs     float64       // per unit
	AllocBytes float64       // bytes allocated per unit
	SentBytes  float64       // bytes on the link per unit, both ways
	HeldBytes  float64       // live heap bytes per open query (front) or open connection (target client)
}

// MeasureCost measures each part of the query path by itself: the front with a remote that answers at once, the address list,
// the link between two peers with a handler that answers at once, the lane (the queue and the concurrency limit of one target
// at its dispatcher) with a target client that answers at once, and the HTTP client of a target with a stand-in server.
func MeasureCost(ctx context.Context, opt CostOptions) ([]CostRow, error) {
	opt.Duration = cmp.Or(opt.Duration, defaultDuration)
	var rows []CostRow
	for _, n := range opt.FanOuts {
		row, err := measureFront(ctx, n, opt.Duration)
		if err != nil {
			return rows, err
		}
		rows = append(rows, row)
	}
	for _, n := range []int{9, fullSizeNodes} {
		row, err := measureAddresses(ctx, n, opt.Duration)
		if err != nil {
			return rows, err
		}
		rows = append(rows, row)
	}
	for _, part := range []func(context.Context, time.Duration) (CostRow, error){measureLink, measureLane, measureTargetClient} {
		row, err := part(ctx, opt.Duration)
		if err != nil {
			return rows, err
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// measureUnit repeats a unit of work on several goroutines for the duration d and returns the cost of one unit. Each worker
// calls runUnit with its number.
func measureUnit(d time.Duration, workers int, runUnit func(worker int) error) (CostRow, error) {
	for range 20 * workers { // fills caches and pools before the measurement
		if err := runUnit(0); err != nil {
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
	for worker := range workers {
		go func() {
			r := result{}
			for end := time.Now().Add(d); r.err == nil && time.Now().Before(end); r.n++ {
				r.err = runUnit(worker)
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

// Work of one node of a fleet at full size: the queries per second that it receives as front, and the sub-requests per second
// that it sends as front and runs as dispatcher.
const (
	fullSizeQueries = 430000.0 / fullSizeNodes         // queries per second that a node receives as front, of 430000 in the fleet
	fullSizeFanOut  = 150                              // sub-requests per query
	fullSizeSubs    = fullSizeQueries * fullSizeFanOut // sub-requests per second that a node sends as front, and runs as dispatcher
)

// WriteCost writes the rows, the fitted line of the processor time of the front as a function of the fan-out, and the cores
// that a node needs at full size.
func WriteCost(w io.Writer, rows []CostRow) error {
	var t strings.Builder
	fmt.Fprintln(&t, "part\tunit\tfan-out\tmeasured\tcpu µs\tallocs\talloc B\tsent B\theld B")
	var xs, ys []float64
	cores := 0.0
	for _, r := range rows {
		micros := float64(r.CPU) / float64(time.Microsecond)
		fmt.Fprintf(&t, "%s\t%s\t%d\t%d\t%.1f\t%.0f\t%.0f\t%.0f\t%.0f\n", r.Part, r.Unit, r.FanOut, r.Count, micros, r.Allocs, r.AllocBytes, r.SentBytes, r.HeldBytes)
		if r.FanOut > 0 {
			xs, ys = append(xs, float64(r.FanOut)), append(ys, micros)
		} else if r.Part != partAddressList {
			cores += micros * fullSizeSubs / 1e6
		}
	}
	if len(xs) > 1 {
		line := Fit(xs, ys)
		front := line.At(fullSizeFanOut) * fullSizeQueries / 1e6
		fmt.Fprintf(&t, "\nfront: %.1f µs + %.2f µs per sub-request\n", line.Base, line.Slope)
		fmt.Fprintf(&t, "a node at %.0f queries/s and %.0f sub-requests/s: front %.2f cores, link, lane and target client %.2f cores (both ends of each)\n",
			fullSizeQueries, fullSizeSubs, front, cores)
	}
	return writeAligned(w, t.String())
}
