// Package fabric is the balancer's side towards the fabric: it takes callers'
// datagrams from the services' addresses, decides which sidecar each belongs to,
// and brings the sidecars' datagrams back. It keeps no state of any flow.
package fabric

import (
	"net/netip"

	"greengagedyke/quiclb"
	"greengagedyke/service"
	"greengagedyke/tunnel"
)

// DropReason is the reason why a datagram was not forwarded.
type DropReason uint8

const (
	// DropReasonNone means that the datagram is forwarded.
	DropReasonNone DropReason = iota
	// DropReasonTruncated counts datagrams that end inside their header.
	DropReasonTruncated
	// DropReasonMalformed counts datagrams that are not QUIC.
	DropReasonMalformed
	// DropReasonOversized counts datagrams that do not fit the tunnel.
	DropReasonOversized
	// DropReasonForeign counts packets whose connection ID is not one of this service's.
	DropReasonForeign
	// DropReasonNoUpstream counts first flights of a service that no upstream may take.
	DropReasonNoUpstream
	// DropReasonUnauthentic counts tunnel datagrams that fail authentication.
	DropReasonUnauthentic
	// DropReasonUnknownService counts tunnel datagrams of a service not served here.
	DropReasonUnknownService
	// DropReasonSend counts datagrams that the socket refused.
	DropReasonSend
	dropReasonCount
)

var dropReasonNames = [dropReasonCount]string{
	"none", "truncated", "malformed", "oversized", "foreign",
	"no-upstream", "unauthentic", "unknown-service", "send",
}

// String returns the reason's name in metrics.
func (d DropReason) String() string { return dropReasonNames[d] }

// Destination is where a caller's datagram goes.
type Destination struct {
	Sidecar     netip.AddrPort
	Incarnation uint16
	// FirstFlight marks a packet whose connection ID the caller chose.
	FirstFlight bool
}

// Decider decides the destination of the datagrams of one service. It is
// immutable: a change of configuration or membership makes a new one.
type Decider struct {
	Tag   uint32
	Codec *quiclb.Codec
	Table *service.Table
}

// Scratch is the working memory of one goroutine that decides.
type Scratch [quiclb.ConnectionIDLen]byte

// Decide returns the destination of packet, or the reason to drop it. It does
// not allocate.
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
	if !ok {
		return Destination{}, DropReasonNoUpstream
	}
	return Destination{Sidecar: c.Addr, Incarnation: uint16(c.Incarnation), FirstFlight: true}, DropReasonNone
}
