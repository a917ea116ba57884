// Package slope measures the resources that one entry process uses in small fleets and fits a line through the figures, with
// which docs/CAPACITY.md extrapolates them to the fleet at full size (docs/design.md section 1.7).
//
// # Usage
//
//	rows, err := slope.MeasureControl(ctx, slope.ControlOptions{Sizes: []int{8, 16, 32}, Overlay: slope.Bounded})
//	slope.WriteControl(os.Stdout, rows)
//	costs, err := slope.MeasureCost(ctx, slope.CostOptions{FanOuts: []int{10, 50, 150}})
//	slope.WriteCost(os.Stdout, costs)
//
// MeasureControl measures the control traffic (gossip, membership and platform reads) of idle fleets: it runs whole entry
// processes on loopback without callers. MeasureCost measures each part of the query path separately. Processor time is that
// of the whole measuring process, so it includes the stand-ins and the loopback network.
package slope

import (
	"fmt"
	"io"
	"runtime"
	"syscall"
	"text/tabwriter"
	"time"
)

// usage holds the resources that this process has used since its start, at one point in time.
type usage struct {
	wall   time.Time     // the point in time
	cpu    time.Duration // processor time in user and kernel mode
	allocs uint64        // number of heap objects allocated
	bytes  uint64        // bytes allocated on the heap
}

// usageNow returns the resources that this process has used so far.
func usageNow() (usage, error) {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return usage{}, fmt.Errorf("read processor time: %w", err)
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	cpu := time.Duration(r.Utime.Nano() + r.Stime.Nano())
	return usage{wall: time.Now(), cpu: cpu, allocs: m.Mallocs, bytes: m.TotalAlloc}, nil
}

// liveHeap runs a garbage collection and returns the size of the live heap in bytes.
func liveHeap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// Line is a straight line fitted to measurements: y = Base + Slope*x.
type Line struct{ Base, Slope float64 }

// Fit returns the least-squares line through the points. If all x are equal, the line is horizontal at the mean of y.
func Fit(x, y []float64) Line {
	n := float64(len(x))
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx += x[i]
		sy += y[i]
		sxx += x[i] * x[i]
		sxy += x[i] * y[i]
	}
	d := n*sxx - sx*sx
	if d == 0 {
		return Line{Base: sy / max(n, 1)}
	}
	l := Line{Slope: (n*sxy - sx*sy) / d}
	l.Base = (sy - l.Slope*sx) / n
	return l
}

// At returns the value of the line at x.
func (l Line) At(x float64) float64 { return l.Base + l.Slope*x }

// Reaches returns the x at which the line reaches the value, and false if the line doesn't rise or that x isn't above 0.
func (l Line) Reaches(value float64) (float64, bool) {
	if l.Slope <= 0 {
		return 0, false
	}
	x := (value - l.Base) / l.Slope
	return x, x > 0
}

// writeAligned writes tab-separated lines to w in aligned columns.
func writeAligned(w io.Writer, text string) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := io.WriteString(t, text); err != nil {
		return err
	}
	return t.Flush()
}
