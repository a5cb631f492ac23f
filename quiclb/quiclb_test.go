package quiclb

import (
	"net/netip"
	"testing"

	"pgregory.net/rapid"
)

var (
	oldKey = Key{ID: 1, Secret: []byte("0123456789abcdef")}
	newKey = Key{ID: 2, Secret: []byte("fedcba9876543210")}
)

func newCodec(t testing.TB, keys ...Key) *Codec {
	t.Helper()
	c, err := NewCodec(keys...)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func drawRoute(t *rapid.T) Route {
	return Route{
		Addr:        netip.AddrPortFrom(netip.AddrFrom4([4]byte(rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, "ip"))), rapid.Uint16().Draw(t, "port")),
		ServiceTag:  rapid.Uint32().Draw(t, "service"),
		Incarnation: rapid.Uint16().Draw(t, "incarnation"),
		Nonce:       rapid.Uint32().Draw(t, "nonce"),
	}
}

// During a key rotation, connection IDs made with the old or the new key must decode.
func TestConnectionIDsSurviveRotation(t *testing.T) {
	before := newCodec(t, oldKey)
	during := newCodec(t, newKey, oldKey)
	after := newCodec(t, newKey)
	rapid.Check(t, func(t *rapid.T) {
		r := drawRoute(t)
		var id, scratch [ConnectionIDLen]byte
		before.Encode(id[:], r)
		if got, ok := during.Decode(scratch[:], id[:]); !ok || got != r {
			t.Fatalf("connection ID of the old key: got %+v, %v, want %+v", got, ok, r)
		}
		if _, ok := after.Decode(scratch[:], id[:]); ok {
			t.Fatal("connection ID of the old key is decoded after the rotation")
		}
		during.Encode(id[:], r)
		if got, ok := after.Decode(scratch[:], id[:]); !ok || got != r {
			t.Fatalf("connection ID of the new key: got %+v, %v, want %+v", got, ok, r)
		}
	})
}

// A forged connection ID is recognized by its service tag: changing any bit after the key ID must
// change the decoded tag.
func TestForgedConnectionIDsAreRejected(t *testing.T) {
	c := newCodec(t, oldKey)
	rapid.Check(t, func(t *rapid.T) {
		r := drawRoute(t)
		var id, scratch [ConnectionIDLen]byte
		c.Encode(id[:], r)
		bit := rapid.IntRange(8, 8*ConnectionIDLen-1).Draw(t, "bit")
		id[bit/8] ^= 1 << (bit % 8)
		if got, ok := c.Decode(scratch[:], id[:]); ok && got.ServiceTag == r.ServiceTag {
			t.Fatalf("got the service tag of the original from a forged connection ID: %+v", got)
		}
	})
}

func TestParseHeader(t *testing.T) {
	long := func(flags byte, version uint32, id []byte) []byte {
		p := []byte{flags, byte(version >> 24), byte(version >> 16), byte(version >> 8), byte(version), byte(len(id))}
		return append(append(p, id...), 0, 0, 0, 0)
	}
	tests := []struct {
		name   string
		packet []byte
		kind   Kind
		reason Reason
	}{
		{"empty", nil, 0, ReasonTruncated},
		{"short", append([]byte{0x40}, make([]byte, 30)...), KindShort, ReasonNone},
		{"short-without-fixed-bit", append([]byte{0x00}, make([]byte, 30)...), 0, ReasonMalformed},
		{"short-truncated", []byte{0x40, 1, 2}, 0, ReasonTruncated},
		{"initial", long(0xc0, version1, make([]byte, 8)), KindInitial, ReasonNone},
		{"initial-v2", long(0xd0, version2, make([]byte, 20)), KindInitial, ReasonNone},
		{"handshake", long(0xe0, version1, make([]byte, 17)), KindHandshake, ReasonNone},
		{"handshake-v2", long(0xf0, version2, make([]byte, 17)), KindHandshake, ReasonNone},
		{"initial-with-short-id", long(0xc0, version1, make([]byte, 7)), 0, ReasonMalformed},
		{"id-too-long", long(0xc0, version1, make([]byte, 21)), 0, ReasonMalformed},
		{"version-negotiation", long(0xc0, 0, make([]byte, 8)), 0, ReasonMalformed},
		{"long-truncated", long(0xc0, version1, make([]byte, 20))[:12], 0, ReasonTruncated},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h, reason := ParseHeader(tt.packet)
			if reason != tt.reason || reason == ReasonNone && h.Kind != tt.kind {
				t.Errorf("got kind %d, reason %d, want kind %d, reason %d", h.Kind, reason, tt.kind, tt.reason)
			}
		})
	}
}

func FuzzParseHeader(f *testing.F) {
	f.Add([]byte{0xc0, 0, 0, 0, 1, 8, 1, 2, 3, 4, 5, 6, 7, 8, 0})
	f.Add(append([]byte{0x40}, make([]byte, 40)...))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	c := newCodec(f, oldKey)
	f.Fuzz(func(t *testing.T, packet []byte) {
		var scratch [ConnectionIDLen]byte
		h, reason := ParseHeader(packet)
		if reason != ReasonNone {
			return
		}
		if len(h.ConnectionID) > maxConnectionIDLen {
			t.Fatalf("got a connection ID of %d bytes, want at most %d", len(h.ConnectionID), maxConnectionIDLen)
		}
		c.Decode(scratch[:], h.ConnectionID)
	})
}
