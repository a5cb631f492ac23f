// Package peer encodes and decodes the datagrams between balancers and sidecars for flows that are
// identified by addresses and ports: packets with their path, load reports, flow lookups, and
// gossip about balancers and sidecars.
package peer

import (
	"encoding/binary"
	"math"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"greengagedyke/flow"
	"greengagedyke/outlier"
)

// Kind is the type of a datagram.
type Kind uint8

// The kinds of datagrams.
const (
	// KindPacket carries a caller's packet to a sidecar.
	KindPacket Kind = 1 + iota
	// KindLoad carries a sidecar's load report to a balancer.
	KindLoad
	// KindFlowHeld reports that the sending sidecar's upstream holds a flow.
	KindFlowHeld
	// KindNotDelivered reports that the sending sidecar did not deliver a packet.
	KindNotDelivered
	// KindBalancers is a balancer's gossip about itself and other balancers.
	KindBalancers
	// KindSidecars lists the addresses of a balancer's sidecars, for a balancer that has fewer.
	KindSidecars
	// KindQuery asks a sidecar which of some flows its upstream holds.
	KindQuery
	// KindAnswer answers a KindQuery.
	KindAnswer
	// KindProbes carries several KindPackets with which a sidecar probes its upstream, and lists
	// sidecars to which it relays them.
	KindProbes
)

// Errors of parsing a datagram.
var (
	// ErrForeign means that the datagram belongs to another protocol or version, or that its kind or
	// one of its values is unknown.
	ErrForeign = errors.New("peer: foreign datagram")
	// ErrTruncated means that the length of the datagram does not fit its kind or its counts.
	ErrTruncated = errors.New("peer: truncated datagram")
)

const (
	// magic is the first byte of each datagram. It changes with the layout of the messages, so that
	// processes of another version reject them instead of misreading them.
	magic = 0xda
	// flagOffered and flagConfirm are the flags of a KindPacket: those of flow.TunnelPacket.Offered
	// and flow.Path.Confirm.
	flagOffered = 1
	flagConfirm = 2
	// flagNotHeld is the flag of a KindNotDelivered: the upstream certainly does not hold the flow.
	flagNotHeld = 1
	// flagUpstreamEnded shares a byte with the state of a KindLoad: it is flow.Load.UpstreamEnded.
	flagUpstreamEnded = 1 << 7
	// commonSize is the length of the magic and the kind. All sizes are in bytes.
	commonSize  = 2
	addressSize = 6
	// pathSize is the length of hop, fallback count, flags, tag, request policy, warm-up rate and
	// origin.
	pathSize   = 3 + 4 + policySize + 2 + addressSize
	policySize = 1 + 2 + 2
	// fallbackSize is the length of a fallback's address and its expected time in units of
	// fallbackTimeUnit.
	fallbackSize     = addressSize + 1
	fallbackTimeUnit = 20 * time.Millisecond
	loadSize         = 8 + 4 + 4 + 4 + 1 + 2 + 2 + 2 + 4 + 2 + 2 + 4 + 2 + 2 + evidenceSize + flow.RouteCostCount*routeCostSize
	// evidenceSize is the length of a failure share and an answer time.
	evidenceSize = 1 + 2
	// routeCostSize is the length of a route's ID and its cost in units of costUnit.
	routeCostSize = 4 + 2
	costUnit      = 100 * time.Microsecond
	// balancersSize is the length of a KindBalancers body without its evacuations and infos.
	balancersSize = 8 + 4 + 1
	// MaxHead is the largest length of the header that AppendPacket appends.
	MaxHead = commonSize + pathSize + flow.RankingDepth*fallbackSize
	// MaxAddrs is the largest number of addresses in a KindBalancers or KindSidecars.
	MaxAddrs = 150
)

// KindOf returns the kind of a datagram and its body. It returns ErrForeign if the datagram has a
// different magic.
func KindOf(b []byte) (Kind, []byte, error) {
	if len(b) < commonSize || b[0] != magic {
		return 0, nil, ErrForeign
	}
	return Kind(b[1]), b[commonSize:], nil
}

// IsUnicast reports whether a process can have the address: a unicast IPv4 address and a port.
func IsUnicast(addr netip.AddrPort) bool {
	ip := addr.Addr()
	return ip.Is4() && !ip.IsUnspecified() && !ip.IsMulticast() && addr.Port() != 0
}

// appendAddr appends an IPv4 address and port. An IP address that is not IPv4 is sent as 0.0.0.0.
func appendAddr(b []byte, a netip.AddrPort) []byte {
	var ip [4]byte
	if a.Addr().Is4() {
		ip = a.Addr().As4()
	}
	b = append(b, ip[:]...)
	return binary.BigEndian.AppendUint16(b, a.Port())
}

// parseAddr reads an address; b has at least addressSize bytes.
func parseAddr(b []byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[:4])), binary.BigEndian.Uint16(b[4:6]))
}

// AppendPacket appends the header of a KindPacket, to be followed by the packet. hop is the number
// of sidecars that the packet has passed, origin the balancer that first sent it, and offered
// reports whether an upstream may still answer the opening packet.
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
	b = binary.BigEndian.AppendUint16(b, p.WarmupRate)
	b = appendAddr(b, origin)
	for i := range p.FallbackCount {
		b = appendAddr(b, p.Fallbacks[i])
		// Rounded up, since 0 means that the time is unknown.
		units := (p.FallbackTimes[i] + fallbackTimeUnit - 1) / fallbackTimeUnit
		b = append(b, byte(max(0, min(units, math.MaxUint8))))
	}
	return b
}

// milliseconds converts d to whole milliseconds, limited to the range of the result.
func milliseconds(d time.Duration) uint16 {
	return uint16(max(0, min(d/time.Millisecond, math.MaxUint16)))
}

// ParsePacket parses the body of a KindPacket. It stores the header in p and returns the packet,
// which shares memory with b.
func ParsePacket(b []byte, p *flow.TunnelPacket) ([]byte, error) {
	if len(b) < pathSize {
		return nil, ErrTruncated
	}
	n := int(b[1])
	if n > flow.RankingDepth || len(b) < pathSize+n*fallbackSize {
		return nil, ErrTruncated
	}
	p.Hop = int(b[0])
	p.Offered = b[2]&flagOffered != 0
	p.Path.Confirm = b[2]&flagConfirm != 0
	p.Path.Tag = flow.Tag(binary.BigEndian.Uint32(b[3:]))
	p.Path.Policy = flow.RequestPolicy{
		Priority:      b[7],
		LatencyTarget: time.Duration(binary.BigEndian.Uint16(b[8:])) * time.Millisecond,
		Timeout:       time.Duration(binary.BigEndian.Uint16(b[10:])) * time.Millisecond,
	}
	p.Path.WarmupRate = binary.BigEndian.Uint16(b[12:])
	p.Origin = parseAddr(b[14:])
	p.Path.FallbackCount = n
	rest := b[pathSize:]
	for i := range n {
		fallback := rest[i*fallbackSize:]
		p.Path.Fallbacks[i] = parseAddr(fallback)
		p.Path.FallbackTimes[i] = time.Duration(fallback[addressSize]) * fallbackTimeUnit
	}
	return rest[n*fallbackSize:], nil
}

// AppendLoad appends a KindLoad.
func AppendLoad(b []byte, l *flow.Load) []byte {
	b = append(b, magic, byte(KindLoad))
	b = binary.BigEndian.AppendUint64(b, l.Incarnation)
	b = binary.BigEndian.AppendUint32(b, l.Sequence)
	b = binary.BigEndian.AppendUint32(b, uint32(l.Tag))
	b = binary.BigEndian.AppendUint32(b, l.DomainID)
	state := byte(l.State)
	if l.UpstreamEnded {
		state |= flagUpstreamEnded
	}
	b = append(b, state)
	b = binary.BigEndian.AppendUint16(b, l.Slots)
	b = binary.BigEndian.AppendUint16(b, l.Busy)
	b = binary.BigEndian.AppendUint16(b, l.Flows)
	b = binary.BigEndian.AppendUint32(b, uint32(l.WarmupLeft/time.Millisecond))
	b = binary.BigEndian.AppendUint16(b, l.WarmupRoom)
	b = binary.BigEndian.AppendUint32(b, uint32(max(0, min(l.Work/time.Millisecond, math.MaxUint32))))
	b = binary.BigEndian.AppendUint16(b, milliseconds(l.ServiceTime))
	b = binary.BigEndian.AppendUint16(b, milliseconds(l.Interval))
	b = binary.BigEndian.AppendUint16(b, l.OpenFlows)
	b = append(b, evidenceByte(&l.Evidence))
	b = binary.BigEndian.AppendUint16(b, milliseconds(l.Evidence.AnswerTime))
	for _, c := range l.RouteCosts {
		b = binary.BigEndian.AppendUint32(b, uint32(c.Route))
		b = binary.BigEndian.AppendUint16(b, uint16(max(0, min(c.Cost/costUnit, math.MaxUint16))))
	}
	return b
}

// ParseLoad parses the body of a KindLoad.
func ParseLoad(b []byte) (flow.Load, error) {
	if len(b) < loadSize {
		return flow.Load{}, ErrTruncated
	}
	l := flow.Load{
		Incarnation:   binary.BigEndian.Uint64(b),
		Sequence:      binary.BigEndian.Uint32(b[8:]),
		Tag:           flow.Tag(binary.BigEndian.Uint32(b[12:])),
		DomainID:      binary.BigEndian.Uint32(b[16:]),
		State:         flow.State(b[20] &^ flagUpstreamEnded),
		UpstreamEnded: b[20]&flagUpstreamEnded != 0,
		Slots:         binary.BigEndian.Uint16(b[21:]),
		Busy:          binary.BigEndian.Uint16(b[23:]),
		Flows:         binary.BigEndian.Uint16(b[25:]),
		WarmupLeft:    time.Duration(binary.BigEndian.Uint32(b[27:])) * time.Millisecond,
		WarmupRoom:    binary.BigEndian.Uint16(b[31:]),
		Work:          time.Duration(binary.BigEndian.Uint32(b[33:])) * time.Millisecond,
		ServiceTime:   time.Duration(binary.BigEndian.Uint16(b[37:])) * time.Millisecond,
		Interval:      time.Duration(binary.BigEndian.Uint16(b[39:])) * time.Millisecond,
		OpenFlows:     binary.BigEndian.Uint16(b[41:]),
		Evidence:      parseEvidence(b[43:]),
	}
	for i := range l.RouteCosts {
		c := b[loadSize-(flow.RouteCostCount-i)*routeCostSize:]
		l.RouteCosts[i] = flow.RouteCost{
			Route: flow.RouteID(binary.BigEndian.Uint32(c)),
			Cost:  time.Duration(binary.BigEndian.Uint16(c[4:])) * costUnit,
		}
	}
	return l, nil
}

// maxShare encodes a failure share of 1, and 1 a share of 0. A byte of 0 means that there is no evidence.
const maxShare = math.MaxUint8

// evidenceByte encodes whether evidence is known, and its failure share.
func evidenceByte(e *outlier.Evidence) byte {
	if !e.Known {
		return 0
	}
	return byte(1 + math.Round(max(0, min(e.FailureShare, 1))*(maxShare-1)))
}

// parseEvidence reads evidence; b has at least 3 bytes.
func parseEvidence(b []byte) outlier.Evidence {
	if b[0] == 0 {
		return outlier.Evidence{}
	}
	return outlier.Evidence{
		Known: true, FailureShare: float64(b[0]-1) / (maxShare - 1),
		AnswerTime: time.Duration(binary.BigEndian.Uint16(b[1:])) * time.Millisecond,
	}
}

// AppendFlowHeld appends a KindFlowHeld for flow k.
func AppendFlowHeld(b []byte, k flow.Key) []byte {
	return k.AppendBinary(append(b, magic, byte(KindFlowHeld)))
}

// ParseFlowHeld parses the body of a KindFlowHeld.
func ParseFlowHeld(b []byte) (flow.Key, error) {
	if len(b) < flow.KeySize {
		return flow.Key{}, ErrTruncated
	}
	return flow.KeyFromBinary(b), nil
}

// AppendNotDelivered appends a KindNotDelivered for a packet of each of the flows. notHeld reports
// whether the sender's upstream certainly does not hold them.
func AppendNotDelivered(b []byte, notHeld bool, keys ...flow.Key) []byte {
	flags := byte(0)
	if notHeld {
		flags |= flagNotHeld
	}
	b = append(b, magic, byte(KindNotDelivered), flags)
	for _, k := range keys {
		b = k.AppendBinary(b)
	}
	return b
}

// ParseNotDelivered parses the body of a KindNotDelivered.
func ParseNotDelivered(b []byte) (keys []flow.Key, notHeld bool, err error) {
	if len(b) <= 1 || (len(b)-1)%flow.KeySize != 0 {
		return nil, false, ErrTruncated
	}
	for rest := b[1:]; len(rest) > 0; rest = rest[flow.KeySize:] {
		keys = append(keys, flow.KeyFromBinary(rest))
	}
	return keys, b[0]&flagNotHeld != 0, nil
}

// BalancerInfo is what gossip reports about one balancer.
type BalancerInfo struct {
	Addr netip.AddrPort
	// Age is the time since the balancer sent its newest message.
	Age time.Duration
	// StoreReachable is set if the store answers the balancer.
	StoreReachable bool
}

// BalancerInfos returns infos about the balancers at addresses from settings or the store. Their age
// is 0: they count as running.
func BalancerInfos(addrs []netip.AddrPort) []BalancerInfo {
	list := make([]BalancerInfo, len(addrs))
	for i, addr := range addrs {
		list[i] = BalancerInfo{Addr: addr}
	}
	return list
}

const (
	balancerInfoSize = addressSize + 1
	// ageUnit is the unit of encoded ages. Ages are rounded up, so that relaying an info never makes
	// it younger.
	ageUnit = 500 * time.Millisecond
	// maxAgeUnits is the largest encoded age; larger ages are encoded as this one.
	maxAgeUnits = 1<<7 - 1
	// flagStoreReachable shares a byte with the age: it is BalancerInfo.StoreReachable.
	flagStoreReachable = 1 << 7
)

// Balancers is a balancer's gossip.
type Balancers struct {
	// Version is the version of the configuration that the sender has applied.
	Version uint64
	// SidecarCount is the number of sidecars that report to the sender.
	SidecarCount int
	// Evacuations are the newest evacuations that the sender knows; the zero value if no process is
	// known to have had any.
	Evacuations flow.Evacuations
	// Infos describes the sender and other balancers.
	Infos []BalancerInfo
}

// AppendBalancers appends a KindBalancers with the first MaxAddrs infos of l.
func AppendBalancers(b []byte, l *Balancers) []byte {
	b = append(b, magic, byte(KindBalancers))
	b = binary.BigEndian.AppendUint64(b, l.Version)
	b = binary.BigEndian.AppendUint32(b, uint32(l.SidecarCount))
	b = appendEvacuations(b, &l.Evacuations)
	for _, info := range l.Infos[:min(len(l.Infos), MaxAddrs)] {
		b = appendAddr(b, info.Addr)
		age := byte(max(0, min((info.Age+ageUnit-1)/ageUnit, maxAgeUnits)))
		if info.StoreReachable {
			age |= flagStoreReachable
		}
		b = append(b, age)
	}
	return b
}

// ParseBalancers parses the body of a KindBalancers.
func ParseBalancers(b []byte) (Balancers, error) {
	if len(b) < balancersSize {
		return Balancers{}, ErrTruncated
	}
	l := Balancers{Version: binary.BigEndian.Uint64(b), SidecarCount: int(binary.BigEndian.Uint32(b[8:]))}
	evacuations, rest, err := parseEvacuations(b[balancersSize-1:])
	if err != nil || len(rest)%balancerInfoSize != 0 {
		return Balancers{}, ErrTruncated
	}
	l.Evacuations = evacuations
	for ; len(rest) > 0; rest = rest[balancerInfoSize:] {
		age := rest[addressSize]
		l.Infos = append(l.Infos, BalancerInfo{
			Addr: parseAddr(rest), Age: time.Duration(age&maxAgeUnits) * ageUnit, StoreReachable: age&flagStoreReachable != 0,
		})
	}
	return l, nil
}

// parseAddrs reads the addresses that b consists of.
func parseAddrs(b []byte) []netip.AddrPort {
	var addrs []netip.AddrPort
	for ; len(b) >= addressSize; b = b[addressSize:] {
		addrs = append(addrs, parseAddr(b))
	}
	return addrs
}

// AppendSidecars appends a KindSidecars with the first MaxAddrs addresses.
func AppendSidecars(b []byte, addrs []netip.AddrPort) []byte {
	b = append(b, magic, byte(KindSidecars))
	for _, a := range addrs[:min(len(addrs), MaxAddrs)] {
		b = appendAddr(b, a)
	}
	return b
}

// ParseSidecars parses the body of a KindSidecars.
func ParseSidecars(b []byte) ([]netip.AddrPort, error) {
	if len(b)%addressSize != 0 {
		return nil, ErrTruncated
	}
	return parseAddrs(b), nil
}
