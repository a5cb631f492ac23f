// Command greengagedyke is a layer-4 load balancer: its balancers, its sidecars
// and the commands of its operators.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"greengagedyke/daemon"
)

func main() {
	os.Exit(run(os.Args[1:]))
}

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

func run(args []string) int {
	p := flags.NewParser(nil, flags.HelpFlag|flags.PassDoubleDash)
	p.Name = "greengagedyke"
	for _, c := range []struct {
		name, short, long string
		data              any
	}{
		{"balancer", balancerShort, balancerUsage, &balancerCommand{}},
		{"sidecar", sidecarShort, sidecarUsage, &sidecarCommand{}},
		{"check", checkShort, checkUsage, &checkCommand{}},
		{"apply", applyShort, applyUsage, &applyCommand{}},
		{"get", getShort, getUsage, &getCommand{}},
		{"diff", diffShort, diffUsage, &diffCommand{}},
		{"watch", watchShort, watchUsage, &watchCommand{}},
		{"status", statusShort, statusUsage, &statusCommand{}},
		{"logs", logsShort, logsUsage, &logsCommand{}},
		{"timeline", timelineShort, timelineUsage, &timelineCommand{}},
		{"demo", demoShort, demoUsage, &demoCommand{}},
		{"version", versionShort, versionUsage, &versionCommand{}},
	} {
		if _, err := p.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			fmt.Fprintln(os.Stderr, "greengagedyke:", err)
			return exitUsage
		}
	}
	_, err := p.ParseArgs(args)
	var usage *flags.Error
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Println(err)
		return exitOK
	case errors.As(err, &usage):
		fmt.Fprintln(os.Stderr, "greengagedyke:", err)
		return exitUsage
	default:
		fmt.Fprintln(os.Stderr, "greengagedyke:", err)
		return exitFailed
	}
}

func newLog() *slog.Logger {
	return slog.New(slog.NewJSONHandler(os.Stderr, nil))
}

// lifetime returns a context that ends at the first SIGTERM or SIGINT, and one
// that ends at the second.
func lifetime() (ctx, abort context.Context) {
	ctx, stop := context.WithCancel(context.Background())
	abort, end := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		stop()
		<-signals
		end()
	}()
	return ctx, abort
}

// reloadNotice notes each SIGHUP. The settings of a running process stay as they are:
// all of them hold for its lifetime.
func reloadNotice(log *slog.Logger) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go func() {
		for range hangups {
			log.Info("settings-changed", "in-force", "from the next start")
		}
	}()
}

// serveMetrics serves the registry as JSON on a local address until ctx ends.
func serveMetrics(ctx context.Context, log *slog.Logger, addr netip.AddrPort, r metrics.Registry) error {
	if !addr.IsValid() {
		return nil
	}
	ln, err := net.Listen("tcp4", addr.String())
	if err != nil {
		return errors.Wrap(err, "serveMetrics")
	}
	go daemon.ServeHTTP(ctx, log, ln, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(r, w)
	}))
	return nil
}
