// Package quiclb parses the part of QUIC packet headers that routing needs, and encodes routing
// information into server-chosen connection IDs in the manner of the QUIC-LB draft.
package quiclb

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/sha256"
	"encoding/binary"
	"net/netip"

	"github.com/pkg/errors"
)

// ConnectionIDLen is the length in bytes of every server-chosen connection ID:
// one byte of key ID and one encrypted AES block.
const ConnectionIDLen = 1 + aes.BlockSize

// maxKeys is the number of keys that may be valid at the same time, so that one
// can be rotated in before the other is rotated out.
const maxKeys = 2

// Route is the routing information inside a connection ID.
type Route struct {
	// Addr is the IPv4 tunnel address of the sidecar that issued the connection ID.
	Addr netip.AddrPort
	// ServiceTag identifies the service. A wrong tag also shows that a connection ID was not
	// made by Encode: decrypting random bytes gives a random tag.
	ServiceTag uint32
	// Incarnation is the low 16 bits of the sidecar's incarnation.
	Incarnation uint16
	// Nonce makes the connection IDs of a sidecar distinct.
	Nonce uint32
}

// Key is a secret from which the key that encrypts connection IDs is derived.
type Key struct {
	// ID is the first byte of the connection IDs that are encrypted with the key.
	ID     uint8
	Secret []byte
}

// cipherKey is the cipher made from a Key.
type cipherKey struct {
	id    uint8
	block cipher.Block
}

// Codec encodes and decodes connection IDs. It is immutable and safe for
// concurrent use.
type Codec struct {
	keys []cipherKey
}

// NewCodec returns a codec that encodes with the first key and decodes with any of the keys. It
// fails without keys, with more than maxKeys, or if two have the same ID.
func NewCodec(keys ...Key) (*Codec, error) {
	if len(keys) == 0 || len(keys) > maxKeys {
		return nil, errors.Errorf("quiclb.NewCodec: %d keys, want 1 to %d", len(keys), maxKeys)
	}
	c := &Codec{}
	for _, k := range keys {
		if c.block(k.ID) != nil {
			return nil, errors.Errorf("quiclb.NewCodec: key ID %d is repeated", k.ID)
		}
		block, err := aes.NewCipher(deriveKey(k.Secret))
		if err != nil {
			return nil, errors.Wrap(err, "quiclb.NewCodec")
		}
		c.keys = append(c.keys, cipherKey{id: k.ID, block: block})
	}
	return c, nil
}

// deriveKey returns the AES key for a secret.
func deriveKey(secret []byte) []byte {
	h := sha256.New()
	h.Write([]byte("greengagedyke connection-id "))
	h.Write(secret)
	return h.Sum(nil)[:aes.BlockSize]
}

// block returns the cipher of the key with the given ID, or nil.
func (c *Codec) block(id uint8) cipher.Block {
	for i := range c.keys {
		if c.keys[i].id == id {
			return c.keys[i].block
		}
	}
	return nil
}

// Encode writes the connection ID for r into dst, which must be at least ConnectionIDLen bytes long.
func (c *Codec) Encode(dst []byte, r Route) {
	ip := r.Addr.Addr().As4()
	dst[0] = c.keys[0].id
	block := dst[1:ConnectionIDLen]
	copy(block[0:4], ip[:])
	binary.BigEndian.PutUint16(block[4:6], r.Addr.Port())
	binary.BigEndian.PutUint32(block[6:10], r.ServiceTag)
	binary.BigEndian.PutUint16(block[10:12], r.Incarnation)
	binary.BigEndian.PutUint32(block[12:16], r.Nonce)
	c.keys[0].block.Encrypt(block, block)
}

// Decode returns the route inside a connection ID. It returns false if the ID is too short or its key
// is unknown. It does not detect a forged ID: compare the route's service tag with that of the
// service to which the packet was addressed, which random bytes match once in 2^32. scratch is
// overwritten; it must be at least ConnectionIDLen bytes long.
func (c *Codec) Decode(scratch, id []byte) (Route, bool) {
	if len(id) < ConnectionIDLen {
		return Route{}, false
	}
	key := c.block(id[0])
	if key == nil {
		return Route{}, false
	}
	block := scratch[:aes.BlockSize]
	key.Decrypt(block, id[1:ConnectionIDLen])
	r := Route{
		Addr: netip.AddrPortFrom(
			netip.AddrFrom4([4]byte(block[0:4])),
			binary.BigEndian.Uint16(block[4:6]),
		),
		ServiceTag:  binary.BigEndian.Uint32(block[6:10]),
		Incarnation: binary.BigEndian.Uint16(block[10:12]),
		Nonce:       binary.BigEndian.Uint32(block[12:16]),
	}
	return r, true
}
