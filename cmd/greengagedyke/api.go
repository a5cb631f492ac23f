package main

import (
	"net/http"
	"net/netip"
	"os"

	"github.com/pkg/errors"

	"greengagedyke/operator"
)

// apiOptions are the options of commands that call the resource API of a balancer.
type apiOptions struct {
	API       string `long:"api" required:"true" value-name:"ADDRESS" description:"IP address and port of a balancer's API"`
	TokenFile string `long:"token-file" value-name:"FILE" description:"file with the API token (default: the environment variable GREENGAGEDYKE_TOKEN)"`
}

// client returns a client of the resource API. The API token is read from the token file or, if
// none is set, from the environment variable GREENGAGEDYKE_TOKEN.
func (o *apiOptions) client() (*operator.Client, error) {
	addr, err := netip.ParseAddrPort(o.API)
	if err != nil {
		return nil, errors.Wrap(err, "--api")
	}
	token := os.Getenv("GREENGAGEDYKE_TOKEN")
	if o.TokenFile != "" {
		data, err := os.ReadFile(o.TokenFile)
		if err != nil {
			return nil, errors.Wrap(err, "--token-file")
		}
		token = string(data)
	}
	return operator.NewClient(addr, token, http.DefaultTransport), nil
}
