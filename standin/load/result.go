package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"greengagedyke/standin/upstream"
)

// Kind is a kind of request that is sent at random times. Feeds, the long-lived streams of events that
// Options.Feeds counts, are not among them.
type Kind string

// The kinds of requests.
const (
	// KindShort is a GET of a short answer.
	KindShort Kind = "short"
	// KindSwap is a write (POST) with an idempotency key, so that a repeat of it must not run again.
	KindSwap Kind = "swap"
	// KindDownload is a GET of a long answer, of upstream.DownloadSize bytes.
	KindDownload Kind = "download"
)

// Count holds the results of the requests of one kind. A request that was repeated counts once, by
// the result of its last attempt.
type Count struct {
	Sent     int `json:"sent"`
	Answered int `json:"answered"`
	// NotRun counts requests that were refused with the outcome not-run.
	NotRun int `json:"not-run"`
	// Unknown counts requests that were refused with the outcome unknown: they may have run.
	Unknown int `json:"unknown"`
	// Cut counts answers that ended early with an error.
	Cut int `json:"cut"`
	// Lost counts requests without an answer, or with an unexpected Request-Outcome.
	Lost int `json:"lost"`
	// Late counts answered requests whose answer came after the deadline.
	Late int `json:"late"`
	// Wrong counts complete answers with an unexpected status or body.
	Wrong int `json:"wrong"`
	// P50 is the median latency of answered requests, from the start of the first attempt to the end
	// of the last attempt's answer.
	P50 time.Duration `json:"p50"`
	// P99 is the 99th percentile of the same latency.
	P99 time.Duration `json:"p99"`
}

// Result holds the callers' results.
type Result struct {
	// Feeds counts the feeds that have ended.
	Feeds int `json:"feeds"`
	// BrokenFeeds counts feeds that failed to open, ended early, skipped an event, or had a gap
	// longer than Options.FeedGap, all before their caller closed them.
	BrokenFeeds int `json:"broken-feeds"`
	// WrongServiceFeeds counts feeds that an upstream of another service answered.
	WrongServiceFeeds int             `json:"wrong-service-feeds"`
	Counts            map[Kind]*Count `json:"counts"`
	// WrongService counts requests that an upstream of another service answered.
	WrongService int `json:"wrong-service"`
	// Reasons counts the requests without a correct answer. Its keys have the form "KIND: REASON".
	Reasons map[string]int `json:"reasons"`
}

// recorder collects the callers' results. It is safe for concurrent use.
type recorder struct {
	mu sync.Mutex
	// result holds the fields of the result except Counts, which snapshot takes from total.
	result   Result
	total    *tally             // of all requests
	outcomes map[string]outcome // of swaps, by idempotency key
	// sinceMark counts the requests that were sent since the last call of Load.Mark.
	sinceMark *tally
}

// tally holds the counts of a set of requests and the histograms of their latencies in microseconds.
type tally struct {
	counts     map[Kind]*Count
	histograms map[Kind]*hdrhistogram.Histogram
}

func newTally() *tally {
	t := &tally{counts: map[Kind]*Count{}, histograms: map[Kind]*hdrhistogram.Histogram{}}
	for _, k := range []Kind{KindShort, KindSwap, KindDownload} {
		t.counts[k] = &Count{}
		t.histograms[k] = hdrhistogram.New(1, maxLatencyMicroseconds, histogramSignificantFigures)
	}
	return t
}

// snapshot returns a copy of the counts and fills in their P50 and P99.
func (t *tally) snapshot() map[Kind]*Count {
	counts := map[Kind]*Count{}
	for k, c := range t.counts {
		copied := *c
		copied.P50 = time.Duration(t.histograms[k].ValueAtQuantile(50)) * time.Microsecond
		copied.P99 = time.Duration(t.histograms[k].ValueAtQuantile(99)) * time.Microsecond
		counts[k] = &copied
	}
	return counts
}

// countOutcome counts a request that has ended, and records its latency if it was answered.
func (t *tally) countOutcome(k Kind, o outcome, latency, deadline time.Duration) {
	c := t.counts[k]
	switch o {
	case outcomeAnswered:
		c.Answered++
		if latency > deadline {
			c.Late++
		}
		// A value above the range is recorded as the largest one.
		_ = t.histograms[k].RecordValue(min(latency.Microseconds(), maxLatencyMicroseconds))
	case outcomeNotRun:
		c.NotRun++
	case outcomeUnknown:
		c.Unknown++
	case outcomeCut:
		c.Cut++
	case outcomeWrong:
		c.Wrong++
	default:
		c.Lost++
	}
}

// outcome is the result of a request as its caller sees it. If an answer has the Request-Outcome
// header, the outcome is the value of that header.
type outcome string

const (
	outcomeAnswered outcome = "answered"
	outcomeNotRun   outcome = "not-run" // refused, and no upstream ran it
	outcomeUnknown  outcome = "unknown" // refused, but an upstream may have run it
	outcomeCut      outcome = "cut"     // the answer ended early with an error
	outcomeLost     outcome = "lost"    // no answer
	outcomeWrong    outcome = "wrong"   // unexpected status or body
)

// The range and precision of the latency histograms.
const (
	maxLatencyMicroseconds      = 60_000_000
	histogramSignificantFigures = 3
)

func newRecorder() *recorder {
	return &recorder{
		result:    Result{Reasons: map[string]int{}},
		total:     newTally(),
		sinceMark: newTally(),
		outcomes:  map[string]outcome{},
	}
}

// recordSent counts a request that is about to be sent. It returns the current sinceMark, which the
// caller passes to recordResult, so that the result is counted in the same tally even if Load.Mark is
// called before the request ends.
func (r *recorder) recordSent(k Kind) *tally {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total.counts[k].Sent++
	r.sinceMark.counts[k].Sent++
	return r.sinceMark
}

// recordResult records the result t of a request's last attempt. Key is the idempotency key of a swap
// and empty otherwise; markTally is the tally that recordSent returned.
func (r *recorder) recordResult(k Kind, key string, t attemptResult, markTally *tally, latency, deadline time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.reason != "" {
		r.result.Reasons[string(k)+": "+t.reason]++
	}
	if t.wrongService {
		r.result.WrongService++
	}
	if key != "" {
		r.outcomes[key] = t.outcome
	}
	r.total.countOutcome(k, t.outcome, latency, deadline)
	markTally.countOutcome(k, t.outcome, latency, deadline)
}

// snapshot returns the results so far.
func (r *recorder) snapshot() Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	result := r.result
	result.Counts = r.total.snapshot()
	return result
}

// Mark makes SinceMark count only the requests that are sent from now on.
func (l *Load) Mark() {
	l.recorder.mu.Lock()
	defer l.recorder.mu.Unlock()
	l.recorder.sinceMark = newTally()
}

// SinceMark returns the Counts of the requests that were sent since the last call of Mark, or since
// the start before the first call. The other fields of the result are zero.
func (l *Load) SinceMark() Result {
	l.recorder.mu.Lock()
	defer l.recorder.mu.Unlock()
	return Result{Counts: l.recorder.sinceMark.snapshot()}
}

// Violations counts the promises of the product that were broken, as Load.Compare detects them.
type Violations struct {
	// BrokenFlows is Result.BrokenFeeds.
	BrokenFlows int `json:"broken-flows"`
	// Lost is the sum of Count.Lost over all kinds, plus the answered swaps that no upstream ran.
	Lost int `json:"lost"`
	// RunTwice counts idempotency keys that ran more than once.
	RunTwice int `json:"run-twice"`
	// WrongService counts requests and feeds that reached an upstream of another service. One request
	// counts twice if both its caller and that upstream recorded it.
	WrongService int `json:"wrong-service"`
	// FalseNotRun counts swaps that ran although their caller got the outcome not-run.
	FalseNotRun int `json:"false-not-run"`
	// WrongAnswer counts complete answers with an unexpected status or body.
	WrongAnswer int `json:"wrong-answer"`
}

// Any reports whether any promise was broken.
func (v Violations) Any() bool { return v != (Violations{}) }

// Add adds the counts of another service.
func (v *Violations) Add(o Violations) {
	v.BrokenFlows += o.BrokenFlows
	v.Lost += o.Lost
	v.RunTwice += o.RunTwice
	v.WrongService += o.WrongService
	v.FalseNotRun += o.FalseNotRun
	v.WrongAnswer += o.WrongAnswer
}

// Compare returns the promises that were broken, by a comparison of the callers' results with the
// audits of all upstreams.
func (l *Load) Compare(audits []upstream.Audit) Violations {
	r := l.recorder
	result := r.snapshot()
	v := Violations{BrokenFlows: result.BrokenFeeds, WrongService: result.WrongService + result.WrongServiceFeeds}
	runs := map[string]int{}
	for _, a := range audits {
		v.WrongService += a.WrongService
		for _, run := range a.Runs {
			runs[run.Key] += run.Runs
		}
	}
	for _, n := range runs {
		if n > 1 {
			v.RunTwice++
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, o := range r.outcomes {
		if o == outcomeNotRun && runs[key] > 0 {
			v.FalseNotRun++
		}
		if o == outcomeAnswered && runs[key] == 0 {
			v.Lost++
		}
	}
	for _, c := range result.Counts {
		v.Lost += c.Lost
		v.WrongAnswer += c.Wrong
	}
	return v
}
