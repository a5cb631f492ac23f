package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"github.com/pkg/errors"

	"greengagedyke/operator"
	"greengagedyke/service"
	"greengagedyke/settings"
)

const (
	applyShort = "Apply a directory of declarations"
	applyUsage = `Replaces all declarations by those in a directory: one service in each file
whose name ends in .json, in JSON with comments. The whole directory is accepted,
or nothing of it.`
)

type applyCommand struct {
	apiOptions
	If  *uint64 `long:"if-revision" value-name:"N" description:"only apply if this revision is still in force"`
	Dir string  `long:"file" short:"f" required:"true" value-name:"DIR" description:"directory of declarations, or one file"`
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute([]string) error {
	services, err := readDeclarations(c.Dir)
	if err != nil {
		return err
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	revision, err := c.apply(client, services)
	if err != nil {
		return err
	}
	fmt.Printf("accepted as revision %d\n", revision)
	return nil
}

func (c *applyCommand) apply(client *operator.Client, services service.Services) (uint64, error) {
	if c.If != nil {
		return client.ApplyIfRevision(context.Background(), services, *c.If)
	}
	return client.Apply(context.Background(), services)
}

func readDeclarations(dir string) (service.Services, error) {
	files := []string{dir}
	if info, err := os.Stat(dir); err == nil && info.IsDir() {
		files, err = filepath.Glob(filepath.Join(dir, "*.json"))
		if err != nil {
			return nil, errors.Wrap(err, "apply")
		}
	}
	slices.Sort(files)
	var services service.Services
	for _, f := range files {
		data, err := os.ReadFile(f)
		if err != nil {
			return nil, errors.Wrap(err, "apply")
		}
		var s service.Service
		if err := settings.Decode(f, data, &s); err != nil {
			return nil, err
		}
		s.Defaults()
		if err := s.Validate(); err != nil {
			return nil, errors.WithMessage(err, f)
		}
		services = append(services, s)
	}
	return services, nil
}
