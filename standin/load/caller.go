package load

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"greengagedyke/standin/upstream"
)

const (
	keyHeader      = "Idempotency-Key"
	receiptHeader  = "Request-Receipt"
	deadlineHeader = "Request-Deadline-Ms"
	outcomeHeader  = "Request-Outcome"
	wantHeader     = "Want-Service"

	// answerGrace is how much longer than its deadline a caller waits for an answer.
	answerGrace      = 500 * time.Millisecond
	handshakeTimeout = 5 * time.Second
)

// connection is one caller's connection, replaced when it has stopped working.
type connection struct {
	tls *tls.Config

	mu      sync.Mutex
	current *wire
	old     []*wire
}

// wire is one HTTP/3 connection with a socket of its own.
type wire struct {
	http *http3.Transport
	quic *quic.Transport
	udp  *net.UDPConn
}

func newConnection(cfg *tls.Config) *connection { return &connection{tls: cfg} }

func newWire(cfg *tls.Config) (*wire, error) {
	udp, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	w := &wire{udp: udp, quic: &quic.Transport{Conn: udp}}
	w.http = &http3.Transport{
		TLSClientConfig: cfg,
		QUICConfig:      &quic.Config{HandshakeIdleTimeout: handshakeTimeout, MaxIdleTimeout: 30 * time.Second, KeepAlivePeriod: 5 * time.Second},
		Dial: func(ctx context.Context, addr string, tlsCfg *tls.Config, cfg *quic.Config) (*quic.Conn, error) {
			to, err := net.ResolveUDPAddr("udp4", addr)
			if err != nil {
				return nil, err
			}
			return w.quic.DialEarly(ctx, to, tlsCfg, cfg)
		},
	}
	return w, nil
}

func (w *wire) close() {
	w.http.Close()
	w.quic.Close()
	w.udp.Close()
}

func (c *connection) wire() (*wire, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != nil {
		return c.current, nil
	}
	w, err := newWire(c.tls)
	c.current = w
	return w, err
}

// drop makes later requests use a new connection in place of one that failed.
func (c *connection) drop(w *wire) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == w {
		c.old = append(c.old, w)
		c.current = nil
	}
}

func (c *connection) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.old {
		w.close()
	}
	if c.current != nil {
		c.current.close()
	}
}

// tried is the result of one attempt.
type tried struct {
	outcome      outcome
	reason       string
	receipt      string
	wrongService bool
}

var paths = map[Kind]string{KindShort: "/short", KindSwap: "/swap", KindDownload: "/download"}

// sizes are the lengths in bytes of the answers.
var sizes = map[Kind]int{KindShort: 256, KindSwap: 64, KindDownload: upstream.DownloadSize}

// request sends one request, repeats a swap while it has no outcome, and records
// what the caller was told.
func (l *Load) request(c *connection, k Kind, id string, since *tally) {
	began := time.Now()
	key := ""
	if k == KindSwap {
		key = id
	}
	wait := l.Deadlines[k] + answerGrace
	first := wait
	if key != "" && l.GiveUp > 0 {
		first = l.GiveUp
	}
	t := l.attempt(c, k, id, key, "", first)
	for n := 0; key != "" && (t.outcome == outcomeLost || t.outcome == outcomeCut) && n < l.Repeats; n++ {
		receipt := t.receipt
		if receipt == "" {
			receipt = "none"
		}
		if l.Blind {
			receipt = ""
		}
		t = l.attempt(c, k, id, key, receipt, wait)
		if t.receipt == "" {
			t.receipt = receipt
		}
	}
	l.recorder.ended(k, key, t, since, time.Since(began), l.Deadlines[k])
}

func (l *Load) attempt(c *connection, k Kind, id, key, receipt string, wait time.Duration) tried {
	deadline := l.Deadlines[k]
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	var t tried
	var mu sync.Mutex
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		Got1xxResponse: func(_ int, h textproto.MIMEHeader) error {
			mu.Lock()
			defer mu.Unlock()
			t.receipt = h.Get(receiptHeader)
			return nil
		},
	})
	request, err := l.newRequest(ctx, k, id)
	if err != nil {
		return tried{outcome: outcomeLost, reason: err.Error()}
	}
	request.Header.Set(deadlineHeader, strconv.FormatInt(deadline.Milliseconds(), 10))
	if key != "" {
		request.Header.Set(keyHeader, key)
	}
	if receipt != "" {
		request.Header.Set(receiptHeader, receipt)
	}
	w, err := c.wire()
	if err != nil {
		return tried{outcome: outcomeLost, reason: err.Error()}
	}
	response, err := w.http.RoundTrip(request)
	mu.Lock()
	defer mu.Unlock()
	if err != nil {
		c.drop(w)
		t.outcome = outcomeLost
		t.reason = "no answer: " + briefly(err)
		return t
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	l.judge(&t, k, id, response, body, err)
	return t
}

func briefly(err error) string {
	s := err.Error()
	return s[:min(len(s), 60)]
}

func (l *Load) newRequest(ctx context.Context, k Kind, id string) (*http.Request, error) {
	method := http.MethodGet
	var body []byte
	if k == KindSwap {
		method = http.MethodPost
		body = []byte(id)
	}
	url := fmt.Sprintf("https://%s%s?id=%s", l.Address, paths[k], id)
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err == nil {
		request.Header.Set(wantHeader, l.Service)
	}
	return request, err
}

func (l *Load) judge(t *tried, k Kind, id string, response *http.Response, body []byte, err error) {
	switch {
	case response.Header.Get(outcomeHeader) != "":
		t.outcome = outcome(response.Header.Get(outcomeHeader))
		t.reason = problemType(body)
	case err != nil:
		t.outcome = outcomeCut
		t.reason = "cut: " + briefly(err)
	case response.StatusCode != http.StatusOK || !bytes.Equal(body, upstream.Payload(id, sizes[k])):
		t.outcome = outcomeWrong
		t.reason = fmt.Sprintf("wrong answer: status %d, %d bytes", response.StatusCode, len(body))
	default:
		t.outcome = outcomeAnswered
		t.wrongService = response.Header.Get(upstream.ServiceHeader) != l.Service
	}
}

func problemType(body []byte) string {
	_, rest, _ := strings.Cut(string(body), "about:blank#")
	reason, _, _ := strings.Cut(rest, `"`)
	return reason
}

// feed opens one feed on a connection of its own and reads it until it is closed
// by the caller; first is called at its first event.
func (l *Load) feed(first func()) {
	w, err := newWire(l.tls())
	if err != nil {
		l.feedEnded(true, false)
		return
	}
	defer w.close()
	url := fmt.Sprintf("https://%s/feed", l.Address)
	request, err := http.NewRequestWithContext(l.feedCtx, http.MethodGet, url, http.NoBody)
	if err != nil {
		l.feedEnded(true, false)
		return
	}
	request.Header.Set(wantHeader, l.Service)
	response, err := w.http.RoundTrip(request)
	if err != nil || response.StatusCode != http.StatusOK {
		l.feedEnded(l.feedCtx.Err() == nil, false)
		return
	}
	defer response.Body.Close()
	wrong := response.Header.Get(upstream.ServiceHeader) != l.Service
	whole := l.readFeed(response.Body, first)
	l.feedEnded(!whole && l.feedCtx.Err() == nil, wrong)
}

// readFeed checks that events come in order without gaps; it reports false when
// the feed ended, skipped an event or stalled.
func (l *Load) readFeed(body io.Reader, first func()) bool {
	lines := bufio.NewScanner(body)
	last := time.Now()
	for i := 0; lines.Scan(); i++ {
		if lines.Text() != strconv.Itoa(i) {
			return false
		}
		if i > 0 && time.Since(last) > l.FeedGap {
			return false
		}
		last = time.Now()
		first()
	}
	return false
}

func (l *Load) feedEnded(broken, wrong bool) {
	r := l.recorder
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Feeds++
	if broken {
		r.result.BrokenFeeds++
	}
	if wrong {
		r.result.WrongFeeds++
	}
}
