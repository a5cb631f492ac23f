package main

import (
	"context"
	"fmt"
)

const (
	evacuateShort = "Empty a failure domain"
	evacuateUsage = `Evacuates a failure domain: its sidecars get no new connections and run no new
requests, until restore. Open connections, requests and feeds go on. status
shows on how many processes this is in force. It is an error if the failure
domain is evacuated already. Processes that run with --flows are not concerned:
their evacuations are keys in the platform's store.`
	restoreShort = "End the evacuation of a failure domain"
	restoreUsage = `Ends the evacuation of a failure domain: its sidecars get new work again. It is
an error if the failure domain is not evacuated.`
)

// domainArgument is the positional argument of commands that change a failure domain.
type domainArgument struct {
	Domain string `positional-arg-name:"DOMAIN"`
}

// evacuateCommand evacuates a failure domain through the resource API.
type evacuateCommand struct {
	apiOptions
	Force bool           `long:"force" description:"also if no known process is in the failure domain"`
	Args  domainArgument `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (c *evacuateCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	revision, err := client.Evacuate(context.Background(), c.Args.Domain, c.Force)
	if err != nil {
		return err
	}
	fmt.Printf("%s evacuated as revision %d\n", c.Args.Domain, revision)
	return nil
}

// restoreCommand ends the evacuation of a failure domain through the resource API.
type restoreCommand struct {
	apiOptions
	Args domainArgument `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (c *restoreCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	revision, err := client.Restore(context.Background(), c.Args.Domain)
	if err != nil {
		return err
	}
	fmt.Printf("%s restored as revision %d\n", c.Args.Domain, revision)
	return nil
}
