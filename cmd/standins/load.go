package main

import (
	"context"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"greengagedyke/standin/load"
	"greengagedyke/standin/upstream"
)

const loadUsage = "Send requests as callers, compare the results with the upstreams' audits, exit with code 1 on a broken promise"

// loadCommand sends requests as callers do, and compares the outcomes with the audits of the
// upstreams.
type loadCommand struct {
	Address     addrPortFlag  `long:"address" required:"true" description:"service address, IP address and port"`
	Service     string        `long:"service" required:"true" description:"service that must answer"`
	RootsFile   string        `long:"roots" required:"true" value-name:"FILE" description:"root certificates for the verification of the balancers' certificate, PEM"`
	ServerName  string        `long:"server-name" default:"service.example" description:"server name that the balancers' certificate must be valid for"`
	Audits      []string      `long:"audit" value-name:"URL" description:"URL of an upstream's audit; may be repeated"`
	Duration    time.Duration `long:"duration" default:"5s" description:"time during which requests are sent"`
	Connections int           `long:"connections" default:"3" description:"number of connections for all requests except feeds"`
	Feeds       int           `long:"feeds" default:"5" description:"number of feeds, each on its own connection"`
	FeedGap     time.Duration `long:"feed-gap" default:"10s" description:"longest time between two events of a feed; a feed with a longer gap counts as broken"`
	Swaps       float64       `long:"swaps" default:"10" description:"mean rate of swaps, requests per second"`
	Shorts      float64       `long:"shorts" default:"10" description:"mean rate of short reads, requests per second"`
	Downloads   float64       `long:"downloads" default:"0" description:"mean rate of downloads, requests per second"`
	Deadline    time.Duration `long:"deadline" default:"5s" description:"time after which an answer counts as late"`
	Repeats     int           `long:"repeats" default:"3" description:"largest number of repeats of a swap whose answer is missing or incomplete"`
	Seed        uint64        `long:"seed" default:"1" description:"seed of the random arrival times"`
	MinAnswered int           `long:"min-answered" description:"fail if fewer swaps than this are answered"`
}

// loadReport is the JSON output of loadCommand.
type loadReport struct {
	load.Violations
	Result load.Result `json:"result"`
}

// Execute implements flags.Commander.
func (c *loadCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	pem, err := os.ReadFile(c.RootsFile)
	if err != nil {
		return errors.Wrap(err, "--roots")
	}
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(pem)
	l, end := load.New(load.Options{
		Address:     c.Address.AddrPort,
		Service:     c.Service,
		Connections: c.Connections,
		Feeds:       c.Feeds,
		FeedGap:     c.FeedGap,
		Rates:       map[load.Kind]float64{load.KindSwap: c.Swaps, load.KindShort: c.Shorts, load.KindDownload: c.Downloads},
		Deadlines:   map[load.Kind]time.Duration{load.KindSwap: c.Deadline, load.KindShort: c.Deadline, load.KindDownload: c.Deadline},
		Repeats:     c.Repeats,
		Seed:        c.Seed,
		Roots:       roots,
		ServerName:  c.ServerName,
	})
	defer end()
	l.OpenFeeds(ctx)
	runCtx, cancel := context.WithTimeout(ctx, c.Duration)
	defer cancel()
	l.Run(runCtx)
	l.Wait()
	audits, err := readAudits(c.Audits)
	if err != nil {
		return err
	}
	report := loadReport{Violations: l.Compare(audits), Result: l.Result()}
	if err := json.NewEncoder(os.Stdout).Encode(report); err != nil {
		return errors.Wrap(err, "load")
	}
	if report.Violations.Any() {
		return errors.Errorf("load: broken promises: %+v", report.Violations)
	}
	if n := report.Result.Counts[load.KindSwap].Answered; n < c.MinAnswered {
		return errors.Errorf("load: %d swaps answered, want at least %d", n, c.MinAnswered)
	}
	return nil
}

// readAudits fetches the audit of each upstream from its URL.
func readAudits(urls []string) ([]upstream.Audit, error) {
	client := &http.Client{Timeout: 2 * time.Second}
	var audits []upstream.Audit
	for _, u := range urls {
		response, err := client.Get(u)
		if err != nil {
			return nil, errors.Wrap(err, "load: audit")
		}
		var a upstream.Audit
		err = json.NewDecoder(response.Body).Decode(&a)
		response.Body.Close()
		if err != nil {
			return nil, fmt.Errorf("load: audit %s: %w", u, err)
		}
		audits = append(audits, a)
	}
	return audits, nil
}
