// Package store is a small stand-in for the platform's key-value service, for
// tests and the demo. It keeps values in memory and enforces the published rates.
package store

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"greengagedyke/platform"
)

const (
	writesPerSecond = 300
	readsPerSecond  = 2000
	maxWait         = 20 * time.Second
)

type value struct {
	data     []byte
	revision uint64
}

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

// Store is the stand-in.
type Store struct {
	mu       sync.Mutex
	values   map[string]value
	revision uint64
	changed  chan struct{}
	faults   Faults
	reads    *rate.Limiter
	writes   *rate.Limiter
	calls    int
}

// Start serves a store on addr until the clean-up function is called.
func Start(addr netip.AddrPort) (*Store, netip.AddrPort, func(), error) {
	s := &Store{
		values:  map[string]value{},
		changed: make(chan struct{}),
		reads:   rate.NewLimiter(readsPerSecond, readsPerSecond),
		writes:  rate.NewLimiter(writesPerSecond, writesPerSecond),
	}
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
	key, ok := strings.CutPrefix(r.URL.Path, "/v1/values/")
	if !ok {
		http.NotFound(w, r)
		return
	}
	if !s.admit(r) {
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
		return
	}
	switch r.Method {
	case http.MethodGet:
		s.get(w, r, key)
	case http.MethodPut:
		s.put(w, r, key)
	default:
		http.Error(w, "method", http.StatusMethodNotAllowed)
	}
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

func (s *Store) get(w http.ResponseWriter, r *http.Request, key string) {
	after, err := strconv.ParseUint(r.URL.Query().Get("wait"), 10, 64)
	waits := err == nil
	ctx, cancel := context.WithTimeout(r.Context(), maxWait)
	defer cancel()
	for {
		v, ok, changed := s.look(key)
		if !waits || v.revision > after {
			writeValue(w, v, ok)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			w.WriteHeader(http.StatusNotModified)
			return
		}
	}
}

func (s *Store) look(key string) (value, bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.values[key]
	return v, ok, s.changed
}

func writeValue(w http.ResponseWriter, v value, ok bool) {
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set(platform.RevisionHeader, strconv.FormatUint(v.revision, 10))
	_, _ = w.Write(v.data) // the reader may be gone
}

func (s *Store) put(w http.ResponseWriter, r *http.Request, key string) {
	expected, err := strconv.ParseUint(r.Header.Get(platform.IfRevisionHeader), 10, 64)
	if err != nil {
		http.Error(w, "If-Revision is missing", http.StatusBadRequest)
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platform.MaxValue))
	if err != nil {
		http.Error(w, "too large", http.StatusRequestEntityTooLarge)
		return
	}
	revision, written, lose := s.swap(key, data, expected)
	if lose {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(platform.RevisionHeader, strconv.FormatUint(revision, 10))
	if !written {
		w.WriteHeader(http.StatusConflict)
	}
}

func (s *Store) swap(key string, data []byte, expected uint64) (revision uint64, written, lose bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.values[key].revision != expected {
		return s.values[key].revision, false, false
	}
	s.revision++
	s.values[key] = value{data: data, revision: s.revision}
	close(s.changed)
	s.changed = make(chan struct{})
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		s.faults.Down = s.faults.DownAfterLoss
		lose = true
	}
	return s.revision, true, lose
}
