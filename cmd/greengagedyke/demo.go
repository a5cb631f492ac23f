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
	demoShort = "Run both deployments of the first users in this process"
	demoUsage = `Runs two whole deployments in one process over loopback sockets, under load:
balancers are killed and join, an upstream is drained, and the load rises to five
times its base. It takes about 20 seconds and prints what the callers saw,
compared with what the upstreams ran. The exit code is 1 if a promise broke.`
)

const demoGCPercent = 400

type demoCommand struct {
	JSON    bool `long:"json" description:"print the result as one JSON object"`
	Compare bool `long:"compare" description:"run one service with the product and with simpler ways to decide, one after the other"`
	Logs    bool `long:"logs" description:"print the logs of all processes"`
}

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	log := slog.New(slog.DiscardHandler)
	if c.Logs {
		log = newLog()
	}
	// Some 45 processes share this one's heap and its garbage collector.
	debug.SetGCPercent(demoGCPercent)
	progress := io.Writer(os.Stderr)
	play := demo.Run
	if c.Compare {
		play = demo.Compare
	}
	results, err := play(context.Background(), log, progress)
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
	if results.Broken() {
		return errors.New("demo: a promise broke")
	}
	fmt.Fprintln(os.Stderr, "every promise held")
	return nil
}
