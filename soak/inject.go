package soak

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"greengagedyke/platform"
	"greengagedyke/standin/proxy"
	"greengagedyke/standin/store"
)

const (
	// leavingTime is the time from an upstream's first heartbeat with the state leaving to its end.
	// It exceeds leavingUpstreamLimit, so that flows which arrive too late are observed.
	leavingTime = 5 * time.Second
	// inTurnInterval is the time between two restarts when all processes restart in turn.
	inTurnInterval = 400 * time.Millisecond
	// storeDelay is the added delay of each store request during a StoreSlow fault.
	storeDelay = 400 * time.Millisecond
	// pathDelay is the added delay in each direction during a PathDelayed fault.
	pathDelay = 40 * time.Millisecond
	// pathLoss is the fraction of packets that a PathLossy fault drops.
	pathLoss = 0.2
	// lostAnswerCount is the number of writes whose answers a StoreLosesAnswers fault drops.
	lostAnswerCount = 3
	// maxCopyAge is the largest age of the copy that a StoreRestored fault goes back to.
	maxCopyAge = 15 * time.Second
	// maxForeignWrites is the largest number of writes by others right after the store was restored.
	maxForeignWrites = 60
	// rewriteDelay is the time until the operator writes the newest configuration to the restored store.
	rewriteDelay = 300 * time.Millisecond
)

// runFaults starts each fault of the plan at its time and returns when all have ended. It starts
// no more faults once ctx is done. A fault that fails is recorded as a violation.
func (s *site) runFaults(ctx context.Context, plan []Fault, startedAt time.Time) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, f := range plan {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(startedAt.Add(f.At))):
		}
		wg.Go(func() {
			if err := s.apply(&f); err != nil {
				s.recorder.addViolation("soak", "fault %s with target %d: %v", f.Kind, f.Target, err)
			}
		})
	}
}

// apply injects a fault and returns when it has ended.
func (s *site) apply(f *Fault) error {
	b := s.balancers[f.Target%len(s.balancers)]
	p := s.sidecars[f.Target%len(s.sidecars)]
	switch f.Kind {
	case BalancerKilled:
		return b.killAndRestart()
	case BalancerStopped:
		return b.stopAndRestart()
	case BalancerPaused:
		b.pause(f.Duration)
	case BalancersInTurn:
		return restartInTurn(s.balancers, (*balancerProcess).stopAndRestart)
	case SidecarKilled:
		return p.killAndRestart()
	case SidecarStopped:
		return p.stopAndRestart()
	case SidecarPaused:
		p.pause(f.Duration)
	case SidecarsInTurn:
		return restartInTurn(s.sidecars, (*sidecarProcess).stopAndRestart)
	case AllKilled:
		return s.killAllProcesses()
	case PowerLost:
		return s.losePower()
	case UpstreamReplaced:
		return s.tryReplaceUpstream(p, true)
	case UpstreamCrashed:
		return s.tryReplaceUpstream(p, false)
	case HeartbeatsCut:
		cutPath(p.heartbeatPath, f.Duration)
	case RouteChanged:
		return s.moveRoute()
	case StoreRestored:
		return s.restoreStore(f)
	case DomainEvacuated:
		return s.evacuate(f)
	case CallersBurst:
		addr := swapAddr
		if f.Target%2 == 0 {
			addr = sheetAddr
		}
		s.onBurst(addr, f.Duration)
		time.Sleep(f.Duration)
	default:
		s.applyToPath(f, b)
		s.applyToStore(f)
	}
	return nil
}

// applyToPath injects a fault of the network path between the callers and balancer b, or between the
// store and the process that f.Target selects. It ignores other kinds of faults.
func (s *site) applyToPath(f *Fault, b *balancerProcess) {
	storePaths := []*proxy.Proxy{}
	for _, b := range s.balancers {
		storePaths = append(storePaths, b.storePath)
	}
	for _, p := range s.sidecars {
		storePaths = append(storePaths, p.storePath)
	}
	storePath := storePaths[f.Target%len(storePaths)]
	switch f.Kind {
	case PathLossy:
		injectProxyFaults(b.callerPath, proxy.Faults{Loss: pathLoss}, f.Duration)
	case PathDelayed:
		injectProxyFaults(b.callerPath, proxy.Faults{Delay: pathDelay}, f.Duration)
	case PathCut:
		cutPath(b.callerPath, f.Duration)
	case StoreCut:
		cutPath(storePath, f.Duration)
	case StoreReset:
		storePath.Reset()
	case StoreSilent:
		storePath.Silence()
	case StoreAnswersSilent:
		storePath.SilenceAnswers()
	}
}

// injectProxyFaults sets faults on a proxy for the duration d.
func injectProxyFaults(p *proxy.Proxy, f proxy.Faults, d time.Duration) {
	p.SetFaults(f)
	time.Sleep(d)
	p.SetFaults(proxy.Faults{})
}

func cutPath(p *proxy.Proxy, d time.Duration) { injectProxyFaults(p, proxy.Faults{Cut: true}, d) }

// applyToStore injects a fault of the store itself. It ignores other kinds of faults.
func (s *site) applyToStore(f *Fault) {
	faults := store.Faults{}
	switch f.Kind {
	case StoreDown:
		faults.Down = true
	case StoreSlow:
		faults.Delay = storeDelay
	case StoreLosesAnswers:
		faults.LoseAnswers = lostAnswerCount
	case StoreCompacted:
		s.store.Compact()
		return
	case LeasesEnded:
		s.store.EndLeases()
		return
	default:
		return
	}
	defer s.recordStoreFault(time.Now())
	s.store.SetFaults(faults)
	time.Sleep(f.Duration)
	s.store.SetFaults(store.Faults{})
}

// restartInTurn calls restart for one process after the other, with pauses of inTurnInterval. It
// returns the first error and leaves out the remaining processes.
func restartInTurn[T any](processes []T, restart func(T) error) error {
	for _, p := range processes {
		if err := restart(p); err != nil {
			return err
		}
		time.Sleep(inTurnInterval)
	}
	return nil
}

// killAllProcesses kills and restarts all processes at the same time. It returns one of the errors, if
// there are any.
func (s *site) killAllProcesses() error {
	results := make(chan error, len(s.balancers)+len(s.sidecars))
	for _, b := range s.balancers {
		go func() { results <- b.killAndRestart() }()
	}
	for _, p := range s.sidecars {
		go func() { results <- p.killAndRestart() }()
	}
	var first error
	for range cap(results) {
		if err := <-results; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// losePower kills and restarts all processes and replaces all upstreams, at the same time. It returns
// one of the errors, if there are any.
func (s *site) losePower() error {
	results := make(chan error, 1+len(s.sidecars))
	go func() { results <- s.killAllProcesses() }()
	for _, p := range s.sidecars {
		go func() { results <- s.replaceUpstream(p) }()
	}
	var first error
	for range cap(results) {
		first = cmp.Or(first, <-results)
	}
	return first
}

// tryReplaceUpstream replaces the upstream of p unless a call of it is already in progress for p. If
// planned, the upstream first goes on serving for leavingTime with the state leaving.
func (s *site) tryReplaceUpstream(p *sidecarProcess, planned bool) error {
	if !p.replaceMu.TryLock() {
		return nil
	}
	defer p.replaceMu.Unlock()
	if planned {
		p.currentUpstream().Leave()
		time.Sleep(leavingTime)
	}
	return s.replaceUpstream(p)
}

// moveRoute writes a configuration that routes new flows to movingAddr to coreService if they went to
// sheetService before, and the other way round.
func (s *site) moveRoute() error {
	s.configureMu.Lock()
	defer s.configureMu.Unlock()
	last := s.newestConfiguration()
	moving := coreService
	if last.movingService == coreService {
		moving = sheetService
	}
	return s.configure(last.version+3, moving)
}

// restoreStore takes the store down, brings it back from an older copy, and writes the newest
// configuration and evacuations again. While the store is still down, others write values, how many depends on f.Target,
// so that the store's revision may pass the lost ones before the processes call it again.
func (s *site) restoreStore(f *Fault) error {
	defer s.recordStoreFault(time.Now())
	s.store.SetFaults(store.Faults{Down: true})
	time.Sleep(f.Duration)
	s.configureMu.Lock()
	defer s.configureMu.Unlock()
	s.store.Restore(time.Duration(f.Target) * maxCopyAge / (1 << 16))
	for range f.Target % maxForeignWrites {
		if _, _, err := s.store.Write(platform.Transaction{Puts: []platform.Put{{Key: "others/value"}}}); err != nil {
			return errors.Wrap(err, "soak: write by others")
		}
	}
	s.store.SetFaults(store.Faults{})
	time.Sleep(rewriteDelay)
	if err := s.rewriteEvacuations(); err != nil {
		return err
	}
	newest := s.newestConfiguration()
	return s.writeConfiguration(newest.version, newest.movingService)
}
