package balancer

import (
	"net/netip"
	"testing"
	"time"

	"greengagedyke/flow"
)

func undecidedKey(port uint16) flow.Key {
	return flow.NewKey(netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), port), netip.MustParseAddrPort("198.18.0.1:443"))
}

// The newest packet of each flow is kept, once, and not for longer than callers wait.
func TestUndecided(t *testing.T) {
	now := time.Unix(100, 0)
	u := newUndecided()
	raw := []byte("first")
	u.keep(undecidedKey(1), raw, now)
	copy(raw, "other")
	u.keep(undecidedKey(2), []byte("old"), now.Add(-undecidedAge-1))
	u.keep(undecidedKey(3), []byte("again"), now.Add(-time.Millisecond))
	u.keep(undecidedKey(3), []byte("newer"), now)
	select {
	case <-u.wake:
	default:
		t.Error("nobody was told")
	}
	if !u.waiting(now) || u.waiting(now.Add(undecidedAge+1)) {
		t.Error("packets wait for the wrong time")
	}
	got := map[string]bool{}
	for _, raw := range u.take(now) {
		got[string(raw)] = true
	}
	if len(got) != 2 || !got["first"] || !got["newer"] {
		t.Errorf("got %v", got)
	}
	if again := u.take(now); again != nil {
		t.Errorf("taken twice: %q", again)
	}
}

func TestUndecidedIsBounded(t *testing.T) {
	now := time.Unix(100, 0)
	u := newUndecided()
	for i := range undecidedLimit + 10 {
		u.keep(undecidedKey(uint16(i)), []byte{1}, now)
	}
	if got := len(u.take(now)); got != undecidedLimit {
		t.Errorf("%d packets are kept, want %d", got, undecidedLimit)
	}
}
