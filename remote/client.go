// Package remote is the HTTP client of the platform: the table service, the
// object store, the host list and the workers.
package remote

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	glade "indigoglade"
)

// Timeout bounds one call to the platform.
const Timeout = 2 * time.Second

// maxAnswerBytes is the maximum size of an answer of the platform.
const maxAnswerBytes = 16 << 20

// Config configures a Client.
type Config struct {
	// Address is the platform's IP address and port.
	Address string
	// Zone is sent with each call. The simulated platform uses it for network
	// partitions between zones.
	Zone string
}

// Client calls the platform.
type Client struct {
	address string
	zone    string
	http    *http.Client
}

// New returns a client of the platform.
func New(config Config) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 16, MaxConnsPerHost: 64, IdleConnTimeout: time.Minute}
	return &Client{
		address: config.Address,
		zone:    config.Zone,
		http:    &http.Client{Transport: transport, Timeout: Timeout},
	}
}

// ZoneHeader is the header with the caller's zone.
const ZoneHeader = "Platform-Zone"

// errUnavailable means that the platform answered that it did nothing.
var errUnavailable = errors.New("platform is unavailable; the call had no effect")

// call sends in as JSON and decodes the answer. errUnavailable means that the
// call had no effect. glade.ErrRefused means that a worker refused it. After
// any other error the call may have taken effect.
func call[In, Out any](ctx context.Context, c *Client, path string, in In) (Out, error) {
	var out Out
	body, err := json.Marshal(in)
	if err != nil {
		return out, errors.Wrap(err, "encode request")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+path, bytes.NewReader(body))
	if err != nil {
		return out, errors.Wrap(err, "build request")
	}
	request.Header.Set(ZoneHeader, c.zone)
	request.Header.Set("Content-Type", "application/json")
	reply, err := c.http.Do(request)
	if err != nil {
		return out, errors.Wrapf(err, "call %s", path)
	}
	defer reply.Body.Close()
	if reply.StatusCode == http.StatusServiceUnavailable {
		return out, errUnavailable
	}
	if reply.StatusCode == http.StatusConflict {
		return out, errors.Wrapf(glade.ErrRefused, "call %s", path)
	}
	if reply.StatusCode != http.StatusOK {
		return out, errors.Errorf("call %s: status %d", path, reply.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(reply.Body, maxAnswerBytes)).Decode(&out)
	return out, errors.Wrapf(err, "decode answer of %s", path)
}
