package quiclb

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/sha256"
	"encoding/binary"

	"github.com/pkg/errors"
)

const (
	// minInitialDatagramLen is the smallest datagram with an Initial packet, in bytes. It is larger than
	// any refusal, so that refusals do not amplify traffic to a forged source.
	minInitialDatagramLen = 1200
	// connectionRefused is the QUIC error code CONNECTION_REFUSED.
	connectionRefused = 0x02
	packetNumberLen   = 4
	// sampleLen is the length of the ciphertext sample that protects a header, in bytes.
	sampleLen = 16
)

// initialSalt is the salt of the Initial keys of QUIC version 1, RFC 9001 section 5.2.
var initialSalt = []byte{
	0x38, 0x76, 0x2c, 0xf7, 0xf5, 0x59, 0x34, 0xb3, 0x4d, 0x17,
	0x9a, 0xe6, 0xa4, 0xc8, 0x0c, 0xad, 0xcc, 0xbb, 0x7f, 0x0a,
}

// ErrNotRefusable means that a datagram does not open a connection of QUIC version 1.
var ErrNotRefusable = errors.New("quiclb: the datagram cannot be refused")

// AppendRefusal appends to dst the answer that refuses the connection which a datagram of a caller
// opens: an Initial packet with the error CONNECTION_REFUSED. It returns ErrNotRefusable if the
// datagram is not a whole one that begins with an Initial packet of QUIC version 1.
func AppendRefusal(dst, datagram []byte) ([]byte, error) {
	h, reason := ParseHeader(datagram)
	if reason != ReasonNone || len(datagram) < minInitialDatagramLen || h.Kind != KindInitial {
		return nil, ErrNotRefusable
	}
	isInitial := datagram[0]>>4&0x3 == 0
	source, ok := sourceConnectionID(datagram, len(h.ConnectionID))
	if !ok || !isInitial || binary.BigEndian.Uint32(datagram[1:]) != version1 {
		return nil, ErrNotRefusable
	}
	payload := []byte{0x1c, connectionRefused, 0, 0} // CONNECTION_CLOSE without frame type and reason
	packet := []byte{longHeaderBit | fixedBit | (packetNumberLen - 1)}
	packet = binary.BigEndian.AppendUint32(packet, version1)
	packet = append(append(packet, byte(len(source))), source...)
	packet = append(append(packet, byte(len(h.ConnectionID))), h.ConnectionID...)
	packet = append(packet, 0) // no token
	packet = append(packet, byte(packetNumberLen+len(payload)+aes.BlockSize))
	numberOffset := len(packet)
	packet = append(packet, make([]byte, packetNumberLen)...)
	packet, err := protect(packet, numberOffset, payload, h.ConnectionID)
	return append(dst, packet...), err
}

// sourceConnectionID returns the source connection ID of a long header whose destination connection ID
// has length n; false if the packet ends inside it or it is too long.
func sourceConnectionID(packet []byte, n int) ([]byte, bool) {
	rest := packet[6+n:]
	if len(rest) == 0 || rest[0] > maxConnectionIDLen || len(rest) < 1+int(rest[0]) {
		return nil, false
	}
	return rest[1 : 1+rest[0]], true
}

// protect encrypts payload after header as a server's Initial packet with the packet number 0, which is
// at numberOffset. connectionID is the first destination connection ID of the client.
func protect(header []byte, numberOffset int, payload, connectionID []byte) ([]byte, error) {
	secret, err := hkdf.Extract(sha256.New, connectionID, initialSalt)
	if err != nil {
		return nil, errors.Wrap(err, "quiclb.protect")
	}
	if secret, err = expandLabel(secret, "server in", sha256.Size); err != nil {
		return nil, err
	}
	key, errKey := expandLabel(secret, "quic key", 16)
	iv, errIV := expandLabel(secret, "quic iv", 12)
	headerKey, errHeader := expandLabel(secret, "quic hp", 16)
	if errKey != nil || errIV != nil || errHeader != nil {
		return nil, errors.New("quiclb.protect: no keys")
	}
	block, err := aes.NewCipher(key)
	if err != nil {
		return nil, errors.Wrap(err, "quiclb.protect")
	}
	aead, err := cipher.NewGCM(block)
	if err != nil {
		return nil, errors.Wrap(err, "quiclb.protect")
	}
	packet := aead.Seal(header, iv, payload, header)
	headerBlock, err := aes.NewCipher(headerKey)
	if err != nil {
		return nil, errors.Wrap(err, "quiclb.protect")
	}
	var mask [sampleLen]byte
	sample := numberOffset + packetNumberLen
	headerBlock.Encrypt(mask[:], packet[sample:sample+sampleLen])
	packet[0] ^= mask[0] & 0x0f
	for i := range packetNumberLen {
		packet[numberOffset+i] ^= mask[1+i]
	}
	return packet, nil
}

// expandLabel is HKDF-Expand-Label of RFC 8446 with an empty context.
func expandLabel(secret []byte, label string, n int) ([]byte, error) {
	label = "tls13 " + label
	info := append(binary.BigEndian.AppendUint16(nil, uint16(n)), byte(len(label)))
	info = append(append(info, label...), 0)
	out, err := hkdf.Expand(sha256.New, secret, string(info), n)
	return out, errors.Wrap(err, "quiclb.expandLabel")
}
