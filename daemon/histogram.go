package daemon

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rcrowley/go-metrics"
)

const (
	// histogramMinMicros and histogramMaxMicros are the bounds of recorded values in microseconds.
	histogramMinMicros = 1
	histogramMaxMicros = int64(time.Minute / time.Microsecond)
	// histogramDigits is the number of significant decimal digits of a value.
	histogramDigits = 2
)

// Histogram records durations. It is safe for concurrent use.
type Histogram struct {
	mu sync.Mutex
	// values are in microseconds.
	values *hdrhistogram.Histogram
}

// NewHistogram returns a histogram and registers gauges in r: name.count, and its median, 99th
// percentile and maximum in microseconds as name.p50-us, name.p99-us and name.max-us.
func NewHistogram(name string, r metrics.Registry) *Histogram {
	h := &Histogram{values: hdrhistogram.New(histogramMinMicros, histogramMaxMicros, histogramDigits)}
	metrics.NewRegisteredFunctionalGauge(name+".count", r, func() int64 {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.values.TotalCount()
	})
	for suffix, percentile := range map[string]float64{".p50-us": 50, ".p99-us": 99, ".max-us": 100} {
		metrics.NewRegisteredFunctionalGauge(name+suffix, r, func() int64 {
			h.mu.Lock()
			defer h.mu.Unlock()
			return h.values.ValueAtQuantile(percentile)
		})
	}
	return h
}

// Record adds a duration; one outside the bounds is recorded as the nearest bound.
func (h *Histogram) Record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// RecordValue fails only for values outside the bounds.
	_ = h.values.RecordValue(min(max(d.Microseconds(), histogramMinMicros), histogramMaxMicros))
}
