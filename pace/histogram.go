package pace

import (
	"math"
	"time"
)

const (
	// bucketCount is the number of buckets of a histogram, and bucketsPerOctave how many of them cover
	// a doubling of the duration. The first one ends at shortest, the last one has no upper bound.
	bucketCount      = 36
	bucketsPerOctave = 2
	shortest         = 250 * time.Microsecond
	// halfLife is the time in which what was learned loses half of its weight.
	halfLife = 10 * time.Second
	// forget is the share of the weight that each new value takes from the earlier ones.
	forget = 1.0 / 32
	// priorWeight is the weight of the prior, in values.
	priorWeight = 2.0
	// The largest values count as outliers if they have less than tailShare of the weight, or less
	// than tailWeight. They count as at most outlierLimit times the largest value below them.
	tailShare    = 1.0 / 16
	tailWeight   = 1.25
	outlierLimit = 2.0
	// unseenWeight is the weight, in values, of a duration beyond all that were seen.
	unseenWeight = 0.5
)

// histogram holds the recent durations of requests of one kind, by powers of the root of two. Old
// values lose their weight with time and with each new one. All sums are in seconds.
type histogram struct {
	weights, sums [bucketCount]float32
	// weight is the sum of weights at the time updated.
	weight  float64
	updated time.Time
	// limit is the duration to which outliers are cut, and mean is the mean after that.
	limit, mean float64
}

// bucketOf returns the index of a duration's bucket.
func bucketOf(d time.Duration) int {
	if d <= shortest {
		return 0
	}
	octaves := math.Log2(float64(d) / float64(shortest))
	return min(int(octaves*bucketsPerOctave)+1, bucketCount-1)
}

// age returns the share of the weight that is left at a time.
func (h *histogram) age(now time.Time) float64 {
	return math.Exp2(-max(0, now.Sub(h.updated).Seconds()) / halfLife.Seconds())
}

// add records a duration. prior is the expected duration of a request without further knowledge.
func (h *histogram) add(d time.Duration, prior float64, now time.Time) {
	keep := float32(h.age(now) * (1 - forget))
	for i := range h.weights {
		h.weights[i] *= keep
		h.sums[i] *= keep
	}
	i := bucketOf(d)
	h.weights[i]++
	h.sums[i] += float32(d.Seconds())
	h.updated = now
	h.summarize(prior)
}

// summarize computes weight, limit and mean.
func (h *histogram) summarize(prior float64) {
	h.weight = 0
	for _, w := range h.weights {
		h.weight += float64(w)
	}
	if h.limit = outlierLimit * h.largestCommon(); h.limit == 0 {
		h.limit = outlierLimit * prior
	}
	sum := 0.0
	for i, w := range h.weights {
		sum += min(float64(h.sums[i]), float64(w)*h.limit)
	}
	h.mean = sum / h.weight
}

// largestCommon returns the largest duration that is no outlier; 0 if there is none.
func (h *histogram) largestCommon() float64 {
	outliers := max(tailWeight, tailShare*h.weight)
	above := 0.0
	for i := bucketCount - 1; i >= 0; i-- {
		above += float64(h.weights[i])
		if above > outliers {
			return float64(h.sums[i]) / float64(h.weights[i])
		}
	}
	return 0
}

// expect returns the expected duration of a request.
func (h *histogram) expect(prior float64, now time.Time) float64 {
	w := h.weight * h.age(now)
	return (w*h.mean + priorWeight*prior) / (w + priorWeight)
}

// remaining returns how much longer a request is expected to take that has taken elapsed already:
// the mean excess of the durations above elapsed. A request that has taken longer than all others is
// expected to take as long again.
func (h *histogram) remaining(elapsed, prior float64, now time.Time) float64 {
	expected := h.expect(prior, now)
	weight := unseenWeight
	sum := unseenWeight * max(expected-elapsed, elapsed)
	for i, w := range h.weights {
		if w == 0 {
			continue
		}
		d := min(float64(h.sums[i]/w), h.limit)
		if d > elapsed {
			weight += float64(w)
			sum += float64(w) * (d - elapsed)
		}
	}
	return sum / weight
}
