package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"greengagedyke/standin/upstream"
)

// Kind is a kind of request.
type Kind string

// The kinds of requests.
const (
	KindShort    Kind = "short"
	KindSwap     Kind = "swap"
	KindDownload Kind = "download"
)

// Count is what became of the requests of one kind.
type Count struct {
	Sent     int `json:"sent"`
	Answered int `json:"answered"`
	NotRun   int `json:"not-run"`
	Unknown  int `json:"unknown"`
	// Cut counts answers that the caller saw to be incomplete.
	Cut int `json:"cut"`
	// Lost counts requests without any outcome, repeats included.
	Lost int `json:"lost"`
	// Late counts answers after the deadline.
	Late int `json:"late"`
	// Wrong counts answers that were not the caller's own or not whole.
	Wrong int `json:"wrong"`
	// P50 and P99 are latencies of answered requests.
	P50 time.Duration `json:"p50"`
	P99 time.Duration `json:"p99"`
}

// Result is what the callers saw.
type Result struct {
	Feeds       int             `json:"feeds"`
	BrokenFeeds int             `json:"broken-feeds"`
	WrongFeeds  int             `json:"wrong-service-feeds"`
	Counts      map[Kind]*Count `json:"counts"`
	// WrongService counts answers from another service's upstream.
	WrongService int `json:"wrong-service"`
	// Reasons count the reasons that refused requests were given.
	Reasons map[string]int `json:"reasons"`
}

// recorder collects what the callers see.
type recorder struct {
	mu       sync.Mutex
	result   Result
	total    *tally
	outcomes map[string]outcome // of swaps, by key
	// since counts the requests that were sent after the last mark.
	since *tally
}

// tally counts requests from a moment on.
type tally struct {
	counts     map[Kind]*Count
	histograms map[Kind]*hdrhistogram.Histogram
}

func newTally() *tally {
	t := &tally{counts: map[Kind]*Count{}, histograms: map[Kind]*hdrhistogram.Histogram{}}
	for _, k := range []Kind{KindShort, KindSwap, KindDownload} {
		t.counts[k] = &Count{}
		t.histograms[k] = hdrhistogram.New(1, maxLatencyMicros, histogramAccuracy)
	}
	return t
}

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

func (t *tally) ended(k Kind, o outcome, latency, deadline time.Duration) {
	c := t.counts[k]
	switch o {
	case outcomeAnswered:
		c.Answered++
		if latency > deadline {
			c.Late++
		}
		// A value above the range is recorded as the largest one.
		_ = t.histograms[k].RecordValue(min(latency.Microseconds(), maxLatencyMicros))
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

// outcome is what a caller was told of a request.
type outcome string

const (
	outcomeAnswered outcome = "answered"
	outcomeNotRun   outcome = "not-run"
	outcomeUnknown  outcome = "unknown"
	outcomeCut      outcome = "cut"
	outcomeLost     outcome = "lost"
	outcomeWrong    outcome = "wrong"
)

const (
	maxLatencyMicros  = 60_000_000
	histogramAccuracy = 3
)

func newRecorder() *recorder {
	return &recorder{
		result:   Result{Reasons: map[string]int{}},
		total:    newTally(),
		since:    newTally(),
		outcomes: map[string]outcome{},
	}
}

// sent counts a request and returns the tally of the mark that it belongs to.
func (r *recorder) sent(k Kind) *tally {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total.counts[k].Sent++
	r.since.counts[k].Sent++
	return r.since
}

func (r *recorder) ended(k Kind, key string, t tried, since *tally, latency, deadline time.Duration) {
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
	r.total.ended(k, t.outcome, latency, deadline)
	since.ended(k, t.outcome, latency, deadline)
}

func (r *recorder) snapshot() Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	result := r.result
	result.Counts = r.total.snapshot()
	return result
}

// Mark begins a new count of requests.
func (l *Load) Mark() {
	l.recorder.mu.Lock()
	defer l.recorder.mu.Unlock()
	l.recorder.since = newTally()
}

// SinceMark is what became of the requests that were sent since the last mark.
func (l *Load) SinceMark() Result {
	l.recorder.mu.Lock()
	defer l.recorder.mu.Unlock()
	return Result{Counts: l.recorder.since.snapshot()}
}

// Violations counts the promises that were broken, from the callers' and the
// upstreams' own records.
type Violations struct {
	// Flows counts feeds that ended or lost an event.
	Flows int `json:"broken-flows"`
	// Lost counts requests without an outcome, and answered swaps that no upstream ran.
	Lost int `json:"lost"`
	// RunTwice counts keys that were run more than once.
	RunTwice int `json:"run-twice"`
	// WrongService counts requests that reached another service's upstream.
	WrongService int `json:"wrong-service"`
	// FalseNotRun counts swaps that ran although the caller was told that they did not.
	FalseNotRun int `json:"false-not-run"`
	// WrongAnswer counts answers that were not the caller's own or not whole.
	WrongAnswer int `json:"wrong-answer"`
}

// Any reports whether a promise was broken.
func (b Violations) Any() bool { return b != (Violations{}) }

// Add adds the counts of another service.
func (b *Violations) Add(o Violations) {
	b.Flows += o.Flows
	b.Lost += o.Lost
	b.RunTwice += o.RunTwice
	b.WrongService += o.WrongService
	b.FalseNotRun += o.FalseNotRun
	b.WrongAnswer += o.WrongAnswer
}

// Compare compares what the callers saw with what the upstreams ran.
func (l *Load) Compare(audits []upstream.Audit) Violations {
	r := l.recorder
	result := r.snapshot()
	b := Violations{Flows: result.BrokenFeeds, WrongService: result.WrongService + result.WrongFeeds}
	runs := map[string]int{}
	for _, a := range audits {
		b.WrongService += a.WrongService
		for _, run := range a.Runs {
			runs[run.Key] += run.Runs
		}
	}
	for _, n := range runs {
		if n > 1 {
			b.RunTwice++
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, o := range r.outcomes {
		if o == outcomeNotRun && runs[key] > 0 {
			b.FalseNotRun++
		}
		if o == outcomeAnswered && runs[key] == 0 {
			b.Lost++
		}
	}
	for _, c := range result.Counts {
		b.Lost += c.Lost
		b.WrongAnswer += c.Wrong
	}
	return b
}
