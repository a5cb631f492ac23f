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

// mmsghdr is struct mmsghdr of recvmmsg(2).
type mmsghdr struct {
	unix.Msghdr
	// length is the length in bytes of the received datagram.
	length uint32
	_      [4]byte
}

// receiver receives batches of datagrams by recvmmsg(2) without allocating. (Package
// golang.org/x/net/ipv4 allocates the address of each sender.)
type receiver struct {
	conn    syscall.RawConn
	headers [batchSize]mmsghdr
	iovecs  [batchSize]unix.Iovec
	senders [batchSize]unix.RawSockaddrInet4
	// readFunc is the method value r.readOnce, stored because each evaluation of it allocates.
	readFunc func(fd uintptr) bool
	// count is the number of datagrams that the last readOnce received.
	count int
	// errno is the error of the last readOnce; 0 if it succeeded.
	errno syscall.Errno
}

// newReceiver returns a receiver that reads from conn into buffers, of which there must be
// batchSize.
func newReceiver(conn *net.UDPConn, buffers [][]byte) (*receiver, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, errors.Wrap(err, "fabric.newReceiver")
	}
	r := &receiver{conn: raw}
	r.readFunc = r.readOnce
	for i := range r.headers {
		r.iovecs[i].Base = &buffers[i][0]
		r.iovecs[i].SetLen(len(buffers[i]))
		h := &r.headers[i]
		h.Iov = &r.iovecs[i]
		h.SetIovlen(1)
		h.Name = (*byte)(unsafe.Pointer(&r.senders[i]))
	}
	return r, nil
}

// receive waits for datagrams and returns their number. Once the socket is closed, it returns an
// error that wraps net.ErrClosed.
func (r *receiver) receive() (int, error) {
	for i := range r.headers {
		// The kernel overwrites Namelen with the length of the sender's address.
		r.headers[i].Namelen = unix.SizeofSockaddrInet4
	}
	if err := r.conn.Read(r.readFunc); err != nil {
		return 0, err
	}
	if r.errno != 0 {
		return 0, r.errno
	}
	return r.count, nil
}

// readOnce reads the datagrams that are available. It returns false if there are none, so that
// RawConn.Read waits and calls it again.
func (r *receiver) readOnce(fd uintptr) bool {
	n, _, errno := unix.Syscall6(unix.SYS_RECVMMSG, fd, uintptr(unsafe.Pointer(&r.headers[0])), batchSize, unix.MSG_DONTWAIT, 0, 0)
	r.count = int(n)
	r.errno = errno
	return errno != unix.EAGAIN && errno != unix.EINTR
}

// length returns the length in bytes of the i-th datagram.
func (r *receiver) length(i int) int { return int(r.headers[i].length) }

// sender returns the source address of the i-th datagram.
func (r *receiver) sender(i int) netip.AddrPort {
	s := &r.senders[i]
	port := binary.BigEndian.Uint16((*[2]byte)(unsafe.Pointer(&s.Port))[:])
	return netip.AddrPortFrom(netip.AddrFrom4(s.Addr), port)
}
