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

// Drop is the reason why a datagram was not forwarded.
type Drop uint8

const (
	// DropNone means that the datagram is forwarded.
	DropNone Drop = iota
	// DropTruncated counts datagrams that end inside their header.
	DropTruncated
	// DropMalformed counts datagrams that are not QUIC.
	DropMalformed
	// DropOversized counts datagrams that do not fit the tunnel.
	DropOversized
	// DropForeign counts packets whose connection ID is not one of this service's.
	DropForeign
	// DropNoUpstream counts first flights of a service that no upstream may take.
	DropNoUpstream
	// DropUnauthentic counts tunnel datagrams that fail authentication.
	DropUnauthentic
	// DropUnknownService counts tunnel datagrams of a service not served here.
	DropUnknownService
	// DropSend counts datagrams that the socket refused.
	DropSend
	dropCount
)

var dropNames = [dropCount]string{
	"none", "truncated", "malformed", "oversized", "foreign",
	"no-upstream", "unauthentic", "unknown-service", "send",
}

// String returns the reason's name in metrics.
func (d Drop) String() string { return dropNames[d] }

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
func (d *Decider) Decide(scratch *Scratch, packet []byte) (Destination, Drop) {
	if len(packet) > tunnel.MaxPayload {
		return Destination{}, DropOversized
	}
	h, reason := quiclb.ParseHeader(packet)
	switch reason {
	case quiclb.ReasonNone:
	case quiclb.ReasonTruncated:
		return Destination{}, DropTruncated
	default:
		return Destination{}, DropMalformed
	}
	r, ok := d.Codec.Decode(scratch[:], h.ConnectionID)
	if ok && r.ServiceTag == d.Tag {
		return Destination{Sidecar: r.Addr, Incarnation: r.Incarnation}, DropNone
	}
	if h.Kind != quiclb.KindInitial {
		return Destination{}, DropForeign
	}
	c, ok := d.Table.Lookup(h.ConnectionID)
	if !ok {
		return Destination{}, DropNoUpstream
	}
	return Destination{Sidecar: c.Addr, Incarnation: uint16(c.Incarnation), FirstFlight: true}, DropNone
}
