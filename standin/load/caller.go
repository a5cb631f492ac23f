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
	idempotencyKeyHeader = "Idempotency-Key"
	receiptHeader        = "Request-Receipt"
	deadlineHeader       = "Request-Deadline-Ms"
	outcomeHeader        = "Request-Outcome"
	wantServiceHeader    = "Want-Service"

	// answerGrace is how long a caller goes on waiting for an answer after the request's deadline.
	answerGrace = 500 * time.Millisecond
	// handshakeTimeout is how long a QUIC handshake may go without a packet from the peer.
	handshakeTimeout = 5 * time.Second
)

// callerClient is an HTTP client that sends on one connection and replaces it after a failure.
type callerClient struct {
	tlsConfig *tls.Config

	mu sync.Mutex
	// current is the connection for new requests, nil if the next request has to open one.
	current *http3Conn
	// discarded are failed connections, on which other requests may still be open.
	discarded []*http3Conn
}

// http3Conn is an HTTP/3 connection and its UDP socket, which it shares with no other connection.
type http3Conn struct {
	http *http3.Transport
	quic *quic.Transport
	udp  *net.UDPConn
}

func newCallerClient(cfg *tls.Config) *callerClient { return &callerClient{tlsConfig: cfg} }

// newHTTP3Conn returns a connection that is established by its first request.
func newHTTP3Conn(cfg *tls.Config) (*http3Conn, error) {
	udp, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	conn := &http3Conn{udp: udp, quic: &quic.Transport{Conn: udp}}
	conn.http = &http3.Transport{
		TLSClientConfig: cfg,
		QUICConfig:      &quic.Config{HandshakeIdleTimeout: handshakeTimeout, MaxIdleTimeout: 30 * time.Second, KeepAlivePeriod: 5 * time.Second},
		Dial: func(ctx context.Context, addr string, tlsCfg *tls.Config, cfg *quic.Config) (*quic.Conn, error) {
			to, err := net.ResolveUDPAddr("udp4", addr)
			if err != nil {
				return nil, err
			}
			return conn.quic.DialEarly(ctx, to, tlsCfg, cfg)
		},
	}
	return conn, nil
}

func (conn *http3Conn) close() {
	conn.http.Close()
	conn.quic.Close()
	conn.udp.Close()
}

// conn returns the current connection, or a new one if there is none.
func (c *callerClient) conn() (*http3Conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != nil {
		return c.current, nil
	}
	conn, err := newHTTP3Conn(c.tlsConfig)
	c.current = conn
	return conn, err
}

// discard makes later requests use a new connection instead of conn, which has failed.
func (c *callerClient) discard(conn *http3Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == conn {
		c.discarded = append(c.discarded, conn)
		c.current = nil
	}
}

// close closes all connections.
func (c *callerClient) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.discarded {
		conn.close()
	}
	if c.current != nil {
		c.current.close()
	}
}

// attemptResult is the result of sending a request once.
type attemptResult struct {
	outcome outcome
	// reason explains an outcome other than outcomeAnswered.
	reason string
	// receipt is the Request-Receipt header of an informational (1xx) response, empty if none arrived.
	receipt string
	// wrongService is true if the outcome is outcomeAnswered and an upstream of another service
	// answered.
	wrongService bool
}

// requestPaths are the URL paths of the kinds.
var requestPaths = map[Kind]string{KindShort: "/short", KindSwap: "/swap", KindDownload: "/download"}

// answerSizes are the sizes of the kinds' answers in bytes.
var answerSizes = map[Kind]int{KindShort: 256, KindSwap: 64, KindDownload: upstream.DownloadSize}

// request sends the request with the given id and records its result. It repeats a swap up to Repeats
// times while the answer is missing or incomplete.
func (l *Load) request(c *callerClient, k Kind, id string, markTally *tally) {
	startedAt := time.Now()
	key := ""
	if k == KindSwap {
		key = id
	}
	timeout := l.Deadlines[k] + answerGrace
	firstTimeout := timeout
	if key != "" && l.GiveUp > 0 {
		firstTimeout = l.GiveUp
	}
	t := l.attempt(c, k, id, key, "", firstTimeout)
	for n := 0; key != "" && (t.outcome == outcomeLost || t.outcome == outcomeCut) && n < l.Repeats; n++ {
		receipt := t.receipt
		if receipt == "" {
			receipt = "none"
		}
		if l.Blind {
			receipt = ""
		}
		t = l.attempt(c, k, id, key, receipt, timeout)
		if t.receipt == "" {
			t.receipt = receipt
		}
	}
	l.recorder.recordResult(k, key, t, markTally, time.Since(startedAt), l.Deadlines[k])
}

// attempt sends a request once. Key is the value of the Idempotency-Key header. Receipt is the value
// of the Request-Receipt header: the receipt that an earlier attempt got, or "none" if that attempt got
// none. A header whose value is empty is left out.
func (l *Load) attempt(c *callerClient, k Kind, id, key, receipt string, timeout time.Duration) attemptResult {
	deadline := l.Deadlines[k]
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var t attemptResult
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
		return attemptResult{outcome: outcomeLost, reason: err.Error()}
	}
	request.Header.Set(deadlineHeader, strconv.FormatInt(deadline.Milliseconds(), 10))
	if key != "" {
		request.Header.Set(idempotencyKeyHeader, key)
	}
	if receipt != "" {
		request.Header.Set(receiptHeader, receipt)
	}
	conn, err := c.conn()
	if err != nil {
		return attemptResult{outcome: outcomeLost, reason: err.Error()}
	}
	response, err := conn.http.RoundTrip(request)
	mu.Lock()
	defer mu.Unlock()
	if err != nil {
		c.discard(conn)
		t.outcome = outcomeLost
		t.reason = "no answer: " + truncateError(err)
		return t
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	l.classify(&t, k, id, response, body, err)
	return t
}

// truncateError returns the first 60 bytes of an error's text.
func truncateError(err error) string {
	s := err.Error()
	return s[:min(len(s), 60)]
}

// newRequest returns a request of a kind, without the headers that differ between attempts.
func (l *Load) newRequest(ctx context.Context, k Kind, id string) (*http.Request, error) {
	method := http.MethodGet
	var body []byte
	if k == KindSwap {
		method = http.MethodPost
		body = []byte(id)
	}
	url := fmt.Sprintf("https://%s%s?id=%s", l.Address, requestPaths[k], id)
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err == nil {
		request.Header.Set(wantServiceHeader, l.Service)
	}
	return request, err
}

// classify sets the outcome and the reason of t from a response. If reading the body failed, err is
// that error.
func (l *Load) classify(t *attemptResult, k Kind, id string, response *http.Response, body []byte, err error) {
	switch {
	case response.Header.Get(outcomeHeader) != "":
		t.outcome = outcome(response.Header.Get(outcomeHeader))
		t.reason = problemReason(body)
	case err != nil:
		t.outcome = outcomeCut
		t.reason = "cut: " + truncateError(err)
	case response.StatusCode != http.StatusOK || !bytes.Equal(body, upstream.Payload(id, answerSizes[k])):
		t.outcome = outcomeWrong
		t.reason = fmt.Sprintf("wrong answer: status %d, %d bytes", response.StatusCode, len(body))
	default:
		t.outcome = outcomeAnswered
		t.wrongService = response.Header.Get(upstream.ServiceHeader) != l.Service
	}
}

// problemReason returns the reason from the type "about:blank#REASON" of a problem document, or an
// empty string if body has none.
func problemReason(body []byte) string {
	_, rest, _ := strings.Cut(string(body), "about:blank#")
	reason, _, _ := strings.Cut(rest, `"`)
	return reason
}

// feed opens a feed on a new connection, reads it until it breaks or feedCtx is done, and records the
// result. It calls onEvent at each event.
func (l *Load) feed(onEvent func()) {
	conn, err := newHTTP3Conn(l.newTLSConfig())
	if err != nil {
		l.recordFeed(true, false)
		return
	}
	defer conn.close()
	url := fmt.Sprintf("https://%s/feed", l.Address)
	request, err := http.NewRequestWithContext(l.feedCtx, http.MethodGet, url, http.NoBody)
	if err != nil {
		l.recordFeed(true, false)
		return
	}
	request.Header.Set(wantServiceHeader, l.Service)
	response, err := conn.http.RoundTrip(request)
	if err != nil || response.StatusCode != http.StatusOK {
		l.recordFeed(l.feedCtx.Err() == nil, false)
		return
	}
	defer response.Body.Close()
	wrongService := response.Header.Get(upstream.ServiceHeader) != l.Service
	intact := l.readFeed(response.Body, onEvent)
	l.recordFeed(!intact && l.feedCtx.Err() == nil, wrongService)
}

// readFeed reads events and calls onEvent at each one, until the feed ends, skips an event, or an
// event comes later than FeedGap after the previous one. It always returns false: only the feed's
// context distinguishes a feed that broke from one that its caller closed.
func (l *Load) readFeed(body io.Reader, onEvent func()) bool {
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
		onEvent()
	}
	return false
}

// recordFeed counts a feed that has ended. WrongService is true if an upstream of another service
// answered it.
func (l *Load) recordFeed(broken, wrongService bool) {
	r := l.recorder
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Feeds++
	if broken {
		r.result.BrokenFeeds++
	}
	if wrongService {
		r.result.WrongServiceFeeds++
	}
}
