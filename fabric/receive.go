package fabric

import (
	"encoding/binary"
	"net"
	"net/netip"
	"syscall"
	"unsafe"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// messageHeader is the kernel's struct mmsghdr.
type messageHeader struct {
	unix.Msghdr
	received uint32
	_        [4]byte
}

// receiver reads batches of datagrams without allocating: golang.org/x/net/ipv4
// allocates the address of each sender.
type receiver struct {
	conn    syscall.RawConn
	headers [batchSize]messageHeader
	vectors [batchSize]unix.Iovec
	senders [batchSize]unix.RawSockaddrInet4
	// read is bound once, since a closure for each call would be allocated.
	read  func(fd uintptr) bool
	count int
	errno syscall.Errno
}

// newReceiver returns a receiver that reads from conn into buffers.
func newReceiver(conn *net.UDPConn, buffers [][]byte) (*receiver, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, errors.Wrap(err, "fabric.newReceiver")
	}
	r := &receiver{conn: raw}
	r.read = r.readOnce
	for i := range r.headers {
		r.vectors[i].Base = &buffers[i][0]
		r.vectors[i].SetLen(len(buffers[i]))
		h := &r.headers[i]
		h.Iov = &r.vectors[i]
		h.SetIovlen(1)
		h.Name = (*byte)(unsafe.Pointer(&r.senders[i]))
	}
	return r, nil
}

// receive waits for datagrams and returns their number. It fails with an error that
// is net.ErrClosed once the socket is closed.
func (r *receiver) receive() (int, error) {
	for i := range r.headers {
		// The kernel shortens it to the length of each address.
		r.headers[i].Namelen = unix.SizeofSockaddrInet4
	}
	if err := r.conn.Read(r.read); err != nil {
		return 0, err
	}
	if r.errno != 0 {
		return 0, r.errno
	}
	return r.count, nil
}

// readOnce reports false when there is nothing to read yet.
func (r *receiver) readOnce(fd uintptr) bool {
	n, _, errno := unix.Syscall6(unix.SYS_RECVMMSG, fd, uintptr(unsafe.Pointer(&r.headers[0])), batchSize, unix.MSG_DONTWAIT, 0, 0)
	r.count = int(n)
	r.errno = errno
	return errno != unix.EAGAIN && errno != unix.EINTR
}

// length is the length in bytes of the i-th datagram.
func (r *receiver) length(i int) int { return int(r.headers[i].received) }

// sender is the address that the i-th datagram came from.
func (r *receiver) sender(i int) netip.AddrPort {
	s := &r.senders[i]
	port := binary.BigEndian.Uint16((*[2]byte)(unsafe.Pointer(&s.Port))[:])
	return netip.AddrPortFrom(netip.AddrFrom4(s.Addr), port)
}
