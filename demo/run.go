package demo

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"greengagedyke/sidecar"
	"greengagedyke/standin/load"
	"greengagedyke/standin/upstream"
)

// Result is the outcome of one deployment's run, from the records of its callers and upstreams.
type Result struct {
	load.Violations
	// Imbalance is the work of the busiest upstream of the first service divided by the mean work
	// of that service's upstreams, measured before any upstream leaves.
	Imbalance float64 `json:"imbalance"`
	// PeakInTime is the share of the first service's swaps that were answered within their deadline.
	// It counts the swaps sent from one second after the load was raised until two seconds after it
	// was lowered.
	PeakInTime float64 `json:"crest-service"`
	// PeakGoodput is the estimated share of the slots' capacity at peak load that was spent on useful
	// work, as defined by upstream.Audit.Useful. Like PeakUtilization, it leaves out the leaving
	// upstream.
	PeakGoodput float64 `json:"crest-goodput"`
	// PeakUtilization is the share of the slots' capacity at peak load that was in use.
	PeakUtilization float64 `json:"crest-busy"`
	// LeavingWork is the work that the leaving upstream did at peak load. It must be zero.
	LeavingWork time.Duration `json:"leaving-work"`
	// ShortP99 is the 99th percentile of the latency of short reads (load.KindShort) without downloads.
	ShortP99 time.Duration `json:"short-p99"`
	// ShortP99WithLong is the same percentile with downloads, which are the long requests.
	ShortP99WithLong time.Duration `json:"short-p99-with-long"`
	// ShortP99Ratio is ShortP99WithLong divided by ShortP99.
	ShortP99Ratio float64 `json:"short-p99-ratio"`
	// Unknown counts swaps that were answered with an unknown outcome.
	Unknown int `json:"unknown"`
	// Reasons counts the requests without a correct answer by "KIND: REASON".
	Reasons map[string]int `json:"reasons"`
}

// Results maps the names of deployments to their results.
type Results map[string]*Result

// HasViolations reports whether any deployment broke a promise or its leaving upstream did work at
// peak load.
func (rs Results) HasViolations() bool {
	for _, r := range rs {
		if r.Violations.Any() || r.LeavingWork > 0 {
			return true
		}
	}
	return false
}

// Print writes the results as a table.
func (rs Results) Print(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "DEPLOYMENT\tBROKEN FLOWS\tLOST\tRUN TWICE\tWRONG SERVICE\tFALSE NOT-RUN\tLEAVING WORK\tIMBALANCE\tPEAK IN TIME\tPEAK GOODPUT\tSHORT P99\tWITH LONG\tRATIO")
	for _, name := range slices.Sorted(maps.Keys(rs)) {
		r := rs[name]
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%s\t%.2f\t%.1f%%\t%.1f%%\t%s\t%s\t%.2f\n",
			name, r.BrokenFlows, r.Lost, r.RunTwice, r.WrongService, r.FalseNotRun, r.LeavingWork,
			r.Imbalance, 100*r.PeakInTime, 100*r.PeakGoodput, r.ShortP99, r.ShortP99WithLong, r.ShortP99Ratio)
	}
	t.Flush()
}

// startTimeout bounds how long a deployment may take until its configuration is in force.
const startTimeout = 20 * time.Second

// Run runs both deployments at the same time and writes progress lines to w.
func Run(ctx context.Context, log *slog.Logger, w io.Writer) (Results, error) {
	results := Results{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	var firstErr error
	progress := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Fprintf(w, format+"\n", args...)
	}
	for _, spec := range Deployments() {
		wg.Go(func() {
			r, err := runDeployment(ctx, log, spec, shortReadPhase, progress)
			mu.Lock()
			defer mu.Unlock()
			results[spec.Name] = r
			if err != nil && firstErr == nil {
				firstErr = err
			}
		})
	}
	wg.Wait()
	return results, firstErr
}

// Compare runs the first service of the first deployment with the product's scheduling and with
// each baseline, one after the other and with the same callers.
func Compare(ctx context.Context, log *slog.Logger, w io.Writer) (Results, error) {
	results := Results{}
	progress := func(format string, args ...any) { fmt.Fprintf(w, format+"\n", args...) }
	for _, baseline := range []sidecar.Baseline{sidecar.BaselineNone, sidecar.BaselineLocal, sidecar.BaselineRandom, sidecar.BaselineFIFO} {
		spec := Deployments()[0]
		spec.Services = spec.Services[:1]
		spec.Baseline = baseline
		spec.Name = "product"
		if baseline != sidecar.BaselineNone {
			spec.Name = "baseline-" + string(baseline)
		}
		r, err := runDeployment(ctx, log, spec, compareShortReadPhase, progress)
		if err != nil {
			return results, err
		}
		results[spec.Name] = r
	}
	return results, nil
}

// progressFunc writes one line of progress.
type progressFunc func(format string, args ...any)

// runDeployment starts a deployment, runs the scenario on it and stops it.
func runDeployment(ctx context.Context, log *slog.Logger, spec SiteSpec, shortPhase time.Duration, progress progressFunc) (*Result, error) {
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	started := time.Now()
	s, stop, err := NewSite(startCtx, log, spec)
	if err != nil {
		return &Result{}, err
	}
	defer stop()
	progress("%-10s  started in %s, configuration in force on all", spec.Name, time.Since(started).Round(time.Millisecond))
	sc := &scenario{Site: s, progress: progress, shortPhase: shortPhase, result: &Result{}}
	sc.run(ctx)
	return sc.result, sc.err
}

// scenario is the sequence of load changes and failures that the demo applies to one deployment.
type scenario struct {
	*Site
	progress progressFunc
	// shortPhase is the duration of each of the two measurements in measureShortReads.
	shortPhase time.Duration
	result     *Result
	err        error
}

// Durations of the scenario's phases, and the load at the peak.
const (
	warmupTime     = 2200 * time.Millisecond // between the opening of feeds and the first request
	shortReadPhase = 3 * time.Second
	saturationTime = time.Second // between the raise of the download rate and the measurement
	// compareShortReadPhase yields enough short reads to compare 99th percentiles.
	compareShortReadPhase = 15 * time.Second
	failurePhase          = 3500 * time.Millisecond
	peakPhase             = 4 * time.Second
	peakFactor            = 5                      // load at the peak divided by base load
	fabricDetectionTime   = 200 * time.Millisecond // until the fabric stops using a killed balancer
)

// run goes through all phases and fills in the result.
func (sc *scenario) run(ctx context.Context) {
	sc.forEachLoad(func(l *load.Load) { l.OpenFeeds(ctx) })
	sc.progress("%-10s  feeds open", sc.Name)
	time.Sleep(warmupTime)
	runCtx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	first := sc.Loads[sc.Services[0].Name]
	downloadRate := sc.Services[0].Load.Rates[load.KindDownload]
	first.SetRate(load.KindDownload, 0)
	for _, l := range sc.Loads {
		wg.Go(func() { l.Run(runCtx) })
	}
	sc.measureShortReads(first, downloadRate)
	sc.runFailures()
	sc.runPeak(first)
	cancel()
	wg.Wait()
	sc.forEachLoad((*load.Load).Wait)
	sc.collectResult()
}

// forEachLoad calls f for the callers of each service concurrently and waits for all calls.
func (sc *scenario) forEachLoad(f func(l *load.Load)) {
	var wg sync.WaitGroup
	for _, l := range sc.Loads {
		wg.Go(func() { f(l) })
	}
	wg.Wait()
}

// measureShortReads measures the latency of short reads first without downloads, and then with more
// downloads than may run at a time. It also sets Imbalance.
func (sc *scenario) measureShortReads(first *load.Load, downloadRate float64) {
	first.Mark()
	before := sc.firstServiceAudits()
	time.Sleep(sc.shortPhase)
	without := first.SinceMark()
	sc.progress("%-10s  without long work: short p99 %s", sc.Name, without.Counts[load.KindShort].P99)
	first.SetRate(load.KindDownload, saturationFactor*downloadRate)
	time.Sleep(saturationTime)
	first.Mark()
	time.Sleep(sc.shortPhase)
	with := first.SinceMark()
	first.SetRate(load.KindDownload, downloadRate)
	sc.result.Imbalance = imbalance(before, sc.firstServiceAudits())
	sc.result.ShortP99 = without.Counts[load.KindShort].P99
	sc.result.ShortP99WithLong = with.Counts[load.KindShort].P99
	sc.result.ShortP99Ratio = ratio(sc.result.ShortP99WithLong, sc.result.ShortP99)
	sc.progress("%-10s  with long work: short p99 %s, imbalance %.2f", sc.Name, sc.result.ShortP99WithLong, sc.result.Imbalance)
}

// saturationFactor multiplies the rate of downloads so that they need more slots than long requests
// may hold.
const saturationFactor = 6

// ratio returns a divided by b, or 0 if b is 0.
func ratio(a, b time.Duration) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// runFailures kills a balancer, starts a new one and drains a sidecar.
func (sc *scenario) runFailures() {
	started := time.Now()
	if err := sc.KillBalancer(2, fabricDetectionTime); err != nil {
		sc.err = errors.Wrap(err, "demo: balancer-2")
	}
	sc.progress("%-10s  balancer-2 killed", sc.Name)
	sc.StartBalancer(sc.Balancers + 1)
	sc.progress("%-10s  balancer-%d joined", sc.Name, sc.Balancers+1)
	sc.DrainSidecar(sc.leavingIdentity())
	sc.progress("%-10s  %s drains", sc.Name, sc.leavingIdentity())
	time.Sleep(failurePhase - time.Since(started))
}

// leavingIdentity returns the identity that the drained sidecar and its upstream share.
func (sc *scenario) leavingIdentity() string { return upstreamIdentity(sc.Services[0].Name, 1) }

// runPeak multiplies the load of all services by peakFactor and measures the callers of the first
// service.
func (sc *scenario) runPeak(first *load.Load) {
	sc.progress("%-10s  load raised to %d times its base", sc.Name, peakFactor)
	sc.forEachLoad(func(l *load.Load) { l.SetFactor(peakFactor) })
	time.Sleep(time.Second)
	first.Mark()
	before, began := sc.firstServiceAudits(), time.Now()
	time.Sleep(peakPhase)
	after, elapsed := sc.firstServiceAudits(), time.Since(began)
	sc.forEachLoad(func(l *load.Load) { l.SetFactor(1) })
	time.Sleep(2 * time.Second)
	c := first.SinceMark().Counts[load.KindSwap]
	sc.result.PeakInTime = float64(c.Answered-c.Late) / float64(max(1, c.Sent))
	sc.recordPeakShares(before, after, elapsed)
	sc.progress("%-10s  at peak load: %.1f%% of swaps in time, goodput %.1f%%", sc.Name, 100*sc.result.PeakInTime, 100*sc.result.PeakGoodput)
}

// firstServiceAudits returns the audits of the first service's upstreams so far, by identity.
func (sc *scenario) firstServiceAudits() map[string]upstream.Audit {
	m := map[string]upstream.Audit{}
	for _, a := range sc.Audits(sc.Services[0].Name) {
		m[a.Identity] = a
	}
	return m
}

// imbalance returns the work of the busiest upstream between two audits divided by the mean work of
// all upstreams, or 0 if no upstream did any work.
func imbalance(before, after map[string]upstream.Audit) float64 {
	var busiest, sum time.Duration
	for id, a := range after {
		d := a.Work - before[id].Work
		busiest = max(busiest, d)
		sum += d
	}
	if sum == 0 {
		return 0
	}
	return float64(busiest) * float64(len(after)) / float64(sum)
}

// recordPeakShares sets LeavingWork from the leaving upstream's audits, and PeakUtilization and
// PeakGoodput from the audits of the other upstreams. It assumes that requests which still run have the
// same share of useful work as those that have ended.
func (sc *scenario) recordPeakShares(before, after map[string]upstream.Audit, elapsed time.Duration) {
	var work, ended, useful time.Duration
	leaving := sc.leavingIdentity()
	sc.result.LeavingWork = after[leaving].Work - before[leaving].Work
	for id, a := range after {
		if id == leaving {
			continue
		}
		work += a.Work - before[id].Work
		ended += a.Ended - before[id].Ended
		useful += a.Useful - before[id].Useful
	}
	capacity := elapsed * time.Duration(sc.Slots*(len(after)-1))
	sc.result.PeakUtilization = float64(work) / float64(capacity)
	sc.result.PeakGoodput = sc.result.PeakUtilization * float64(useful) / float64(max(1, ended))
}

// collectResult adds up the Violations, Unknown and Reasons of all services.
func (sc *scenario) collectResult() {
	sc.result.Reasons = map[string]int{}
	for _, svc := range sc.Services {
		l := sc.Loads[svc.Name]
		violations := l.Compare(sc.Audits(svc.Name))
		sc.result.Violations.Add(violations)
		r := l.Result()
		sc.result.Unknown += r.Counts[load.KindSwap].Unknown
		for reason, n := range r.Reasons {
			sc.result.Reasons[reason] += n
		}
	}
	sc.progress("%-10s  finished", sc.Name)
}
