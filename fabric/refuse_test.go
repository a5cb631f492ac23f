package fabric

import (
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rcrowley/go-metrics"
)

// All failure domains of a service are evacuated: a caller that opens a connection is refused at once.
func TestFirstFlightToEvacuatedService(t *testing.T) {
	counters := NewCounters(metrics.NewRegistry())
	f, stop, err := New(slog.New(slog.DiscardHandler), counters, netip.MustParseAddrPort("127.0.0.1:0"), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	d := newDecider(t, 0)
	d.Evacuated = true
	if err := f.Apply(Bindings{{Address: netip.MustParseAddrPort("127.0.0.1:0"), Decider: d}}, nil); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	for _, socket := range f.sockets {
		_, err = quic.DialAddr(ctx, socket.udpConn.LocalAddr().String(), &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"h3"}}, nil)
	}
	var refused *quic.TransportError
	if !errors.As(err, &refused) || refused.ErrorCode != quic.ConnectionRefused || counters.Dropped[DropReasonEvacuated].Count() == 0 {
		t.Errorf("got error %v, %d counted, want a refusal that is counted", err, counters.Dropped[DropReasonEvacuated].Count())
	}
}
