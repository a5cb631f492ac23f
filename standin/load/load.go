// Package load plays a service's callers: feeds that stay open, and open-loop
// arrivals of swaps, short reads and long downloads. It keeps its own record of
// what it was told, to be compared with what the upstreams ran.
package load

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	mathrand "math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

// Options describe the callers of one service.
type Options struct {
	Address netip.AddrPort `json:"address"`
	Service string         `json:"service"`
	// Connections are the connections that requests are spread over.
	Connections int `json:"connections"`
	// Feeds are opened at the start, each on a connection of its own.
	Feeds int `json:"feeds"`
	// FeedGap is the longest time between two events of a feed before it counts as broken.
	FeedGap time.Duration `json:"feed-gap"`
	// Rates are arrivals a second.
	Rates map[Kind]float64 `json:"rates"`
	// Deadlines are how long a caller waits.
	Deadlines map[Kind]time.Duration `json:"deadlines"`
	// Repeats is how often a caller repeats a swap that it has no outcome of.
	Repeats int `json:"repeats"`
	// GiveUp makes callers abandon the first attempt of a swap after this time and
	// repeat it; zero if they wait.
	GiveUp time.Duration `json:"give-up"`
	// Blind makes repeats look like first attempts.
	Blind bool `json:"blind"`
	// Seed makes arrivals the same in every run.
	Seed uint64 `json:"seed"`
	// Roots are the certificates that callers trust.
	Roots *x509.CertPool `json:"-"`
	// ServerName is the name that callers expect in the certificate.
	ServerName string `json:"server-name"`
}

// Load is a running set of callers.
type Load struct {
	Options
	recorder *recorder
	conns    []*connection
	random   *mathrand.Rand
	run      string

	mu     sync.Mutex
	factor float64

	requests sync.WaitGroup
	feeds    sync.WaitGroup
	endFeeds context.CancelFunc
	feedCtx  context.Context
}

// New returns callers that send nothing yet, and a clean-up function that closes
// their connections.
func New(o Options) (*Load, func()) {
	l := &Load{
		Options:  o,
		recorder: newRecorder(),
		random:   mathrand.New(mathrand.NewPCG(o.Seed, 1)),
		run:      rand.Text()[:8],
		factor:   1,
	}
	l.feedCtx, l.endFeeds = context.WithCancel(context.Background())
	for range max(1, o.Connections) {
		l.conns = append(l.conns, newConnection(l.tls()))
	}
	return l, l.close
}

func (l *Load) tls() *tls.Config {
	return &tls.Config{RootCAs: l.Roots, ServerName: l.ServerName, MinVersion: tls.VersionTLS13}
}

// SetFactor multiplies all rates, for a swing of demand.
func (l *Load) SetFactor(f float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.factor = f
}

func (l *Load) currentFactor() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.factor
}

// SetRate replaces the rate of one kind.
func (l *Load) SetRate(k Kind, rate float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Rates[k] = rate
}

func (l *Load) rate(k Kind) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Rates[k]
}

// OpenFeeds opens all feeds and returns when each has had its first event or
// failed, or ctx ends.
func (l *Load) OpenFeeds(ctx context.Context) {
	var first sync.WaitGroup
	limit := make(chan struct{}, 32)
	for range l.Feeds {
		first.Add(1)
		limit <- struct{}{}
		l.feeds.Go(func() {
			once := sync.OnceFunc(func() {
				<-limit
				first.Done()
			})
			defer once()
			l.feed(once)
		})
	}
	done := make(chan struct{})
	go func() {
		first.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Run sends requests until ctx ends, and waits for their outcomes.
func (l *Load) Run(ctx context.Context) {
	const step = 2 * time.Millisecond
	t := time.NewTicker(step)
	defer t.Stop()
	last := time.Now()
	due := map[Kind]float64{}
	for n := 0; ; {
		select {
		case <-ctx.Done():
			l.requests.Wait()
			return
		case now := <-t.C:
			elapsed := now.Sub(last).Seconds() * l.currentFactor()
			last = now
			for _, k := range []Kind{KindSwap, KindShort, KindDownload} {
				due[k] += l.rate(k) * elapsed
				for ; due[k] > 0; due[k] -= l.random.ExpFloat64() {
					n++
					l.send(k, n)
				}
			}
		}
	}
}

func (l *Load) send(k Kind, n int) {
	id := fmt.Sprintf("%s-%s-%d", l.run, k, n)
	conn := l.conns[l.random.IntN(len(l.conns))]
	since := l.recorder.sent(k)
	l.requests.Go(func() { l.request(conn, k, id, since) })
}

// Wait closes all feeds and waits for everything that is open.
func (l *Load) Wait() {
	l.endFeeds()
	l.requests.Wait()
	l.feeds.Wait()
}

// Result is what the callers saw so far.
func (l *Load) Result() Result { return l.recorder.snapshot() }

func (l *Load) close() {
	l.Wait()
	for _, c := range l.conns {
		c.close()
	}
}
