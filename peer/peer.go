// Package peer encodes the datagrams between balancers and sidecars that carry flows
// without a name of their own: packets with their path, reports of load, and where a
// flow is held.
package peer

import (
	"encoding/binary"
	"math"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"greengagedyke/flow"
)

// Kind is the kind of a datagram.
type Kind uint8

// The kinds of datagrams.
const (
	// KindPacket carries a caller's packet to a sidecar.
	KindPacket Kind = 1 + iota
	// KindLoad is a sidecar's report to a balancer.
	KindLoad
	// KindFlowHeld says that the sender holds a flow.
	KindFlowHeld
	// KindNotDelivered says that the sender did not deliver a packet.
	KindNotDelivered
	// KindBalancers lists balancers.
	KindBalancers
	// KindSidecars lists sidecars that a balancer knows, for one that knows fewer.
	KindSidecars
	// KindQuery asks a sidecar which flows it holds.
	KindQuery
	// KindAnswer answers it.
	KindAnswer
)

// Errors of datagrams.
var (
	// ErrForeign means that the datagram is not of this protocol.
	ErrForeign = errors.New("peer: foreign datagram")
	// ErrTruncated means that the datagram is shorter than its head says.
	ErrTruncated = errors.New("peer: truncated datagram")
)

const (
	// magic begins each datagram. It changes with the layout of the messages, so that
	// processes of another build refuse them instead of misreading them.
	magic = 0xd8
	// flagOffered and flagConfirm are the flags of a packet's head, flagDenied is that of
	// a KindNotDelivered, flagEnded stands beside the state of a KindLoad.
	flagOffered = 1
	flagConfirm = 2
	flagDenied  = 1
	flagEnded   = 1 << 7
	// commonSize is the length of magic and kind.
	commonSize  = 2
	addressSize = 6
	// pathSize is the length of hop, number of addresses, flags, tag, request policy and origin.
	pathSize  = 3 + 4 + termsSize + addressSize
	termsSize = 1 + 2 + 2
	loadSize  = 8 + 4 + 4 + 4 + 1 + 2 + 2 + 2 + 4 + 2
	// balancersSize is the length of what a balancer knows without the balancers.
	balancersSize = 8 + 4
	// MaxHead is the largest number of bytes before a packet.
	MaxHead = commonSize + pathSize + flow.RankingDepth*addressSize
	// MaxAddrs bounds a list of balancers or sidecars.
	MaxAddrs = 150
)

// KindOf returns the kind of a datagram and its body.
func KindOf(b []byte) (Kind, []byte, error) {
	if len(b) < commonSize || b[0] != magic {
		return 0, nil, ErrForeign
	}
	return Kind(b[1]), b[commonSize:], nil
}

func appendAddr(b []byte, a netip.AddrPort) []byte {
	var ip [4]byte
	if a.Addr().Is4() {
		ip = a.Addr().As4()
	}
	b = append(b, ip[:]...)
	return binary.BigEndian.AppendUint16(b, a.Port())
}

func addrFrom(b []byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[:4])), binary.BigEndian.Uint16(b[4:6]))
}

// AppendPacket appends the head of a packet: its path, the number of sidecars before
// the receiver, and the balancer that sent it first. The packet follows.
func AppendPacket(b []byte, p *flow.Path, hop int, origin netip.AddrPort, offered bool) []byte {
	flags := byte(0)
	if offered {
		flags |= flagOffered
	}
	if p.Confirm {
		flags |= flagConfirm
	}
	b = append(b, magic, byte(KindPacket), byte(hop), byte(p.FallbackCount), flags)
	b = binary.BigEndian.AppendUint32(b, uint32(p.Tag))
	b = append(b, p.Policy.Priority)
	b = binary.BigEndian.AppendUint16(b, milliseconds(p.Policy.LatencyTarget))
	b = binary.BigEndian.AppendUint16(b, milliseconds(p.Policy.Timeout))
	b = appendAddr(b, origin)
	for i := range p.FallbackCount {
		b = appendAddr(b, p.Fallbacks[i])
	}
	return b
}

func milliseconds(d time.Duration) uint16 {
	return uint16(max(0, min(d/time.Millisecond, math.MaxUint16)))
}

// ParsePacket reads the body of a KindPacket into a, and returns the packet in it.
func ParsePacket(b []byte, a *flow.TunnelPacket) ([]byte, error) {
	if len(b) < pathSize {
		return nil, ErrTruncated
	}
	n := int(b[1])
	if n > flow.RankingDepth || len(b) < pathSize+n*addressSize {
		return nil, ErrTruncated
	}
	a.Hop = int(b[0])
	a.Offered = b[2]&flagOffered != 0
	a.Path.Confirm = b[2]&flagConfirm != 0
	a.Path.Tag = flow.Tag(binary.BigEndian.Uint32(b[3:]))
	a.Path.Policy = flow.RequestPolicy{
		Priority:      b[7],
		LatencyTarget: time.Duration(binary.BigEndian.Uint16(b[8:])) * time.Millisecond,
		Timeout:       time.Duration(binary.BigEndian.Uint16(b[10:])) * time.Millisecond,
	}
	a.Origin = addrFrom(b[12:])
	a.Path.FallbackCount = n
	rest := b[pathSize:]
	for i := range n {
		a.Path.Fallbacks[i] = addrFrom(rest[i*addressSize:])
	}
	return rest[n*addressSize:], nil
}

// AppendLoad appends a report.
func AppendLoad(b []byte, l *flow.Load) []byte {
	b = append(b, magic, byte(KindLoad))
	b = binary.BigEndian.AppendUint64(b, l.Incarnation)
	b = binary.BigEndian.AppendUint32(b, l.Sequence)
	b = binary.BigEndian.AppendUint32(b, uint32(l.Tag))
	b = binary.BigEndian.AppendUint32(b, l.DomainID)
	state := byte(l.State)
	if l.UpstreamEnded {
		state |= flagEnded
	}
	b = append(b, state)
	b = binary.BigEndian.AppendUint16(b, l.Slots)
	b = binary.BigEndian.AppendUint16(b, l.Busy)
	b = binary.BigEndian.AppendUint16(b, l.Flows)
	b = binary.BigEndian.AppendUint32(b, uint32(l.WarmupLeft/time.Millisecond))
	return binary.BigEndian.AppendUint16(b, milliseconds(l.Interval))
}

// ParseLoad reads the body of a KindLoad.
func ParseLoad(b []byte) (flow.Load, error) {
	if len(b) < loadSize {
		return flow.Load{}, ErrTruncated
	}
	return flow.Load{
		Incarnation:   binary.BigEndian.Uint64(b),
		Sequence:      binary.BigEndian.Uint32(b[8:]),
		Tag:           flow.Tag(binary.BigEndian.Uint32(b[12:])),
		DomainID:      binary.BigEndian.Uint32(b[16:]),
		State:         flow.State(b[20] &^ flagEnded),
		UpstreamEnded: b[20]&flagEnded != 0,
		Slots:         binary.BigEndian.Uint16(b[21:]),
		Busy:          binary.BigEndian.Uint16(b[23:]),
		Flows:         binary.BigEndian.Uint16(b[25:]),
		WarmupLeft:    time.Duration(binary.BigEndian.Uint32(b[27:])) * time.Millisecond,
		Interval:      time.Duration(binary.BigEndian.Uint16(b[31:])) * time.Millisecond,
	}, nil
}

// AppendFlowHeld appends a datagram that says that the sender holds a flow.
func AppendFlowHeld(b []byte, k flow.Key) []byte {
	return k.AppendBinary(append(b, magic, byte(KindFlowHeld)))
}

// ParseFlowHeld reads the body of a KindFlowHeld.
func ParseFlowHeld(b []byte) (flow.Key, error) {
	if len(b) < flow.KeySize {
		return flow.Key{}, ErrTruncated
	}
	return flow.KeyFromBinary(b), nil
}

// AppendNotDelivered appends a datagram that says that the sender did not deliver a packet of
// a flow, and whether it knows that it does not hold the flow.
func AppendNotDelivered(b []byte, k flow.Key, denied bool) []byte {
	flags := byte(0)
	if denied {
		flags |= flagDenied
	}
	return k.AppendBinary(append(b, magic, byte(KindNotDelivered), flags))
}

// ParseNotDelivered reads the body of a KindNotDelivered.
func ParseNotDelivered(b []byte) (k flow.Key, denied bool, err error) {
	if len(b) < 1+flow.KeySize {
		return flow.Key{}, false, ErrTruncated
	}
	return flow.KeyFromBinary(b[1:]), b[0]&flagDenied != 0, nil
}

// BalancerInfo says when a balancer spoke, and whether the store answers it.
type BalancerInfo struct {
	Addr           netip.AddrPort
	Age            time.Duration
	StoreReachable bool
}

// BalancerInfos describe balancers that are named elsewhere as alive.
func BalancerInfos(addrs []netip.AddrPort) []BalancerInfo {
	list := make([]BalancerInfo, len(addrs))
	for i, addr := range addrs {
		list[i] = BalancerInfo{Addr: addr}
	}
	return list
}

const (
	balancerInfoSize = addressSize + 1
	// ageUnit is the unit of ages on the wire, which are rounded up: what is passed on
	// never grows younger. flagReached is beside them.
	ageUnit     = 500 * time.Millisecond
	maxAge      = 1<<7 - 1
	flagReached = 1 << 7
)

// Balancers is what a balancer knows: the version of the configuration that it has in
// force, the number of sidecars, itself and other balancers.
type Balancers struct {
	Version      uint64
	SidecarCount int
	Infos        []BalancerInfo
}

// AppendBalancers appends what a balancer knows; a list that is too long is cut.
func AppendBalancers(b []byte, l *Balancers) []byte {
	b = append(b, magic, byte(KindBalancers))
	b = binary.BigEndian.AppendUint64(b, l.Version)
	b = binary.BigEndian.AppendUint32(b, uint32(l.SidecarCount))
	for _, m := range l.Infos[:min(len(l.Infos), MaxAddrs)] {
		b = appendAddr(b, m.Addr)
		age := byte(max(0, min((m.Age+ageUnit-1)/ageUnit, maxAge)))
		if m.StoreReachable {
			age |= flagReached
		}
		b = append(b, age)
	}
	return b
}

// ParseBalancers reads the body of a KindBalancers.
func ParseBalancers(b []byte) (Balancers, error) {
	if len(b) < balancersSize || (len(b)-balancersSize)%balancerInfoSize != 0 {
		return Balancers{}, ErrTruncated
	}
	l := Balancers{Version: binary.BigEndian.Uint64(b), SidecarCount: int(binary.BigEndian.Uint32(b[8:]))}
	for rest := b[balancersSize:]; len(rest) > 0; rest = rest[balancerInfoSize:] {
		age := rest[addressSize]
		l.Infos = append(l.Infos, BalancerInfo{
			Addr: addrFrom(rest), Age: time.Duration(age&maxAge) * ageUnit, StoreReachable: age&flagReached != 0,
		})
	}
	return l, nil
}

// addrsFrom reads a list of addresses that fills b.
func addrsFrom(b []byte) []netip.AddrPort {
	var addrs []netip.AddrPort
	for ; len(b) >= addressSize; b = b[addressSize:] {
		addrs = append(addrs, addrFrom(b))
	}
	return addrs
}

// AppendSidecars appends a list of sidecars; a longer one than fits is cut.
func AppendSidecars(b []byte, addrs []netip.AddrPort) []byte {
	b = append(b, magic, byte(KindSidecars))
	for _, a := range addrs[:min(len(addrs), MaxAddrs)] {
		b = appendAddr(b, a)
	}
	return b
}

// ParseSidecars reads the body of a KindSidecars.
func ParseSidecars(b []byte) ([]netip.AddrPort, error) {
	if len(b)%addressSize != 0 {
		return nil, ErrTruncated
	}
	return addrsFrom(b), nil
}
