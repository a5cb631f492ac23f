package daemon

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rcrowley/go-metrics"
)

const (
	// histogramMin and histogramMax bound what a histogram tells apart, in microseconds.
	histogramMin    = 1
	histogramMax    = int64(time.Minute / time.Microsecond)
	histogramDigits = 2
)

// Histogram counts durations. It is safe for concurrent use.
type Histogram struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

// NewHistogram registers a histogram: its count, and quantiles in microseconds.
func NewHistogram(name string, r metrics.Registry) *Histogram {
	h := &Histogram{h: hdrhistogram.New(histogramMin, histogramMax, histogramDigits)}
	metrics.NewRegisteredFunctionalGauge(name+".count", r, func() int64 {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.h.TotalCount()
	})
	for suffix, quantile := range map[string]float64{".p50-us": 50, ".p99-us": 99, ".max-us": 100} {
		metrics.NewRegisteredFunctionalGauge(name+suffix, r, func() int64 {
			h.mu.Lock()
			defer h.mu.Unlock()
			return h.h.ValueAtQuantile(quantile)
		})
	}
	return h
}

// Record counts a duration; one beyond the bounds counts as the nearest bound.
func (h *Histogram) Record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// A value within the bounds is always recorded.
	_ = h.h.RecordValue(min(max(d.Microseconds(), histogramMin), histogramMax))
}
