package main

import (
	"encoding/json"
	"time"

	"greengagedyke/standin/upstream"
)

const upstreamUsage = "Run an upstream that serves requests and feeds, and records each request in an audit"

// upstreamCommand runs an upstream that records each request in an audit. A PUT of N to /die-after
// makes the upstream fail in the middle of the N-th swap after the PUT.
type upstreamCommand struct {
	controlOptions
	Listen       addrPortFlag  `long:"listen" required:"true" value-name:"ADDRESS" description:"IP address and port to listen on"`
	Service      string        `long:"service" required:"true" description:"service that the upstream serves"`
	Identity     string        `long:"identity" required:"true" description:"identity of the upstream"`
	Slots        int           `long:"slots" default:"2" description:"number of requests that run at the same time"`
	Short        time.Duration `long:"short" default:"10ms" description:"duration of a short read"`
	Swap         time.Duration `long:"swap" default:"10ms" description:"duration of a swap"`
	Download     time.Duration `long:"download" default:"200ms" description:"duration of a download"`
	FeedInterval time.Duration `long:"feed-interval" default:"100ms" description:"time between events of a feed"`
	Cold         time.Duration `long:"cold" default:"0s" description:"time after the start during which requests take twice as long"`
	LyingHealth  bool          `long:"lying-health" description:"report a failure on health checks although the upstream works"`
}

// Execute implements flags.Commander.
func (c *upstreamCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	u, _, end, err := upstream.Start(upstream.Options{
		Addr:         c.Listen.AddrPort,
		Service:      c.Service,
		Identity:     c.Identity,
		Slots:        c.Slots,
		Short:        c.Short,
		Swap:         c.Swap,
		Download:     c.Download,
		FeedInterval: c.FeedInterval,
		Cold:         c.Cold,
		LyingHealth:  c.LyingHealth,
	})
	if err != nil {
		return err
	}
	defer end()
	err = c.serve(ctx, map[string]func(*json.Decoder) error{
		"/die-after": func(dec *json.Decoder) error {
			var n int
			if err := dec.Decode(&n); err != nil {
				return err
			}
			u.CrashDuringSwap(n)
			return nil
		},
	})
	if err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}
