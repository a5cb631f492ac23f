// Package upstream is a stand-in for an upstream of a service. It runs one request per slot and refuses
// further ones while all slots are busy. It also serves feeds, which are long-lived streams of numbered
// events and need no slot. It counts the runs of each idempotency key and can be made to fail.
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

// Header fields of requests and answers.
const (
	// ServiceHeader holds the service of the upstream that ran a request.
	ServiceHeader = "Served-Service"
	// IdentityHeader holds the identity of the upstream that ran a request.
	IdentityHeader = "Served-By"

	idempotencyKeyHeader = "Idempotency-Key"
	deadlineHeader       = "Request-Deadline-Ms"
	notRunHeader         = "Request-Not-Run"
)

const (
	// maxFeeds is the largest number of open feeds. They occupy no slots.
	maxFeeds = 2000
	// downloadPartSize is the size in bytes of each of the eight parts of a download.
	downloadPartSize = 16 << 10
)

// Options configure an upstream.
type Options struct {
	Addr     netip.AddrPort `json:"address"`
	Service  string         `json:"service"`
	Identity string         `json:"identity"`
	// Slots is the number of requests that run at the same time.
	Slots int `json:"slots"`
	// Short is the time that a GET of a short answer takes.
	Short time.Duration `json:"short"`
	// Swap is the time that a swap takes, which is a write with an idempotency key.
	Swap time.Duration `json:"swap"`
	// Download is the time that a GET of a long answer takes.
	Download time.Duration `json:"download"`
	// FeedInterval is the time between events of a feed.
	FeedInterval time.Duration `json:"feed-interval"`
	// Cold is the warm-up time after the start, in which requests take twice their time.
	Cold time.Duration `json:"cold"`
	// LyingHealth makes the health endpoint report a failure although the upstream works.
	LyingHealth bool `json:"lying-health"`
}

// Run holds the number of runs of an idempotency key.
type Run struct {
	Key string `json:"key"`
	// Runs is the number of times that a request with the key was started.
	Runs int `json:"runs"`
}

// Audit is an upstream's record of its work, for the comparison with the callers' results.
type Audit struct {
	Service  string `json:"service"`
	Identity string `json:"identity"`
	Runs     []Run  `json:"runs"`
	// Work is the busy time so far, summed over all slots.
	Work time.Duration `json:"work"`
	// Ended is the part of Work that was spent on requests that have ended.
	Ended time.Duration `json:"ended"`
	// Useful is the part of Ended that was spent on complete downloads, in time or late, and on other
	// requests that were answered before their deadline.
	Useful time.Duration `json:"useful"`
	// Shed counts requests that were refused because all slots were busy.
	Shed int `json:"shed"`
	// WrongService counts received requests and feeds whose Want-Service header names another service.
	WrongService int `json:"wrong-service"`
}

// Upstream is a running upstream.
type Upstream struct {
	Options
	startedAt time.Time
	server    *http.Server
	// done is closed when the server has stopped.
	done chan struct{}

	mu        sync.Mutex
	busySlots int
	// feeds is the number of open feeds.
	feeds     int
	runsByKey map[string]int
	// audit holds all fields of the audit except Service, Identity and Runs.
	audit Audit
	// swapsUntilCrash is the number of swaps up to and including the one in which the upstream
	// crashes. Zero means that no crash is due.
	swapsUntilCrash int
	cutNextDownload bool
	// workCountedUntil is the time up to which audit.Work is complete.
	workCountedUntil time.Time
}

// Start starts an upstream. It returns the upstream, the address that it listens on, and the
// function that stops it.
func Start(o Options) (*Upstream, netip.AddrPort, func(), error) {
	u := &Upstream{Options: o, startedAt: time.Now(), done: make(chan struct{}), runsByKey: map[string]int{}, workCountedUntil: time.Now()}
	ln, err := net.Listen("tcp4", o.Addr.String())
	if err != nil {
		return nil, netip.AddrPort{}, nil, errors.Wrap(err, "upstream.Start")
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", u.serveHealth)
	mux.HandleFunc("GET /load", u.serveLoad)
	mux.HandleFunc("GET /audit", u.serveAudit)
	mux.HandleFunc("GET /feed", u.serveFeed)
	mux.HandleFunc("GET /short", func(w http.ResponseWriter, r *http.Request) { u.serveWork(w, r, u.Short, 256) })
	mux.HandleFunc("POST /swap", func(w http.ResponseWriter, r *http.Request) { u.serveWork(w, r, u.Swap, 64) })
	mux.HandleFunc("GET /download", u.serveDownload)
	u.server = &http.Server{Handler: mux}
	go func() {
		defer close(u.done)
		_ = u.server.Serve(ln) // ends with ErrServerClosed
	}()
	return u, ln.Addr().(*net.TCPAddr).AddrPort(), u.stop, nil
}

// stop closes the listener and all connections at once, as a crash would.
func (u *Upstream) stop() {
	u.server.Close()
	<-u.done
}

// CrashDuringSwap makes the upstream crash in the middle of the n-th swap from now.
func (u *Upstream) CrashDuringSwap(n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.swapsUntilCrash = n
}

// CutDownload makes the upstream close the connection in the middle of the next download.
func (u *Upstream) CutDownload() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.cutNextDownload = true
}

// consumeCut reports whether the current download is to be cut, and clears cutNextDownload.
func (u *Upstream) consumeCut() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	cut := u.cutNextDownload
	u.cutNextDownload = false
	return cut
}

// serveHealth answers a health check.
func (u *Upstream) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if u.LyingHealth {
		w.WriteHeader(http.StatusInternalServerError)
	}
}

// serveLoad answers with the number of busy slots and the total number of slots as JSON.
func (u *Upstream) serveLoad(w http.ResponseWriter, _ *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	fmt.Fprintf(w, `{"busy":%d,"slots":%d}`, u.busySlots, u.Slots)
}

// serveAudit answers with the audit as JSON.
func (u *Upstream) serveAudit(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(u.Audit()) // the reader may be gone
}

// Audit returns the record of the upstream's work so far.
func (u *Upstream) Audit() Audit {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.updateWork()
	a := u.audit
	a.Service = u.Service
	a.Identity = u.Identity
	for key, n := range u.runsByKey {
		a.Runs = append(a.Runs, Run{Key: key, Runs: n})
	}
	return a
}

// setIdentityHeaders adds the service and the identity to an answer.
func (u *Upstream) setIdentityHeaders(w http.ResponseWriter) {
	w.Header().Set(ServiceHeader, u.Service)
	w.Header().Set(IdentityHeader, u.Identity)
}

// acquireSlot occupies a slot and counts a run of the request's idempotency key, if it has one. If all
// slots are busy, it answers that the request was not run and returns false. In both cases, it counts
// a request for another service in audit.WrongService.
func (u *Upstream) acquireSlot(w http.ResponseWriter, r *http.Request) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if want := r.Header.Get("Want-Service"); want != "" && want != u.Service {
		u.audit.WrongService++
	}
	if u.busySlots >= u.Slots {
		u.audit.Shed++
		w.Header().Set(notRunHeader, "?1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	}
	u.updateWork()
	u.busySlots++
	if key := r.Header.Get(idempotencyKeyHeader); key != "" {
		u.runsByKey[key]++
	}
	return true
}

// updateWork adds the busy time of all slots since workCountedUntil to audit.Work. The caller holds mu.
func (u *Upstream) updateWork() {
	now := time.Now()
	u.audit.Work += time.Duration(u.busySlots) * now.Sub(u.workCountedUntil)
	u.workCountedUntil = now
}

// releaseSlot frees a slot that was acquired at startedAt and adds the time since then to
// audit.Ended, and also to audit.Useful if useful is true.
func (u *Upstream) releaseSlot(startedAt time.Time, useful bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	d := time.Since(startedAt)
	u.updateWork()
	u.busySlots--
	u.audit.Ended += d
	if useful {
		u.audit.Useful += d
	}
}

// serviceTime returns how long a request takes now: d, or twice as long during the warm-up time Cold.
func (u *Upstream) serviceTime(d time.Duration) time.Duration {
	if time.Since(u.startedAt) < u.Cold {
		return 2 * d
	}
	return d
}

// serveWork occupies a slot for serviceTime(d) and answers with size bytes. It stops without an answer
// if the request is canceled or the upstream crashes in it.
func (u *Upstream) serveWork(w http.ResponseWriter, r *http.Request, d time.Duration, size int) {
	body, err := io.ReadAll(r.Body)
	if err != nil || !u.acquireSlot(w, r) {
		return
	}
	startedAt := time.Now()
	useful := false
	defer func() { u.releaseSlot(startedAt, useful) }()
	if u.crashesNow(r) {
		time.Sleep(d / 2)
		go u.server.Close()
		time.Sleep(d)
		return
	}
	select {
	case <-time.After(u.serviceTime(d)):
	case <-r.Context().Done():
		return
	}
	useful = beforeDeadline(r, startedAt)
	u.setIdentityHeaders(w)
	w.Header().Set("Echo", string(body))
	_, _ = w.Write(payload(r.URL.Query().Get("id"), size)) // the reader may be gone
}

// crashesNow decrements swapsUntilCrash if the request is a swap and a crash is due. It reports
// whether the upstream is to crash in this request.
func (u *Upstream) crashesNow(r *http.Request) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.swapsUntilCrash == 0 || r.Method != http.MethodPost {
		return false
	}
	u.swapsUntilCrash--
	return u.swapsUntilCrash == 0
}

// beforeDeadline reports whether at most the request's deadline has passed since startedAt. A
// request without a deadline is never late.
func beforeDeadline(r *http.Request, startedAt time.Time) bool {
	ms, err := strconv.Atoi(r.Header.Get(deadlineHeader))
	return err != nil || time.Since(startedAt) <= time.Duration(ms)*time.Millisecond
}

// payload returns the body of the answer to the request with the given ID. The body contains the ID,
// so that a caller detects an answer to a different request.
func payload(id string, size int) []byte {
	p := make([]byte, size)
	for i := range p {
		p[i] = '.'
	}
	copy(p, "answer-to "+id+" ")
	return p
}

// Payload returns the body that the answer to the request with the given ID must have.
func Payload(id string, size int) []byte { return payload(id, size) }

// DownloadSize is the size of a download in bytes.
const DownloadSize = 8 * downloadPartSize

// serveDownload occupies a slot while it sends its answer in eight parts at equal intervals.
func (u *Upstream) serveDownload(w http.ResponseWriter, r *http.Request) {
	if !u.acquireSlot(w, r) {
		return
	}
	startedAt := time.Now()
	useful := false
	defer func() { u.releaseSlot(startedAt, useful) }()
	u.setIdentityHeaders(w)
	w.Header().Set("Content-Length", strconv.Itoa(DownloadSize))
	body := payload(r.URL.Query().Get("id"), DownloadSize)
	for i := range 8 {
		select {
		case <-time.After(u.serviceTime(u.Download) / 8):
		case <-r.Context().Done():
			return
		}
		if _, err := w.Write(body[i*downloadPartSize : (i+1)*downloadPartSize]); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		if i == 3 && u.consumeCut() {
			panic(http.ErrAbortHandler)
		}
	}
	useful = true
}

// serveFeed sends an event, a line with its number, at each FeedInterval until the request is canceled.
func (u *Upstream) serveFeed(w http.ResponseWriter, r *http.Request) {
	if !u.beginFeed(r) {
		w.Header().Set(notRunHeader, "?1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer u.endFeed()
	u.setIdentityHeaders(w)
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

// beginFeed counts a new feed as open, or returns false if maxFeeds are open. In both cases, it counts
// a feed for another service in audit.WrongService.
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
