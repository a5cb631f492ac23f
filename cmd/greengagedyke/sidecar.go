package main

import (
	"os"

	"github.com/rcrowley/go-metrics"

	"greengagedyke/logs"
	"greengagedyke/settings"
	"greengagedyke/sidecar"
)

const (
	sidecarShort = "Run a sidecar beside an upstream"
	sidecarUsage = `Runs a sidecar with the settings in a file of JSON with comments.

It terminates the connections of callers, and runs their requests on its
upstream or on the upstreams of other sidecars. The first SIGTERM or SIGINT
starts a graceful shutdown: the sidecar takes no new work and ends when its
open requests and feeds have ended. The second ends the process at once.

With --flows, it forwards the packets of flows to its upstream instead, and
ends shortly after the first signal.`
)

// sidecarCommand runs a sidecar until it has drained or is aborted.
type sidecarCommand struct {
	Settings string `long:"settings" short:"s" env:"GREENGAGEDYKE_SETTINGS" required:"true" value-name:"FILE" description:"settings file, JSON with comments"`
	Flows    bool   `long:"flows" description:"serve flows that are identified only by addresses and ports, as the platform's routers forward them"`

	// hangups receives a value at each SIGHUP, if Flows is set.
	hangups <-chan os.Signal
}

// Execute implements flags.Commander.
func (c *sidecarCommand) Execute([]string) error {
	if c.Flows {
		return c.runFlows()
	}
	cfg := &sidecar.Settings{}
	if err := settings.Load(c.Settings, cfg); err != nil {
		return err
	}
	ctx, abort := shutdownContexts()
	log := newLogger()
	registry := metrics.NewRegistry()
	if err := serveMetrics(ctx, log, cfg.Metrics, registry); err != nil {
		return err
	}
	return sidecar.Run(ctx, abort, log, cfg, registry)
}

// runFlows runs a sidecar for flows: connections that the platform's routers forward and that are
// identified only by the addresses and ports of their two ends.
func (c *sidecarCommand) runFlows() error {
	cfg := &sidecar.FlowSettings{}
	if err := settings.Load(c.Settings, cfg); err != nil {
		return err
	}
	// The service in the settings file can change while the sidecar runs.
	cfg.Reload = func() (*sidecar.FlowSettings, error) {
		reloaded := &sidecar.FlowSettings{}
		return reloaded, settings.Load(c.Settings, reloaded)
	}
	ctx, abort := shutdownContexts()
	log, flush := logs.New(os.Stdout)
	defer flush()
	logHangups(log, c.hangups)
	registry := metrics.NewRegistry()
	if err := serveMetrics(ctx, log, cfg.Metrics, registry); err != nil {
		return err
	}
	return sidecar.RunFlows(ctx, abort, log, cfg, registry)
}
