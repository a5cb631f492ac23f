package schedule

import (
	"math"
	"time"
)

const (
	// rateWindow is the time constant with which the rates of arriving work decay.
	rateWindow = 2 * time.Second
	// maxHigherShare bounds the share of the slots that work of higher priorities is expected to take.
	maxHigherShare = 0.9
)

// rates are the rates at which work arrives, by level. They tell how much of the slots work that has
// not arrived yet will take before what waits now.
type rates struct {
	sums    [Levels]float64
	updated time.Time
}

// add records work that has arrived.
func (r *rates) add(level uint8, cost time.Duration, now time.Time) {
	r.decay(now)
	r.sums[level] += float64(cost)
}

// decay reduces the sums by the time that has passed.
func (r *rates) decay(now time.Time) {
	if passed := now.Sub(r.updated); passed > 0 {
		factor := math.Exp(-float64(passed) / float64(rateWindow))
		for l := range r.sums {
			r.sums[l] *= factor
		}
		r.updated = now
	}
}

// higherShare returns the share of the slots that work of higher levels is expected to take.
func (r *rates) higherShare(level uint8, slots int, now time.Time) float64 {
	r.decay(now)
	sum := 0.0
	for _, s := range r.sums[:level] {
		sum += s
	}
	return min(maxHigherShare, sum/float64(rateWindow)/float64(max(1, slots)))
}
