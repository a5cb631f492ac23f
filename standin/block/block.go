// Package block reserves blocks of loopback addresses, so that tests and demos that run at the
// same time on one machine use different addresses.
package block

import (
	"net"
	"net/netip"

	"github.com/pkg/errors"
)

const (
	// firstBlock is the smallest second octet of a block.
	firstBlock = 16
	// lastBlock is the largest second octet of a block.
	lastBlock = 250
	// reservationPort is the port on which a process that has reserved a block listens, so that other
	// processes cannot reserve it.
	reservationPort = 8999
)

// AddressBlock identifies the address block 127.N.0.0/16 by its N.
type AddressBlock byte

// Reserve reserves a free block and returns it with the function that releases it. It returns an
// error if all blocks are in use.
func Reserve() (AddressBlock, func(), error) {
	for b := firstBlock; b <= lastBlock; b++ {
		block := AddressBlock(b)
		ln, err := net.Listen("tcp4", block.Addr(0, 1, reservationPort).String())
		if err == nil {
			return block, func() { ln.Close() }, nil
		}
	}
	return 0, nil, errors.New("block.Reserve: all address blocks are in use")
}

// IP returns the address 127.N.subnet.host.
func (b AddressBlock) IP(subnet, host int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(b), byte(subnet), byte(host)})
}

// Addr returns the address 127.N.subnet.host with a port.
func (b AddressBlock) Addr(subnet, host int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(b.IP(subnet, host), port)
}
