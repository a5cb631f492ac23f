package daemon

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"testing"
)

// The server's port must be free as soon as ServeHTTP has returned: listening on it again must
// succeed.
func TestServeHTTPFreesItsPort(t *testing.T) {
	log := slog.New(slog.DiscardHandler)
	addr := "127.0.0.1:0"
	for range 300 {
		ln, err := net.Listen("tcp4", addr)
		if err != nil {
			t.Fatal(err)
		}
		addr = ln.Addr().String()
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			ServeHTTP(ctx, log, ln, http.NotFoundHandler())
		}()
		cancel()
		<-done
	}
}
