package balancer

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"greengagedyke/clock"
	"greengagedyke/daemon"
	"greengagedyke/flow"
	"greengagedyke/operator"
	"greengagedyke/peer"
	"greengagedyke/platform"
)

const (
	// activeWatchWait is how long an active watcher keeps a watch open. It is short, since a store
	// that loses its history may never answer a watch.
	activeWatchWait = 1500 * time.Millisecond
	// standbyWatchWait is how long a standby watcher keeps a watch open.
	standbyWatchWait = 12 * time.Second
	// idleReadInterval is the time between reads by a balancer that does not watch the store.
	idleReadInterval = 10 * time.Second
	// sourceRetryInterval is the time between calls to a failing store.
	sourceRetryInterval = 500 * time.Millisecond
	// idleRetryInterval replaces sourceRetryInterval if a peer confirmed the configuration recently
	// and this balancer is not an active watcher.
	idleRetryInterval = 3 * time.Second
	// fetchDelay is the time between a peer's report of a newer configuration and its fetch from
	// that peer. The store normally delivers the configuration first.
	fetchDelay = 300 * time.Millisecond
	// fetchTimeout limits the transfer of a configuration between balancers.
	fetchTimeout = 2 * time.Second
)

// configurationSource obtains the operator's configuration from the store, or from a peer that has
// a newer one. The same calls to the store read the evacuations of failure domains.
type configurationSource struct {
	log    *slog.Logger
	client *platform.Client
	clock  *clock.Clock
	// apply applies a configuration if it is newer, and reports whether it did.
	apply func(*flow.Configuration) bool
	// evacuated handles the evacuations that were read from the store.
	evacuated func(platform.EvacuatedDomains)

	mu       sync.Mutex
	watchers *watchers
	// encoded is the newest configuration, in the store's encoding; empty if there is none.
	encoded []byte
	// reachable is set if the store answered the last call.
	reachable bool
	// confirmedAt is when a peer last reported a version that is not newer than the local one, and so
	// confirmed the local configuration.
	confirmedAt time.Time
	// newerVersion is the newest version reported by a peer; 0 if no peer reported a newer version
	// than the local one, or if the fetch of that version failed.
	newerVersion uint64
	// newerPeer is the peer that reported newerVersion.
	newerPeer netip.AddrPort
	// cancelWait ends the current standby watch or idle wait.
	cancelWait context.CancelFunc
}

func newConfigurationSource(log *slog.Logger, c *platform.Client, self netip.AddrPort, cl *clock.Clock, apply func(*flow.Configuration) bool, evacuated func(platform.EvacuatedDomains)) *configurationSource {
	return &configurationSource{log: log, client: c, clock: cl, apply: apply, evacuated: evacuated, watchers: newWatchers(self), cancelWait: func() {}}
}

// storeReachable reports whether the store answered the last call.
func (s *configurationSource) storeReachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reachable
}

// watcherPeers returns the activeCount peers with the lowest addresses among those that reach the
// store: the active watchers, and if this balancer is one of them, the next to become active.
func (s *configurationSource) watcherPeers() []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watchers.firstPeers()
}

// confirmed reports whether a peer confirmed the local configuration recently and none has reported
// a newer one. Only then are flows to an address without a route reset.
func (s *configurationSource) confirmed(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.confirmedAt) < maxConfirmationAge && s.newerVersion == 0
}

// applyEncoded decodes and applies a configuration. from names its source in the log.
func (s *configurationSource) applyEncoded(data []byte, from string) {
	cfg, refused := platform.DecodeOperatorConfiguration(data)
	for _, err := range refused {
		s.log.Error("configuration-refused", "from", from, "error", err.Error())
	}
	if cfg == nil {
		return
	}
	if !s.apply(cfg) {
		s.log.Info("configuration-not-newer", "from", from, "version", cfg.Version, "era", s.client.Era())
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.encoded = data
	if cfg.Version >= s.newerVersion {
		s.newerVersion = 0
	}
}

// watch applies the configurations and evacuations in the store, by watching or polling it, until ctx ends.
func (s *configurationSource) watch(ctx context.Context) {
	store := operator.NewWatcher(s.client, platform.OperatorTarget(s.log, s.evacuated))
	for ctx.Err() == nil {
		v, err := s.next(ctx, store)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			s.applyEncoded(v.Data, "store")
		}
		reachable := err == nil || errors.Is(err, platform.ErrUnchanged)
		s.mu.Lock()
		changed := reachable != s.reachable
		s.reachable = reachable
		s.mu.Unlock()
		if changed {
			s.log.Warn("store-reachability-changed", "reachable", reachable, "era", s.client.Era(), "watch-after", store.Position().Revision, "watch-era", store.Position().Era, "error", daemon.ErrorText(err))
		}
		if !reachable {
			s.pause(ctx)
		}
	}
}

// pause waits for the time between two calls to a failing store.
func (s *configurationSource) pause(ctx context.Context) {
	now := s.clock.Now()
	s.mu.Lock()
	idle := now.Sub(s.confirmedAt) < maxConfirmationAge && s.newerVersion == 0 && !s.watchers.active(now)
	s.mu.Unlock()
	if idle {
		s.wait(ctx, idleRetryInterval)
		return
	}
	daemon.Sleep(ctx, sourceRetryInterval)
}

// wait sleeps for d, or until this balancer becomes an active watcher or ctx ends.
func (s *configurationSource) wait(ctx context.Context, d time.Duration) {
	waitCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.mu.Lock()
	s.cancelWait = cancel
	s.mu.Unlock()
	daemon.Sleep(waitCtx, d)
	s.mu.Lock()
	s.cancelWait = func() {}
	s.mu.Unlock()
}

// next returns the next configuration from the store. A watcher, or a balancer without a
// configuration, waits for a change; it gets platform.ErrUnchanged if there is none in time, or if it
// became an active watcher meanwhile. Any other balancer polls the store after idleReadInterval.
func (s *configurationSource) next(ctx context.Context, store *operator.Watcher) (platform.Value, error) {
	now := s.clock.Now()
	s.mu.Lock()
	idle := len(s.encoded) > 0 && !s.watchers.watching(now)
	s.mu.Unlock()
	if idle {
		s.wait(ctx, idleReadInterval)
		return store.ReadStale(ctx)
	}
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	wait := activeWatchWait
	s.mu.Lock()
	if !s.watchers.active(s.clock.Now()) {
		wait = standbyWatchWait
		s.cancelWait = cancel
	}
	s.mu.Unlock()
	v, err := store.Next(watchCtx, wait)
	s.mu.Lock()
	s.cancelWait = func() {}
	s.mu.Unlock()
	if err != nil && watchCtx.Err() != nil && ctx.Err() == nil {
		return platform.Value{}, platform.ErrUnchanged
	}
	return v, err
}

// observePeer handles a peer's gossip: which balancers reach the store, and which version of the
// configuration the peer has. localVersion is the version in force here.
func (s *configurationSource) observePeer(from netip.AddrPort, l *peer.Balancers, localVersion uint64) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, info := range l.Infos {
		// A report that a balancer does not reach the store is only accepted from that balancer.
		if info.StoreReachable || info.Addr == from {
			s.watchers.observe(info.Addr, info.StoreReachable, now.Add(-info.Age))
		}
	}
	if s.watchers.active(now) {
		s.cancelWait()
	}
	if l.Version <= localVersion {
		s.confirmedAt = now
		return
	}
	if l.Version <= s.newerVersion {
		return
	}
	s.newerVersion = l.Version
	s.newerPeer = from
	delay := fetchDelay
	if localVersion == 0 {
		delay = 0
	}
	time.AfterFunc(delay, s.fetchNewer)
}

// fetchNewer fetches the configuration from newerPeer, unless a newer one has been applied since.
func (s *configurationSource) fetchNewer() {
	s.mu.Lock()
	version, from := s.newerVersion, s.newerPeer
	s.mu.Unlock()
	if version == 0 {
		return
	}
	data, err := fetchFrom(from)
	s.log.Info("configuration-fetched", "from", from.String(), "version", version, "error", daemon.ErrorText(err))
	if err == nil {
		s.applyEncoded(data, from.String())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.newerVersion == version {
		s.newerVersion = 0 // the next gossip about a newer version starts another attempt
	}
}

// fetchFrom reads the encoded configuration of the peer at addr.
func fetchFrom(addr netip.AddrPort) ([]byte, error) {
	conn, err := net.DialTimeout("tcp4", addr.String(), fetchTimeout)
	if err != nil {
		return nil, errors.Wrap(err, "balancer.fetchFrom")
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(fetchTimeout)); err != nil {
		return nil, errors.Wrap(err, "balancer.fetchFrom")
	}
	data, err := io.ReadAll(io.LimitReader(conn, platform.MaxValue))
	return data, errors.Wrap(err, "balancer.fetchFrom")
}

// serve sends the newest configuration to each peer that connects, until ctx ends.
func (s *configurationSource) serve(ctx context.Context, ln net.Listener) {
	context.AfterFunc(ctx, func() { ln.Close() })
	for {
		conn, err := ln.Accept()
		if err != nil {
			if !errors.Is(err, net.ErrClosed) {
				s.log.Error("configuration-not-served", "error", err.Error())
			}
			return
		}
		s.mu.Lock()
		data := s.encoded
		s.mu.Unlock()
		go s.send(conn, data)
	}
}

// send writes an encoded configuration to conn and closes conn.
func (s *configurationSource) send(conn net.Conn, data []byte) {
	defer conn.Close()
	err := conn.SetDeadline(time.Now().Add(fetchTimeout))
	if err == nil {
		_, err = conn.Write(data)
	}
	if err != nil {
		s.log.Warn("configuration-not-sent", "to", conn.RemoteAddr().String(), "error", err.Error())
	}
}
