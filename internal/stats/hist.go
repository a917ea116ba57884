package stats

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rcrowley/go-metrics"
)

// Range and precision of latency histograms, in microseconds. Percentiles are within 1%.
const (
	minLatency        = 8
	maxLatency        = int64(2 * time.Minute / time.Microsecond)
	significantDigits = 2
)

// histogram is a metrics.Histogram that counts every value. The samples of go-metrics keep only 1,028 values, so that their
// 99.9th percentile depends on a single value and the maximum may be lost.
type histogram struct {
	mu    sync.Mutex
	hdr   *hdrhistogram.Histogram
	sum   int64
	min   int64
	max   int64
	count int64
}

var _ metrics.Histogram = (*histogram)(nil)

func newHistogram() *histogram {
	return &histogram{hdr: hdrhistogram.New(minLatency, maxLatency, significantDigits)}
}

// Update counts one value. A negative value counts as 0. The percentiles count a value above maxLatency as maxLatency; the
// minimum and the maximum are exact.
func (h *histogram) Update(v int64) {
	v = max(0, v)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.count == 0 || v < h.min {
		h.min = v
	}
	h.max = max(h.max, v)
	h.count++
	h.sum += v
	_ = h.hdr.RecordValue(min(v, maxLatency)) // RecordValue fails only for values outside the range
}

// Percentiles returns the values at the given fractions, each from 0 to 1.
func (h *histogram) Percentiles(fractions []float64) []float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.percentilesLocked(fractions)
}

// percentilesLocked is Percentiles for code that holds the lock.
func (h *histogram) percentilesLocked(fractions []float64) []float64 {
	out := make([]float64, len(fractions))
	for i, fraction := range fractions {
		// ValueAtQuantile returns the upper end of a bucket, which may be above the largest value.
		out[i] = float64(min(h.hdr.ValueAtQuantile(fraction*100), h.max))
	}
	return out
}

// Percentile returns the value at the given fraction, from 0 to 1.
func (h *histogram) Percentile(fraction float64) float64 {
	return h.Percentiles([]float64{fraction})[0]
}

// Clear removes all values.
func (h *histogram) Clear() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hdr.Reset()
	h.sum, h.min, h.max, h.count = 0, 0, 0, 0
}

// withLock returns the result of get, which is called with the lock held.
func withLock[T any](h *histogram, get func() T) T {
	h.mu.Lock()
	defer h.mu.Unlock()
	return get()
}

func (h *histogram) Count() int64 { return withLock(h, func() int64 { return h.count }) }
func (h *histogram) Max() int64   { return withLock(h, func() int64 { return h.max }) }
func (h *histogram) Min() int64   { return withLock(h, func() int64 { return h.min }) }
func (h *histogram) Sum() int64   { return withLock(h, func() int64 { return h.sum }) }
func (h *histogram) Mean() float64 {
	return withLock(h, func() float64 { return float64(h.sum) / float64(max(1, h.count)) })
}
func (h *histogram) StdDev() float64 { return withLock(h, h.hdr.StdDev) }

func (h *histogram) Variance() float64 {
	d := h.StdDev()
	return d * d
}

// Sample returns an empty sample, because the histogram doesn't keep the values themselves.
func (h *histogram) Sample() metrics.Sample { return metrics.NilSample{} }

// Snapshot returns a copy that later updates don't change.
func (h *histogram) Snapshot() metrics.Histogram {
	h.mu.Lock()
	defer h.mu.Unlock()
	return &histogram{hdr: hdrhistogram.Import(h.hdr.Export()), sum: h.sum, min: h.min, max: h.max, count: h.count}
}
