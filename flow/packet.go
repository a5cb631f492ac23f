// Package flow decides how balancers and sidecars handle the packets of flows: which sidecar gets a
// flow's opening packet, which one gets its other packets, and what that sidecar does with them. A
// flow is identified only by the addresses and ports of its two ends. The package does no I/O and
// reads no clock: packets and the current time are passed in.
//
// An upstream holds a flow once it has answered the flow's opening packet. A sidecar holds the flows
// of its upstream. The members of a balancer are the sidecars that report to it, and the siblings of
// a sidecar are the other sidecars of its service.
package flow

import (
	"encoding/binary"
	"fmt"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Key identifies a flow by the IPv4 addresses and ports of its two ends.
type Key struct {
	callerIP    [4]byte
	serviceIP   [4]byte
	callerPort  uint16
	servicePort uint16
}

// NewKey returns the key of the flow from a caller to a service address, both IPv4.
func NewKey(caller, service netip.AddrPort) Key {
	return Key{
		callerIP:    caller.Addr().As4(),
		serviceIP:   service.Addr().As4(),
		callerPort:  caller.Port(),
		servicePort: service.Port(),
	}
}

// Caller returns the caller's address and port.
func (k Key) Caller() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(k.callerIP), k.callerPort)
}

// Service returns the service's address and port.
func (k Key) Service() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(k.serviceIP), k.servicePort)
}

// KeySize is the length of an encoded key in bytes.
const KeySize = 12

// AppendBinary appends the encoded key to b: KeySize bytes.
func (k Key) AppendBinary(b []byte) []byte {
	b = append(b, k.callerIP[:]...)
	b = append(b, k.serviceIP[:]...)
	b = binary.BigEndian.AppendUint16(b, k.callerPort)
	return binary.BigEndian.AppendUint16(b, k.servicePort)
}

// KeyFromBinary decodes the key at the start of b. It panics if b is shorter than KeySize.
func KeyFromBinary(b []byte) Key {
	return Key{
		callerIP:    [4]byte(b[0:4]),
		serviceIP:   [4]byte(b[4:8]),
		callerPort:  binary.BigEndian.Uint16(b[8:10]),
		servicePort: binary.BigEndian.Uint16(b[10:12]),
	}
}

// Hash returns a hash of the key that is the same in all processes.
func (k Key) Hash() uint64 {
	var b [KeySize]byte
	return xxhash.Sum64(k.AppendBinary(b[:0]))
}

// String returns both ends as "caller>service".
func (k Key) String() string { return fmt.Sprintf("%s>%s", k.Caller(), k.Service()) }

// Flags are the control flags in a packet's header.
type Flags uint8

// The flags of a packet.
const (
	// FlagOpen is set on a flow's first packet in each direction, like SYN in TCP.
	FlagOpen Flags = 1 << iota
	// FlagAck means that Packet.Ack is valid.
	FlagAck
	// FlagEnd means that the sender has no more data, like FIN in TCP.
	FlagEnd
	// FlagReset aborts the flow, like RST in TCP.
	FlagReset
	// FlagBounced marks a caller's packet that the upstream returned instead of accepting it.
	FlagBounced
)

// Has reports whether all of the given flags are set.
func (f Flags) Has(flags Flags) bool { return f&flags == flags }

// Packet holds the header fields of a packet that decisions depend on.
type Packet struct {
	Key Key
	// FromCaller is true for a caller's packets, false for an upstream's.
	FromCaller bool
	Flags      Flags
	// Sequence is the sequence number of the first data byte.
	Sequence uint32
	// Ack is the sequence number of the next byte expected from the other end. In a caller's opening
	// packet, it is the number of earlier transmissions instead.
	Ack uint32
	// Length is the number of data bytes.
	Length int
}

// Opening reports whether the packet is a caller's request to open a flow.
func (p *Packet) Opening() bool {
	return p.FromCaller && p.Flags.Has(FlagOpen) && !p.Flags.Has(FlagAck)
}

// Retransmissions returns how often the caller sent this opening packet before. The result is
// meaningless for other packets.
func (p *Packet) Retransmissions() uint32 { return p.Ack }
