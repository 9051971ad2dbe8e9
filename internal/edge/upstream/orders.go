package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/gladegauge/gladegauge/internal/core/placement"
)

// ErrFenced is the error of an order whose fencing token is lower than one that the
// upstream has seen.
var ErrFenced = errors.New("order rejected: the upstream has seen the fencing token of a later agent or revision")

// stateResponse is the upstream's report of what it has loaded.
type stateResponse struct {
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
}

// orderRequest is the body of an order.
type orderRequest struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
}

// State returns what the upstream has loaded.
func (c *Client) State(ctx context.Context) (placement.State, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/v1/state", nil)
	if err != nil {
		return placement.State{}, errors.Wrap(err, "upstream address")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return placement.State{}, errors.Wrap(err, "upstream state")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return placement.State{}, errors.Newf("upstream state: %s", resp.Status)
	}
	var body stateResponse
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxStateBytes)).Decode(&body); err != nil {
		return placement.State{}, errors.Wrap(err, "upstream state")
	}
	return placement.State{Version: body.Version, Adapters: body.Adapters, Role: body.Role}, nil
}

// Order sends one order with a fencing token.
func (c *Client) Order(ctx context.Context, o placement.Order, fence string) error {
	text, err := json.Marshal(orderRequest{Kind: string(o.Kind), Name: o.Name})
	if err != nil {
		return errors.Wrap(err, "order")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/v1/orders", oneShotBody{bytes.NewReader(text)})
	if err != nil {
		return errors.Wrap(err, "upstream address")
	}
	req.ContentLength = int64(len(text))
	req.Header.Set(FenceHeader, fence)
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Wrap(err, "order")
	}
	_ = resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return ErrFenced
	default:
		return errors.Newf("order: %s", resp.Status)
	}
}
