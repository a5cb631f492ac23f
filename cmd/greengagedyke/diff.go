package main

import (
	"context"
	"fmt"

	"greengagedyke/service"
)

const (
	diffShort = "Print what apply would change"
	diffUsage = `Compares the declared services in a directory with those in force at a
balancer, and prints what apply would change. It changes nothing.`
)

// diffCommand prints the difference between declared services in files and those in force.
type diffCommand struct {
	apiOptions
	Path string `long:"file" short:"f" required:"true" value-name:"DIR" description:"directory of service declarations, or a single file"`
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
	for _, domain := range current.EvacuatedDomains {
		fmt.Printf("evacuated: %s (apply keeps it)\n", domain)
	}
	wanted := &service.Configuration{Services: services, EvacuatedDomains: current.EvacuatedDomains}
	if err := wanted.Validate(); err != nil {
		return err
	}
	printDifference(current, wanted)
	return nil
}

// printDifference prints the services that differ between the current and the wanted configuration.
func printDifference(current, wanted *service.Configuration) {
	delta := service.Diff(current, wanted)
	if len(delta.Put)+len(delta.Deleted) == 0 {
		fmt.Println("no change")
		return
	}
	printDelta(delta)
}
