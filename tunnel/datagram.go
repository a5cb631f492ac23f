// Package tunnel is the protocol by which balancers and sidecars hand each other
// the datagrams of callers: each is wrapped with the caller's address, the
// service and the sidecar's incarnation, and authenticated.
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
	// KindProbe asks the receiver to prove that the path works.
	KindProbe
	// KindProbeAnswer answers a probe.
	KindProbeAnswer
)

const (
	version        = 1
	tagLen         = 16
	kindOffset     = tagLen
	keyOffset      = kindOffset + 1
	serviceOffset  = keyOffset + 1
	incOffset      = serviceOffset + 4
	callerOffset   = incOffset + 2
	nonceOffset    = callerOffset + 6
	nonceLen       = 12
	senderLen      = 6
	mtu            = 1500
	ipAndUDPHeader = 28

	// HeaderLen is the length in bytes of the header before a payload.
	HeaderLen = nonceOffset + nonceLen
	// MaxPayload is the largest payload in bytes that fits a link with an MTU of 1,500 bytes.
	MaxPayload = mtu - ipAndUDPHeader - HeaderLen
	// MaxDatagram is the largest tunnel datagram in bytes.
	MaxDatagram = HeaderLen + MaxPayload
)

// Errors of opening a datagram.
var (
	ErrTruncated   = errors.New("tunnel: datagram is shorter than its header")
	ErrVersion     = errors.New("tunnel: unknown version")
	ErrKey         = errors.New("tunnel: unknown key")
	ErrUnauthentic = errors.New("tunnel: authentication failed")
	ErrOversized   = errors.New("tunnel: payload is larger than the link allows")
	errNoKeys      = errors.New("tunnel: no keys")
	errNoSenderID  = errors.New("tunnel: no random sender ID")
)

// Header describes a tunnel datagram.
type Header struct {
	Kind Kind
	// ServiceTag names the service that the payload belongs to.
	ServiceTag uint32
	// Incarnation is the truncated incarnation of the sidecar.
	Incarnation uint16
	// Caller is the caller's address. IPv4 only.
	Caller netip.AddrPort
}

// Key is a secret that authenticates datagrams.
type Key struct {
	ID     uint8
	Secret []byte
}

type sealKey struct {
	id   uint8
	aead cipher.AEAD
}

// Sealer authenticates datagrams under a set of keys. The sender ID and counter
// in its nonces never repeat for one key.
type Sealer struct {
	keys    []sealKey
	sender  [senderLen]byte
	counter atomic.Uint64
}

// NewSealer returns a sealer that seals with the first key and opens with all.
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
		s.keys = append(s.keys, sealKey{id: k.ID, aead: aead})
	}
	if _, err := rand.Read(s.sender[:]); err != nil {
		return nil, errNoSenderID
	}
	return s, nil
}

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

func (s *Sealer) find(id uint8) cipher.AEAD {
	for i := range s.keys {
		if s.keys[i].id == id {
			return s.keys[i].aead
		}
	}
	return nil
}

// Seal writes the header for the payload that already stands at
// datagram[HeaderLen:]. Header and payload are authenticated, not encrypted:
// QUIC encrypts the payload itself.
func (s *Sealer) Seal(datagram []byte, h *Header) error {
	if len(datagram) > MaxDatagram {
		return ErrOversized
	}
	ip := h.Caller.Addr().As4()
	datagram[kindOffset] = version<<4 | byte(h.Kind)
	datagram[keyOffset] = s.keys[0].id
	binary.BigEndian.PutUint32(datagram[serviceOffset:], h.ServiceTag)
	binary.BigEndian.PutUint16(datagram[incOffset:], h.Incarnation)
	copy(datagram[callerOffset:], ip[:])
	binary.BigEndian.PutUint16(datagram[callerOffset+4:], h.Caller.Port())
	nonce := datagram[nonceOffset:HeaderLen]
	n := s.counter.Add(1)
	copy(nonce, s.sender[:])
	binary.BigEndian.PutUint16(nonce[senderLen:], uint16(n>>32))
	binary.BigEndian.PutUint32(nonce[senderLen+2:], uint32(n))
	s.keys[0].aead.Seal(datagram[:0], nonce, nil, datagram[tagLen:])
	return nil
}

// Open checks a datagram and returns its header; the payload stands at
// datagram[HeaderLen:].
func (s *Sealer) Open(datagram []byte) (Header, error) {
	if len(datagram) < HeaderLen {
		return Header{}, ErrTruncated
	}
	if datagram[kindOffset]>>4 != version {
		return Header{}, ErrVersion
	}
	aead := s.find(datagram[keyOffset])
	if aead == nil {
		return Header{}, ErrKey
	}
	nonce := datagram[nonceOffset:HeaderLen]
	if _, err := aead.Open(nil, nonce, datagram[:tagLen], datagram[tagLen:]); err != nil {
		return Header{}, ErrUnauthentic
	}
	return Header{
		Kind:        Kind(datagram[kindOffset] & 0x0f),
		ServiceTag:  binary.BigEndian.Uint32(datagram[serviceOffset:]),
		Incarnation: binary.BigEndian.Uint16(datagram[incOffset:]),
		Caller: netip.AddrPortFrom(
			netip.AddrFrom4([4]byte(datagram[callerOffset:callerOffset+4])),
			binary.BigEndian.Uint16(datagram[callerOffset+4:]),
		),
	}, nil
}
