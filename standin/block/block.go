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

// AddressBlock is the block 127.N.0.0/16.
type AddressBlock byte

// Reserve takes a block that nobody uses; the clean-up function gives it back.
func Reserve() (AddressBlock, func(), error) {
	for b := firstBlock; b <= lastBlock; b++ {
		block := AddressBlock(b)
		ln, err := net.Listen("tcp4", block.Addr(0, 1, claimPort).String())
		if err == nil {
			return block, func() { ln.Close() }, nil
		}
	}
	return 0, nil, errors.New("block.Reserve: all blocks are in use")
}

// IP is the n-th address of a kind within the block.
func (b AddressBlock) IP(kind, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(b), byte(kind), byte(n)})
}

// Addr is a port of the n-th address of a kind within the block.
func (b AddressBlock) Addr(kind, n int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(b.IP(kind, n), port)
}
