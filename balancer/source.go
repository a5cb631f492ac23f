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
	"greengagedyke/peer"
	"greengagedyke/platform"
)

const (
	// closeWait is how long a close watch of the configuration waits: a store that
	// loses its history may leave a watch without an answer. relaxedWait is how long
	// one waits that others watch for.
	closeWait   = 1500 * time.Millisecond
	relaxedWait = 12 * time.Second
	// idleInterval is the time between reads of a balancer that does not watch.
	idleInterval = 10 * time.Second
	// configurationPause is the time between reads of a store that fails, idlePause that
	// of a balancer that others read for.
	configurationPause = 500 * time.Millisecond
	idlePause          = 3 * time.Second
	// behindPatience is how long a peer may have a newer configuration before the
	// store and then that peer are asked for it.
	behindPatience = 300 * time.Millisecond
	// copyTimeout bounds the copying of a configuration between balancers.
	copyTimeout = 2 * time.Second
)

// configurationSource brings the operator's configuration from the store, or from a
// peer that has a newer one.
type configurationSource struct {
	log    *slog.Logger
	client *platform.Client
	clock  *clock.Clock
	apply  func(*flow.Configuration) bool

	mu       sync.Mutex
	watchers *watchers
	// data is the newest configuration as the store encodes it.
	data []byte
	// up is set while the store answers, trusted is when a peer last confirmed what
	// is in force.
	up      bool
	trusted time.Time
	// newer is the newest version that a peer has in force, at where, if it is newer
	// than the own one; 0 if none is.
	newer uint64
	where netip.AddrPort
	// hurry ends a relaxed watch.
	hurry context.CancelFunc
}

func newConfigurationSource(log *slog.Logger, c *platform.Client, self netip.AddrPort, cl *clock.Clock, apply func(*flow.Configuration) bool) *configurationSource {
	return &configurationSource{log: log, client: c, clock: cl, apply: apply, watchers: newWatchers(self), hurry: func() {}}
}

// reached reports whether the store answers.
func (s *configurationSource) reached() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.up
}

// watching returns balancers that watch the store closely, or would be the next to.
func (s *configurationSource) watching() []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watchers.reached()
}

// fresh reports whether an unknown route is known not to exist.
func (s *configurationSource) fresh(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.trusted) < routeTrust && s.newer == 0
}

// take puts an encoded configuration in force if it is newer.
func (s *configurationSource) take(data []byte, from string) {
	cfg, refused := platform.DecodeOperatorConfiguration(data)
	for _, err := range refused {
		s.log.Error("configuration-refused", "from", from, "error", err.Error())
	}
	if cfg == nil || !s.apply(cfg) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.data = data
	if cfg.Version >= s.newer {
		s.newer = 0
	}
}

// watch follows the store until ctx ends.
func (s *configurationSource) watch(ctx context.Context) {
	store := platform.NewOperatorConfigurationReader(s.client)
	for ctx.Err() == nil {
		data, err := s.next(ctx, store)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			s.take(data, "store")
		}
		reached := err == nil || errors.Is(err, platform.ErrUnchanged)
		s.mu.Lock()
		changed := reached != s.up
		s.up = reached
		s.mu.Unlock()
		if changed {
			s.log.Warn("store-reached", "reached", reached, "error", daemon.ErrorText(err))
		}
		if !reached {
			s.pause(ctx)
		}
	}
}

// pause waits until the store is called again after a failure.
func (s *configurationSource) pause(ctx context.Context) {
	now := s.clock.Now()
	s.mu.Lock()
	idle := now.Sub(s.trusted) < routeTrust && s.newer == 0 && !s.watchers.close(now)
	s.mu.Unlock()
	if idle {
		s.wait(ctx, idlePause)
		return
	}
	daemon.Sleep(ctx, configurationPause)
}

// wait waits, or until this balancer has to watch closely.
func (s *configurationSource) wait(ctx context.Context, d time.Duration) {
	wait, cancel := context.WithCancel(ctx)
	defer cancel()
	s.mu.Lock()
	s.hurry = cancel
	s.mu.Unlock()
	daemon.Sleep(wait, d)
	s.mu.Lock()
	s.hurry = func() {}
	s.mu.Unlock()
}

// next waits for the next configuration. A relaxed watch, and the time between reads of a
// balancer that does not watch, end early when it has to watch closely.
func (s *configurationSource) next(ctx context.Context, store *platform.OperatorConfigurationReader) ([]byte, error) {
	now := s.clock.Now()
	s.mu.Lock()
	idle := len(s.data) > 0 && !s.watchers.standby(now)
	s.mu.Unlock()
	if idle {
		s.wait(ctx, idleInterval)
		return store.ReadStale(ctx)
	}
	watch, cancel := context.WithCancel(ctx)
	defer cancel()
	wait := closeWait
	s.mu.Lock()
	if !s.watchers.close(s.clock.Now()) {
		wait = relaxedWait
		s.hurry = cancel
	}
	s.mu.Unlock()
	data, err := store.Next(watch, wait)
	s.mu.Lock()
	s.hurry = func() {}
	s.mu.Unlock()
	if err != nil && watch.Err() != nil && ctx.Err() == nil {
		return nil, platform.ErrUnchanged
	}
	return data, err
}

// heard takes in what a peer has in force, and whether it reaches the store.
func (s *configurationSource) heard(from netip.AddrPort, l *peer.Balancers, ours uint64) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range l.Infos {
		// Only a balancer itself says that the store does not answer it.
		if m.StoreReachable || m.Addr == from {
			s.watchers.note(m.Addr, m.StoreReachable, now.Add(-m.Age))
		}
	}
	if s.watchers.close(now) {
		s.hurry()
	}
	if l.Version <= ours {
		s.trusted = now
		return
	}
	if l.Version <= s.newer {
		return
	}
	s.newer = l.Version
	s.where = from
	patience := behindPatience
	if ours == 0 {
		patience = 0
	}
	time.AfterFunc(patience, s.copy)
}

// copy brings the configuration from a peer if that still has a newer one.
func (s *configurationSource) copy() {
	s.mu.Lock()
	version, from := s.newer, s.where
	s.mu.Unlock()
	if version == 0 {
		return
	}
	data, err := readFrom(from)
	s.log.Info("configuration-copied", "from", from.String(), "version", version, "error", daemon.ErrorText(err))
	if err == nil {
		s.take(data, from.String())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.newer == version {
		s.newer = 0 // the next word of a peer starts another try
	}
}

func readFrom(addr netip.AddrPort) ([]byte, error) {
	conn, err := net.DialTimeout("tcp4", addr.String(), copyTimeout)
	if err != nil {
		return nil, errors.Wrap(err, "balancer.readFrom")
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(copyTimeout)); err != nil {
		return nil, errors.Wrap(err, "balancer.readFrom")
	}
	data, err := io.ReadAll(io.LimitReader(conn, platform.MaxValue))
	return data, errors.Wrap(err, "balancer.readFrom")
}

// serve gives the newest configuration to each peer that connects, until ctx ends.
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
		data := s.data
		s.mu.Unlock()
		go s.give(conn, data)
	}
}

func (s *configurationSource) give(conn net.Conn, data []byte) {
	defer conn.Close()
	err := conn.SetDeadline(time.Now().Add(copyTimeout))
	if err == nil {
		_, err = conn.Write(data)
	}
	if err != nil {
		s.log.Warn("configuration-not-given", "to", conn.RemoteAddr().String(), "error", err.Error())
	}
}
