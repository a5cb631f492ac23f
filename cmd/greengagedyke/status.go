package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
)

const (
	statusShort = "Print the revision in force and the state of each process"
	statusUsage = `Prints the revision of the configuration that is in force at a balancer, the
number of known processes where it is in force, and the state of each one.`
)

// statusCommand prints the revision in force and the state of each known process.
type statusCommand struct {
	apiOptions
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	s, err := client.Status(context.Background())
	if err != nil {
		return err
	}
	fmt.Printf("revision %d in force on %d of %d, %d ready\n", s.Revision, s.InForce, s.Total, s.ReadyCount())
	if len(s.Behind) > 0 {
		fmt.Printf("missing: %s\n", strings.Join(s.Behind, ", "))
	}
	if len(s.EvacuatedDomains) > 0 {
		fmt.Printf("evacuated: %s\n", strings.Join(s.EvacuatedDomains, ", "))
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "IDENTITY\tSERVICE\tFAILURE DOMAIN\tSTATE\tMISSED BY")
	for _, m := range s.Members {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", m.Identity, m.Service, m.FailureDomain, m.State, strings.Join(m.MissedBy, ","))
	}
	return w.Flush()
}
