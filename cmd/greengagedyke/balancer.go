package main

import (
	"os"

	"github.com/rcrowley/go-metrics"

	"greengagedyke/balancer"
	"greengagedyke/logs"
	"greengagedyke/settings"
)

const (
	balancerShort = "Run a balancer on an entry VM"
	balancerUsage = `Runs a balancer with the settings in a file of JSON with comments.

It forwards each datagram of a caller to the sidecar that serves the
caller's connection, and keeps no state per connection. The first SIGTERM
or SIGINT starts a graceful shutdown, the second ends the process at once.`
)

// balancerCommand runs a balancer until it has left the system or is aborted.
type balancerCommand struct {
	Settings string `long:"settings" short:"s" env:"GREENGAGEDYKE_SETTINGS" required:"true" value-name:"FILE" description:"settings file, JSON with comments"`
	Flows    bool   `long:"flows" description:"serve flows that are identified only by addresses and ports, as the platform's routers forward them"`

	// hangups receives a value at each SIGHUP, if Flows is set.
	hangups <-chan os.Signal
}

// Execute implements flags.Commander.
func (c *balancerCommand) Execute([]string) error {
	if c.Flows {
		return c.runFlows()
	}
	cfg := &balancer.Settings{}
	if err := settings.Load(c.Settings, cfg); err != nil {
		return err
	}
	ctx, abort := shutdownContexts()
	log := newLogger()
	registry := metrics.NewRegistry()
	if err := serveMetrics(ctx, log, cfg.Metrics, registry); err != nil {
		return err
	}
	return balancer.Run(ctx, abort, log, cfg, registry)
}

// runFlows runs a balancer for flows: connections that the platform's routers forward and that are
// identified only by the addresses and ports of their two ends.
func (c *balancerCommand) runFlows() error {
	cfg := &balancer.FlowSettings{}
	if err := settings.Load(c.Settings, cfg); err != nil {
		return err
	}
	ctx, abort := shutdownContexts()
	log, flush := logs.New(os.Stdout)
	defer flush()
	logHangups(log, c.hangups)
	registry := metrics.NewRegistry()
	if err := serveMetrics(ctx, log, cfg.Metrics, registry); err != nil {
		return err
	}
	return balancer.RunFlows(ctx, abort, log, cfg, registry)
}
