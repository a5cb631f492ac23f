package soak

import (
	"context"
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"

	"greengagedyke/flow"
)

// Report is the result of a soak run. It is saved as report.json.
type Report struct {
	Seed       uint64         `json:"seed"`
	Duration   time.Duration  `json:"for"`
	Processes  int            `json:"processes"`
	Violations []Violation    `json:"violations"`
	Plan       []Fault        `json:"plan"`
	Seconds    []SecondCounts `json:"seconds"`
	// Resets is the number of opened flows, except those to movingAddr, that were reset.
	Resets int `json:"resets"`
	// Refused is the number of flows that were refused at an opening packet.
	Refused int `json:"refused"`
}

const (
	// readyTimeout is how long awaitReady waits until all service addresses are served.
	readyTimeout      = 20 * time.Second
	readyPollInterval = 50 * time.Millisecond
)

// Run starts a site, injects the faults of the seed's plan while callers send requests, and
// reports the broken promises. An error means that the run itself failed. Run signals only
// processes that it has started.
func Run(ctx context.Context, o *Options) (*Report, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return nil, errors.Wrap(err, "soak.Run")
	}
	r := &recorder{startedAt: time.Now()}
	s, err := newSite(o, r)
	if err != nil {
		return nil, errors.WithMessage(err, "soak.Run")
	}
	l := &workload{site: s, sentRequests: map[string]bool{}, openedVia: map[flow.Key]netip.AddrPort{}, refused: map[flow.Key]int{}}
	plan := NewPlan(o)
	err = l.runPlan(ctx, plan)
	s.close()
	if err != nil {
		return nil, errors.WithMessage(err, "soak.Run")
	}
	return &Report{
		Seed: o.Seed, Duration: o.Duration, Processes: o.Balancers + o.Sidecars,
		Violations: r.violations, Plan: plan, Seconds: r.seconds, Resets: r.resets, Refused: len(l.refused),
	}, nil
}

// runPlan waits until the site is ready, sends requests while the faults of the plan are
// injected, and then checks the promises.
func (l *workload) runPlan(ctx context.Context, plan []Fault) error {
	if err := l.awaitReady(ctx); err != nil {
		return err
	}
	l.site.recorder.startedAt = time.Now()
	servingCtx, stopServing := context.WithTimeout(ctx, l.site.opts.Duration)
	defer stopServing()
	l.site.onBurst = func(addr netip.AddrPort, d time.Duration) { l.startBurst(servingCtx, addr, d) }
	faultsEnded := make(chan time.Time, 1)
	go func() {
		l.site.runFaults(servingCtx, plan, l.site.recorder.startedAt)
		faultsEnded <- time.Now()
	}()
	l.serveCallers(servingCtx)
	faultsEndedAt := <-faultsEnded
	l.bursts.Wait()
	l.checkPromises(faultsEndedAt)
	return ctx.Err()
}

// awaitReady returns once a flow has opened to each service address.
func (l *workload) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for i := 0; i < len(serviceAddrs); {
		f, err := l.site.callers.Open(ctx, serviceAddrs[i])
		if err == nil {
			f.Close()
			i++
			continue
		}
		if ctx.Err() != nil {
			return errors.Wrapf(err, "soak: %v is not served", serviceAddrs[i])
		}
		time.Sleep(readyPollInterval)
	}
	return nil
}
