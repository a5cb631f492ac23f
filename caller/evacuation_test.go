package caller

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/quic-go/quic-go"

	"greengagedyke/work"
)

// The failure domain is evacuated while a connection is open. The connection stays, a new one is
// refused at once, and after the evacuation a new one is accepted.
func TestConnectionsDuringEvacuation(t *testing.T) {
	s := newTestServer(t, func(_ context.Context, _ *work.Request, sink work.ResponseSink) work.Outcome {
		if sink.Head(work.ResponseHead{Status: http.StatusOK}) != nil {
			return work.Unknown(work.ReasonAnswerLost)
		}
		return work.Outcome{Verdict: work.VerdictAnswered}
	})
	open := s.client(listenUDP(t))
	defer open.Close()
	if _, _, err := s.get(t, open, http.Header{}); err != nil {
		t.Fatal(err)
	}
	s.evacuated.Store(true)
	if _, _, err := s.get(t, open, http.Header{}); err != nil {
		t.Errorf("open connection: %v", err)
	}
	late := s.client(listenUDP(t))
	defer late.Close()
	started := time.Now()
	var refused *quic.TransportError
	if _, _, err := s.get(t, late, http.Header{}); !errors.As(err, &refused) || refused.ErrorCode != quic.ConnectionRefused || time.Since(started) > time.Second {
		t.Errorf("new connection: got error %v after %s, want a refusal at once", err, time.Since(started))
	}
	s.evacuated.Store(false)
	if _, _, err := s.get(t, late, http.Header{}); err != nil {
		t.Errorf("after the evacuation: %v", err)
	}
}
