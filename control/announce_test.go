package control

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"testing"
	"time"

	"greengagedyke/member"
	"greengagedyke/session"
)

// newStoppingSidecar returns the announcer of a sidecar that has just changed its state, whose only
// balancer listens at ln.
func newStoppingSidecar(t *testing.T, ln net.Listener, c *session.Credentials) *Announcer {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	node := NewNode(log, testRecord(1, member.RoleSidecar, "service-1"), newRing())
	node.UpdateSelf(func(r *member.Record) { r.State = member.StateLeaving })
	a := NewAnnouncer(log, node, c, []netip.AddrPort{ln.Addr().(*net.TCPAddr).AddrPort()})
	t.Cleanup(a.closeAll)
	return a
}

// returnsWithin fails the test unless a.Announce returns within limit.
func returnsWithin(ctx context.Context, t *testing.T, a *Announcer, limit time.Duration) {
	t.Helper()
	started := time.Now()
	a.Announce(ctx)
	if d := time.Since(started); d > limit {
		t.Errorf("Announce returned after %s, want at most %s", d, limit)
	}
}

// A balancer answers each announcement late and never knows its sender: a stopping process does not
// wait for it longer than confirmTimeout.
func TestAnnounceIsBounded(t *testing.T) {
	t.Parallel()
	c, err := session.NewCredentials([]byte("0123456789abcdef"))
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := newStoppingSidecar(t, ln, c)
	go session.Serve(t.Context(), slog.New(slog.DiscardHandler), ln, c, func(ctx context.Context, s *session.Stream) {
		for call := new(Call); s.Receive(ctx, call) == nil; {
			time.Sleep(600 * time.Millisecond)
			if s.Send(&Confirmation{Epoch: 1, UnknownSelf: true}) != nil {
				return
			}
		}
	})
	returnsWithin(t.Context(), t, a, 4*time.Second)
}

// A process is aborted while it waits for a balancer that accepts connections and never answers.
func TestAnnounceEndsWithAbort(t *testing.T) {
	t.Parallel()
	c, err := session.NewCredentials([]byte("0123456789abcdef"))
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	returnsWithin(ctx, t, newStoppingSidecar(t, ln, c), 500*time.Millisecond)
}
