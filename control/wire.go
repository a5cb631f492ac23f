package control

import (
	"encoding/binary"
	"net/netip"

	"github.com/pkg/errors"

	"greengagedyke/member"
)

// encodeMember returns the wire form of a record. Its addresses must be IPv4.
func encodeMember(o *member.ObservedRecord) *Member {
	return &Member{
		Role:          uint32(o.Role),
		Identity:      o.Identity,
		Service:       o.Service,
		Tunnel:        encodeAddr(o.Tunnel),
		Control:       encodeAddr(o.Control),
		FailureDomain: o.FailureDomain,
		Slots:         uint32(o.Slots),
		State:         uint32(o.State),
		Weight:        float32(o.Weight),
		Incarnation:   o.Incarnation,
		Sequence:      o.Sequence,
		Former:        o.LostIncarnation,
		Homes:         uint32(o.AnnouncedTo),
		Witnesses:     o.Witnesses,
	}
}

// addrLen is the length in bytes of an encoded address: 4 of IPv4 address and 2 of port.
const addrLen = 6

func encodeAddr(a netip.AddrPort) []byte {
	ip := a.Addr().As4()
	return binary.BigEndian.AppendUint16(ip[:], a.Port())
}

// decodeAddr returns false if b has a wrong length.
func decodeAddr(b []byte) (netip.AddrPort, bool) {
	if len(b) != addrLen {
		return netip.AddrPort{}, false
	}
	ip := netip.AddrFrom4([4]byte(b[:4]))
	return netip.AddrPortFrom(ip, binary.BigEndian.Uint16(b[4:])), true
}

// Limits of a record that another process sent. The length of the identity is in bytes.
const (
	maxIdentityLen = 128
	maxSlots       = 1024
	maxWitnesses   = 16
)

// errInvalidRecord means that a received record exceeds a limit, has no identity, or has an address
// of the wrong length.
var errInvalidRecord = errors.New("control: the record is out of bounds")

// decodeMember returns the record of a wire form, or errInvalidRecord.
func decodeMember(m *Member) (member.ObservedRecord, error) {
	o := member.ObservedRecord{
		Record: member.Record{
			Role:            member.Role(m.Role),
			Identity:        m.Identity,
			Service:         m.Service,
			FailureDomain:   m.FailureDomain,
			Slots:           int(m.Slots),
			State:           member.State(m.State),
			Weight:          float64(m.Weight),
			Incarnation:     m.Incarnation,
			Sequence:        m.Sequence,
			LostIncarnation: m.Former,
			AnnouncedTo:     int(m.Homes),
		},
		Witnesses: m.Witnesses,
	}
	var okTunnel, okControl bool
	o.Tunnel, okTunnel = decodeAddr(m.Tunnel)
	o.Control, okControl = decodeAddr(m.Control)
	if o.Identity == "" || len(o.Identity) > maxIdentityLen || o.Slots > maxSlots || len(o.Witnesses) > maxWitnesses || !okTunnel || !okControl {
		return o, errInvalidRecord
	}
	return o, nil
}

// isBrief reports whether m was made by briefMember: only such a record has no role.
func (m *Member) isBrief() bool { return m.Role == 0 }

// briefMember returns the short form of a record whose sequence the receiver already has.
func briefMember(r *member.Record) *Member {
	return &Member{Identity: r.Identity, Incarnation: r.Incarnation, Sequence: r.Sequence}
}
