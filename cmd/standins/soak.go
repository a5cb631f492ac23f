package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"greengagedyke/soak"
)

const soakUsage = "Run real balancers and sidecars between stand-ins under seeded faults, exit with code 1 on a broken promise"

// soakCommand runs one soak test for each seed and writes a report of each.
type soakCommand struct {
	Seed      uint64        `long:"seed" default:"1" description:"first seed of the random faults"`
	Seeds     int           `long:"seeds" default:"1" description:"number of seeds to run, one after the other"`
	For       time.Duration `long:"for" default:"40s" description:"duration of the run of each seed; its last 15 s are without faults"`
	Balancers int           `long:"balancers" default:"4" description:"number of balancers"`
	Sidecars  int           `long:"sidecars" default:"8" description:"number of sidecars, each with its own upstream"`
	Boards    int           `long:"boards" default:"24" description:"number of callers that keep a flow open"`
	Binary    string        `long:"binary" default:"target/greengagedyke" value-name:"FILE" description:"greengagedyke program to test"`
	PowerLoss bool          `long:"power-loss" description:"end the faults with the loss of all processes and upstreams while the store is down"`
	Dir       string        `long:"dir" default:"target/soak" value-name:"DIR" description:"directory for settings, logs and reports"`
}

// Execute implements flags.Commander.
func (c *soakCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	failedSeeds := 0
	for i := range c.Seeds {
		o := &soak.Options{
			PowerLoss: c.PowerLoss,
			Seed:      c.Seed + uint64(i), Duration: c.For, Balancers: c.Balancers, Sidecars: c.Sidecars, Boards: c.Boards,
			Binary: c.Binary, Dir: filepath.Join(c.Dir, fmt.Sprintf("seed-%d", c.Seed+uint64(i))),
		}
		r, err := soak.Run(ctx, o)
		if err != nil {
			return err
		}
		if err := r.WriteText(os.Stdout); err != nil {
			return err
		}
		if err := r.Save(o.Dir); err != nil {
			return err
		}
		if len(r.Violations) > 0 {
			failedSeeds++
		}
	}
	if failedSeeds > 0 {
		return errors.Errorf("soak: %d of %d seeds broke a promise", failedSeeds, c.Seeds)
	}
	return nil
}
