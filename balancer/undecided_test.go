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

// Only the newest packet of each flow is buffered, and no longer than undecidedAge.
func TestUndecided(t *testing.T) {
	now := time.Unix(100, 0)
	u := newUndecided()
	raw := []byte("first")
	u.add(undecidedKey(1), raw, now)
	copy(raw, "other")
	u.add(undecidedKey(2), []byte("old"), now.Add(-undecidedAge-1))
	u.add(undecidedKey(3), []byte("again"), now.Add(-time.Millisecond))
	u.add(undecidedKey(3), []byte("newer"), now)
	select {
	case <-u.wake:
	default:
		t.Error("add did not signal wake")
	}
	if !u.pending(now) || u.pending(now.Add(undecidedAge+1)) {
		t.Error("got packets pending after undecidedAge, or none before")
	}
	got := map[string]bool{}
	for _, raw := range u.take(now) {
		got[string(raw)] = true
	}
	if len(got) != 2 || !got["first"] || !got["newer"] {
		t.Errorf("got %v, want first and newer", got)
	}
	if again := u.take(now); again != nil {
		t.Errorf("got %q from the second take, want nothing", again)
	}
}

func TestUndecidedIsBounded(t *testing.T) {
	now := time.Unix(100, 0)
	u := newUndecided()
	for i := range undecidedLimit + 10 {
		u.add(undecidedKey(uint16(i)), []byte{1}, now)
	}
	if got := len(u.take(now)); got != undecidedLimit {
		t.Errorf("got %d packets, want %d", got, undecidedLimit)
	}
}
