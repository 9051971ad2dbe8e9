package ctl

import (
	"context"
	"os"
	"path/filepath"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/gladegauge/gladegauge/internal/core/config"
	"github.com/gladegauge/gladegauge/internal/edge/configdir"
	"github.com/gladegauge/gladegauge/internal/edge/platform"
	"github.com/gladegauge/gladegauge/internal/edge/program"
	"github.com/gladegauge/gladegauge/internal/edge/settings"
	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
	"github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1/gladegaugev1connect"
)

// loadConfig reads a configuration folder and prints its faults.
func loadConfig(dir string) (*configdir.Source, *config.Config, bool) {
	source, err := configdir.Read(dir)
	if err != nil {
		printError(os.Stderr, err)
		return nil, nil, false
	}
	cfg, faults := config.New(source.Configuration)
	for _, f := range faults {
		printf("%s: %s\n", source.Locate(f.Field), f.Problem)
	}
	return source, cfg, len(faults) == 0
}

func checkCommand() *program.Command {
	var c connection
	return &program.Command{
		Title:   "check",
		Short:   "accept or reject a configuration as a whole; with -processes, also against what is in force",
		Long:    "[flags] DIR",
		Declare: c.declare,
		Do: func(ctx context.Context, args []string) int {
			dir, ok := singleArgument(args, "DIR")
			if !ok {
				return program.ExitSettings
			}
			source, cfg, accepted := loadConfig(dir)
			if accepted && c.processes != "" {
				accepted = checkRemote(ctx, &c, source)
			}
			if !accepted {
				printf("rejected\n")
				return program.ExitFailure
			}
			printf("accepted: revision %d, %d classes, %d pools, %d organisations\n",
				cfg.Revision(), len(cfg.Classes()), len(cfg.Pools()), cfg.OrganisationCount())
			return program.ExitOK
		},
	}
}

// checkRemote lets running entries check the configuration.
func checkRemote(ctx context.Context, c *connection, source *configdir.Source) bool {
	client, err := c.keys.Client()
	if err != nil {
		printError(os.Stderr, err)
		return false
	}
	accepted := true
	for _, address := range program.SplitList(c.processes) {
		op := gladegaugev1connect.NewOperatorServiceClient(client, c.keys.URL(address))
		resp, err := op.Check(ctx, connect.NewRequest(&gladegaugev1.CheckRequest{Configuration: source.Configuration}))
		if err != nil {
			printError(os.Stderr, errors.Wrap(err, address))
			return false
		}
		for _, f := range resp.Msg.GetFaults() {
			printf("%s: %s: %s\n", address, source.Locate(f.GetField()), f.GetProblem())
		}
		for _, line := range resp.Msg.GetChanges() {
			printf("%s: %s\n", address, line)
		}
		accepted = accepted && resp.Msg.GetAccepted()
	}
	return accepted
}

func buildCommand() *program.Command {
	var target string
	var parent int
	return &program.Command{
		Title: "build",
		Short: "write the values to publish: a manifest and its shards, each below a megabyte",
		Long:  "[flags] DIR",
		Declare: func(s *settings.Set) {
			s.String(&target, "out", "out/values", "folder to write to", settings.Required)
			s.Int(&parent, "parent", 0, "last accepted revision before this one; 0 means one less")
		},
		Do: func(_ context.Context, args []string) int {
			dir, ok := singleArgument(args, "DIR")
			if !ok {
				return program.ExitSettings
			}
			source, cfg, accepted := loadConfig(dir)
			if !accepted {
				printf("rejected\n")
				return program.ExitFailure
			}
			parentRevision := uint64(max(0, parent))
			if parentRevision == 0 {
				parentRevision = cfg.Revision() - 1
			}
			n, err := writeValues(target, config.Split(source.Configuration, parentRevision))
			if err != nil {
				return printError(os.Stderr, err)
			}
			printf("revision %d: %d values in %s\n", cfg.Revision(), n, target)
			return program.ExitOK
		},
	}
}

// writeValues writes a document as the values for the platform to publish.
func writeValues(dir string, doc config.Document) (int, error) {
	manifest, err := proto.MarshalOptions{Deterministic: true}.Marshal(doc.Manifest)
	if err != nil {
		return 0, errors.Wrap(err, "encode manifest")
	}
	values := map[string][]byte{
		platform.ManifestName:                           manifest,
		platform.ManifestAt(doc.Manifest.GetRevision()): manifest,
	}
	for _, ref := range doc.Manifest.GetShards() {
		values[platform.ShardName(ref.GetDigest())] = doc.Shards[ref.GetName()]
	}
	for name, data := range values {
		if len(data) > config.MaxShardBytes {
			return 0, errors.Newf("%s: %d bytes exceed the size limit of the platform", name, len(data))
		}
		path := filepath.Join(dir, filepath.FromSlash(name))
		if err := os.MkdirAll(filepath.Dir(path), 0o750); err != nil {
			return 0, errors.Wrap(err, "write values")
		}
		if err := os.WriteFile(path, data, 0o600); err != nil {
			return 0, errors.Wrap(err, "write values")
		}
	}
	return len(values), nil
}
