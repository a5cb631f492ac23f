package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"os"
	"runtime/debug"

	"github.com/pkg/errors"

	"greengagedyke/demo"
)

const (
	demoShort = "Run two demo deployments under load in one process"
	demoUsage = `Runs two whole deployments in one process over loopback sockets, under load.
Balancers are killed and added, an upstream is drained, and the load rises
to five times its base. The demo takes about 20 seconds. It compares the
answers that the callers received with the requests that the upstreams ran,
and prints the results. The exit code is 1 if a promise was broken.`
)

// demoGCPercent is the heap growth in percent that triggers a garbage collection. It is above the
// default of 100 because some 45 balancers, sidecars and stand-ins share one heap.
const demoGCPercent = 400

// demoCommand runs demo deployments under load and prints the results.
type demoCommand struct {
	JSON    bool `long:"json" description:"print the results as one JSON object"`
	Compare bool `long:"compare" description:"run one service with the product's scheduling and then with each of the simpler baselines"`
	Logs    bool `long:"logs" description:"print the logs of all processes"`
}

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	log := slog.New(slog.DiscardHandler)
	if c.Logs {
		log = newLogger()
	}
	debug.SetGCPercent(demoGCPercent)
	progress := io.Writer(os.Stderr)
	runDemo := demo.Run
	if c.Compare {
		runDemo = demo.Compare
	}
	results, err := runDemo(context.Background(), log, progress)
	if err != nil {
		return err
	}
	if c.JSON {
		if err := json.NewEncoder(os.Stdout).Encode(results); err != nil {
			return errors.Wrap(err, "demo")
		}
	} else {
		results.Print(os.Stdout)
	}
	if results.HasViolations() {
		return errors.New("demo: at least one promise was broken")
	}
	fmt.Fprintln(os.Stderr, "every promise held")
	return nil
}
