package fabric

import (
	"net/netip"

	"golang.org/x/time/rate"

	"greengagedyke/quiclb"
)

// refusalRate is the largest number of connections that a forwarder refuses per second and service, so
// that their keys take little processor time. Further callers get no answer and try again.
const refusalRate = 1000

// newRefusalLimit returns the limiter of refusals of one service.
func newRefusalLimit() *rate.Limiter { return rate.NewLimiter(refusalRate, refusalRate) }

// refuse answers a caller's first flight that no upstream may get, so that the caller need not wait for
// its handshake to time out. Datagrams that cannot be refused get no answer.
func (f *Forwarder) refuse(socket *serviceSocket, datagram []byte, caller netip.AddrPort) {
	if !socket.refusals.Allow() {
		return
	}
	answer, err := quiclb.AppendRefusal(nil, datagram)
	if err != nil {
		return
	}
	if _, err := socket.udpConn.WriteToUDPAddrPort(answer, caller); err != nil {
		f.counters.Dropped[DropReasonSend].Inc(1)
	}
}
