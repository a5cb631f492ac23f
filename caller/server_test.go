package caller

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/rcrowley/go-metrics"

	"greengagedyke/quiclb"
	"greengagedyke/service"
	"greengagedyke/standin/certificate"
	"greengagedyke/standin/usage"
	"greengagedyke/work"
)

// dispatchFunc is a function that implements Dispatcher.
type dispatchFunc func(ctx context.Context, r *work.Request, sink work.ResponseSink) work.Outcome

// Dispatch implements Dispatcher.
func (f dispatchFunc) Dispatch(ctx context.Context, r *work.Request, sink work.ResponseSink) work.Outcome {
	return f(ctx, r, sink)
}

// countingIDs generates connection IDs for a server without a balancer in front.
type countingIDs struct{ next byte }

// ConnectionID implements ConnectionIDs.
func (c *countingIDs) ConnectionID(dst []byte) {
	for i := range dst {
		dst[i] = byte(time.Now().UnixNano() >> (i % 8 * 8))
	}
	c.next++
	dst[0] = c.next
	_ = quiclb.ConnectionIDLen
}

// testServer is a Server on a local UDP port.
type testServer struct {
	url   string
	roots *x509.CertPool
	// evacuated makes the server refuse new connections.
	evacuated atomic.Bool
}

func newTestServer(t testing.TB, f dispatchFunc) *testServer {
	t.Helper()
	dir := t.TempDir()
	certificateFile, keyFile := filepath.Join(dir, "c.pem"), filepath.Join(dir, "k.pem")
	roots, err := certificate.Write(certificateFile, keyFile, "service.example")
	if err != nil {
		t.Fatal(err)
	}
	pair, err := tls.LoadX509KeyPair(certificateFile, keyFile)
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	routes := service.Routes{{PathPrefix: "/", Class: service.ClassIdempotent, Deadline: service.Duration(5 * time.Second)}}
	s := &testServer{url: fmt.Sprintf("https://%s/", conn.LocalAddr()), roots: roots}
	_, stop, err := New(Options{
		Log: slog.New(slog.DiscardHandler), Conn: conn, IDs: &countingIDs{},
		TLS: &tls.Config{Certificates: []tls.Certificate{pair}}, ResetSecret: []byte("secret"),
		Routes: func() service.Routes { return routes }, Dispatcher: f, Handshakes: 1 << 20, Evacuated: s.evacuated.Load, Registry: metrics.NewRegistry(),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return s
}

func (s *testServer) client(udp net.PacketConn) *http3.Transport {
	transport := &quic.Transport{Conn: udp}
	return &http3.Transport{
		TLSClientConfig: &tls.Config{RootCAs: s.roots, ServerName: "service.example"},
		Dial: func(ctx context.Context, addr string, tlsCfg *tls.Config, cfg *quic.Config) (*quic.Conn, error) {
			to, err := net.ResolveUDPAddr("udp4", addr)
			if err != nil {
				return nil, err
			}
			return transport.DialEarly(ctx, to, tlsCfg, cfg)
		},
	}
}

func (s *testServer) get(t testing.TB, c *http3.Transport, header http.Header) (*http.Response, string, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, s.url, http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	request.Header = header
	response, err := c.RoundTrip(request)
	if err != nil {
		// The reset of a truncated response may arrive before its head.
		return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}}, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

func listenUDP(t testing.TB) net.PacketConn {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// TestOutcomes checks the status and the header fields that a caller gets for each outcome.
func TestOutcomes(t *testing.T) {
	outcomes := map[string]dispatchFunc{
		"answered": func(_ context.Context, _ *work.Request, sink work.ResponseSink) work.Outcome {
			sink.Receipt(work.Receipt{Identity: "s@1", RequestID: "r"})
			if sink.Head(work.ResponseHead{Status: http.StatusOK}) != nil || sink.Chunk([]byte("whole")) != nil {
				return work.Unknown(work.ReasonAnswerLost)
			}
			return work.Outcome{Verdict: work.VerdictAnswered}
		},
		"not-run": func(context.Context, *work.Request, work.ResponseSink) work.Outcome {
			return work.NotRun(work.ReasonOverload, 1500*time.Millisecond)
		},
		"unknown": func(context.Context, *work.Request, work.ResponseSink) work.Outcome {
			return work.Unknown(work.ReasonHolderGone)
		},
		"cut": func(_ context.Context, _ *work.Request, sink work.ResponseSink) work.Outcome {
			if sink.Head(work.ResponseHead{Status: http.StatusOK}) != nil || sink.Chunk([]byte("half")) != nil {
				return work.Unknown(work.ReasonAnswerLost)
			}
			return work.Outcome{Verdict: work.VerdictTruncated, Reason: work.ReasonUpstreamFailed}
		},
	}
	s := newTestServer(t, func(ctx context.Context, r *work.Request, sink work.ResponseSink) work.Outcome {
		return outcomes[r.Key](ctx, r, sink)
	})
	c := s.client(listenUDP(t))
	defer c.Close()
	tests := []struct {
		name, outcome, retryAfter string
		status                    int
		whole                     bool
	}{
		{"answered", "", "", http.StatusOK, true},
		{"not-run", "not-run", "2", http.StatusServiceUnavailable, true},
		{"unknown", "unknown", "", http.StatusGatewayTimeout, true},
		{"cut", "", "", http.StatusOK, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			response, body, err := s.get(t, c, http.Header{KeyHeader: {tt.name}})
			h := response.Header
			if response.StatusCode != tt.status || h.Get(OutcomeHeader) != tt.outcome || h.Get("Retry-After") != tt.retryAfter {
				t.Errorf("got status %d, outcome %q, retry after %q, want %d, %q, %q", response.StatusCode, h.Get(OutcomeHeader), h.Get("Retry-After"), tt.status, tt.outcome, tt.retryAfter)
			}
			if (err == nil) != tt.whole {
				t.Errorf("got body %q, error %v, want a whole body: %v", body, err, tt.whole)
			}
			if tt.outcome != "" && (h.Get("Content-Type") != "application/problem+json" || !strings.Contains(body, `"outcome":"`+tt.outcome+`"`)) {
				t.Errorf("got %s with body %s, want problem details with outcome %s", h.Get("Content-Type"), body, tt.outcome)
			}
		})
	}
}

// BenchmarkConnection reports what one connection costs caller and server together: the processor
// time of its handshake and first request, and the heap while it is open.
func BenchmarkConnection(b *testing.B) {
	s := newTestServer(b, func(_ context.Context, _ *work.Request, sink work.ResponseSink) work.Outcome {
		if sink.Head(work.ResponseHead{Status: http.StatusOK}) != nil {
			return work.Unknown(work.ReasonAnswerLost)
		}
		return work.Outcome{Verdict: work.VerdictAnswered}
	})
	before, cpu := usage.Heap(), usage.CPUTime()
	for b.Loop() {
		c := s.client(listenUDP(b))
		defer c.Close()
		if _, _, err := s.get(b, c, http.Header{}); err != nil {
			b.Fatal(err)
		}
	}
	n := float64(b.N)
	b.ReportMetric(float64(usage.CPUTime()-cpu)/n, "cpu-ns/connection")
	b.ReportMetric(float64(usage.Heap()-before)/n, "heap-B/connection")
}
