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

// dispatch is a Dispatcher made of a function.
type dispatch func(ctx context.Context, r *work.Request, sink work.ResponseSink) work.Outcome

// Dispatch implements Dispatcher.
func (f dispatch) Dispatch(ctx context.Context, r *work.Request, sink work.ResponseSink) work.Outcome {
	return f(ctx, r, sink)
}

// countingIDs makes connection IDs for a server that no balancer stands before.
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

type testFront struct {
	url   string
	roots *x509.CertPool
}

func newTestFront(t testing.TB, f dispatch) *testFront {
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
	_, stop, err := New(Options{
		Log: slog.New(slog.DiscardHandler), Conn: conn, IDs: &countingIDs{},
		TLS: &tls.Config{Certificates: []tls.Certificate{pair}}, ResetSecret: []byte("secret"),
		Routes: func() service.Routes { return routes }, Dispatcher: f, Handshakes: 1 << 20, Registry: metrics.NewRegistry(),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return &testFront{url: fmt.Sprintf("https://%s/", conn.LocalAddr()), roots: roots}
}

func (f *testFront) client(udp net.PacketConn) *http3.Transport {
	transport := &quic.Transport{Conn: udp}
	return &http3.Transport{
		TLSClientConfig: &tls.Config{RootCAs: f.roots, ServerName: "service.example"},
		Dial: func(ctx context.Context, addr string, tlsCfg *tls.Config, cfg *quic.Config) (*quic.Conn, error) {
			to, err := net.ResolveUDPAddr("udp4", addr)
			if err != nil {
				return nil, err
			}
			return transport.DialEarly(ctx, to, tlsCfg, cfg)
		},
	}
}

func (f *testFront) get(t testing.TB, c *http3.Transport, header http.Header) (*http.Response, string, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, f.url, http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	request.Header = header
	response, err := c.RoundTrip(request)
	if err != nil {
		// The reset of a cut answer may overtake its head.
		return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}}, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

func udp(t testing.TB) net.PacketConn {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

func TestOutcomes(t *testing.T) {
	outcomes := map[string]dispatch{
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
	f := newTestFront(t, func(ctx context.Context, r *work.Request, sink work.ResponseSink) work.Outcome {
		return outcomes[r.Key](ctx, r, sink)
	})
	c := f.client(udp(t))
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
			response, body, err := f.get(t, c, http.Header{KeyHeader: {tt.name}})
			h := response.Header
			if response.StatusCode != tt.status || h.Get(OutcomeHeader) != tt.outcome || h.Get("Retry-After") != tt.retryAfter {
				t.Errorf("status %d, outcome %q, retry after %q", response.StatusCode, h.Get(OutcomeHeader), h.Get("Retry-After"))
			}
			if (err == nil) != tt.whole {
				t.Errorf("body %q, error %v", body, err)
			}
			if tt.outcome != "" && (h.Get("Content-Type") != "application/problem+json" || !strings.Contains(body, `"outcome":"`+tt.outcome+`"`)) {
				t.Errorf("problem details %s: %s", h.Get("Content-Type"), body)
			}
		})
	}
}

// BenchmarkConnection reports what one connection costs, caller and front together:
// the processor time of its handshake and first request, and the heap while it is
// open.
func BenchmarkConnection(b *testing.B) {
	f := newTestFront(b, func(_ context.Context, _ *work.Request, sink work.ResponseSink) work.Outcome {
		if sink.Head(work.ResponseHead{Status: http.StatusOK}) != nil {
			return work.Unknown(work.ReasonAnswerLost)
		}
		return work.Outcome{Verdict: work.VerdictAnswered}
	})
	before, cpu := usage.Heap(), usage.CPUTime()
	for b.Loop() {
		c := f.client(udp(b))
		defer c.Close()
		if _, _, err := f.get(b, c, http.Header{}); err != nil {
			b.Fatal(err)
		}
	}
	n := float64(b.N)
	b.ReportMetric(float64(usage.CPUTime()-cpu)/n, "cpu-ns/connection")
	b.ReportMetric(float64(usage.Heap()-before)/n, "heap-B/connection")
}
