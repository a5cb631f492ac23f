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

	"greengagedyke/flow"
	"greengagedyke/platform"
)

const (
	// configurationWait is how long a watch of the configuration waits: a store that
	// loses its history may leave a watch without an answer. With many balancers it
	// grows by configurationShare for each, since they tell one another.
	configurationWait  = 1500 * time.Millisecond
	configurationShare = 50 * time.Millisecond
	// configurationPause is the time between reads of a store that fails.
	configurationPause = 500 * time.Millisecond
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
	apply  func(*flow.Configuration) bool
	// peers is the number of balancers that share the watching.
	peers func() int

	mu sync.Mutex
	// data is the newest configuration as the store encodes it.
	data []byte
	// trusted is when the store or a peer last confirmed what is in force.
	trusted time.Time
	// behind is since when a peer is known to have a newer one; zero if none has.
	behind  time.Time
	copying bool
}

func newConfigurationSource(log *slog.Logger, c *platform.Client, apply func(*flow.Configuration) bool, peers func() int) *configurationSource {
	return &configurationSource{log: log, client: c, apply: apply, peers: peers}
}

// fresh reports whether an unknown route is known not to exist.
func (s *configurationSource) fresh(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.trusted) < routeTrust && s.behind.IsZero()
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
	s.behind = time.Time{}
}

// watch follows the store until ctx ends.
func (s *configurationSource) watch(ctx context.Context) {
	store := platform.NewOperatorConfigurations(s.client)
	up := true
	for ctx.Err() == nil {
		wait := max(configurationWait, configurationShare*time.Duration(s.peers()))
		data, err := store.Next(ctx, wait)
		switch {
		case err == nil:
			s.take(data, "store")
		case errors.Is(err, platform.ErrUnchanged), errors.Is(err, platform.ErrNotFound):
		}
		reached := err == nil || errors.Is(err, platform.ErrUnchanged)
		if reached != up {
			s.log.Warn("store-reached", "reached", reached, "error", errorText(err))
			up = reached
		}
		if !reached {
			pause(ctx, configurationPause)
		}
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// heard takes in the version that a peer has in force.
func (s *configurationSource) heard(from netip.AddrPort, theirs, ours uint64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if theirs <= ours {
		s.trusted = now
		return
	}
	if s.behind.IsZero() {
		s.behind = now
	}
	if s.copying || (now.Sub(s.behind) < behindPatience && ours > 0) {
		return
	}
	s.copying = true
	go s.copy(from, theirs, ours)
}

// copy brings the configuration from a peer.
func (s *configurationSource) copy(from netip.AddrPort, theirs, ours uint64) {
	data, err := readFrom(from)
	s.mu.Lock()
	s.copying = false
	s.mu.Unlock()
	s.log.Info("configuration-copied", "from", from.String(), "version", theirs, "ours", ours, "error", errorText(err))
	if err == nil {
		s.take(data, from.String())
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
