// Package fabric forwards QUIC datagrams between callers and sidecars. A balancer receives the
// callers' datagrams on the services' addresses, chooses a sidecar for each, and sends the
// sidecars' datagrams back to the callers. It keeps no state per flow.
package fabric

import (
	"net/netip"

	"greengagedyke/quiclb"
	"greengagedyke/service"
	"greengagedyke/tunnel"
)

// DropReason is the reason why a datagram is dropped.
type DropReason uint8

const (
	// DropReasonNone means that the datagram is forwarded.
	DropReasonNone DropReason = iota
	// DropReasonTruncated means that the datagram ends inside its QUIC header.
	DropReasonTruncated
	// DropReasonMalformed means that the datagram has no valid QUIC header.
	DropReasonMalformed
	// DropReasonOversized means that the datagram is larger than tunnel.MaxPayload.
	DropReasonOversized
	// DropReasonForeign means that the connection ID was not issued by a sidecar of this service, and
	// that the packet does not open a connection.
	DropReasonForeign
	// DropReasonNoUpstream means that no upstream of the service accepts new connections.
	DropReasonNoUpstream
	// DropReasonEvacuated means that all upstreams of the service that accept new connections are in
	// evacuated failure domains.
	DropReasonEvacuated
	// DropReasonUnauthentic means that a tunnel datagram failed authentication.
	DropReasonUnauthentic
	// DropReasonUnknownService means that a tunnel datagram is of a service that this balancer
	// does not serve, or is neither outbound nor a probe.
	DropReasonUnknownService
	// DropReasonSend means that writing the datagram to its socket failed.
	DropReasonSend
	dropReasonCount
)

var dropReasonNames = [dropReasonCount]string{
	"none", "truncated", "malformed", "oversized", "foreign",
	"no-upstream", "evacuated", "unauthentic", "unknown-service", "send",
}

// String returns the name of the reason in metrics.
func (d DropReason) String() string { return dropReasonNames[d] }

// Destination is the sidecar to which a caller's datagram is forwarded.
type Destination struct {
	// Sidecar is the tunnel address of the sidecar.
	Sidecar netip.AddrPort
	// Incarnation is the low 16 bits of the sidecar's incarnation.
	Incarnation uint16
	// FirstFlight is set if the caller chose the packet's connection ID. Such a packet opens a
	// connection.
	FirstFlight bool
}

// Decider chooses the destinations of the datagrams of one service. It is immutable and replaced
// when the configuration or the membership changes.
type Decider struct {
	// Tag is the service's tag in connection IDs.
	Tag uint32
	// Codec decodes connection IDs that sidecars issued.
	Codec *quiclb.Codec
	// Table chooses the sidecar of a first flight.
	Table *service.Table
	// Evacuated is set if all upstreams that accept new connections are in evacuated failure domains.
	// Table is then empty.
	Evacuated bool
}

// Scratch is the buffer in which Decide decrypts a connection ID. Each goroutine needs its own.
type Scratch [quiclb.ConnectionIDLen]byte

// Decide returns the destination of packet, or the reason to drop it. It does not allocate.
func (d *Decider) Decide(scratch *Scratch, packet []byte) (Destination, DropReason) {
	if len(packet) > tunnel.MaxPayload {
		return Destination{}, DropReasonOversized
	}
	h, reason := quiclb.ParseHeader(packet)
	switch reason {
	case quiclb.ReasonNone:
	case quiclb.ReasonTruncated:
		return Destination{}, DropReasonTruncated
	default:
		return Destination{}, DropReasonMalformed
	}
	r, ok := d.Codec.Decode(scratch[:], h.ConnectionID)
	if ok && r.ServiceTag == d.Tag {
		return Destination{Sidecar: r.Addr, Incarnation: r.Incarnation}, DropReasonNone
	}
	if h.Kind != quiclb.KindInitial {
		return Destination{}, DropReasonForeign
	}
	c, ok := d.Table.Lookup(h.ConnectionID)
	switch {
	case !ok && d.Evacuated:
		return Destination{}, DropReasonEvacuated
	case !ok:
		return Destination{}, DropReasonNoUpstream
	}
	return Destination{Sidecar: c.Addr, Incarnation: uint16(c.Incarnation), FirstFlight: true}, DropReasonNone
}
