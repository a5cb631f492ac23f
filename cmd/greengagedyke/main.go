// Command greengagedyke is a layer-4 load balancer. Its subcommands run balancers and sidecars,
// and let operators apply and inspect the configuration.
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
	"slices"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"greengagedyke/daemon"
)

func main() {
	var hangups <-chan os.Signal
	if len(os.Args) > 1 && slices.Contains([]string{"balancer", "sidecar"}, os.Args[1]) && slices.Contains(os.Args, "--flows") {
		hangups = catchHangups()
	}
	os.Exit(run(os.Args[1:], hangups))
}

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
	// exitUnknown means that check could not ask the balancer.
	exitUnknown = 3
)

// run parses the arguments, executes the subcommand and returns the exit code. hangups is the channel
// that catchHangups returned to a process for flows; nil in others.
func run(args []string, hangups <-chan os.Signal) int {
	p := flags.NewParser(nil, flags.HelpFlag|flags.PassDoubleDash)
	p.Name = "greengagedyke"
	for _, c := range []struct {
		name, short, long string
		data              any
	}{
		{"balancer", balancerShort, balancerUsage, &balancerCommand{hangups: hangups}},
		{"sidecar", sidecarShort, sidecarUsage, &sidecarCommand{hangups: hangups}},
		{"check", checkShort, checkUsage, &checkCommand{}},
		{"apply", applyShort, applyUsage, &applyCommand{}},
		{"evacuate", evacuateShort, evacuateUsage, &evacuateCommand{}},
		{"restore", restoreShort, restoreUsage, &restoreCommand{}},
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
	return exitCode(err)
}

// exitCode returns the exit code for an error of a command, and prints the error.
func exitCode(err error) int {
	var flagsErr *flags.Error
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		fmt.Println(err)
		return exitOK
	}
	fmt.Fprintln(os.Stderr, "greengagedyke:", err)
	switch {
	case errors.As(err, &flagsErr):
		return exitUsage
	case errors.As(err, new(*unknownError)):
		return exitUnknown
	}
	return exitFailed
}

// newLogger returns a logger that writes JSON to standard error.
func newLogger() *slog.Logger {
	return slog.New(slog.NewJSONHandler(os.Stderr, nil))
}

// shutdownContexts returns two contexts: the first SIGTERM or SIGINT cancels ctx to start a
// graceful shutdown, the second cancels abort.
func shutdownContexts() (ctx, abort context.Context) {
	ctx, cancel := context.WithCancel(context.Background())
	abort, cancelAbort := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cancel()
		<-signals
		cancelAbort()
	}()
	return ctx, abort
}

// catchHangups returns a channel that receives a value when the process has received a SIGHUP, which
// no longer ends the process. main calls it first, since a SIGHUP may arrive at any time.
func catchHangups() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// logHangups logs for each value from hangups that SIGHUP does not reload the settings.
func logHangups(log *slog.Logger, hangups <-chan os.Signal) {
	go func() {
		for range hangups {
			log.Info("sighup-ignored", "detail", "changed settings take effect at the next start")
		}
	}()
}

// serveMetrics starts an HTTP server on addr that returns the metrics in r as JSON and runs until
// ctx ends. It does nothing if addr is not set.
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
