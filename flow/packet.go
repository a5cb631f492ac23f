// Package flow decides about flows that carry no name of their own: which sidecar
// gets a flow's opening packet, where the other packets of it go, and what a sidecar
// does with a packet. It does no input or output, and the time is passed in.
package flow

import (
	"encoding/binary"
	"fmt"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Key names a flow by the addresses and ports of its two ends.
type Key struct {
	callerIP    [4]byte
	serviceIP   [4]byte
	callerPort  uint16
	servicePort uint16
}

// NewKey returns the key of the flow between two IPv4 ends.
func NewKey(caller, service netip.AddrPort) Key {
	return Key{
		callerIP:    caller.Addr().As4(),
		serviceIP:   service.Addr().As4(),
		callerPort:  caller.Port(),
		servicePort: service.Port(),
	}
}

// Caller is the caller's end.
func (k Key) Caller() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(k.callerIP), k.callerPort)
}

// Service is the end that the caller addressed.
func (k Key) Service() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(k.serviceIP), k.servicePort)
}

// KeySize is the length of an encoded key in bytes.
const KeySize = 12

// AppendBinary appends the encoded key.
func (k Key) AppendBinary(b []byte) []byte {
	b = append(b, k.callerIP[:]...)
	b = append(b, k.serviceIP[:]...)
	b = binary.BigEndian.AppendUint16(b, k.callerPort)
	return binary.BigEndian.AppendUint16(b, k.servicePort)
}

// KeyFromBinary decodes a key; b has at least KeySize bytes.
func KeyFromBinary(b []byte) Key {
	return Key{
		callerIP:    [4]byte(b[0:4]),
		serviceIP:   [4]byte(b[4:8]),
		callerPort:  binary.BigEndian.Uint16(b[8:10]),
		servicePort: binary.BigEndian.Uint16(b[10:12]),
	}
}

// Hash is a number that is the same for a key in all processes.
func (k Key) Hash() uint64 {
	var b [KeySize]byte
	return xxhash.Sum64(k.AppendBinary(b[:0]))
}

// String writes both ends, for logs.
func (k Key) String() string { return fmt.Sprintf("%s>%s", k.Caller(), k.Service()) }

// Flags are what a packet says beside its bytes.
type Flags uint8

// The flags of a packet.
const (
	// FlagOpen is set on a flow's first packet of either direction.
	FlagOpen Flags = 1 << iota
	// FlagAck says that the acknowledgement holds.
	FlagAck
	// FlagEnd says that the sender has no more bytes.
	FlagEnd
	// FlagReset ends the flow.
	FlagReset
	// FlagBounced marks a packet that the upstream returned.
	FlagBounced
)

// Has reports whether all of the flags are set.
func (f Flags) Has(flags Flags) bool { return f&flags == flags }

// Packet is what the decisions need of a packet.
type Packet struct {
	Key Key
	// FromCaller is false for what an upstream sends.
	FromCaller bool
	Flags      Flags
	// Sequence numbers the first byte, Ack the next byte expected from the other end.
	// On opening packets of callers, Ack counts the copies.
	Sequence uint32
	Ack      uint32
	// Length of the data in bytes.
	Length int
}

// Opening reports whether a caller opens a flow with the packet.
func (p *Packet) Opening() bool {
	return p.FromCaller && p.Flags.Has(FlagOpen) && !p.Flags.Has(FlagAck)
}

// Retransmissions is the number of times that the caller sent an opening packet before.
func (p *Packet) Retransmissions() uint32 { return p.Ack }
