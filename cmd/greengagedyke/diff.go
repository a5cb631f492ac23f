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

// diffCommand prints the difference between declared services in files and those in force.
type diffCommand struct {
	apiOptions
	Path string `long:"file" short:"f" required:"true" value-name:"DIR" description:"directory of declarations, or one file"`
}

// Execute implements flags.Commander.
func (c *diffCommand) Execute([]string) error {
	services, err := readDeclarations(c.Path)
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
	delta := service.Diff(current, wanted)
	if len(delta.Put)+len(delta.Deleted) == 0 {
		fmt.Println("no change")
		return nil
	}
	printDelta(delta)
	return nil
}
