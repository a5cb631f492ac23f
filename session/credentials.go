// Package session carries the calls between the processes of the system. A session is a yamux
// session over mutually authenticated TLS; each call is a stream of protobuf messages in it.
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

// Credentials authenticate the processes of one system to each other. Every process derives the
// same key pair from the system's secret, and accepts only peers that prove to have it.
type Credentials struct {
	certificate tls.Certificate
	// public is the key that the certificate of a peer must contain.
	public  ed25519.PublicKey
	traffic *Traffic
}

// Traffic counts the bytes sent and received in the sessions of a process, including TLS overhead.
type Traffic struct {
	Sent     atomic.Int64
	Received atomic.Int64
}

// Traffic returns the counters of all sessions that use the credentials.
func (c *Credentials) Traffic() *Traffic { return c.traffic }

// countingConn counts the bytes sent and received on a connection.
type countingConn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.Received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.Sent.Add(int64(n))
	return n, err
}

// minSecretLen is the shortest accepted system secret in bytes.
const minSecretLen = 16

// errForeignPeer means that the certificate of the peer was not made from the system's secret.
var errForeignPeer = errors.New("session: the peer does not belong to this system")

// NewCredentials derives credentials from the system's secret, which must have at least
// minSecretLen bytes.
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

// tlsConfig returns the TLS configuration of clients and servers. Certificates are verified by
// their public key alone, instead of by host name and certificate authority.
func (c *Credentials) tlsConfig() *tls.Config {
	return &tls.Config{
		MinVersion:            tls.VersionTLS13,
		Certificates:          []tls.Certificate{c.certificate},
		ClientAuth:            tls.RequireAnyClientCert,
		InsecureSkipVerify:    true,
		VerifyPeerCertificate: c.verifyPeer,
		ClientSessionCache:    nil,
	}
}

// verifyPeer implements tls.Config.VerifyPeerCertificate. The peer must send one certificate, with
// the public key of the system.
func (c *Credentials) verifyPeer(certificates [][]byte, _ [][]*x509.Certificate) error {
	if len(certificates) != 1 {
		return errForeignPeer
	}
	certificate, err := x509.ParseCertificate(certificates[0])
	if err != nil {
		return errForeignPeer
	}
	public, ok := certificate.PublicKey.(ed25519.PublicKey)
	if !ok || !bytes.Equal(public, c.public) {
		return errForeignPeer
	}
	return nil
}
