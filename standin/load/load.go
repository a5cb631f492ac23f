// Package load generates the requests of a service's callers. Callers open feeds, which are long-lived
// streams of numbered events, and send requests of each Kind at random times, without waiting for
// earlier answers (open loop). The package records the callers' results and compares them with the
// audits of the upstreams, their records of the requests that they ran.
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

// Options configure the callers of one service.
type Options struct {
	// Address is the service's address, which callers connect to.
	Address netip.AddrPort `json:"address"`
	// Service is the service that must answer.
	Service string `json:"service"`
	// Connections is the number of connections that requests other than feeds are spread over. Zero
	// means one.
	Connections int `json:"connections"`
	// Feeds is the number of feeds that OpenFeeds opens, each on its own connection.
	Feeds int `json:"feeds"`
	// FeedGap is the longest time between two events of a feed. A feed with a longer gap counts
	// as broken.
	FeedGap time.Duration `json:"feed-gap"`
	// Rates are the mean arrival rates of each kind in requests per second.
	Rates map[Kind]float64 `json:"rates"`
	// Deadlines are the times after which answers of each kind count as late.
	Deadlines map[Kind]time.Duration `json:"deadlines"`
	// Repeats is the largest number of repeats of a swap whose answer is missing or incomplete.
	Repeats int `json:"repeats"`
	// GiveUp is the time after which callers abandon the first attempt of a swap and repeat it.
	// Zero means that they wait for the answer until after the deadline.
	GiveUp time.Duration `json:"give-up"`
	// Blind makes callers repeat swaps without a receipt, so that a balancer cannot distinguish
	// a repeat from a first attempt.
	Blind bool `json:"blind"`
	// Seed determines the random gaps between requests and the choice of their connections.
	Seed uint64 `json:"seed"`
	// Roots are the root certificates for the verification of the balancers' certificate.
	Roots *x509.CertPool `json:"-"`
	// ServerName is the server name that the balancers' certificate must be valid for.
	ServerName string `json:"server-name"`
}

// Load is a set of callers of one service.
type Load struct {
	Options
	recorder *recorder
	// clients are the HTTP clients for all requests but feeds. Each sends on one connection at a time.
	clients []*callerClient
	random  *mathrand.Rand
	// runID distinguishes the request IDs of this run from those of other runs.
	runID string

	mu sync.Mutex
	// rateFactor multiplies all rates.
	rateFactor float64

	requests sync.WaitGroup // of open requests other than feeds
	feeds    sync.WaitGroup // of open feeds
	// cancelFeeds closes all feeds by canceling feedCtx.
	cancelFeeds context.CancelFunc
	// feedCtx is the context of each feed's request. It ends when Wait calls cancelFeeds; a feed that
	// breaks off after that does not count as broken.
	feedCtx context.Context
}

// New returns callers that send nothing yet, and the function that closes their feeds and
// connections.
func New(o Options) (*Load, func()) {
	l := &Load{
		Options:    o,
		recorder:   newRecorder(),
		random:     mathrand.New(mathrand.NewPCG(o.Seed, 1)),
		runID:      rand.Text()[:8],
		rateFactor: 1,
	}
	l.feedCtx, l.cancelFeeds = context.WithCancel(context.Background())
	for range max(1, o.Connections) {
		l.clients = append(l.clients, newCallerClient(l.newTLSConfig()))
	}
	return l, l.close
}

func (l *Load) newTLSConfig() *tls.Config {
	return &tls.Config{RootCAs: l.Roots, ServerName: l.ServerName, MinVersion: tls.VersionTLS13}
}

// SetFactor sets the factor that multiplies all rates. It is 1 at first.
func (l *Load) SetFactor(f float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rateFactor = f
}

func (l *Load) currentFactor() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rateFactor
}

// SetRate replaces the arrival rate of one kind, in requests per second.
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

// OpenFeeds opens all feeds. It returns when each one has received its first event or failed, or
// when ctx is done.
func (l *Load) OpenFeeds(ctx context.Context) {
	var pending sync.WaitGroup
	opening := make(chan struct{}, 32) // limits how many feeds wait for their first event
	for range l.Feeds {
		pending.Add(1)
		opening <- struct{}{}
		l.feeds.Go(func() {
			onFirstEvent := sync.OnceFunc(func() {
				<-opening
				pending.Done()
			})
			defer onFirstEvent()
			l.feed(onFirstEvent)
		})
	}
	done := make(chan struct{})
	go func() {
		pending.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Run sends requests other than feeds, as a Poisson process for each kind, until ctx is done. It then
// waits for their results.
func (l *Load) Run(ctx context.Context) {
	const step = 2 * time.Millisecond
	t := time.NewTicker(step)
	defer t.Stop()
	last := time.Now()
	// For each kind, the expected number of arrivals since the latest request minus the random gap
	// before the next one, also in arrivals. The next request is due once the value is positive.
	dueRequests := map[Kind]float64{}
	for n := 0; ; {
		select {
		case <-ctx.Done():
			l.requests.Wait()
			return
		case now := <-t.C:
			elapsed := now.Sub(last).Seconds() * l.currentFactor()
			last = now
			for _, k := range []Kind{KindSwap, KindShort, KindDownload} {
				dueRequests[k] += l.rate(k) * elapsed
				for ; dueRequests[k] > 0; dueRequests[k] -= l.random.ExpFloat64() {
					n++
					l.send(k, n)
				}
			}
		}
	}
}

// send starts the n-th request of a run, with a random client. It does not wait for the result.
func (l *Load) send(k Kind, n int) {
	id := fmt.Sprintf("%s-%s-%d", l.runID, k, n)
	client := l.clients[l.random.IntN(len(l.clients))]
	markTally := l.recorder.recordSent(k)
	l.requests.Go(func() { l.request(client, k, id, markTally) })
}

// Wait closes all feeds and waits for them and for all open requests.
func (l *Load) Wait() {
	l.cancelFeeds()
	l.requests.Wait()
	l.feeds.Wait()
}

// Result returns the results so far.
func (l *Load) Result() Result { return l.recorder.snapshot() }

func (l *Load) close() {
	l.Wait()
	for _, c := range l.clients {
		c.close()
	}
}
