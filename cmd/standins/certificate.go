package main

import "greengagedyke/standin/certificate"

const certificateUsage = "Write a self-signed certificate and its key"

// certificateCommand writes a self-signed certificate for the name of a service.
type certificateCommand struct {
	Certificate string `long:"certificate" default:"certificate.pem" value-name:"FILE" description:"certificate file to write, PEM"`
	Key         string `long:"key" default:"key.pem" value-name:"FILE" description:"private key file to write, PEM"`
	Name        string `long:"name" default:"service.example" description:"DNS name of the certificate"`
}

// Execute implements flags.Commander.
func (c *certificateCommand) Execute([]string) error {
	_, err := certificate.Write(c.Certificate, c.Key, c.Name)
	return err
}
