package quiclb

// Kind is the kind of a QUIC packet, as far as routing distinguishes it.
type Kind uint8

const (
	// KindShort is a packet with a short header; its connection ID is chosen by the server.
	KindShort Kind = iota
	// KindInitial is a long-header packet that may carry a connection ID chosen by the
	// caller: Initial, 0-RTT, or any packet of a version other than 1 and 2.
	KindInitial
	// KindHandshake is a Handshake packet of version 1 or 2, whose connection ID is chosen by the
	// server. Retry packets, which a caller never sends, are of this kind too.
	KindHandshake
)

// Reason is the reason why a packet cannot be parsed.
type Reason uint8

const (
	// ReasonNone means that the packet was parsed.
	ReasonNone Reason = iota
	// ReasonTruncated means that the packet ends inside its header.
	ReasonTruncated
	// ReasonMalformed means that a field has a value that a caller must not send.
	ReasonMalformed
)

// Header is the part of a QUIC packet header that routing needs.
type Header struct {
	Kind Kind
	// ConnectionID is the destination connection ID, a slice of the packet. A short header does
	// not contain the length of the ID, which is assumed to be ConnectionIDLen.
	ConnectionID []byte
}

const (
	longHeaderBit             = 0x80
	fixedBit                  = 0x40
	version1                  = 0x00000001
	version2                  = 0x6b3343cf
	maxConnectionIDLen        = 20
	minInitialConnectionIDLen = 8
	minShortPacketLen         = 1 + ConnectionIDLen + 4
)

// ParseHeader parses the header of a packet sent by a caller, without copying.
func ParseHeader(packet []byte) (Header, Reason) {
	if len(packet) == 0 {
		return Header{}, ReasonTruncated
	}
	if packet[0]&longHeaderBit != 0 {
		return parseLongHeader(packet)
	}
	if packet[0]&fixedBit == 0 {
		return Header{}, ReasonMalformed
	}
	if len(packet) < minShortPacketLen {
		return Header{}, ReasonTruncated
	}
	return Header{Kind: KindShort, ConnectionID: packet[1 : 1+ConnectionIDLen]}, ReasonNone
}

// parseLongHeader parses a packet with a long header.
func parseLongHeader(packet []byte) (Header, Reason) {
	const connectionIDOffset = 6
	if len(packet) < connectionIDOffset {
		return Header{}, ReasonTruncated
	}
	version := uint32(packet[1])<<24 | uint32(packet[2])<<16 | uint32(packet[3])<<8 | uint32(packet[4])
	n := int(packet[5])
	if version == 0 || n > maxConnectionIDLen {
		return Header{}, ReasonMalformed
	}
	if len(packet) < connectionIDOffset+n+1 {
		return Header{}, ReasonTruncated
	}
	h := Header{Kind: longHeaderKind(version, packet[0]), ConnectionID: packet[connectionIDOffset : connectionIDOffset+n]}
	if h.Kind == KindInitial && n < minInitialConnectionIDLen {
		return Header{}, ReasonMalformed
	}
	return h, ReasonNone
}

// longHeaderKind returns the kind of a packet with a long header. Versions 1 and 2 number the packet
// types differently.
func longHeaderKind(version uint32, flags byte) Kind {
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
