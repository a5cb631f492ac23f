package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"greengagedyke/operator"
	"greengagedyke/timeline"
)

const (
	timelineShort = "Print what happened, over all processes"
	timelineUsage = `Asks every known process for its newest events and prints them in one order.
Filters pick events by request key, upstream, kind, revision and time.`
)

// timelineCommand prints the recent events of all known processes in order of time.
type timelineCommand struct {
	apiOptions
	Request  string        `long:"request" value-name:"KEY" description:"idempotency key of a request"`
	Upstream string        `long:"upstream" value-name:"IDENTITY" description:"process, or upstream that an event is about"`
	Kind     string        `long:"kind" description:"kind of event"`
	Revision uint64        `long:"revision" description:"revision of the configuration"`
	Since    time.Duration `long:"since" description:"leave out what is older than this"`
	JSON     bool          `long:"json" description:"print one JSON object"`
}

// Execute implements flags.Commander.
func (c *timelineCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	f := timeline.Filter{Request: c.Request, Upstream: c.Upstream, Kind: timeline.Kind(c.Kind), Revision: c.Revision}
	if c.Since > 0 {
		f.Since = time.Now().Add(-c.Since)
	}
	t, err := client.Timeline(context.Background(), f)
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(t)
	}
	return printTimeline(t)
}

// printTimeline prints one event per line, then the processes that did not answer.
func printTimeline(t operator.Timeline) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	for _, e := range t.Events {
		at := time.Unix(0, e.Timestamp.Wall).UTC().Format("15:04:05.000000")
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", at, e.Process, e.Kind, describeEvent(&e))
	}
	if len(t.NoAnswer) > 0 {
		fmt.Fprintf(w, "no answer from: %s\n", strings.Join(t.NoAnswer, ", "))
	}
	return w.Flush()
}

// describeEvent returns the request, upstream, revision and detail of an event, separated by commas.
// It omits those that are not set.
func describeEvent(e *timeline.Event) string {
	var parts []string
	if e.Request != "" {
		parts = append(parts, "request "+e.Request)
	}
	if e.Upstream != "" {
		parts = append(parts, "upstream "+e.Upstream)
	}
	if e.Revision > 0 {
		parts = append(parts, fmt.Sprintf("revision %d", e.Revision))
	}
	if e.Detail != "" {
		parts = append(parts, e.Detail)
	}
	return strings.Join(parts, ", ")
}
