// Package store is a small stand-in for the platform's key-value store, for tests and
// the demo. It keeps values in memory and enforces the published rates.
package store

import (
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"greengagedyke/platform"
)

const (
	writesPerSecond = 300
	readsPerSecond  = 2000
	// pageSize is the number of values that one list holds.
	pageSize = 500
)

// Faults are what a test makes the store do.
type Faults struct {
	// Down makes every call fail.
	Down bool `json:"down"`
	// Delay is added to every call.
	Delay time.Duration `json:"delay"`
	// LoseAnswers is the number of writes whose answer is lost after they took effect.
	LoseAnswers int `json:"lose-answers"`
	// DownAfterLoss makes every call fail after an answer was lost.
	DownAfterLoss bool `json:"down-after-loss"`
}

type lease struct {
	ttl time.Duration
	end *time.Timer
}

// Store is the stand-in.
type Store struct {
	handler http.Handler

	mu      sync.Mutex
	values  map[string]platform.Value
	history []platform.Value
	// compacted is the revision up to which the history is gone.
	compacted uint64
	leases    map[platform.Lease]*lease
	revision  uint64
	changed   chan struct{}
	faults    Faults
	reads     *rate.Limiter
	writes    *rate.Limiter
	calls     int
}

// Start serves a store on addr until the clean-up function is called.
func Start(addr netip.AddrPort) (*Store, netip.AddrPort, func(), error) {
	s := &Store{
		values:  map[string]platform.Value{},
		leases:  map[platform.Lease]*lease{},
		changed: make(chan struct{}),
		reads:   rate.NewLimiter(readsPerSecond, readsPerSecond),
		writes:  rate.NewLimiter(writesPerSecond, writesPerSecond),
	}
	s.handler = platform.StoreHandler(remote{s})
	ln, err := net.Listen("tcp4", addr.String())
	if err != nil {
		return nil, netip.AddrPort{}, nil, errors.Wrap(err, "store.Start")
	}
	server := &http.Server{Handler: s}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(ln) // ends with ErrServerClosed
	}()
	stop := func() {
		server.Close()
		<-done
	}
	return s, ln.Addr().(*net.TCPAddr).AddrPort(), stop, nil
}

// SetFaults makes the store fail in some way.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Calls is the number of calls so far; a waiting watch counts as one.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.admit(r) {
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
		return
	}
	s.handler.ServeHTTP(w, r)
}

func (s *Store) admit(r *http.Request) bool {
	s.mu.Lock()
	s.calls++
	f := s.faults
	s.mu.Unlock()
	time.Sleep(f.Delay)
	if f.Down {
		return false
	}
	if r.Method == http.MethodGet {
		return s.reads.Allow()
	}
	return s.writes.Allow()
}
