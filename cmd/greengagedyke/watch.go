package main

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"greengagedyke/operator"
	"greengagedyke/service"
)

const (
	watchShort = "Print each change of the declared services as it is accepted"
	watchUsage = `Prints the services that each new revision of the configuration changes,
until it is interrupted or has printed --count revisions. The first revision
that it prints lists all declared services, because the command does not know
which of them were seen before.`
)

// watchCommand prints the changes of each new revision as it is accepted.
type watchCommand struct {
	apiOptions
	After uint64 `long:"after" description:"print only revisions after this one (default: 0)"`
	Count int    `long:"count" description:"end after this many revisions (default: unlimited)"`
}

// Execute implements flags.Commander.
func (c *watchCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	seen := &service.Configuration{Revision: c.After}
	for n := 0; c.Count == 0 || n < c.Count; {
		cfg, err := client.Watch(context.Background(), seen.Revision)
		if errors.Is(err, operator.ErrUnchanged) {
			continue
		}
		if err != nil {
			return err
		}
		fmt.Printf("revision %d\n", cfg.Revision)
		printDelta(service.Diff(seen, cfg))
		printEvacuations(seen, cfg)
		seen = cfg
		n++
	}
	return nil
}

// printEvacuations prints the failure domains that were evacuated or restored between two revisions.
func printEvacuations(old, cfg *service.Configuration) {
	evacuated, restored := service.CompareEvacuations(old.EvacuatedDomains, cfg.EvacuatedDomains)
	for _, domain := range evacuated {
		fmt.Printf("  evacuate %s\n", domain)
	}
	for _, domain := range restored {
		fmt.Printf("  restore %s\n", domain)
	}
}

// printDelta prints the names of added, changed and deleted services.
func printDelta(d service.Delta) {
	for _, s := range d.Put {
		fmt.Printf("  put service/%s\n", s.Name)
	}
	for _, name := range d.Deleted {
		fmt.Printf("  delete service/%s\n", name)
	}
}
