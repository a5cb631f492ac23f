package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"greengagedyke/flow"
	"greengagedyke/standin/flowtest"
)

// The seed and duration of the soak in TestSoak. Longer soaks are run with the standins command.
const (
	ciSeed     = 8
	ciDuration = 24 * time.Second
)

// buildBinary builds the program under test and returns its path.
func buildBinary(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "greengagedyke")
	if out, err := exec.Command("go", "build", "-o", binary, "greengagedyke/cmd/greengagedyke").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return binary
}

// A short soak that ends with a power loss breaks no promise and saves its report.
func TestSoak(t *testing.T) {
	o := &Options{Seed: ciSeed, Duration: ciDuration, PowerLoss: true, Binary: buildBinary(t), Dir: t.TempDir()}
	o.Defaults()
	r, err := Run(t.Context(), o)
	if err != nil {
		t.Fatal(err)
	}
	var text strings.Builder
	if err := r.WriteText(&text); err != nil {
		t.Fatal(err)
	}
	t.Log(text.String())
	if len(r.Violations) > 0 {
		t.Errorf("got %d violations, want none: %v", len(r.Violations), r.Violations)
	}
	if err := r.Save(o.Dir); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"report.json", "service.svg"} {
		if _, err := os.Stat(filepath.Join(o.Dir, name)); err != nil {
			t.Error(err)
		}
	}
}

// The same seed gives the same plan, and all faults lie between the warm-up and the fault-free
// end of the run.
func TestPlan(t *testing.T) {
	o := &Options{Seed: 5, Duration: time.Minute}
	o.Defaults()
	plan := NewPlan(o)
	if !reflect.DeepEqual(plan, NewPlan(o)) {
		t.Errorf("got different plans for seed %d, want the same", o.Seed)
	}
	if len(plan) < 10 {
		t.Errorf("got %d faults, want at least 10", len(plan))
	}
	o.PowerLoss = true
	for _, f := range append(plan, NewPlan(o)...) {
		if f.At < warmupTime || f.At+f.Duration > o.Duration-o.faultFreeTail() {
			t.Errorf("got fault %+v, want it between %v and %v", f, warmupTime, o.Duration-o.faultFreeTail())
		}
	}
}

// Validate rejects a run that is too short, and too few or too many processes.
func TestOptions(t *testing.T) {
	for _, o := range []Options{
		{Duration: time.Second, Balancers: 4, Sidecars: 8},
		{Duration: time.Minute, Balancers: 1, Sidecars: 8},
		{Duration: time.Minute, Balancers: 200, Sidecars: 200},
	} {
		if o.Validate() == nil {
			t.Errorf("Validate accepted %+v, want an error", o)
		}
	}
}

// moved returns a request to movingAddr whose flow opened soon after it was sent.
func moved(name string, sentAt time.Time, balancer, incarnation int) moveRequest {
	return moveRequest{name, sentAt, sentAt.Add(10 * time.Millisecond), balancer, incarnation}
}

// checkRuns, checkInForce and checkNeverBack report the violations that they check for, and none
// for correct runs.
func TestChecks(t *testing.T) {
	startedAt := time.Unix(100, 0)
	at := func(s float64) time.Time { return startedAt.Add(time.Duration(s * float64(time.Second))) }
	for _, tt := range []struct {
		name  string
		moves []moveRequest
		runs  map[string]runRecord
		want  string
	}{
		{"no violation", []moveRequest{moved("move-1", at(1), 0, 1), moved("move-2", at(12), 0, 1)}, map[string]runRecord{"move-1": {1, coreService}, "move-2": {1, sheetService}}, ""},
		{"ran twice", nil, map[string]runRecord{"swap-1": {2, coreService}}, "at-most-once"},
		{"never sent", nil, map[string]runRecord{"swap-9": {1, coreService}}, "only-what-was-sent"},
		{"wrong service", nil, map[string]runRecord{"sheet-1": {1, coreService}}, "right-service"},
		{"new configuration not in force", []moveRequest{moved("move-1", at(30), 0, 1)}, map[string]runRecord{"move-1": {1, coreService}}, "in-force"},
		{"back to an older configuration", []moveRequest{moved("move-1", at(11), 0, 1), moved("move-2", at(12), 0, 1)}, map[string]runRecord{"move-1": {1, sheetService}, "move-2": {1, coreService}}, "never-back"},
		{"opened late by a retransmission", []moveRequest{{"move-1", at(9), at(11), 0, 1}, moved("move-2", at(9.5), 0, 1)}, map[string]runRecord{"move-1": {1, sheetService}, "move-2": {1, coreService}}, ""},
		{"another process uses an older configuration", []moveRequest{moved("move-1", at(11), 0, 1), moved("move-2", at(12), 0, 2)}, map[string]runRecord{"move-1": {1, sheetService}, "move-2": {1, coreService}}, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := &site{recorder: &recorder{startedAt: startedAt}, configurations: []configuration{{1, coreService, startedAt, startedAt}, {4, sheetService, at(10), at(10)}}}
			l := &workload{site: s, moveRequests: tt.moves, sentRequests: map[string]bool{"move-1": true, "move-2": true, "swap-1": true, "sheet-1": true}}
			l.checkRuns(tt.runs)
			l.checkInForce(tt.runs, at(15))
			l.checkNeverBack(tt.runs)
			got := ""
			if len(s.recorder.violations) > 0 {
				got = s.recorder.violations[0].Promise
			}
			if got != tt.want || len(s.recorder.violations) > 1 {
				t.Errorf("got violations %v, want promise %q", s.recorder.violations, tt.want)
			}
		})
	}
}

// The check of opening packets finds a refused flow that an upstream got, a warming upstream that gets
// too many, and a flow that opens in an evacuated failure domain. It allows for a fault of the store
// and for processes that were started a short time before.
func TestCheckOpenings(t *testing.T) {
	at := func(seconds float64) time.Time { return time.Unix(1000, 0).Add(time.Duration(seconds * 1e9)) }
	key := flow.NewKey(sheetAddr, boardAddr)
	burst := func(n int, warming bool) (list []flowtest.Opening) {
		for i := range n {
			list = append(list, flowtest.Opening{At: at(1 + float64(i)/20), WarmingUp: warming})
		}
		return list
	}
	opened := func(seconds float64) []flowtest.Opening {
		return []flowtest.Opening{{At: at(seconds), Key: key, New: true}}
	}
	none, one := []time.Time(nil), []time.Time{at(14)}
	for _, tt := range []struct {
		name              string
		openings          []flowtest.Opening
		refused           int
		balancer, sidecar []time.Time
		want              string
	}{
		{"refused and opened", opened(1), 1, none, none, "refusal"},
		{"a copy was refused", opened(1), 2, none, none, ""},
		{"warming, at the limit", burst(warmupLimit, true), 0, none, none, ""},
		{"warming, above the limit", burst(warmupLimit+1, true), 0, none, none, "warm-up-rate"},
		{"warm", burst(warmupLimit+1, false), 0, none, none, ""},
		{"soon after the store came back", opened(16), 0, none, none, ""},
		{"evacuated", opened(17.1), 0, none, none, "evacuation"},
		{"evacuated, sidecar started", opened(17.1), 0, none, one, "evacuation"},
		{"evacuated, both started", opened(17.1), 0, one, one, ""},
		{"taken back", opened(20.1), 0, none, none, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := &site{recorder: &recorder{startedAt: at(0)}, balancers: []*balancerProcess{{process: &process{interruptions: tt.balancer}}}}
			s.evacuations = []evacuation{{domainName(1), at(1), at(2)}, {domainName(0), at(10), at(20)}}
			s.storeFaults = []span{{at(11), at(12)}, {at(18), at(19)}}
			l := &workload{site: s, refused: map[flow.Key]int{key: tt.refused}}
			l.checkOpenings(&sidecarProcess{process: &process{interruptions: tt.sidecar}, failureDomain: domainName(0)}, tt.openings, func(flow.Key) bool { return false })
			got := ""
			if len(s.recorder.violations) > 0 {
				got = s.recorder.violations[0].Promise
			}
			if got != tt.want || len(s.recorder.violations) > 1 {
				t.Errorf("got violations %v, want promise %q", s.recorder.violations, tt.want)
			}
		})
	}
}
