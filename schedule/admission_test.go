package schedule

import (
	"testing"
	"time"
)

// With two slots, a request is late behind 1 s of work, and can't be answered behind 9 s. Time that
// the caller has waited counts. Work of higher priorities that goes on arriving takes its share.
func TestAdmission(t *testing.T) {
	now := time.Unix(1000, 0)
	const ms = time.Millisecond
	for _, tc := range []struct {
		soon, all, waited time.Duration
		higher            time.Duration // work of a higher priority, once for each second
		want              Decision
	}{
		{0, 0, 0, 0, Admit},
		{500 * ms, 9 * second, 0, 0, Refuse},
		{500 * ms, 7 * second, 0, 0, Admit},
		{second, 7 * second, 0, 0, AdmitLate},
		{500 * ms, 7 * second, 600 * ms, 0, Refuse},
		{0, 0, 300 * ms, 0, AdmitLate},
		{500 * ms, 5 * second, 0, second, Refuse},
		{0, 3 * second, 0, second, Admit},
	} {
		var a Admission
		for i := range 10 {
			o := Opening{Priority: 0, Timeout: time.Minute, Cost: tc.higher}
			a.Record(o, now.Add(time.Duration(i-10)*second))
		}
		o := Opening{Priority: 1, LatencyTarget: 300 * ms, Timeout: deadline, Cost: meanCost, Waited: tc.waited}
		if got := a.Decide(o, tc.soon, tc.all, 2, now); got != tc.want {
			t.Errorf("%+v: got %v", tc, got)
		}
	}
}
