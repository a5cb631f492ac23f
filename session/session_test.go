package session

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/wrapperspb"

	"greengagedyke/standin/proxy"
	"greengagedyke/standin/usage"
)

func credentials(t testing.TB, secret string) *Credentials {
	t.Helper()
	c, err := NewCredentials([]byte(secret))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

const (
	systemSecret  = "0123456789abcdef"
	foreignSecret = "fedcba9876543210"
)

// startEchoServer runs a server that answers each call with its request, and returns its address.
func startEchoServer(t testing.TB, c *Credentials) netip.AddrPort {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		Serve(ctx, slog.New(slog.DiscardHandler), ln, c, func(ctx context.Context, s *Stream) {
			var m wrapperspb.StringValue
			if s.Receive(ctx, &m) == nil {
				s.Send(&m)
			}
		})
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return ln.Addr().(*net.TCPAddr).AddrPort()
}

// call makes a call to an echo server and checks the answer.
func call(t testing.TB, client *Client) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	var answer wrapperspb.StringValue
	err := client.Call(ctx, wrapperspb.String("hello"), &answer)
	if err == nil && answer.Value != "hello" {
		t.Errorf("got answer %q, want %q", answer.Value, "hello")
	}
	return err
}

func TestForeignPeersAreRefused(t *testing.T) {
	addr := startEchoServer(t, credentials(t, systemSecret))
	client, closeClient := NewClient(addr, credentials(t, systemSecret))
	defer closeClient()
	if err := call(t, client); err != nil {
		t.Error(err)
	}
	foreign, closeForeign := NewClient(addr, credentials(t, foreignSecret))
	defer closeForeign()
	if err := call(t, foreign); err == nil {
		t.Error("a call with a foreign secret succeeded, want an error")
	}
}

// A session on which no data arrives any more is closed, and the next call opens a new one.
func TestSilentSessionIsReplaced(t *testing.T) {
	c := credentials(t, systemSecret)
	tcpProxy, addr, stop, err := proxy.TCP(netip.MustParseAddrPort("127.0.0.1:0"), startEchoServer(t, c))
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	client, closeClient := NewClient(addr, c)
	defer closeClient()
	if err := call(t, client); err != nil {
		t.Fatal(err)
	}
	tcpProxy.Silence()
	if err := call(t, client); !errors.Is(err, ErrLost) && !errors.Is(err, ErrUnreachable) {
		t.Errorf("got %v, want ErrLost or ErrUnreachable", err)
	}
	if err := call(t, client); err != nil {
		t.Errorf("call on a new session: %v", err)
	}
}

// largeCall sends a message that exceeds the window of a stream, and returns the error of the call, or
// fails the test if the call does not end within limit.
func largeCall(t *testing.T, client *Client, timeout, limit time.Duration) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	ended := make(chan error, 1)
	go func() {
		ended <- client.Call(ctx, wrapperspb.String(strings.Repeat("x", 1<<20)), &wrapperspb.StringValue{})
	}()
	select {
	case err := <-ended:
		return err
	case <-time.After(limit):
		t.Fatalf("the call did not end within %s", limit)
		return nil
	}
}

// A peer answers pings, but its handler does not read the message: the call ends with its context.
func TestSendEndsWithContext(t *testing.T) {
	c := credentials(t, systemSecret)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go Serve(t.Context(), slog.New(slog.DiscardHandler), ln, c, func(ctx context.Context, _ *Stream) { <-ctx.Done() })
	client, closeClient := NewClient(ln.Addr().(*net.TCPAddr).AddrPort(), c)
	defer closeClient()
	if err := largeCall(t, client, 300*time.Millisecond, 3*time.Second); !errors.Is(err, ErrLost) {
		t.Errorf("got %v, want ErrLost", err)
	}
}

// A session stops passing data while a message is sent: it is closed, as while a call waits for its
// answer.
func TestSilentSessionEndsSend(t *testing.T) {
	c := credentials(t, systemSecret)
	tcpProxy, addr, stop, err := proxy.TCP(netip.MustParseAddrPort("127.0.0.1:0"), startEchoServer(t, c))
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	client, closeClient := NewClient(addr, c)
	defer closeClient()
	if err := call(t, client); err != nil {
		t.Fatal(err)
	}
	tcpProxy.Silence()
	if err := largeCall(t, client, time.Minute, 10*time.Second); !errors.Is(err, ErrLost) {
		t.Errorf("got %v, want ErrLost", err)
	}
}

func TestUnreachablePeer(t *testing.T) {
	client, closeClient := NewClient(netip.MustParseAddrPort("127.0.0.1:1"), credentials(t, systemSecret))
	defer closeClient()
	if err := call(t, client); !errors.Is(err, ErrUnreachable) {
		t.Errorf("got %v, want ErrUnreachable", err)
	}
}

func BenchmarkCall(b *testing.B) {
	c := credentials(b, systemSecret)
	client, closeClient := NewClient(startEchoServer(b, c), c)
	defer closeClient()
	b.ReportAllocs()
	for b.Loop() {
		if err := call(b, client); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkSession reports the heap memory that one open session takes at both ends together.
func BenchmarkSession(b *testing.B) {
	c := credentials(b, systemSecret)
	addr := startEchoServer(b, c)
	before := usage.Heap()
	for b.Loop() {
		client, closeClient := NewClient(addr, c)
		defer closeClient()
		if err := call(b, client); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(usage.Heap()-before)/float64(b.N), "heap-B/session")
}
