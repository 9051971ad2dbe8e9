// Package publish simulates the operators' pipeline, the only writer to the platform's
// configuration service.
//
// # Usage
//
//	err := publish.Run(ctx, publish.Options{Platform: url, Values: "out/values", Hosts: "hosts.yaml"})
package publish

import (
	"bytes"
	"context"
	"encoding/json"
	"io/fs"
	"net/http"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"sigs.k8s.io/yaml"

	"github.com/gladegauge/gladegauge/internal/edge/platform"
	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
)

// Options select what to publish, and the service to publish to.
type Options struct {
	Platform string
	// Values is a folder written by gladegauge-ctl build; empty for none.
	Values string
	// Hosts is a YAML file with a list of host lists; empty for none.
	Hosts string
}

// Run publishes the host lists, then the values, and the manifest last.
func Run(ctx context.Context, o Options) error {
	if o.Hosts != "" {
		if err := publishHosts(ctx, o); err != nil {
			return err
		}
	}
	if o.Values == "" {
		return nil
	}
	return publishValues(ctx, o)
}

func publishHosts(ctx context.Context, o Options) error {
	text, err := os.ReadFile(o.Hosts)
	if err != nil {
		return errors.Wrap(err, "read hosts")
	}
	lists, err := ParseHosts(text)
	if err != nil {
		return errors.Wrap(err, o.Hosts)
	}
	var zones []string
	for _, list := range lists {
		zones = append(zones, list.GetZone())
		data, err := proto.Marshal(list)
		if err != nil {
			return errors.Wrap(err, "encode hosts")
		}
		if err := put(ctx, o, platform.HostsName(list.GetZone()), data); err != nil {
			return err
		}
	}
	return put(ctx, o, platform.ZonesName, []byte(strings.Join(zones, "\n")))
}

// ParseHosts reads a YAML list of host lists.
func ParseHosts(text []byte) ([]*gladegaugev1.HostList, error) {
	var parts []json.RawMessage
	if err := yaml.Unmarshal(text, &parts); err != nil {
		return nil, errors.Wrap(err, "not a list")
	}
	lists := make([]*gladegaugev1.HostList, len(parts))
	for i, part := range parts {
		lists[i] = &gladegaugev1.HostList{}
		if err := protojson.Unmarshal(part, lists[i]); err != nil {
			return nil, errors.Wrapf(err, "list %d", i)
		}
	}
	return lists, nil
}

func publishValues(ctx context.Context, o Options) error {
	var names []string
	err := filepath.WalkDir(o.Values, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		name, err := filepath.Rel(o.Values, path)
		if err == nil && name != platform.ManifestName {
			names = append(names, filepath.ToSlash(name))
		}
		return err
	})
	if err != nil {
		return errors.Wrap(err, "read values")
	}
	for _, name := range append(names, platform.ManifestName) {
		data, err := os.ReadFile(filepath.Join(o.Values, filepath.FromSlash(name)))
		if err != nil {
			return errors.Wrap(err, "read value")
		}
		if err := put(ctx, o, name, data); err != nil {
			return err
		}
	}
	return nil
}

func put(ctx context.Context, o Options, name string, data []byte) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, o.Platform+"/v1/values/"+name, bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, "platform address")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrapf(err, "publish %s", name)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("publish %s: %s", name, resp.Status)
	}
	return nil
}
