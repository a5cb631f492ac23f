package main

import "fmt"

const (
	versionShort = "Print the version"
	versionUsage = `Prints the version of this program.`
)

const version = "0.1.0"

// versionCommand prints the version of the program.
type versionCommand struct{}

// Execute implements flags.Commander.
func (*versionCommand) Execute([]string) error {
	fmt.Println("greengagedyke", version)
	return nil
}
