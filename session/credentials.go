// Package session is the protocol below all talk between the system's own
// processes: yamux over mutually authenticated TLS, with one protobuf call a stream.
package session

import (
	"bytes"
	"crypto/ed25519"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Credentials prove that a process belongs to this system. Every process derives
// the same key pair from the system's secret, and accepts no other peer.
type Credentials struct {
	certificate tls.Certificate
	public      ed25519.PublicKey
	traffic     *Traffic
}

// Traffic counts the bytes that a process's sessions carry, TLS included.
type Traffic struct {
	Sent     atomic.Int64
	Received atomic.Int64
}

// Traffic returns the count of all sessions that use the credentials.
func (c *Credentials) Traffic() *Traffic { return c.traffic }

// countedConn counts what is sent and received.
type countedConn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.Received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.Sent.Add(int64(n))
	return n, err
}

// minSecretLen is the shortest accepted system secret in bytes.
const minSecretLen = 16

// errForeignPeer means that the other end does not know the system's secret.
var errForeignPeer = errors.New("session: the peer does not belong to this system")

// NewCredentials derives credentials from the system's secret.
func NewCredentials(secret []byte) (*Credentials, error) {
	if len(secret) < minSecretLen {
		return nil, errors.Errorf("session.NewCredentials: secret has %d bytes, want at least %d", len(secret), minSecretLen)
	}
	seed := sha256.Sum256(append([]byte("greengagedyke session "), secret...))
	key := ed25519.NewKeyFromSeed(seed[:])
	public := key.Public().(ed25519.PublicKey)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		NotBefore:    time.Unix(0, 0),
		NotAfter:     time.Unix(1<<33, 0),
	}
	der, err := x509.CreateCertificate(nil, template, template, public, key)
	if err != nil {
		return nil, errors.Wrap(err, "session.NewCredentials")
	}
	return &Credentials{
		certificate: tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key},
		public:      public,
		traffic:     &Traffic{},
	}, nil
}

// config returns the TLS settings of both ends. The usual verification by name
// and authority is replaced by the comparison of public keys.
func (c *Credentials) config() *tls.Config {
	return &tls.Config{
		MinVersion:            tls.VersionTLS13,
		Certificates:          []tls.Certificate{c.certificate},
		ClientAuth:            tls.RequireAnyClientCert,
		InsecureSkipVerify:    true,
		VerifyPeerCertificate: c.verify,
		ClientSessionCache:    nil,
	}
}

func (c *Credentials) verify(raw [][]byte, _ [][]*x509.Certificate) error {
	if len(raw) != 1 {
		return errForeignPeer
	}
	certificate, err := x509.ParseCertificate(raw[0])
	if err != nil {
		return errForeignPeer
	}
	public, ok := certificate.PublicKey.(ed25519.PublicKey)
	if !ok || !bytes.Equal(public, c.public) {
		return errForeignPeer
	}
	return nil
}
