// Package soak runs the real programs as separate processes between stand-ins, injects
// faults from outside them, and checks the promises from what callers and upstreams see.
package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Options describe a soak.
type Options struct {
	// Seed decides the faults and their times.
	Seed uint64
	// For is how long callers are served; the end of it stays without faults.
	For       time.Duration
	Balancers int
	// Sidecars is the number of sidecars, each with an upstream.
	Sidecars int
	// Boards is the number of callers that keep a flow open.
	Boards int
	// PowerLoss ends the faults of each plan with the loss of all processes and upstreams,
	// while an upstream is replaced and the store is away.
	PowerLoss bool
	// Binary is the program under test.
	Binary string
	// Dir gets the settings and the logs of the processes.
	Dir string
}

const (
	// warmup is the time without faults at the start, recovery the one after the last fault
	// until all callers are served.
	warmup   = 3 * time.Second
	recovery = 12 * time.Second
	// observed is the time after the recovery in which all callers must be served.
	observed = 3 * time.Second
	// maxProcesses bounds the processes of one soak.
	maxProcesses = 300
	// faultGap is the mean time between faults.
	faultGap = 700 * time.Millisecond
	maxFault = 4 * time.Second
	// storeAwayBefore is how long before the loss of power the store is away.
	storeAwayBefore = time.Second
)

// Defaults sets what was left out.
func (o *Options) Defaults() {
	o.For = cmp.Or(o.For, 30*time.Second)
	o.Balancers = cmp.Or(o.Balancers, 4)
	o.Sidecars = cmp.Or(o.Sidecars, 8)
	o.Boards = cmp.Or(o.Boards, 24)
}

// Validate returns an error that names the first option with a wrong value.
func (o *Options) Validate() error {
	switch {
	case o.For <= o.calm()+warmup:
		return errors.Errorf("soak: a run of %v leaves no time for faults, it takes more than %v", o.For, o.calm()+warmup)
	case o.Balancers < 2 || o.Sidecars < 2*minUpstreams:
		return errors.Errorf("soak: at least 2 balancers and %d sidecars are needed", 2*minUpstreams)
	case o.Balancers+o.Sidecars > maxProcesses:
		return errors.Errorf("soak: at most %d processes", maxProcesses)
	}
	return nil
}

// calm is the time without faults at the end.
func (o *Options) calm() time.Duration { return recovery + observed }

// FaultKind is a kind of fault or planned work.
type FaultKind string

// The kinds of faults and planned work.
const (
	BalancerKilled   FaultKind = "balancer-killed"
	BalancerStopped  FaultKind = "balancer-stopped"
	BalancerPaused   FaultKind = "balancer-paused"
	BalancersInTurn  FaultKind = "balancers-stopped-in-turn"
	SidecarKilled    FaultKind = "sidecar-killed"
	SidecarStopped   FaultKind = "sidecar-stopped"
	SidecarPaused    FaultKind = "sidecar-paused"
	SidecarsInTurn   FaultKind = "sidecars-stopped-in-turn"
	AllKilled        FaultKind = "all-killed"
	UpstreamReplaced FaultKind = "upstream-replaced"
	UpstreamCrashed  FaultKind = "upstream-crashed"
	HeartbeatsCut    FaultKind = "heartbeats-cut"
	StoreDown        FaultKind = "store-down"
	StoreSlow        FaultKind = "store-slow"
	StoreLossy       FaultKind = "store-loses-answers"
	StoreCompacted   FaultKind = "store-compacted"
	LeasesEnded      FaultKind = "leases-ended"
	StoreCut         FaultKind = "store-cut-off"
	StoreReset       FaultKind = "store-connections-reset"
	StoreSilent      FaultKind = "store-connections-silent"
	StoreOneWay      FaultKind = "store-answers-silent"
	PathLossy        FaultKind = "callers-path-lossy"
	PathDelayed      FaultKind = "callers-path-delayed"
	PathCut          FaultKind = "callers-path-cut"
	RouteChanged     FaultKind = "route-changed"
	PowerLost        FaultKind = "power-lost"
)

// weights say how often a kind is drawn.
var weights = []struct {
	kind FaultKind
	n    int
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
	{StoreLossy, 1},
	{StoreCompacted, 1},
	{LeasesEnded, 1},
	{StoreCut, 2},
	{StoreReset, 1},
	{StoreSilent, 1},
	{StoreOneWay, 1},
	{PathLossy, 1},
	{PathDelayed, 1},
	{PathCut, 1},
	{RouteChanged, 4},
}

// Fault is something that is done to the system at a time.
type Fault struct {
	At     time.Duration `json:"at"`
	Kind   FaultKind     `json:"kind"`
	Target int           `json:"target"`
	For    time.Duration `json:"for"`
}

// NewPlan draws the faults of a seed. They overlap.
func NewPlan(o *Options) []Fault {
	r := rand.New(rand.NewPCG(o.Seed, 0))
	var deck []FaultKind
	for _, w := range weights {
		for range w.n {
			deck = append(deck, w.kind)
		}
	}
	var plan []Fault
	end := o.For - o.calm()
	for at := warmup; at < end; at += time.Duration(r.ExpFloat64() * float64(faultGap)) {
		f := Fault{At: at, Kind: deck[r.IntN(len(deck))], Target: r.IntN(1 << 16)}
		f.For = min(time.Duration(200+r.IntN(int(maxFault/time.Millisecond)))*time.Millisecond, end-at)
		plan = append(plan, f)
	}
	if o.PowerLoss {
		at := end - maxFault/2
		plan = append(plan,
			Fault{At: at - leaveTime/2, Kind: UpstreamReplaced},
			Fault{At: at - storeAwayBefore, Kind: StoreDown, For: end - at + storeAwayBefore},
			Fault{At: at, Kind: PowerLost})
	}
	slices.SortStableFunc(plan, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return plan
}
