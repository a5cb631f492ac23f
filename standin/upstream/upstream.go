// Package upstream is a small stand-in for a service's back end: it runs requests
// within its slots, holds feeds open, sheds what exceeds its slots, starts cold,
// and keeps an audit of every run by key.
package upstream

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Header fields of the stand-in's answers and requests.
const (
	// ServiceHeader names the service that ran a request.
	ServiceHeader = "Served-Service"
	// IdentityHeader names the upstream that ran a request.
	IdentityHeader = "Served-By"

	keyHeader      = "Idempotency-Key"
	deadlineHeader = "Request-Deadline-Ms"
	notRunHeader   = "Request-Not-Run"
)

const (
	maxFeeds     = 2000
	downloadPart = 16 << 10
)

// Options describe one stand-in.
type Options struct {
	Addr     netip.AddrPort `json:"address"`
	Service  string         `json:"service"`
	Identity string         `json:"identity"`
	Slots    int            `json:"slots"`
	// Short, Swap and Download are how long each kind of work takes.
	Short    time.Duration `json:"short"`
	Swap     time.Duration `json:"swap"`
	Download time.Duration `json:"download"`
	// FeedInterval is the time between events of a feed.
	FeedInterval time.Duration `json:"feed-interval"`
	// Cold is how long after its start the upstream needs twice the time.
	Cold time.Duration `json:"cold"`
	// LyingHealth makes the health endpoint claim the opposite.
	LyingHealth bool `json:"lying-health"`
}

// Run is one line of the audit.
type Run struct {
	Key string `json:"key"`
	// Runs is how often work under the key was begun here.
	Runs int `json:"runs"`
}

// Audit is what an upstream ran.
type Audit struct {
	Service  string `json:"service"`
	Identity string `json:"identity"`
	Runs     []Run  `json:"runs"`
	// Work is the total time that slots were held so far.
	Work time.Duration `json:"work"`
	// Ended is the part of Work that belongs to requests that have ended.
	Ended time.Duration `json:"ended"`
	// Useful is the part of Ended whose answer was written in time.
	Useful time.Duration `json:"useful"`
	Shed   int           `json:"shed"`
	// WrongService counts requests that were meant for another service.
	WrongService int `json:"wrong-service"`
}

// Upstream is the stand-in.
type Upstream struct {
	Options
	started time.Time
	server  *http.Server
	done    chan struct{}

	mu       sync.Mutex
	busy     int
	feeds    int
	runs     map[string]int
	audit    Audit
	dieAfter int
	cutNext  bool
	// accounted is the time up to which audit.Work is complete.
	accounted time.Time
}

// Start serves an upstream until the clean-up function is called.
func Start(o Options) (*Upstream, netip.AddrPort, func(), error) {
	u := &Upstream{Options: o, started: time.Now(), done: make(chan struct{}), runs: map[string]int{}, accounted: time.Now()}
	ln, err := net.Listen("tcp4", o.Addr.String())
	if err != nil {
		return nil, netip.AddrPort{}, nil, errors.Wrap(err, "upstream.Start")
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", u.health)
	mux.HandleFunc("GET /load", u.load)
	mux.HandleFunc("GET /audit", u.serveAudit)
	mux.HandleFunc("GET /feed", u.feed)
	mux.HandleFunc("GET /short", func(w http.ResponseWriter, r *http.Request) { u.work(w, r, u.Short, 256) })
	mux.HandleFunc("POST /swap", func(w http.ResponseWriter, r *http.Request) { u.work(w, r, u.Swap, 64) })
	mux.HandleFunc("GET /download", u.download)
	u.server = &http.Server{Handler: mux}
	go func() {
		defer close(u.done)
		_ = u.server.Serve(ln) // ends with ErrServerClosed
	}()
	return u, ln.Addr().(*net.TCPAddr).AddrPort(), u.stop, nil
}

// stop ends the upstream at once, as a crash would.
func (u *Upstream) stop() {
	u.server.Close()
	<-u.done
}

// DieAfter makes the upstream end in the middle of the n-th swap from now.
func (u *Upstream) DieAfter(n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.dieAfter = n
}

// CutDownload makes the next download end in the middle of its answer.
func (u *Upstream) CutDownload() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.cutNext = true
}

func (u *Upstream) takeCut() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	cut := u.cutNext
	u.cutNext = false
	return cut
}

func (u *Upstream) health(w http.ResponseWriter, _ *http.Request) {
	if u.LyingHealth {
		w.WriteHeader(http.StatusInternalServerError)
	}
}

func (u *Upstream) load(w http.ResponseWriter, _ *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	fmt.Fprintf(w, `{"busy":%d,"slots":%d}`, u.busy, u.Slots)
}

func (u *Upstream) serveAudit(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(u.Audit()) // the reader may be gone
}

// Audit returns what the upstream ran.
func (u *Upstream) Audit() Audit {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.account()
	a := u.audit
	a.Service = u.Service
	a.Identity = u.Identity
	for key, n := range u.runs {
		a.Runs = append(a.Runs, Run{Key: key, Runs: n})
	}
	return a
}

func (u *Upstream) head(w http.ResponseWriter) {
	w.Header().Set(ServiceHeader, u.Service)
	w.Header().Set(IdentityHeader, u.Identity)
}

func (u *Upstream) begin(w http.ResponseWriter, r *http.Request) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if want := r.Header.Get("Want-Service"); want != "" && want != u.Service {
		u.audit.WrongService++
	}
	if u.busy >= u.Slots {
		u.audit.Shed++
		w.Header().Set(notRunHeader, "?1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	}
	u.account()
	u.busy++
	if key := r.Header.Get(keyHeader); key != "" {
		u.runs[key]++
	}
	return true
}

// account adds the time since the last change. The caller holds mu.
func (u *Upstream) account() {
	now := time.Now()
	u.audit.Work += time.Duration(u.busy) * now.Sub(u.accounted)
	u.accounted = now
}

func (u *Upstream) end(began time.Time, useful bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	d := time.Since(began)
	u.account()
	u.busy--
	u.audit.Ended += d
	if useful {
		u.audit.Useful += d
	}
}

func (u *Upstream) duration(d time.Duration) time.Duration {
	if time.Since(u.started) < u.Cold {
		return 2 * d
	}
	return d
}

// work holds a slot for a while and answers. It stops early when the request is
// canceled.
func (u *Upstream) work(w http.ResponseWriter, r *http.Request, d time.Duration, size int) {
	body, err := io.ReadAll(r.Body)
	if err != nil || !u.begin(w, r) {
		return
	}
	began := time.Now()
	useful := false
	defer func() { u.end(began, useful) }()
	if u.dies(r) {
		time.Sleep(d / 2)
		go u.server.Close()
		time.Sleep(d)
		return
	}
	select {
	case <-time.After(u.duration(d)):
	case <-r.Context().Done():
		return
	}
	useful = inTime(r, began)
	u.head(w)
	w.Header().Set("Echo", string(body))
	_, _ = w.Write(payload(r.URL.Query().Get("id"), size)) // the reader may be gone
}

func (u *Upstream) dies(r *http.Request) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.dieAfter == 0 || r.Method != http.MethodPost {
		return false
	}
	u.dieAfter--
	return u.dieAfter == 0
}

func inTime(r *http.Request, began time.Time) bool {
	ms, err := strconv.Atoi(r.Header.Get(deadlineHeader))
	return err != nil || time.Since(began) <= time.Duration(ms)*time.Millisecond
}

// payload is the answer to request id: callers check that it is theirs and whole.
func payload(id string, size int) []byte {
	p := make([]byte, size)
	for i := range p {
		p[i] = '.'
	}
	copy(p, "answer-to "+id+" ")
	return p
}

// Payload returns the answer that a caller must get to request id.
func Payload(id string, size int) []byte { return payload(id, size) }

// DownloadSize is the size in bytes of a download.
const DownloadSize = 8 * downloadPart

// download holds a slot while it sends its answer in parts.
func (u *Upstream) download(w http.ResponseWriter, r *http.Request) {
	if !u.begin(w, r) {
		return
	}
	began := time.Now()
	useful := false
	defer func() { u.end(began, useful) }()
	u.head(w)
	w.Header().Set("Content-Length", strconv.Itoa(DownloadSize))
	whole := payload(r.URL.Query().Get("id"), DownloadSize)
	for i := range 8 {
		select {
		case <-time.After(u.duration(u.Download) / 8):
		case <-r.Context().Done():
			return
		}
		if _, err := w.Write(whole[i*downloadPart : (i+1)*downloadPart]); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		if i == 3 && u.takeCut() {
			panic(http.ErrAbortHandler)
		}
	}
	useful = true
}

// feed sends numbered events until the caller goes away.
func (u *Upstream) feed(w http.ResponseWriter, r *http.Request) {
	if !u.beginFeed(r) {
		w.Header().Set(notRunHeader, "?1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer u.endFeed()
	u.head(w)
	t := time.NewTicker(u.FeedInterval)
	defer t.Stop()
	for i := 0; ; i++ {
		if _, err := fmt.Fprintf(w, "%d\n", i); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		select {
		case <-t.C:
		case <-r.Context().Done():
			return
		}
	}
}

func (u *Upstream) beginFeed(r *http.Request) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if want := r.Header.Get("Want-Service"); want != "" && want != u.Service {
		u.audit.WrongService++
	}
	if u.feeds >= maxFeeds {
		return false
	}
	u.feeds++
	return true
}

func (u *Upstream) endFeed() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.feeds--
}
