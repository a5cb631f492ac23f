package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"greengagedyke/service"
)

const callTimeout = 10 * time.Second

// RefusedError is the API's refusal of a call.
type RefusedError struct {
	Status   int
	Title    string
	Resource string
	Field    string
	// Revision is the revision in force when another change came first.
	Revision uint64
}

// Error implements error.
func (e *RefusedError) Error() string {
	if e.Field == "" {
		return e.Title
	}
	return "resource " + e.Resource + ": field " + e.Field + ": " + e.Title
}

// Client calls the resource API of a balancer.
type Client struct {
	addr  netip.AddrPort
	token string
	http  *http.Client
}

// NewClient returns a client of the API at addr.
func NewClient(addr netip.AddrPort, token string, transport http.RoundTripper) *Client {
	return &Client{addr: addr, token: token, http: &http.Client{Transport: transport, Timeout: callTimeout}}
}

// Apply replaces all services and returns the accepted revision.
func (c *Client) Apply(ctx context.Context, services service.Services) (uint64, error) {
	return c.apply(ctx, services, nil)
}

// ApplyTo replaces all services if the revision given is still in force; otherwise
// the error names the one that is.
func (c *Client) ApplyTo(ctx context.Context, services service.Services, revision uint64) (uint64, error) {
	header := http.Header{ifRevisionHeader: {strconv.FormatUint(revision, 10)}}
	return c.apply(ctx, services, header)
}

func (c *Client) apply(ctx context.Context, services service.Services, header http.Header) (uint64, error) {
	var a applied
	err := c.call(ctx, http.MethodPut, "/v1/configuration", header, declarations{Services: services}, &a)
	return a.Revision, err
}

// Configuration returns the configuration in force at the balancer, without keys.
func (c *Client) Configuration(ctx context.Context) (*service.Configuration, error) {
	cfg := &service.Configuration{}
	err := c.call(ctx, http.MethodGet, "/v1/configuration", nil, nil, cfg)
	return cfg, err
}

// Status returns what the balancer knows of all processes.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	err := c.call(ctx, http.MethodGet, "/v1/status", nil, nil, &s)
	return s, err
}

func (c *Client) call(ctx context.Context, method, path string, header http.Header, in, out any) error {
	var body io.Reader = http.NoBody
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return errors.Wrap(err, "operator.Client.call")
		}
		body = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.addr.String()+path, body)
	if err != nil {
		return errors.Wrap(err, "operator.Client.call")
	}
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	response, err := c.http.Do(request)
	if err != nil {
		return errors.Wrap(err, "operator.Client.call")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return refused(response)
	}
	return errors.Wrap(json.NewDecoder(response.Body).Decode(out), "operator.Client.call")
}

func refused(response *http.Response) error {
	var p problem
	if err := json.NewDecoder(response.Body).Decode(&p); err != nil {
		return &RefusedError{Status: response.StatusCode, Title: response.Status}
	}
	return &RefusedError{
		Status:   response.StatusCode,
		Title:    p.Title,
		Resource: p.Resource,
		Field:    p.Field,
		Revision: p.Revision,
	}
}
