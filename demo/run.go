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

// Result is what one deployment's callers and upstreams recorded.
type Result struct {
	load.Violations
	// Imbalance is the work of the busiest upstream of the first service over the
	// mean, before any upstream leaves.
	Imbalance float64 `json:"imbalance"`
	// CrestService is the share of swaps sent at five times the load that were
	// answered within their deadline.
	CrestService float64 `json:"crest-service"`
	// CrestGoodput is the useful work at five times the load over the slots' capacity.
	CrestGoodput float64 `json:"crest-goodput"`
	// CrestBusy is the share of the slots' time at the crest in which they were held.
	CrestBusy float64 `json:"crest-busy"`
	// LeavingWork is the work that the leaving upstream did at the crest: none.
	LeavingWork time.Duration `json:"leaving-work"`
	// ShortP99 and ShortP99Long are the 99th percentiles of short reads without and
	// with long downloads.
	ShortP99     time.Duration `json:"short-p99"`
	ShortP99Long time.Duration `json:"short-p99-with-long"`
	ShortRatio   float64       `json:"short-p99-ratio"`
	// Unknown counts swaps whose callers were told that the outcome is unknown.
	Unknown int `json:"unknown"`
	// Reasons count the reasons of refusals.
	Reasons map[string]int `json:"reasons"`
}

// Results are the results by deployment.
type Results map[string]*Result

// Broken reports whether a promise broke.
func (rs Results) Broken() bool {
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
	fmt.Fprintln(t, "DEPLOYMENT\tBROKEN FLOWS\tLOST\tRUN TWICE\tWRONG SERVICE\tFALSE NOT-RUN\tLEAVING WORK\tIMBALANCE\tCREST SERVICE\tCREST GOODPUT\tSHORT P99\tWITH LONG\tRATIO")
	for _, name := range slices.Sorted(maps.Keys(rs)) {
		r := rs[name]
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%s\t%.2f\t%.1f%%\t%.1f%%\t%s\t%s\t%.2f\n",
			name, r.BrokenFlows, r.Lost, r.RunTwice, r.WrongService, r.FalseNotRun, r.LeavingWork,
			r.Imbalance, 100*r.CrestService, 100*r.CrestGoodput, r.ShortP99, r.ShortP99Long, r.ShortRatio)
	}
	t.Flush()
}

const startTimeout = 20 * time.Second

// Run runs both deployments side by side and reports progress on w.
func Run(ctx context.Context, log *slog.Logger, w io.Writer) (Results, error) {
	results := Results{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	var firstErr error
	say := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Fprintf(w, format+"\n", args...)
	}
	for _, spec := range Deployments() {
		wg.Go(func() {
			r, err := runDeployment(ctx, log, spec, shortScene, say)
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

// Compare runs the first deployment's first service once for the product and for
// each simpler way to decide, one after the other, with the same callers.
func Compare(ctx context.Context, log *slog.Logger, w io.Writer) (Results, error) {
	results := Results{}
	say := func(format string, args ...any) { fmt.Fprintf(w, format+"\n", args...) }
	for _, baseline := range []sidecar.Baseline{sidecar.BaselineNone, sidecar.BaselineLocal, sidecar.BaselineRandom, sidecar.BaselineFIFO} {
		spec := Deployments()[0]
		spec.Services = spec.Services[:1]
		spec.Baseline = baseline
		spec.Name = "product"
		if baseline != sidecar.BaselineNone {
			spec.Name = "baseline-" + string(baseline)
		}
		r, err := runDeployment(ctx, log, spec, longShortScene, say)
		if err != nil {
			return results, err
		}
		results[spec.Name] = r
	}
	return results, nil
}

type sayFunc func(format string, args ...any)

func runDeployment(ctx context.Context, log *slog.Logger, spec SiteSpec, shortScene time.Duration, say sayFunc) (*Result, error) {
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	began := time.Now()
	s, stop, err := NewSite(startCtx, log, spec)
	if err != nil {
		return &Result{}, err
	}
	defer stop()
	say("%-10s  started in %s, configuration in force on all", spec.Name, time.Since(began).Round(time.Millisecond))
	p := &play{Site: s, say: say, shortScene: shortScene, result: &Result{}}
	p.run(ctx)
	return p.result, p.err
}

// play is the demo's script on one deployment.
type play struct {
	*Site
	say sayFunc
	// shortScene is how long short reads are counted without, and then with, long work.
	shortScene time.Duration
	result     *Result
	err        error
}

// Lengths of the script's scenes.
const (
	warmTime     = 2200 * time.Millisecond
	shortScene   = 3 * time.Second
	saturateTime = time.Second
	// longShortScene gives comparisons enough reads for a 99th percentile.
	longShortScene = 15 * time.Second
	failureScene   = 3500 * time.Millisecond
	crestScene     = 4 * time.Second
	crestFactor    = 5
	fabricNotice   = 200 * time.Millisecond
)

func (p *play) run(ctx context.Context) {
	p.each(func(l *load.Load) { l.OpenFeeds(ctx) })
	p.say("%-10s  feeds open", p.Name)
	time.Sleep(warmTime)
	runCtx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	first := p.Loads[p.Services[0].Name]
	long := p.Services[0].Load.Rates[load.KindDownload]
	first.SetRate(load.KindDownload, 0)
	for _, l := range p.Loads {
		wg.Go(func() { l.Run(runCtx) })
	}
	p.shortScenes(first, long)
	p.failures()
	p.crest(first)
	cancel()
	wg.Wait()
	p.each((*load.Load).Wait)
	p.finish()
}

func (p *play) each(f func(l *load.Load)) {
	var wg sync.WaitGroup
	for _, l := range p.Loads {
		wg.Go(func() { f(l) })
	}
	wg.Wait()
}

// shortScenes compares short reads without and with long downloads that want more
// slots than they may have.
func (p *play) shortScenes(l *load.Load, long float64) {
	l.Mark()
	before := p.work()
	time.Sleep(p.shortScene)
	without := l.SinceMark()
	p.say("%-10s  without long work: short p99 %s", p.Name, without.Counts[load.KindShort].P99)
	l.SetRate(load.KindDownload, saturating*long)
	time.Sleep(saturateTime)
	l.Mark()
	time.Sleep(p.shortScene)
	with := l.SinceMark()
	l.SetRate(load.KindDownload, long)
	p.result.Imbalance = imbalance(before, p.work())
	p.result.ShortP99 = without.Counts[load.KindShort].P99
	p.result.ShortP99Long = with.Counts[load.KindShort].P99
	p.result.ShortRatio = ratio(p.result.ShortP99Long, p.result.ShortP99)
	p.say("%-10s  with long work: short p99 %s, imbalance %.2f", p.Name, p.result.ShortP99Long, p.result.Imbalance)
}

// saturating makes downloads want more than the slots they may have.
const saturating = 6

func ratio(a, b time.Duration) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// failures kills a balancer, lets another join, and drains an upstream.
func (p *play) failures() {
	began := time.Now()
	if err := p.KillBalancer(2, fabricNotice); err != nil {
		p.err = errors.Wrap(err, "demo: balancer")
	}
	p.say("%-10s  balancer-2 killed", p.Name)
	p.StartBalancer(p.Balancers + 1)
	p.say("%-10s  balancer-%d joined", p.Name, p.Balancers+1)
	p.DrainSidecar(p.leaving())
	p.say("%-10s  %s drains", p.Name, p.leaving())
	time.Sleep(failureScene - time.Since(began))
}

// leaving is the upstream that is drained.
func (p *play) leaving() string { return identity(p.Services[0].Name, 1) }

// crest raises the load to five times its base.
func (p *play) crest(l *load.Load) {
	p.say("%-10s  storm alert: %d times the load", p.Name, crestFactor)
	p.each(func(l *load.Load) { l.SetFactor(crestFactor) })
	time.Sleep(time.Second)
	l.Mark()
	before, began := p.work(), time.Now()
	time.Sleep(crestScene)
	after, elapsed := p.work(), time.Since(began)
	p.each(func(l *load.Load) { l.SetFactor(1) })
	time.Sleep(2 * time.Second)
	c := l.SinceMark().Counts[load.KindSwap]
	p.result.CrestService = float64(c.Answered-c.Late) / float64(max(1, c.Sent))
	p.crestShares(before, after, elapsed)
	p.say("%-10s  at the crest: %.1f%% of swaps in time, goodput %.1f%%", p.Name, 100*p.result.CrestService, 100*p.result.CrestGoodput)
}

// work is what the upstreams of the first service did so far, by identity.
func (p *play) work() map[string]upstream.Audit {
	m := map[string]upstream.Audit{}
	for _, a := range p.Audits(p.Services[0].Name) {
		m[a.Identity] = a
	}
	return m
}

func imbalance(before, after map[string]upstream.Audit) float64 {
	var most, sum time.Duration
	for id, a := range after {
		d := a.Work - before[id].Work
		most = max(most, d)
		sum += d
	}
	if sum == 0 {
		return 0
	}
	return float64(most) * float64(len(after)) / float64(sum)
}

// crestShares leaves out the upstream that was drained. Work that is under way is
// taken to be as useful as the work that ended.
func (p *play) crestShares(before, after map[string]upstream.Audit, elapsed time.Duration) {
	var work, ended, useful time.Duration
	leaving := p.leaving()
	p.result.LeavingWork = after[leaving].Work - before[leaving].Work
	for id, a := range after {
		if id == leaving {
			continue
		}
		work += a.Work - before[id].Work
		ended += a.Ended - before[id].Ended
		useful += a.Useful - before[id].Useful
	}
	capacity := elapsed * time.Duration(p.Slots*(len(after)-1))
	p.result.CrestBusy = float64(work) / float64(capacity)
	p.result.CrestGoodput = p.result.CrestBusy * float64(useful) / float64(max(1, ended))
}

func (p *play) finish() {
	p.result.Reasons = map[string]int{}
	for _, svc := range p.Services {
		l := p.Loads[svc.Name]
		b := l.Compare(p.Audits(svc.Name))
		p.result.Violations.Add(b)
		r := l.Result()
		p.result.Unknown += r.Counts[load.KindSwap].Unknown
		for reason, n := range r.Reasons {
			p.result.Reasons[reason] += n
		}
	}
	p.say("%-10s  ended", p.Name)
}
