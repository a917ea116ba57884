package poison_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/fuchsiarelay/fuchsiarelay/internal/poison"
)

// BenchmarkManyTargetsEnd is the load of many targets that end under requests which differ, as each process of a fleet hears of them.
func BenchmarkManyTargetsEnd(b *testing.B) {
	d := poison.New(fleetConfig(0))
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	n := 0
	for b.Loop() {
		report := crash(fmt.Sprint("t", n%1000), n, uint64(2*n+1), uint64(2*n+2))
		report.Heard = true
		d.Report(at(n), report)
		n++
	}
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(d.Len()), "records")
	b.ReportMetric(float64(after.HeapAlloc-min(before.HeapAlloc, after.HeapAlloc))/1024, "KiB")
}

// BenchmarkStanding is the question that is asked for each send, beside as many suspicions as are kept.
func BenchmarkStanding(b *testing.B) {
	d := poison.New(fleetConfig(0))
	for n := range 4000 {
		d.Report(at(n), crash(fmt.Sprint("t", n%1000), n, uint64(n+1)))
	}
	n := uint64(0)
	for b.Loop() {
		n++
		d.Standing(at(5000), n)
	}
}
