package main

import (
	"encoding/json"
	"net/netip"

	"greengagedyke/standin/fabric"
)

const fabricUsage = "Run a fabric that forwards each datagram to a random balancer"

// fabricCommand receives datagrams to service addresses and forwards each to a random balancer.
// A PUT to /balancers replaces the balancers, a PUT to /faults the injected faults.
type fabricCommand struct {
	controlOptions
	Services  []addrPortFlag `long:"service" required:"true" value-name:"ADDRESS" description:"service address to listen on, IP address and port; may be repeated"`
	Balancers []string       `long:"balancer" required:"true" value-name:"IP" description:"IP address of a balancer; may be repeated"`
}

// Execute implements flags.Commander.
func (c *fabricCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	f, end := fabric.New()
	defer end()
	ips, err := parseIPs(c.Balancers)
	if err != nil {
		return err
	}
	f.SetBalancers(ips)
	for _, a := range c.Services {
		if err := f.Serve(a.AddrPort); err != nil {
			return err
		}
	}
	err = c.serve(ctx, map[string]func(*json.Decoder) error{
		"/balancers": func(dec *json.Decoder) error {
			var ips []netip.Addr
			if err := dec.Decode(&ips); err != nil {
				return err
			}
			f.SetBalancers(ips)
			return nil
		},
		"/faults": func(dec *json.Decoder) error {
			var faults fabric.Faults
			if err := dec.Decode(&faults); err != nil {
				return err
			}
			f.SetFaults(faults)
			return nil
		},
	})
	if err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

// parseIPs parses a list of IP addresses.
func parseIPs(list []string) ([]netip.Addr, error) {
	var ips []netip.Addr
	for _, s := range list {
		ip, err := netip.ParseAddr(s)
		if err != nil {
			return nil, err
		}
		ips = append(ips, ip)
	}
	return ips, nil
}
