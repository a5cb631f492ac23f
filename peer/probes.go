package peer

import (
	"encoding/binary"
	"math"
	"net/netip"
)

// probeHeadSize is the length of a KindProbes body without its lists: the relay count.
const probeHeadSize = 1

// Probes are packets with which sidecars are to probe their upstreams.
type Probes struct {
	// RelayTo are sidecars to which the receiver relays the packets.
	RelayTo []netip.AddrPort
	// Packets are KindPacket datagrams.
	Packets [][]byte
}

// AppendProbes appends a KindProbes with the first maxRelayTo addresses of p.RelayTo.
func AppendProbes(b []byte, p *Probes) []byte {
	relayTo := p.RelayTo[:min(len(p.RelayTo), maxRelayTo)]
	b = append(b, magic, byte(KindProbes), byte(len(relayTo)))
	for _, addr := range relayTo {
		b = appendAddr(b, addr)
	}
	for _, packet := range p.Packets {
		if len(packet) <= math.MaxUint16 {
			b = binary.BigEndian.AppendUint16(b, uint16(len(packet)))
			b = append(b, packet...)
		}
	}
	return b
}

// ParseProbes parses the body of a KindProbes. The packets share memory with b.
func ParseProbes(b []byte) (*Probes, error) {
	if len(b) < probeHeadSize {
		return nil, ErrTruncated
	}
	relaySize := int(b[0]) * addressSize
	if len(b) < probeHeadSize+relaySize {
		return nil, ErrTruncated
	}
	p := &Probes{RelayTo: parseAddrs(b[probeHeadSize : probeHeadSize+relaySize])}
	for rest := b[probeHeadSize+relaySize:]; len(rest) > 0; {
		if len(rest) < 2 {
			return nil, ErrTruncated
		}
		n := int(binary.BigEndian.Uint16(rest))
		if len(rest) < 2+n {
			return nil, ErrTruncated
		}
		p.Packets = append(p.Packets, rest[2:2+n])
		rest = rest[2+n:]
	}
	return p, nil
}
