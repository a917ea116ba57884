package poison_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/fuchsiarelay/fuchsiarelay/internal/poison"
)

// BenchmarkManyTargetsEnd measures Report for the reports that each process of a fleet receives from its peers when many
// targets end, each while running different requests.
func BenchmarkManyTargetsEnd(b *testing.B) {
	d := poison.New(fleetConfig(0))
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	n := 0
	for b.Loop() {
		report := crash(fmt.Sprint("t", n%1000), n, uint64(2*n+1), uint64(2*n+2))
		report.FromPeer = true
		d.Report(at(n), report)
		n++
	}
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(d.Len()), "records")
	b.ReportMetric(float64(after.HeapAlloc-min(before.HeapAlloc, after.HeapAlloc))/1024, "KiB")
}

// BenchmarkStatus measures Status, which is called for each send, with about as many records as the detector keeps.
func BenchmarkStatus(b *testing.B) {
	d := poison.New(fleetConfig(0))
	for n := range 4000 {
		d.Report(at(n), crash(fmt.Sprint("t", n%1000), n, uint64(n+1)))
	}
	n := uint64(0)
	for b.Loop() {
		n++
		d.Status(at(5000), n)
	}
}
