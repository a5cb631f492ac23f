package tunnel

import (
	"net/netip"
	"testing"
)

func newSealer(t testing.TB) *Sealer {
	t.Helper()
	s, err := NewSealer(Key{ID: 1, Secret: []byte("0123456789abcdef")})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// sealedDatagram returns a sealed datagram with the payload, and its header.
func sealedDatagram(t testing.TB, s *Sealer, payload string) ([]byte, Header) {
	t.Helper()
	h := Header{Kind: KindInbound, ServiceTag: 7, Incarnation: 9, Caller: netip.MustParseAddrPort("10.1.2.3:4567")}
	datagram := append(make([]byte, HeaderLen), payload...)
	if err := s.Seal(datagram, &h); err != nil {
		t.Fatal(err)
	}
	return datagram, h
}

func TestSealAndOpen(t *testing.T) {
	s := newSealer(t)
	datagram, h := sealedDatagram(t, s, "payload")
	got, err := s.Open(datagram)
	if err != nil || got != h || string(datagram[HeaderLen:]) != "payload" {
		t.Fatalf("got header %+v, error %v, payload %q, want header %+v, payload %q", got, err, datagram[HeaderLen:], h, "payload")
	}
	for i := range datagram {
		datagram[i] ^= 1
		if _, err := s.Open(datagram); err == nil {
			t.Errorf("got no error for a datagram whose byte %d is changed", i)
		}
		datagram[i] ^= 1
	}
}

func TestPayloadLimit(t *testing.T) {
	s := newSealer(t)
	h := Header{Kind: KindInbound, Caller: netip.MustParseAddrPort("10.1.2.3:4567")}
	if err := s.Seal(make([]byte, HeaderLen+MaxPayload), &h); err != nil {
		t.Errorf("payload of MaxPayload bytes: got error %v, want none", err)
	}
	if err := s.Seal(make([]byte, HeaderLen+MaxPayload+1), &h); err != ErrOversized {
		t.Errorf("payload of MaxPayload+1 bytes: got error %v, want ErrOversized", err)
	}
	if MaxDatagram+ipAndUDPHeaderLen != mtu {
		t.Errorf("got %d bytes on the link for the largest datagram, want %d", MaxDatagram+ipAndUDPHeaderLen, mtu)
	}
}

func FuzzOpen(f *testing.F) {
	s := newSealer(f)
	datagram, _ := sealedDatagram(f, s, "payload")
	f.Add(datagram)
	f.Add([]byte{})
	f.Add(make([]byte, HeaderLen))
	f.Fuzz(func(t *testing.T, p []byte) {
		if h, err := s.Open(p); err == nil && !h.Caller.IsValid() {
			t.Fatalf("got header %+v without a caller, want an error", h)
		}
	})
}
