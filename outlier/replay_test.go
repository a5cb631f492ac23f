package outlier

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	// normalTime is how long an upstream takes for a request, and overdue when a request without an
	// answer counts as failed.
	normalTime = 35 * time.Millisecond
	overdue    = 500 * time.Millisecond
	step       = 5 * time.Millisecond
)

// behavior says how an upstream handles a request: how long until the outcome is known, and whether it
// is an answer.
type behavior func(rng *rand.Rand) (took time.Duration, answered bool)

func good(*rand.Rand) (time.Duration, bool)        { return normalTime, true }
func silent(*rand.Rand) (time.Duration, bool)      { return overdue, false }
func slow(*rand.Rand) (time.Duration, bool)        { return 8 * normalTime, true }
func resetting(r *rand.Rand) (time.Duration, bool) { return normalTime, r.IntN(2) == 0 }
func oftenFine(r *rand.Rand) (time.Duration, bool) { return normalTime, r.IntN(10) > 0 }

// replay sends 20 requests a second per upstream to a service, each to one of the upstreams that are
// not blocked. Reports come every 250 ms.
type replay struct {
	now       time.Time
	rng       *rand.Rand
	members   []*Member
	recorders []Recorder
	behaviors []behavior
	outcomes  []outcome
	detect    bool
	// bad is the number of requests that failed or took longer than 4 times normalTime.
	bad     int
	changes []Change
}

// outcome is the outcome of a request that becomes known later.
type outcome struct {
	member   int
	at       time.Time
	took     time.Duration
	answered bool
}

func newReplay(n int, detect bool) *replay {
	r := &replay{now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(1, 2)), recorders: make([]Recorder, n), detect: detect}
	for range n {
		r.members = append(r.members, &Member{})
		r.behaviors = append(r.behaviors, good)
	}
	return r
}

// run replays the load for a time.
func (r *replay) run(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); r.now = r.now.Add(step) {
		if r.rng.Float64() < 20*float64(len(r.members))*step.Seconds() {
			r.send()
		}
		r.outcomes = slices.DeleteFunc(r.outcomes, func(o outcome) bool {
			if o.at.After(r.now) {
				return false
			}
			if o.answered {
				r.recorders[o.member].Answered(o.took, r.now)
			} else {
				r.recorders[o.member].Failed(r.now)
			}
			return true
		})
		if r.now.UnixMilli()%250 == 0 {
			r.report()
		}
	}
}

// send sends a request.
func (r *replay) send() {
	usable := make([]int, 0, len(r.members))
	for i, m := range r.members {
		if !m.Blocked() {
			usable = append(usable, i)
		}
	}
	i := usable[r.rng.IntN(len(usable))]
	r.members[i].Sent()
	took, answered := r.behaviors[i](r.rng)
	r.outcomes = append(r.outcomes, outcome{member: i, at: r.now.Add(took), took: took, answered: answered})
	if !answered || took > 4*normalTime {
		r.bad++
	}
}

// report passes the evidence on and compares the members.
func (r *replay) report() {
	for i, m := range r.members {
		m.Report(r.recorders[i].Evidence(r.now))
		m.SetAccepting(true)
	}
	if r.detect {
		r.changes = append(r.changes, Evaluate(r.members, 0, r.now)...)
	}
}

// out returns the members that are not in full use.
func (r *replay) out() []int {
	var list []int
	for i, m := range r.members {
		if m.out() {
			list = append(list, i)
		}
	}
	return list
}

// Three of ten upstreams turn bad for 10 s while their heartbeats stay fine: one answers nothing, one
// resets half of its requests, one is 8 times slower. Both ways to place flows see the same load.
func TestOutliersAreEjectedAndComeBack(t *testing.T) {
	bad := map[bool]int{}
	for _, detect := range []bool{false, true} {
		r := newReplay(10, detect)
		r.run(5 * time.Second)
		r.behaviors[0], r.behaviors[1], r.behaviors[2] = silent, resetting, slow
		r.run(3 * time.Second)
		if want := []int{0, 1, 2}; detect && !slices.Equal(r.out(), want) {
			t.Errorf("3 s after the fault %v are ejected, want %v", r.out(), want)
		}
		r.run(7 * time.Second)
		bad[detect] = r.bad
		r.behaviors[0], r.behaviors[1], r.behaviors[2] = good, good, good
		r.run(firstPause + 2*firstPause)
		if len(r.out()) > 0 {
			t.Errorf("%v are still ejected long after they recovered", r.out())
		}
		for _, c := range r.changes {
			if c.Member > 2 {
				t.Errorf("member %d was ejected, its behaviour is normal", c.Member)
			}
		}
	}
	t.Logf("failed or late without detection %d, with it %d", bad[false], bad[true])
	if bad[true] > bad[false]/3 {
		t.Errorf("%d requests failed or were late, %d without detection; want at most a third", bad[true], bad[false])
	}
}

// What is the same everywhere ejects nobody, nor do callers whose requests every upstream resets now and
// then. At most a third is ejected, and nobody of two.
func TestWhoStaysInUse(t *testing.T) {
	for _, tt := range []struct {
		name       string
		members    int
		bad        int
		behavior   behavior
		wantAtMost int
	}{
		{"all silent", 10, 10, silent, 0},
		{"all slow", 10, 10, slow, 0},
		{"all reset half", 10, 10, resetting, 0},
		{"all reset some, for the callers' fault", 10, 10, oftenFine, 0},
		{"four of ten silent", 10, 4, silent, 3},
		{"six of ten silent", 10, 6, silent, 3},
		{"one of two", 2, 1, silent, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r := newReplay(tt.members, true)
			r.run(3 * time.Second)
			for i := range tt.bad {
				r.behaviors[i] = tt.behavior
			}
			for range 40 {
				r.run(250 * time.Millisecond)
				if len(r.out()) > tt.wantAtMost {
					t.Fatalf("%v are ejected, want at most %d", r.out(), tt.wantAtMost)
				}
			}
		})
	}
}

// Whatever the reports say, and whichever members stop accepting flows, the panic threshold holds, and
// no member is out for good.
func TestPanicThreshold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := make([]*Member, rapid.IntRange(1, 12).Draw(t, "members"))
		for i := range members {
			members[i] = &Member{}
		}
		now := time.Unix(1000, 0)
		evaluate := func(e func() Evidence, accepting func() bool) {
			now = now.Add(250 * time.Millisecond)
			n, out := 0, 0
			for _, m := range members {
				m.Report(e())
				m.SetAccepting(accepting())
				if m.accepting {
					n++
				}
			}
			Evaluate(members, 0.5, now)
			for _, m := range members {
				m.Sent()
				if m.out() {
					out++
				}
				if !m.out() && m.accepting && m.Blocked() {
					t.Fatal("a member in full use is blocked")
				}
			}
			if out > n/ejectedDivisor {
				t.Fatalf("%d of %d members are ejected", out, n)
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "rounds") {
			evaluate(func() Evidence {
				return Evidence{
					Known:        rapid.IntRange(0, 4).Draw(t, "known") > 0,
					FailureShare: rapid.SampledFrom([]float64{0, 0, 0.2, 0.5, 1}).Draw(t, "failures"),
					AnswerTime:   time.Duration(rapid.SampledFrom([]int{0, 30, 30, 300}).Draw(t, "answer")) * time.Millisecond,
				}
			}, func() bool { return rapid.IntRange(0, 9).Draw(t, "accepting") > 0 })
		}
		fine := Evidence{Known: true, AnswerTime: 30 * time.Millisecond}
		for range int(2*maxPause/(250*time.Millisecond)) + 1 {
			evaluate(func() Evidence { return fine }, func() bool { return true })
		}
		for i, m := range members {
			if m.out() && len(members) >= minCompared {
				t.Fatalf("member %d is out though it has been fine for %v", i, 2*maxPause)
			}
		}
	})
}

// An upstream that falls silent gets only as many requests as it has slots, so two or three failures
// have to show against hundreds of answers. Two failures between answers do not.
func TestEarlierAnswersDoNotHideSilence(t *testing.T) {
	for _, tt := range []struct {
		gap  time.Duration
		want bool
	}{{time.Second, true}, {40 * time.Millisecond, false}} {
		var r Recorder
		now := time.Unix(1000, 0)
		for range 500 {
			r.Answered(normalTime, now)
			now = now.Add(10 * time.Millisecond)
		}
		now = now.Add(tt.gap)
		r.Failed(now)
		r.Failed(now)
		e, median := r.Evidence(now), Evidence{Known: true}
		if got := e.worse(&median, failureMargin); got != tt.want {
			t.Errorf("two failures %v after the last answer: worse %v, want %v (%+v)", tt.gap, got, tt.want, e)
		}
	}
}
