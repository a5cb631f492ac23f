package session

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/netip"
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
	ownSecret   = "0123456789abcdef"
	otherSecret = "fedcba9876543210"
)

// echo serves calls that are answered with their own text.
func echo(t testing.TB, c *Credentials) netip.AddrPort {
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

func call(t testing.TB, p *Client) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	var answer wrapperspb.StringValue
	err := p.Call(ctx, wrapperspb.String("hello"), &answer)
	if err == nil && answer.Value != "hello" {
		t.Errorf("got %q", answer.Value)
	}
	return err
}

func TestForeignPeersAreRefused(t *testing.T) {
	addr := echo(t, credentials(t, ownSecret))
	own, closeOwn := NewClient(addr, credentials(t, ownSecret))
	defer closeOwn()
	if err := call(t, own); err != nil {
		t.Error(err)
	}
	foreign, closeForeign := NewClient(addr, credentials(t, otherSecret))
	defer closeForeign()
	if err := call(t, foreign); err == nil {
		t.Error("a peer that does not know the secret was served")
	}
}

// A session that has fallen silent is given up, and the next call opens a new one.
func TestSilentSessionIsReplaced(t *testing.T) {
	c := credentials(t, ownSecret)
	p, addr, stop, err := proxy.TCP(netip.MustParseAddrPort("127.0.0.1:0"), echo(t, c))
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	peer, closePeer := NewClient(addr, c)
	defer closePeer()
	if err := call(t, peer); err != nil {
		t.Fatal(err)
	}
	p.Silence()
	if err := call(t, peer); !errors.Is(err, ErrLost) && !errors.Is(err, ErrUnreachable) {
		t.Errorf("got %v, want ErrLost or ErrUnreachable", err)
	}
	if err := call(t, peer); err != nil {
		t.Errorf("a new session does not work: %v", err)
	}
}

func TestUnreachablePeer(t *testing.T) {
	peer, closePeer := NewClient(netip.MustParseAddrPort("127.0.0.1:1"), credentials(t, ownSecret))
	defer closePeer()
	if err := call(t, peer); !errors.Is(err, ErrUnreachable) {
		t.Errorf("got %v, want ErrUnreachable", err)
	}
}

func BenchmarkCall(b *testing.B) {
	c := credentials(b, ownSecret)
	peer, closePeer := NewClient(echo(b, c), c)
	defer closePeer()
	b.ReportAllocs()
	for b.Loop() {
		if err := call(b, peer); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkSession reports the heap that one open session takes, both ends together.
func BenchmarkSession(b *testing.B) {
	c := credentials(b, ownSecret)
	addr := echo(b, c)
	before := usage.Heap()
	for b.Loop() {
		peer, closePeer := NewClient(addr, c)
		defer closePeer()
		if err := call(b, peer); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(usage.Heap()-before)/float64(b.N), "heap-B/session")
}
