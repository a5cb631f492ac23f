// Command standins runs the small stand-ins for the outside systems, for tests
// and trials: the platform's store, the fabric, upstreams, a fault-injecting
// proxy, and callers.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
)

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	p := flags.NewParser(nil, flags.HelpFlag|flags.PassDoubleDash)
	p.Name = "standins"
	for _, c := range []struct {
		name, usage string
		data        any
	}{
		{"store", storeUsage, &storeCommand{}},
		{"fabric", fabricUsage, &fabricCommand{}},
		{"upstream", upstreamUsage, &upstreamCommand{}},
		{"proxy", proxyUsage, &proxyCommand{}},
		{"load", loadUsage, &loadCommand{}},
		{"certificate", certificateUsage, &certificateCommand{}},
		{"soak", soakUsage, &soakCommand{}},
	} {
		if _, err := p.AddCommand(c.name, c.usage, c.usage, c.data); err != nil {
			fmt.Fprintln(os.Stderr, "standins:", err)
			return 2
		}
	}
	if _, err := p.ParseArgs(args); err != nil {
		fmt.Fprintln(os.Stderr, "standins:", err)
		return 1
	}
	return 0
}

func lifetime() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// address is an address on the command line.
type address struct{ netip.AddrPort }

// UnmarshalFlag implements flags.Unmarshaler.
func (a *address) UnmarshalFlag(s string) error {
	v, err := netip.ParseAddrPort(s)
	a.AddrPort = v
	return errors.Wrap(err, "address")
}

// controlOptions let a test change a stand-in while it runs.
type controlOptions struct {
	Control address `long:"control" value-name:"ADDRESS" description:"HTTP address where PUT changes faults"`
}

// serve runs handlers for PUT until ctx ends. Each is called with the body.
func (o *controlOptions) serve(ctx context.Context, handlers map[string]func(dec *json.Decoder) error) error {
	if !o.Control.IsValid() {
		return nil
	}
	ln, err := net.Listen("tcp4", o.Control.String())
	if err != nil {
		return errors.Wrap(err, "control")
	}
	mux := http.NewServeMux()
	for path, handle := range handlers {
		mux.HandleFunc("PUT "+path, func(w http.ResponseWriter, r *http.Request) {
			if err := handle(json.NewDecoder(r.Body)); err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
			}
		})
	}
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	context.AfterFunc(ctx, func() { server.Close() })
	go server.Serve(ln)
	return nil
}
