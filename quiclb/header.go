package quiclb

// Kind is the kind of a QUIC packet, as far as it matters for routing.
type Kind uint8

const (
	// KindShort is a packet with a short header; its connection ID is chosen by the server.
	KindShort Kind = iota
	// KindInitial is a long-header packet that may carry a connection ID chosen by the
	// caller: Initial, 0-RTT, or any packet of a version other than 1 and 2.
	KindInitial
	// KindHandshake is a long-header packet of a connection that the server has answered.
	KindHandshake
)

// Reason tells why a packet cannot be routed.
type Reason uint8

const (
	// ReasonNone means that the packet was parsed.
	ReasonNone Reason = iota
	// ReasonTruncated means that the packet ends inside its header.
	ReasonTruncated
	// ReasonMalformed means that a field has a value that QUIC forbids.
	ReasonMalformed
)

// Header is the part of a QUIC header that routing needs.
type Header struct {
	Kind Kind
	// ConnectionID is the destination connection ID: a slice of the packet. For a
	// short header it is the first ConnectionIDLen bytes after the flags.
	ConnectionID []byte
}

const (
	longHeaderBit   = 0x80
	fixedBit        = 0x40
	version1        = 0x00000001
	version2        = 0x6b3343cf
	maxConnIDLen    = 20
	minInitialIDLen = 8
	minShortLen     = 1 + ConnectionIDLen + 4
)

// ParseHeader reads the header of a packet sent by a caller, without copying.
func ParseHeader(packet []byte) (Header, Reason) {
	if len(packet) == 0 {
		return Header{}, ReasonTruncated
	}
	if packet[0]&longHeaderBit != 0 {
		return parseLong(packet)
	}
	if packet[0]&fixedBit == 0 {
		return Header{}, ReasonMalformed
	}
	if len(packet) < minShortLen {
		return Header{}, ReasonTruncated
	}
	return Header{Kind: KindShort, ConnectionID: packet[1 : 1+ConnectionIDLen]}, ReasonNone
}

func parseLong(packet []byte) (Header, Reason) {
	const idOffset = 6
	if len(packet) < idOffset {
		return Header{}, ReasonTruncated
	}
	version := uint32(packet[1])<<24 | uint32(packet[2])<<16 | uint32(packet[3])<<8 | uint32(packet[4])
	n := int(packet[5])
	if version == 0 || n > maxConnIDLen {
		return Header{}, ReasonMalformed
	}
	if len(packet) < idOffset+n+1 {
		return Header{}, ReasonTruncated
	}
	h := Header{Kind: longKind(version, packet[0]), ConnectionID: packet[idOffset : idOffset+n]}
	if h.Kind == KindInitial && n < minInitialIDLen {
		return Header{}, ReasonMalformed
	}
	return h, ReasonNone
}

// Versions 1 and 2 number the same long packet types differently.
func longKind(version uint32, flags byte) Kind {
	typ := flags >> 4 & 0x3
	switch version {
	case version1:
		if typ >= 2 {
			return KindHandshake
		}
	case version2:
		if typ == 0 || typ == 3 {
			return KindHandshake
		}
	}
	return KindInitial
}
