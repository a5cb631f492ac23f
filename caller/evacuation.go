package caller

import (
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"greengagedyke/work"
)

// refusalLogInterval is the shortest time between two log lines about refusals.
const refusalLogInterval = time.Second

// refusals counts and logs what is refused because the failure domain is evacuated.
type refusals struct {
	connections, requests metrics.Counter
	limit                 *rate.Limiter
}

func newRefusals(r metrics.Registry) refusals {
	return refusals{
		connections: metrics.NewRegisteredCounter("caller.connections.refused.evacuated", r),
		requests:    metrics.NewRegisteredCounter("caller.requests.not-run.evacuated", r),
		limit:       rate.NewLimiter(rate.Every(refusalLogInterval), 1),
	}
}

// record counts a refusal in n, and logs it unless another one was logged less than refusalLogInterval
// ago. what is "connection" or "request".
func (r *refusals) record(log *slog.Logger, what string, n metrics.Counter) {
	n.Inc(1)
	if r.limit.Allow() {
		log.Warn("refused", "what", what, "reason", work.ReasonEvacuated, "count", n.Count())
	}
}

// errEvacuated refuses a connection because the failure domain is evacuated.
var errEvacuated = errors.New("caller: the failure domain is evacuated")

// refuseIfEvacuated returns the function that package quic calls for each new connection. It refuses the
// connection if the failure domain is evacuated, else it returns cfg.
func (s *Server) refuseIfEvacuated(cfg *quic.Config) func(*quic.ClientInfo) (*quic.Config, error) {
	return func(*quic.ClientInfo) (*quic.Config, error) {
		if s.Evacuated() {
			s.refusals.record(s.Log, "connection", s.refusals.connections)
			return nil, errEvacuated
		}
		return cfg, nil
	}
}

// countConnection counts a connection as open until it is closed; it is an http3.Server.ConnContext.
func (s *Server) countConnection(ctx context.Context, conn *quic.Conn) context.Context {
	s.connections.Inc(1)
	context.AfterFunc(conn.Context(), func() { s.connections.Dec(1) })
	return ctx
}
