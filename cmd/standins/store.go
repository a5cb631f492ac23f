package main

import (
	"encoding/json"
	"time"

	"greengagedyke/standin/store"
)

const storeUsage = "Run an in-memory key-value store in place of the platform's"

// storeCommand runs an in-memory key-value store. A PUT to /faults replaces the injected faults, and one
// to /restore replaces the state with an older copy.
type storeCommand struct {
	controlOptions
	Listen addrPortFlag `long:"listen" required:"true" value-name:"ADDRESS" description:"IP address and port to listen on"`
}

// restoreRequest is the body of a PUT to /restore.
type restoreRequest struct {
	// Age is the age of the copy in nanoseconds.
	Age time.Duration `json:"age"`
}

// Execute implements flags.Commander.
func (c *storeCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	s, _, end, err := store.Start(c.Listen.AddrPort)
	if err != nil {
		return err
	}
	defer end()
	err = c.serve(ctx, map[string]func(*json.Decoder) error{
		"/faults": func(dec *json.Decoder) error {
			var f store.Faults
			if err := dec.Decode(&f); err != nil {
				return err
			}
			s.SetFaults(f)
			return nil
		},
		"/restore": func(dec *json.Decoder) error {
			var r restoreRequest
			if err := dec.Decode(&r); err != nil {
				return err
			}
			s.Restore(r.Age)
			return nil
		},
	})
	if err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}
