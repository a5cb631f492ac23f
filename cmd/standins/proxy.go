package main

import (
	"encoding/json"

	"greengagedyke/standin/proxy"
)

const proxyUsage = "Run a fault-injecting proxy for TCP or UDP"

// proxyCommand forwards TCP connections or UDP datagrams to a target. A PUT to /faults replaces the
// injected faults; a PUT to /silence stops traffic on the open connections for good.
type proxyCommand struct {
	controlOptions
	Protocol string       `long:"protocol" choice:"tcp" choice:"udp" default:"tcp" description:"protocol to forward"`
	Listen   addrPortFlag `long:"listen" required:"true" value-name:"ADDRESS" description:"IP address and port to listen on"`
	Target   addrPortFlag `long:"target" required:"true" value-name:"ADDRESS" description:"IP address and port to forward to"`
}

// Execute implements flags.Commander.
func (c *proxyCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	start := proxy.TCP
	if c.Protocol == "udp" {
		start = proxy.UDP
	}
	p, _, end, err := start(c.Listen.AddrPort, c.Target.AddrPort)
	if err != nil {
		return err
	}
	defer end()
	err = c.serve(ctx, map[string]func(*json.Decoder) error{
		"/faults": func(dec *json.Decoder) error {
			var f proxy.Faults
			if err := dec.Decode(&f); err != nil {
				return err
			}
			p.SetFaults(f)
			return nil
		},
		"/silence": func(*json.Decoder) error {
			p.Silence()
			return nil
		},
	})
	if err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}
