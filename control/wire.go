package control

import (
	"encoding/binary"
	"net/netip"

	"github.com/pkg/errors"

	"greengagedyke/member"
)

func memberTo(o *member.ObservedRecord) *Member {
	return &Member{
		Role:          uint32(o.Role),
		Identity:      o.Identity,
		Service:       o.Service,
		Tunnel:        addrTo(o.Tunnel),
		Control:       addrTo(o.Control),
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

const addrLen = 6

func addrTo(a netip.AddrPort) []byte {
	ip := a.Addr().As4()
	return binary.BigEndian.AppendUint16(ip[:], a.Port())
}

func addrFrom(b []byte) (netip.AddrPort, bool) {
	if len(b) != addrLen {
		return netip.AddrPort{}, false
	}
	ip := netip.AddrFrom4([4]byte(b[:4]))
	return netip.AddrPortFrom(ip, binary.BigEndian.Uint16(b[4:])), true
}

// Bounds of a record that another process sent.
const (
	maxIdentityLen = 128
	maxSlots       = 1024
	maxWitnesses   = 16
)

// errRecord means that a record is out of bounds.
var errRecord = errors.New("control: the record is out of bounds")

func observedFrom(m *Member) (member.ObservedRecord, error) {
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
	o.Tunnel, okTunnel = addrFrom(m.Tunnel)
	o.Control, okControl = addrFrom(m.Control)
	if o.Identity == "" || len(o.Identity) > maxIdentityLen || o.Slots > maxSlots || len(o.Witnesses) > maxWitnesses || !okTunnel || !okControl {
		return o, errRecord
	}
	return o, nil
}

// isBrief reports whether a record only names a sequence that the receiver knows.
func (m *Member) isBrief() bool { return m.Role == 0 }

func brief(r *member.Record) *Member {
	return &Member{Identity: r.Identity, Incarnation: r.Incarnation, Sequence: r.Sequence}
}
