// Package outlier finds upstreams that are worse than they say: their heartbeats and health checks are
// fine, but they are slow, silent, or reset flows. Evidence comes only from requests: it is recorded
// where all packets of an upstream pass, compared with that of the other upstreams of the service, and
// loses its weight with time. An outlier gets no new flows until a trial shows that it serves again.
// The package does no I/O and reads no clock.
package outlier

import (
	"math"
	"time"
)

const (
	// halfLife is the time in which an outcome loses half of its weight.
	halfLife = time.Second
	// priorOutcomes is the weight, in outcomes, of the assumption that requests succeed.
	priorOutcomes = 3.5
	// knownOutcomes is the weight of recent outcomes from which on they count as evidence.
	knownOutcomes = 1.0
	// After silentFailures failures without an answer in between, and silentAfter without an answer,
	// earlier answers no longer count.
	silentFailures = 2
	silentAfter    = 500 * time.Millisecond
)

// Evidence describes the recent outcomes of an upstream's requests.
type Evidence struct {
	// Known is set if there were enough outcomes.
	Known bool
	// FailureShare is the share of requests and opening packets that failed, from 0 to 1.
	FailureShare float64
	// AnswerTime is the mean time from a request to the first byte of its answer; 0 if unknown.
	AnswerTime time.Duration
}

// Recorder records the outcomes of the requests that an upstream gets. It is made for upstreams that
// stop answering from one moment to the next, which thousands of earlier answers must not hide, and
// for those that fail or delay only a part of their requests. Its zero value has no outcomes.
type Recorder struct {
	// answered, timed and failed are the weights of the answers, of the answers with a time, and of the
	// failures. times is the weighted sum of those times. All are of the time updated.
	answered, timed, failed float64
	times                   time.Duration
	updated                 time.Time
	// inRow is the number of failures since the last answer, at answeredAt.
	inRow      int
	answeredAt time.Time
}

// age reduces all weights to those at a time.
func (r *Recorder) age(now time.Time) {
	keep := math.Exp2(-max(0, now.Sub(r.updated).Seconds()) / halfLife.Seconds())
	r.answered *= keep
	r.timed *= keep
	r.failed *= keep
	r.times = time.Duration(float64(r.times) * keep)
	r.updated = now
}

// Answered records that a request was answered. took is the time to the first byte; 0 if it says
// nothing about the upstream.
func (r *Recorder) Answered(took time.Duration, now time.Time) {
	r.age(now)
	r.inRow = 0
	r.answeredAt = now
	r.answered++
	if took > 0 {
		r.timed++
		r.times += took
	}
}

// Failed records that a request or an opening packet was reset without an answer, or is without an
// answer for long. A request that stays without one is recorded again from time to time.
func (r *Recorder) Failed(now time.Time) {
	r.age(now)
	r.inRow++
	r.failed++
	if r.inRow >= silentFailures && now.Sub(r.answeredAt) >= silentAfter {
		r.answered = 0
	}
}

// Evidence returns what the recent outcomes show.
func (r *Recorder) Evidence(now time.Time) Evidence {
	r.age(now)
	outcomes := r.answered + r.failed
	if outcomes < knownOutcomes {
		return Evidence{}
	}
	e := Evidence{Known: true, FailureShare: r.failed / (outcomes + priorOutcomes)}
	if r.timed >= knownOutcomes {
		e.AnswerTime = time.Duration(float64(r.times) / r.timed)
	}
	return e
}
