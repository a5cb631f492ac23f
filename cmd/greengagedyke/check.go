package main

import (
	"fmt"

	"greengagedyke/balancer"
	"greengagedyke/settings"
	"greengagedyke/sidecar"
)

const (
	checkShort = "Check a settings file"
	checkUsage = `Checks a settings file without running anything. An error names the file,
the line and the field.`
)

// checkCommand validates a settings file of a balancer or sidecar that runs without --flows.
type checkCommand struct {
	Role string `long:"role" required:"true" choice:"balancer" choice:"sidecar" description:"role of the process that reads the file"`
	Args struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	var cfg settings.Config = &balancer.Settings{}
	if c.Role == "sidecar" {
		cfg = &sidecar.Settings{}
	}
	if err := settings.Load(c.Args.File, cfg); err != nil {
		return err
	}
	fmt.Println(c.Args.File + ": ok")
	return nil
}
