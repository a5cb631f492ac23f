package control

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"greengagedyke/member"
)

func memberTo(o *member.Observed, now time.Time) *Member {
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
		Former:        o.Former,
		Revision:      o.Revision,
		AgeMs:         uint32(now.Sub(o.Heard).Milliseconds()),
	}
}

func addrTo(a netip.AddrPort) string {
	if !a.IsValid() {
		return ""
	}
	return a.String()
}

// Bounds of a record that another process sent.
const (
	maxIdentityLen = 128
	maxSlots       = 1024
)

func observedFrom(m *Member, now time.Time) (member.Record, time.Time, error) {
	r := member.Record{
		Role:          member.Role(m.Role),
		Identity:      m.Identity,
		Service:       m.Service,
		FailureDomain: m.FailureDomain,
		Slots:         int(m.Slots),
		State:         member.State(m.State),
		Weight:        float64(m.Weight),
		Incarnation:   m.Incarnation,
		Sequence:      m.Sequence,
		Former:        m.Former,
		Revision:      m.Revision,
	}
	if r.Identity == "" || len(r.Identity) > maxIdentityLen || r.Slots > maxSlots {
		return r, now, errors.New("control: record is out of bounds")
	}
	var err error
	if r.Tunnel, err = netip.ParseAddrPort(m.Tunnel); err != nil {
		return r, now, errors.Wrap(err, "control: tunnel address")
	}
	if r.Control, err = netip.ParseAddrPort(m.Control); err != nil {
		return r, now, errors.Wrap(err, "control: control address")
	}
	return r, now.Add(-time.Duration(m.AgeMs) * time.Millisecond), nil
}
