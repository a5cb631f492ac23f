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

// requestTimeout is longer than watchTimeout, so that a watch ends with a response.
const requestTimeout = 10 * time.Second

// APIError is a response with another status code than 200.
type APIError struct {
	// Status is the HTTP status code.
	Status int
	// Title describes the error.
	Title string
	// Resource and Field name the invalid field; empty if no single field is invalid.
	Resource string
	Field    string
	// Revision is the stored revision if the change conflicts with another one, else 0.
	Revision uint64
}

// Error implements error.
func (e *APIError) Error() string {
	if e.Field == "" {
		return e.Title
	}
	return "resource " + e.Resource + ": field " + e.Field + ": " + e.Title
}

// Client calls the operators' API of one balancer.
type Client struct {
	addr  netip.AddrPort
	token string
	http  *http.Client
}

// NewClient returns a client of the API at addr that authenticates with token.
func NewClient(addr netip.AddrPort, token string, transport http.RoundTripper) *Client {
	return &Client{addr: addr, token: token, http: &http.Client{Transport: transport, Timeout: requestTimeout}}
}

// Apply replaces all services and returns the new revision.
func (c *Client) Apply(ctx context.Context, services service.Services) (uint64, error) {
	return c.apply(ctx, services, nil)
}

// ApplyIfRevision replaces all services if the stored revision is the given one, and returns the
// new revision. Otherwise it returns an *APIError with the stored revision.
func (c *Client) ApplyIfRevision(ctx context.Context, services service.Services, revision uint64) (uint64, error) {
	header := http.Header{ifRevisionHeader: {strconv.FormatUint(revision, 10)}}
	return c.apply(ctx, services, header)
}

func (c *Client) apply(ctx context.Context, services service.Services, header http.Header) (uint64, error) {
	var response applyResponse
	err := c.call(ctx, http.MethodPut, "/v1/configuration", header, applyRequest{Services: services}, &response)
	return response.Revision, err
}

// Configuration returns the balancer's newest configuration, without keys.
func (c *Client) Configuration(ctx context.Context) (*service.Configuration, error) {
	cfg := &service.Configuration{}
	err := c.call(ctx, http.MethodGet, "/v1/configuration", nil, nil, cfg)
	return cfg, err
}

// Status returns the balancer's view of all processes.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	err := c.call(ctx, http.MethodGet, "/v1/status", nil, nil, &s)
	return s, err
}

// call sends a request and decodes the response into out. The request body is the JSON encoding of
// in, or empty if in is nil. A response with another status code than 200 is returned as an
// *APIError.
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
		return decodeError(response)
	}
	return errors.Wrap(json.NewDecoder(response.Body).Decode(out), "operator.Client.call")
}

// decodeError returns the *APIError of a response with another status code than 200.
func decodeError(response *http.Response) error {
	var p problem
	if err := json.NewDecoder(response.Body).Decode(&p); err != nil {
		return &APIError{Status: response.StatusCode, Title: response.Status}
	}
	return &APIError{
		Status:   response.StatusCode,
		Title:    p.Title,
		Resource: p.Resource,
		Field:    p.Field,
		Revision: p.Revision,
	}
}
