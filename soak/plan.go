// Package soak runs the real balancers and sidecars as separate processes between stand-ins for
// callers, upstreams and the store. It injects faults from outside the processes and checks the
// product's promises, such as that no request runs twice, from what callers and upstreams observe.
package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Options configure a soak run.
type Options struct {
	// Seed determines the faults and their times.
	Seed uint64
	// Duration is how long callers send requests, including the fault-free time at the end.
	Duration  time.Duration
	Balancers int
	// Sidecars is the number of sidecars. Each one has its own upstream.
	Sidecars int
	// Boards is the number of callers that keep one flow open and send requests on it.
	Boards int
	// PowerLoss ends the plan with the simultaneous loss of all processes and upstreams while
	// an upstream is being replaced and the store is down.
	PowerLoss bool
	// Binary is the path of the program under test.
	Binary string
	// Dir is the directory for the settings and logs of the processes. Run creates it if needed.
	Dir string
}

const (
	// warmupTime is the fault-free time at the start of a run.
	warmupTime = 3 * time.Second
	// recoveryTime is how long after the end of the last fault requests may still fail.
	recoveryTime = 12 * time.Second
	// steadyTime is the time after recoveryTime in which every request must be answered.
	steadyTime = 3 * time.Second
	// maxProcesses is the largest number of balancers and sidecars of a run.
	maxProcesses = 300
	// meanFaultInterval is the mean time between the starts of two faults.
	meanFaultInterval = 700 * time.Millisecond
	// faultDurationRange is the difference between the longest and the shortest (200 ms) random
	// duration of a fault.
	faultDurationRange = 4 * time.Second
	// storeDownLead is how long before the power loss the store goes down.
	storeDownLead = time.Second
	// meanRestoreInterval is the mean time between the starts of two StoreRestored faults.
	meanRestoreInterval = 6 * time.Second
	// maxRestoreDuration is the longest time that the store is down before it is restored.
	maxRestoreDuration = 2 * time.Second
	// meanEvacuationInterval is the mean time between the starts of two DomainEvacuated faults.
	meanEvacuationInterval = 4 * time.Second
	// minEvacuationTime and maxEvacuationTime bound the time until an evacuation is taken back.
	minEvacuationTime, maxEvacuationTime = time.Second, 16 * time.Second
	// meanBurstInterval is the mean time between the starts of two CallersBurst faults.
	meanBurstInterval = 5 * time.Second
	// minBurstTime and maxBurstTime bound the duration of a burst.
	minBurstTime, maxBurstTime = time.Second, 4 * time.Second
)

// Defaults sets Duration, Balancers, Sidecars and Boards to their defaults where they are zero.
func (o *Options) Defaults() {
	o.Duration = cmp.Or(o.Duration, 30*time.Second)
	o.Balancers = cmp.Or(o.Balancers, 4)
	o.Sidecars = cmp.Or(o.Sidecars, 8)
	o.Boards = cmp.Or(o.Boards, 24)
}

// Validate returns an error that describes the first invalid option.
func (o *Options) Validate() error {
	switch {
	case o.Duration <= o.faultFreeTail()+warmupTime:
		return errors.Errorf("soak: a run of %v leaves no time for faults, it must be longer than %v", o.Duration, o.faultFreeTail()+warmupTime)
	case o.Balancers < 2 || o.Sidecars < 2*minUpstreamsPerService:
		return errors.Errorf("soak: %d balancers and %d sidecars, want at least 2 and %d", o.Balancers, o.Sidecars, 2*minUpstreamsPerService)
	case o.Balancers+o.Sidecars > maxProcesses:
		return errors.Errorf("soak: %d processes, want at most %d", o.Balancers+o.Sidecars, maxProcesses)
	}
	return nil
}

// faultFreeTail is the time without faults at the end of a run.
func (o *Options) faultFreeTail() time.Duration { return recoveryTime + steadyTime }

// allOptions reports whether the processes run with admission, placement by expected time and outlier
// detection, which settings turn on. They do with even seeds.
func (o *Options) allOptions() bool { return o.Seed%2 == 0 }

// FaultKind is a kind of fault or of planned maintenance. Its string appears in plans and reports.
type FaultKind string

// The kinds of faults and planned maintenance. Kinds that affect one process, upstream or
// network path apply to the one that Fault.Target selects. A killed or stopped process is started again.
const (
	BalancerKilled     FaultKind = "balancer-killed"           // SIGKILL
	BalancerStopped    FaultKind = "balancer-stopped"          // SIGTERM
	BalancerPaused     FaultKind = "balancer-paused"           // SIGSTOP, then SIGCONT
	BalancersInTurn    FaultKind = "balancers-stopped-in-turn" // SIGTERM to each balancer, one after the other
	SidecarKilled      FaultKind = "sidecar-killed"            // SIGKILL
	SidecarStopped     FaultKind = "sidecar-stopped"           // SIGTERM
	SidecarPaused      FaultKind = "sidecar-paused"            // SIGSTOP, then SIGCONT
	SidecarsInTurn     FaultKind = "sidecars-stopped-in-turn"  // SIGTERM to each sidecar, one after the other
	AllKilled          FaultKind = "all-killed"                // SIGKILL to all balancers and sidecars at the same time
	UpstreamReplaced   FaultKind = "upstream-replaced"         // the upstream sends heartbeats with the state leaving before it is replaced
	UpstreamCrashed    FaultKind = "upstream-crashed"          // the upstream is replaced without notice
	HeartbeatsCut      FaultKind = "heartbeats-cut"            // an upstream's heartbeats do not reach its sidecar
	StoreDown          FaultKind = "store-down"                // every call fails
	StoreSlow          FaultKind = "store-slow"                // every call is delayed
	StoreLosesAnswers  FaultKind = "store-loses-answers"       // some writes take effect, but are not answered
	StoreCompacted     FaultKind = "store-compacted"           // the store discards its history, so that watches from older revisions fail
	LeasesEnded        FaultKind = "leases-ended"              // all leases are revoked
	StoreCut           FaultKind = "store-cut-off"             // one process cannot reach the store
	StoreReset         FaultKind = "store-connections-reset"   // one process's connections to the store are reset
	StoreSilent        FaultKind = "store-connections-silent"  // one process's connections to the store carry no more data
	StoreAnswersSilent FaultKind = "store-answers-silent"      // one process's connections to the store carry no more answers
	PathLossy          FaultKind = "callers-path-lossy"        // packets between callers and one balancer are lost
	PathDelayed        FaultKind = "callers-path-delayed"      // packets between callers and one balancer are delayed
	PathCut            FaultKind = "callers-path-cut"          // no packets pass between callers and one balancer
	StoreRestored      FaultKind = "store-restored"            // the store is down, and comes back from an older copy
	RouteChanged       FaultKind = "route-changed"             // movingAddr is routed to the other service
	DomainEvacuated    FaultKind = "domain-evacuated"          // the operator evacuates a failure domain, and takes that back
	CallersBurst       FaultKind = "callers-burst"             // many more callers open flows to one service
	PowerLost          FaultKind = "power-lost"                // all processes and upstreams are killed at the same time
)

// faultWeights are the relative frequencies of the kinds in a plan. PowerLost is missing because
// it is never drawn: Options.PowerLoss adds it. restorations and operations add others.
var faultWeights = []struct {
	kind   FaultKind
	weight int
}{
	{BalancerKilled, 3},
	{BalancerStopped, 3},
	{BalancerPaused, 2},
	{BalancersInTurn, 1},
	{SidecarKilled, 3},
	{SidecarStopped, 3},
	{SidecarPaused, 2},
	{SidecarsInTurn, 1},
	{AllKilled, 1},
	{UpstreamReplaced, 3},
	{UpstreamCrashed, 2},
	{HeartbeatsCut, 1},
	{StoreDown, 1},
	{StoreSlow, 1},
	{StoreLosesAnswers, 1},
	{StoreCompacted, 1},
	{LeasesEnded, 1},
	{StoreCut, 2},
	{StoreReset, 1},
	{StoreSilent, 1},
	{StoreAnswersSilent, 1},
	{PathLossy, 1},
	{PathDelayed, 1},
	{PathCut, 1},
	{RouteChanged, 4},
}

// Fault is one fault or maintenance step in a plan.
type Fault struct {
	// At is when the fault starts, counted from the start of the run.
	At   time.Duration `json:"at"`
	Kind FaultKind     `json:"kind"`
	// Target, modulo the number of processes, upstreams or paths that the kind may affect, is the
	// index of the affected one.
	Target int `json:"target"`
	// Duration is how long the fault lasts. Kinds without a duration ignore it.
	Duration time.Duration `json:"for"`
}

// NewPlan returns the faults for o.Seed in the order of their starts. Faults may overlap.
func NewPlan(o *Options) []Fault {
	r := rand.New(rand.NewPCG(o.Seed, 0))
	var weightedKinds []FaultKind
	for _, w := range faultWeights {
		for range w.weight {
			weightedKinds = append(weightedKinds, w.kind)
		}
	}
	var plan []Fault
	end := o.Duration - o.faultFreeTail()
	for at := warmupTime; at < end; at += time.Duration(r.ExpFloat64() * float64(meanFaultInterval)) {
		f := Fault{At: at, Kind: weightedKinds[r.IntN(len(weightedKinds))], Target: r.IntN(1 << 16)}
		f.Duration = min(time.Duration(200+r.IntN(int(faultDurationRange/time.Millisecond)))*time.Millisecond, end-at)
		plan = append(plan, f)
	}
	plan = append(plan, restorations(o, end)...)
	plan = append(plan, operations(o, end)...)
	if o.PowerLoss {
		at := end - faultDurationRange/2
		plan = append(plan,
			Fault{At: at - leavingTime/2, Kind: UpstreamReplaced},
			Fault{At: at - storeDownLead, Kind: StoreDown, Duration: end - at + storeDownLead},
			Fault{At: at, Kind: PowerLost})
	}
	slices.SortStableFunc(plan, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return plan
}

// restorations returns the StoreRestored faults of a plan whose faults end at end.
func restorations(o *Options, end time.Duration) []Fault {
	return recurring(o, StoreRestored, 1, meanRestoreInterval, end-maxRestoreDuration, func(r *rand.Rand) time.Duration {
		return time.Duration(r.Int64N(int64(maxRestoreDuration - rewriteDelay)))
	})
}

// operations returns the DomainEvacuated and CallersBurst faults of a plan whose faults end at end.
func operations(o *Options, end time.Duration) []Fault {
	between := func(low, high time.Duration) func(*rand.Rand) time.Duration {
		return func(r *rand.Rand) time.Duration { return low + time.Duration(r.Int64N(int64(high-low))) }
	}
	plan := recurring(o, DomainEvacuated, 2, meanEvacuationInterval, end, between(minEvacuationTime, maxEvacuationTime))
	plan = append(plan, recurring(o, CallersBurst, 3, meanBurstInterval, end, between(minBurstTime, maxBurstTime))...)
	for i := range plan {
		plan[i].Duration = min(plan[i].Duration, end-plan[i].At)
	}
	return plan
}

// recurring returns faults of one kind that start before end. They have a generator of their own, so that
// a seed has the same other faults as before this kind was added.
func recurring(o *Options, kind FaultKind, generator uint64, meanInterval, end time.Duration, duration func(*rand.Rand) time.Duration) []Fault {
	r := rand.New(rand.NewPCG(o.Seed, generator))
	var plan []Fault
	next := func() time.Duration { return time.Duration(r.ExpFloat64() * float64(meanInterval)) }
	for at := warmupTime + next(); at < end; at += next() {
		plan = append(plan, Fault{At: at, Kind: kind, Target: r.IntN(1 << 16), Duration: duration(r)})
	}
	return plan
}
