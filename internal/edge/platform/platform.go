// Package platform is a client for the values that the platform publishes.
//
// The platform's service is read-only. Each value has an increasing version, and a read can
// wait for a version above a given one (a long poll). Every call is counted, since the
// request rate at the platform must grow more slowly than the fleet.
//
// # Usage
//
//	c := platform.New(url, platform.NewHTTPClient(), count)
//	value, err := c.Read(ctx, platform.ManifestName)
package platform

import (
	"context"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gladegauge/gladegauge/internal/core/config"
	"github.com/gladegauge/gladegauge/internal/core/responsehead"
)

// Names of values.
const (
	// ManifestName is the name of the newest manifest.
	ManifestName = "manifest"
	// VersionHeader is the response header with a value's version.
	VersionHeader = "X-Value-Version"
)

// ManifestAt is the name of the manifest of one revision.
func ManifestAt(revision uint64) string {
	return fmt.Sprintf("manifests/%d", revision)
}

// ShardName is the name of a shard's value.
func ShardName(digest []byte) string {
	return "shards/" + hex.EncodeToString(digest)
}

// HostsName is the name of a zone's host list.
func HostsName(zone string) string {
	return "hosts/" + zone
}

// ZonesName is the name of the list of availability zones, one per line.
const ZonesName = "zones"

// ErrNotFound means that the platform has no such value.
var ErrNotFound = errors.New("no such value")

// ErrUnchanged means that no newer version was published within the wait.
var ErrUnchanged = errors.New("value unchanged")

// Value is one published value.
type Value struct {
	Version uint64
	Data    []byte
}

// Client reads values. It is safe for concurrent use.
type Client struct {
	base  string
	http  *http.Client
	count func(kind, result string)
}

// maxHeadBytes bounds the head of an answer.
const maxHeadBytes = 64 << 10

// NewHTTPClient returns an HTTP client for the service, with the defaults of net/http but for the
// bound of the head.
func NewHTTPClient() *http.Client {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.MaxResponseHeaderBytes = maxHeadBytes
	return &http.Client{Transport: t}
}

// New returns a client of the service at the base URL. It calls count for each request.
func New(base string, c *http.Client, count func(kind, result string)) *Client {
	return &Client{base: base, http: c, count: count}
}

// Read returns the value's newest version.
func (c *Client) Read(ctx context.Context, name string) (Value, error) {
	return c.get(ctx, "read", name, nil)
}

// Watch waits for a version above after, for the given time at most.
func (c *Client) Watch(ctx context.Context, name string, after uint64, wait time.Duration) (Value, error) {
	query := url.Values{}
	query.Set("after", strconv.FormatUint(after, 10))
	query.Set("wait", wait.String())
	return c.get(ctx, "watch", name, query)
}

func (c *Client) get(ctx context.Context, kind, name string, query url.Values) (Value, error) {
	v, err := c.fetch(ctx, name, query)
	switch {
	case err == nil:
		c.count(kind, "ok")
	case errors.Is(err, ErrUnchanged):
		c.count(kind, "unchanged")
	default:
		c.count(kind, "error")
	}
	return v, err
}

func (c *Client) fetch(ctx context.Context, name string, query url.Values) (Value, error) {
	target := c.base + "/v1/values/" + name
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return Value{}, errors.Wrap(err, "platform address")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Value{}, errors.Wrapf(err, "read %s", name)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := responsehead.Check(resp.StatusCode, resp.Header); err != nil {
		return Value{}, errors.Wrapf(err, "read %s", name)
	}
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return Value{}, errors.Wrap(ErrNotFound, name)
	case http.StatusNotModified:
		return Value{}, errors.Wrap(ErrUnchanged, name)
	default:
		return Value{}, errors.Newf("read %s: platform answered %s", name, resp.Status)
	}
	return readValue(resp, name)
}

func readValue(resp *http.Response, name string) (Value, error) {
	data, err := io.ReadAll(io.LimitReader(resp.Body, config.MaxShardBytes+1))
	if err != nil {
		return Value{}, errors.Wrapf(err, "read %s", name)
	}
	if len(data) > config.MaxShardBytes {
		return Value{}, errors.Newf("read %s: value is larger than %d bytes", name, config.MaxShardBytes)
	}
	version, err := strconv.ParseUint(resp.Header.Get(VersionHeader), 10, 64)
	if err != nil {
		return Value{}, errors.Wrapf(err, "read %s: version", name)
	}
	return Value{Version: version, Data: data}, nil
}
