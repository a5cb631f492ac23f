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
	applyShort = "Replace the declared services by those in a directory"
	applyUsage = `Replaces all declared services by those in a directory. Each file whose name
ends in .json declares one service, in JSON with comments. The declarations
are accepted all together or not at all.`
)

// applyCommand replaces the declared services through the resource API.
type applyCommand struct {
	apiOptions
	IfRevision *uint64 `long:"if-revision" value-name:"N" description:"apply only if this revision of the configuration is still in force"`
	Path       string  `long:"file" short:"f" required:"true" value-name:"DIR" description:"directory of service declarations, or a single file"`
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute([]string) error {
	services, err := readDeclarations(c.Path)
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

// apply replaces the declared services and returns the accepted revision. With --if-revision, it
// fails if another revision is in force.
func (c *applyCommand) apply(client *operator.Client, services service.Services) (uint64, error) {
	if c.IfRevision != nil {
		return client.ApplyIfRevision(context.Background(), services, *c.IfRevision)
	}
	return client.Apply(context.Background(), services)
}

// readDeclarations reads and validates one service from each *.json file in the directory path, or
// from path itself if it is a file.
func readDeclarations(path string) (service.Services, error) {
	files, err := declarationFiles(path)
	if err != nil {
		return nil, err
	}
	var services service.Services
	for _, file := range files {
		s, err := readDeclaration(file)
		if err != nil {
			return nil, err
		}
		services = append(services, *s)
	}
	return services, nil
}

// declarationFiles returns the *.json files in the directory path, or path itself if it is a file.
func declarationFiles(path string) ([]string, error) {
	files := []string{path}
	if info, err := os.Stat(path); err == nil && info.IsDir() {
		files, err = filepath.Glob(filepath.Join(path, "*.json"))
		if err != nil {
			return nil, errors.Wrap(err, "declarations")
		}
	}
	slices.Sort(files)
	return files, nil
}

// readDeclaration reads and validates the service in a file.
func readDeclaration(file string) (*service.Service, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "declarations")
	}
	s := &service.Service{}
	if err := settings.Decode(file, data, s); err != nil {
		return nil, err
	}
	s.Defaults()
	return s, errors.WithMessage(s.Validate(), file)
}
