package main

import (
	"net/http"
	"net/netip"
	"os"

	"github.com/pkg/errors"

	"greengagedyke/operator"
)

// apiOptions are how operators' commands reach the resource API.
type apiOptions struct {
	API   string `long:"api" required:"true" value-name:"ADDRESS" description:"API address of a balancer"`
	Token string `long:"token-file" value-name:"FILE" description:"file with the API token; else the variable GREENGAGEDYKE_TOKEN is used"`
}

func (o *apiOptions) client() (*operator.Client, error) {
	addr, err := netip.ParseAddrPort(o.API)
	if err != nil {
		return nil, errors.Wrap(err, "--api")
	}
	token := os.Getenv("GREENGAGEDYKE_TOKEN")
	if o.Token != "" {
		data, err := os.ReadFile(o.Token)
		if err != nil {
			return nil, errors.Wrap(err, "--token-file")
		}
		token = string(data)
	}
	return operator.NewClient(addr, token, http.DefaultTransport), nil
}
