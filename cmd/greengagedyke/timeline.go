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
	timelineShort = "Print the recent events of all processes"
	timelineUsage = `Queries all known processes for their newest events and prints the events in
order of time. If several filters are given, an event must match all of them.`
)

// timelineCommand prints the recent events of all known processes in order of time.
type timelineCommand struct {
	apiOptions
	Request  string        `long:"request" value-name:"KEY" description:"only events about the request with this idempotency key"`
	Upstream string        `long:"upstream" value-name:"IDENTITY" description:"only events that this process recorded or that are about this upstream"`
	Kind     string        `long:"kind" description:"only events of this kind: configuration-in-force, evacuation, member-state, member-silent or request"`
	Revision uint64        `long:"revision" description:"only events about this revision of the configuration"`
	Since    time.Duration `long:"since" description:"only events that are not older than this duration, such as 90s"`
	JSON     bool          `long:"json" description:"print the events as one JSON object"`
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
