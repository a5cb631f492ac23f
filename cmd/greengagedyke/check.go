package main

import (
	"context"
	"fmt"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"greengagedyke/balancer"
	"greengagedyke/operator"
	"greengagedyke/service"
	"greengagedyke/settings"
	"greengagedyke/sidecar"
)

const (
	checkShort = "Check a settings file or service declarations"
	checkUsage = `With --role, checks a settings file without running anything. An error names the
file, the line and the field.

With --file, checks the service declarations in a directory before they are
applied. It prints the first error of each file and the first conflict between
files, and warns of routes that never match, deadlines that no request can meet
and settings without effect. With --api, it also warns of services that no known
sidecar may serve, and prints what apply would change.

Exit codes: 0 if there are no errors (with --strict, no warnings either), 1 if
there are, 2 on wrong usage, 3 if there are none but the balancer of --api cannot
be asked.`
)

// checkCommand validates a settings file of a balancer or sidecar that runs without --flows, or service
// declarations.
type checkCommand struct {
	Role      string `long:"role" choice:"balancer" choice:"sidecar" description:"role of the process that reads the settings file FILE"`
	Path      string `long:"file" short:"f" value-name:"DIR" description:"directory of service declarations, or a single file"`
	API       string `long:"api" value-name:"ADDRESS" description:"IP address and port of the API of a balancer to compare the declarations with"`
	TokenFile string `long:"token-file" value-name:"FILE" description:"file with the API token (default: the environment variable GREENGAGEDYKE_TOKEN)"`
	Strict    bool   `long:"strict" description:"fail on warnings too"`
	Args      struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	switch {
	case c.Role != "" && c.Args.File != "" && c.Path == "":
		return c.checkSettings()
	case c.Role == "" && c.Args.File == "" && c.Path != "":
		return c.checkDeclarations()
	}
	return &flags.Error{Type: flags.ErrRequired, Message: "either --role and FILE or --file is required"}
}

// checkSettings checks a settings file.
func (c *checkCommand) checkSettings() error {
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

// checkDeclarations checks service declarations, and compares them with those in force if --api is set.
func (c *checkCommand) checkDeclarations() error {
	files, err := declarationFiles(c.Path)
	if err != nil {
		return err
	}
	wanted, failed := readAll(files)
	var warnings []service.FieldError
	for i := range wanted.Services {
		warnings = append(warnings, wanted.Services[i].Warnings()...)
	}
	var unknown error
	if c.API != "" && !failed {
		var unserved []service.FieldError
		unserved, unknown = c.compare(wanted)
		warnings = append(warnings, unserved...)
	}
	for i := range warnings {
		fmt.Println("warning:", warnings[i].Error())
	}
	return c.result(failed, len(warnings), unknown)
}

// readAll reads the services declared in files. It prints the first error of each file and the first
// conflict between them; failed is set if there are any.
func readAll(files []string) (wanted *service.Configuration, failed bool) {
	wanted = &service.Configuration{}
	report := func(err error) {
		fmt.Println("error:", err)
		failed = true
	}
	if len(files) == 0 {
		report(errors.New("the directory has no *.json files"))
	}
	for _, file := range files {
		s, err := readDeclaration(file)
		if err != nil {
			report(err)
			continue
		}
		wanted.Services = append(wanted.Services, *s)
	}
	if err := wanted.Validate(); err != nil {
		report(err)
	}
	return wanted, failed
}

// result returns the error of a check of declarations. unknown is set if a balancer could not be asked.
func (c *checkCommand) result(failed bool, warnings int, unknown error) error {
	switch {
	case failed || c.Strict && warnings > 0:
		return errors.New("check: there are errors, or with --strict warnings")
	case unknown != nil:
		return &unknownError{unknown}
	}
	fmt.Printf("%s: ok, %d warnings\n", c.Path, warnings)
	return nil
}

// compare prints what applying wanted would change at the balancer, and returns the warnings about
// services that the sidecars known there do not serve.
func (c *checkCommand) compare(wanted *service.Configuration) ([]service.FieldError, error) {
	client, err := (&apiOptions{API: c.API, TokenFile: c.TokenFile}).client()
	if err != nil {
		return nil, err
	}
	current, err := client.Configuration(context.Background())
	if err != nil {
		return nil, err
	}
	status, err := client.Status(context.Background())
	if err != nil {
		return nil, err
	}
	wanted.EvacuatedDomains = current.EvacuatedDomains
	fmt.Printf("compared with revision %d\n", current.Revision)
	printDifference(current, wanted)
	return wanted.Unserved(knownSidecars(status)), nil
}

// knownSidecars returns the sidecars in a balancer's status.
func knownSidecars(s operator.Status) []service.KnownSidecar {
	var list []service.KnownSidecar
	for _, m := range s.Members {
		if m.Service != "" {
			list = append(list, service.KnownSidecar{Identity: m.Identity, Service: m.Service, FailureDomain: m.FailureDomain})
		}
	}
	return list
}

// unknownError means that a check could not be completed; the exit code is exitUnknown.
type unknownError struct{ error }
