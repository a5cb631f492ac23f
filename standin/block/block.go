// Package block hands out blocks of loopback addresses, so that tests and demos
// that run at the same time do not meet.
package block

import (
	"net"
	"net/netip"

	"github.com/pkg/errors"
)

const (
	firstBlock = 16
	lastBlock  = 250
	// claimPort is bound for as long as a block is in use.
	claimPort = 8999
)

// Block is the block 127.N.0.0/16.
type Block byte

// Claim takes a block that nobody uses; the clean-up function gives it back.
func Claim() (Block, func(), error) {
	for b := firstBlock; b <= lastBlock; b++ {
		block := Block(b)
		ln, err := net.Listen("tcp4", block.Addr(0, 1, claimPort).String())
		if err == nil {
			return block, func() { ln.Close() }, nil
		}
	}
	return 0, nil, errors.New("block.Claim: all blocks are in use")
}

// IP is the n-th address of a kind within the block.
func (b Block) IP(kind, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(b), byte(kind), byte(n)})
}

// Addr is a port of the n-th address of a kind within the block.
func (b Block) Addr(kind, n int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(b.IP(kind, n), port)
}
