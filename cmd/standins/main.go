// Command standins runs simple replacements for the systems around the load balancer, for tests:
// the platform's store, the fabric, upstreams, a fault-injecting proxy and callers. It also writes
// certificates and runs soak tests.
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

// run parses the arguments, executes the subcommand and returns the exit code.
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

// signalContext returns a context that ends at SIGTERM or SIGINT.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// addrPortFlag is an option whose value is an IP address and a port.
type addrPortFlag struct{ netip.AddrPort }

// UnmarshalFlag implements flags.Unmarshaler.
func (a *addrPortFlag) UnmarshalFlag(s string) error {
	v, err := netip.ParseAddrPort(s)
	a.AddrPort = v
	return errors.Wrap(err, "address")
}

// controlOptions are the options of stand-ins that can be reconfigured over HTTP while they run.
type controlOptions struct {
	Control addrPortFlag `long:"control" value-name:"ADDRESS" description:"IP address and port of an HTTP server where PUT injects faults (default: no server)"`
}

// serve starts an HTTP server on the control address that runs until ctx ends. A PUT to a path
// calls the handler of that path with the JSON body; if the handler fails, the answer is 400. serve
// does nothing if no control address is set.
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
