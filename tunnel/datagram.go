// Package tunnel implements the protocol that carries datagrams between balancers and sidecars. The
// header of a tunnel datagram contains the caller's address, the service and the sidecar's
// incarnation; header and payload are authenticated.
package tunnel

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"net/netip"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Kind is the kind of a tunnel datagram.
type Kind uint8

const (
	// KindInbound carries a caller's datagram to a sidecar.
	KindInbound Kind = 1 + iota
	// KindOutbound carries a sidecar's datagram towards a caller.
	KindOutbound
	// KindProbe asks the balancer for a probe answer. It has no payload.
	KindProbe
	// KindProbeAnswer shows the sidecar that the path through the balancer works. It has no
	// payload.
	KindProbeAnswer
)

// The layout of the header. Lengths and offsets are in bytes. An authentication tag precedes the
// other fields; the byte at kindOffset contains the version and the kind.
const (
	version           = 1
	authTagLen        = 16
	kindOffset        = authTagLen
	keyOffset         = kindOffset + 1
	serviceOffset     = keyOffset + 1
	incarnationOffset = serviceOffset + 4
	callerOffset      = incarnationOffset + 2
	nonceOffset       = callerOffset + 6
	nonceLen          = 12
	senderIDLen       = 6
	mtu               = 1500
	ipAndUDPHeaderLen = 28

	// HeaderLen is the length in bytes of the header before a payload.
	HeaderLen = nonceOffset + nonceLen
	// MaxPayload is the largest payload in bytes that fits a link with an MTU of 1,500 bytes.
	MaxPayload = mtu - ipAndUDPHeaderLen - HeaderLen
	// MaxDatagram is the largest tunnel datagram in bytes.
	MaxDatagram = HeaderLen + MaxPayload
)

// Errors of NewSealer, Sealer.Seal and Sealer.Open.
var (
	ErrTruncated   = errors.New("tunnel: datagram is shorter than its header")
	ErrVersion     = errors.New("tunnel: unknown version")
	ErrKey         = errors.New("tunnel: unknown key")
	ErrUnauthentic = errors.New("tunnel: authentication failed")
	ErrOversized   = errors.New("tunnel: payload is larger than the link allows")
	errNoKeys      = errors.New("tunnel: no keys")
	errNoSenderID  = errors.New("tunnel: no random sender ID")
)

// Header is the header of a tunnel datagram.
type Header struct {
	Kind Kind
	// ServiceTag identifies the service that the payload belongs to.
	ServiceTag uint32
	// Incarnation is the low 16 bits of the sidecar's incarnation.
	Incarnation uint16
	// Caller is the caller's IPv4 address, or in a probe and its answer the balancer's.
	Caller netip.AddrPort
}

// Key is a secret from which the key that authenticates datagrams is derived.
type Key struct {
	// ID identifies the key in headers.
	ID     uint8
	Secret []byte
}

// aeadKey is the cipher made from a Key.
type aeadKey struct {
	id   uint8
	aead cipher.AEAD
}

// Sealer authenticates datagrams with a set of keys. Each nonce consists of the sealer's random sender
// ID and a counter, so that none repeats with one key. It is safe for concurrent use.
type Sealer struct {
	keys     []aeadKey
	senderID [senderIDLen]byte
	counter  atomic.Uint64
}

// NewSealer returns a sealer that seals with the first key and opens with any of the keys.
func NewSealer(keys ...Key) (*Sealer, error) {
	if len(keys) == 0 {
		return nil, errNoKeys
	}
	s := &Sealer{}
	for _, k := range keys {
		aead, err := newAEAD(k.Secret)
		if err != nil {
			return nil, err
		}
		s.keys = append(s.keys, aeadKey{id: k.ID, aead: aead})
	}
	if _, err := rand.Read(s.senderID[:]); err != nil {
		return nil, errNoSenderID
	}
	return s, nil
}

// newAEAD returns AES-GCM with a key derived from secret.
func newAEAD(secret []byte) (cipher.AEAD, error) {
	h := sha256.New()
	h.Write([]byte("greengagedyke tunnel "))
	h.Write(secret)
	block, err := aes.NewCipher(h.Sum(nil)[:aes.BlockSize])
	if err != nil {
		return nil, errors.Wrap(err, "tunnel.NewSealer")
	}
	aead, err := cipher.NewGCM(block)
	return aead, errors.Wrap(err, "tunnel.NewSealer")
}

// aead returns the cipher of the key with the given ID, or nil.
func (s *Sealer) aead(id uint8) cipher.AEAD {
	for i := range s.keys {
		if s.keys[i].id == id {
			return s.keys[i].aead
		}
	}
	return nil
}

// Seal writes h and the authentication tag into datagram[:HeaderLen]. The payload must already be in
// datagram[HeaderLen:]. Header and payload are authenticated, not encrypted: QUIC encrypts the
// payload itself. Seal returns ErrOversized if the datagram is longer than MaxDatagram.
func (s *Sealer) Seal(datagram []byte, h *Header) error {
	if len(datagram) > MaxDatagram {
		return ErrOversized
	}
	ip := h.Caller.Addr().As4()
	datagram[kindOffset] = version<<4 | byte(h.Kind)
	datagram[keyOffset] = s.keys[0].id
	binary.BigEndian.PutUint32(datagram[serviceOffset:], h.ServiceTag)
	binary.BigEndian.PutUint16(datagram[incarnationOffset:], h.Incarnation)
	copy(datagram[callerOffset:], ip[:])
	binary.BigEndian.PutUint16(datagram[callerOffset+4:], h.Caller.Port())
	nonce := datagram[nonceOffset:HeaderLen]
	n := s.counter.Add(1)
	copy(nonce, s.senderID[:])
	binary.BigEndian.PutUint16(nonce[senderIDLen:], uint16(n>>32))
	binary.BigEndian.PutUint32(nonce[senderIDLen+2:], uint32(n))
	s.keys[0].aead.Seal(datagram[:0], nonce, nil, datagram[authTagLen:])
	return nil
}

// Open authenticates a datagram and returns its header. The payload is in datagram[HeaderLen:]. The
// errors are ErrTruncated, ErrVersion, ErrKey and ErrUnauthentic.
func (s *Sealer) Open(datagram []byte) (Header, error) {
	if len(datagram) < HeaderLen {
		return Header{}, ErrTruncated
	}
	if datagram[kindOffset]>>4 != version {
		return Header{}, ErrVersion
	}
	aead := s.aead(datagram[keyOffset])
	if aead == nil {
		return Header{}, ErrKey
	}
	nonce := datagram[nonceOffset:HeaderLen]
	if _, err := aead.Open(nil, nonce, datagram[:authTagLen], datagram[authTagLen:]); err != nil {
		return Header{}, ErrUnauthentic
	}
	return Header{
		Kind:        Kind(datagram[kindOffset] & 0x0f),
		ServiceTag:  binary.BigEndian.Uint32(datagram[serviceOffset:]),
		Incarnation: binary.BigEndian.Uint16(datagram[incarnationOffset:]),
		Caller: netip.AddrPortFrom(
			netip.AddrFrom4([4]byte(datagram[callerOffset:callerOffset+4])),
			binary.BigEndian.Uint16(datagram[callerOffset+4:]),
		),
	}, nil
}
