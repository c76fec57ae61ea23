// Package remote reaches the platform over HTTP: the table service, the object
// store, the host list and the workers.
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

// maxReply bounds the size of a platform answer, in bytes.
const maxReply = 16 << 20

// Config configures a Client.
type Config struct {
	// Address is the platform's IP number and port.
	Address string
	// Zone is sent with each call; the stand-ins use it for zone cuts.
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

// ZoneHeader carries the caller's zone to the platform.
const ZoneHeader = "Platform-Zone"

// errRefused marks an answer that says that nothing was done.
var errRefused = errors.New("platform refused the call")

// call sends in and decodes the answer. It returns errRefused when the
// platform said that it did nothing; any other error leaves open whether the
// call took effect.
func call[In, Out any](ctx context.Context, c *Client, path string, in In) (Out, error) {
	var out Out
	body, err := json.Marshal(in)
	if err != nil {
		return out, errors.Wrap(err, "encode call")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+path, bytes.NewReader(body))
	if err != nil {
		return out, errors.Wrap(err, "build call")
	}
	request.Header.Set(ZoneHeader, c.zone)
	request.Header.Set("Content-Type", "application/json")
	reply, err := c.http.Do(request)
	if err != nil {
		return out, errors.Wrapf(err, "call %s", path)
	}
	defer reply.Body.Close()
	if reply.StatusCode == http.StatusServiceUnavailable {
		return out, errRefused
	}
	if reply.StatusCode == http.StatusConflict {
		return out, errors.Wrapf(glade.ErrRefused, "call %s", path)
	}
	if reply.StatusCode != http.StatusOK {
		return out, errors.Errorf("call %s: status %d", path, reply.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(reply.Body, maxReply)).Decode(&out)
	return out, errors.Wrapf(err, "decode answer of %s", path)
}
