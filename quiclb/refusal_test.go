package quiclb

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
)

// A caller opens a connection to a service without upstreams and is refused at once; datagrams that do
// not open one get no answer.
func TestRefusalEndsHandshake(t *testing.T) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	answered := make(chan []byte, 1)
	go func() {
		datagram := make([]byte, 2000)
		n, from, err := conn.ReadFromUDPAddrPort(datagram)
		if err != nil {
			return
		}
		answer, err := AppendRefusal(nil, datagram[:n])
		if err != nil {
			t.Error(err)
		}
		if _, err := conn.WriteToUDPAddrPort(answer, from); err != nil {
			t.Error(err)
		}
		answered <- datagram[:n]
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	_, err = quic.DialAddr(ctx, conn.LocalAddr().String(), &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"h3"}}, nil)
	var refused *quic.TransportError
	if !errors.As(err, &refused) || refused.ErrorCode != quic.ConnectionRefused {
		t.Fatalf("got error %v, want a refusal", err)
	}
	checkNotRefusable(t, <-answered)
}

// checkNotRefusable checks that truncated and changed copies of a datagram get no answer.
func checkNotRefusable(t *testing.T, datagram []byte) {
	t.Helper()
	for n := range len(datagram) - 1 {
		if _, err := AppendRefusal(nil, datagram[:min(n, minInitialDatagramLen-1)]); !errors.Is(err, ErrNotRefusable) {
			t.Fatalf("first %d bytes: got error %v, want %v", n, err, ErrNotRefusable)
		}
	}
	for i, b := range map[int]byte{0: datagram[0] | 0x20, 4: 2, 6 + int(datagram[5]): 255} { // a Handshake packet, version 2, a long source ID
		changed := append([]byte(nil), datagram...)
		changed[i] = b
		if _, err := AppendRefusal(nil, changed); !errors.Is(err, ErrNotRefusable) {
			t.Errorf("byte %d set to %d: got error %v, want %v", i, b, err, ErrNotRefusable)
		}
	}
}
