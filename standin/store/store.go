// Package store is a stand-in for the platform's key-value store, for tests and the demo. It keeps
// all values in memory and limits reads and writes to the platform's published rates.
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
	// writesPerSecond is the rate limit and the largest burst of calls other than GET.
	writesPerSecond = 300
	// readsPerSecond is the rate limit and the largest burst of GET calls.
	readsPerSecond = 2000
	// pageSize is the largest number of values that List returns.
	pageSize = 500
)

// Faults are the faults that the store injects into calls over HTTP.
type Faults struct {
	// Down makes every call fail.
	Down bool `json:"down"`
	// Delay is added to every call.
	Delay time.Duration `json:"delay"`
	// LoseAnswers is the number of successful writes, from the next one on, whose connections are
	// closed without an answer after the writes took effect.
	LoseAnswers int `json:"lose-answers"`
	// Late is how much later than their calls the writes of LoseAnswers are executed, if their
	// conditions still hold then.
	Late time.Duration `json:"late"`
	// DownAfterLoss makes every call fail after the first lost answer, as Down does.
	DownAfterLoss bool `json:"down-after-loss"`
	// RestoreAfterLoss, if positive, restores the copy of this age after each lost answer.
	RestoreAfterLoss time.Duration `json:"restore-after-loss"`
}

// lease is a granted lease that has not ended.
type lease struct {
	ttl time.Duration
	// expiry revokes the lease when ttl has passed since the last keep-alive.
	expiry *time.Timer
}

// Store is an in-memory key-value store that serves HTTP. It is safe for concurrent use.
type Store struct {
	// handler serves the platform's API.
	handler http.Handler

	mu sync.Mutex
	// values holds the current value of each key.
	values map[string]platform.Value
	// history holds all changes after compactedRevision, oldest first.
	history []platform.Value
	// compactedRevision is the store's revision at the last call of Compact, zero before the first.
	compactedRevision uint64
	leases            map[platform.Lease]*lease
	// revision is incremented by each write, grant and revocation.
	revision uint64
	// era is the number of calls of Restore.
	era uint64
	// copies holds the state before the changes of the last maxCopyAge and the states after each of
	// them, oldest first.
	copies []storeCopy
	// changed is closed and replaced at each change.
	changed      chan struct{}
	faults       Faults
	readLimiter  *rate.Limiter
	writeLimiter *rate.Limiter
	// callCount is the number of HTTP calls so far.
	callCount int
}

// Start serves an empty store on addr. It returns the store, the address that it listens on, and
// the function that stops it.
func Start(addr netip.AddrPort) (*Store, netip.AddrPort, func(), error) {
	s := &Store{
		values:       map[string]platform.Value{},
		leases:       map[platform.Lease]*lease{},
		changed:      make(chan struct{}),
		readLimiter:  rate.NewLimiter(readsPerSecond, readsPerSecond),
		writeLimiter: rate.NewLimiter(writesPerSecond, writesPerSecond),
	}
	s.keepCopy()
	s.handler = platform.StoreHandler(remoteStore{s})
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

// SetFaults replaces the injected faults. The zero value injects none.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Calls returns the number of HTTP calls so far. A watch counts once, however long it waits.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.callCount
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.admit(r) {
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
		return
	}
	s.handler.ServeHTTP(w, r)
}

// admit counts a call, delays it, and reports whether the faults and the rate limits admit it.
func (s *Store) admit(r *http.Request) bool {
	s.mu.Lock()
	s.callCount++
	f := s.faults
	s.mu.Unlock()
	time.Sleep(f.Delay)
	if f.Down {
		return false
	}
	if r.Method == http.MethodGet {
		return s.readLimiter.Allow()
	}
	return s.writeLimiter.Allow()
}
