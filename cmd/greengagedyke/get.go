package main

import (
	"context"
	"encoding/json"
	"os"
)

const (
	getShort = "Print the declared services in force"
	getUsage = `Prints the declared services that are in force at a balancer, as JSON.
Keys are never printed.`
)

// getCommand prints the configuration in force at a balancer.
type getCommand struct {
	apiOptions
}

// Execute implements flags.Commander.
func (c *getCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	cfg, err := client.Configuration(context.Background())
	if err != nil {
		return err
	}
	out := json.NewEncoder(os.Stdout)
	out.SetIndent("", "  ")
	return out.Encode(cfg)
}
