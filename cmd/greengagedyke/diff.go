package main

import (
	"context"
	"fmt"

	"greengagedyke/service"
)

const (
	diffShort = "Print what an apply would change"
	diffUsage = `Compares the declarations in a directory with those in force at a balancer, and
prints what an apply would change. Nothing is changed.`
)

type diffCommand struct {
	apiOptions
	Dir string `long:"file" short:"f" required:"true" value-name:"DIR" description:"directory of declarations, or one file"`
}

// Execute implements flags.Commander.
func (c *diffCommand) Execute([]string) error {
	services, err := readDeclarations(c.Dir)
	if err != nil {
		return err
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	current, err := client.Configuration(context.Background())
	if err != nil {
		return err
	}
	wanted := &service.Configuration{Services: services}
	if err := wanted.Validate(); err != nil {
		return err
	}
	d := service.Diff(current, wanted)
	if len(d.Put)+len(d.Deleted) == 0 {
		fmt.Println("no change")
		return nil
	}
	printDelta(d)
	return nil
}
