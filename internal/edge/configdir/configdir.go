// Package configdir reads a configuration from a folder of YAML files.
//
// Each file holds a part of the protobuf document, with its JSON field names. Lists from
// several files are concatenated. Faults name the file and the field.
//
// # Usage
//
//	doc, err := configdir.Read("examples/tallowbark")
package configdir

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"sigs.k8s.io/yaml"

	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
)

// Source is a configuration with the files that its parts were read from.
type Source struct {
	Configuration *gladegaugev1.Configuration
	spans         []span
	// organisations holds the file of each organisation.
	organisations map[string]string
}

// span is the range of a list that was read from one file.
type span struct {
	file   string
	list   string
	from   int
	length int
}

// Read merges the YAML files of a folder in the order of their names.
func Read(dir string) (*Source, error) {
	names, err := filepath.Glob(filepath.Join(dir, "*.yaml"))
	if err != nil {
		return nil, errors.Wrapf(err, "read %s", dir)
	}
	if len(names) == 0 {
		return nil, errors.Newf("%s: no .yaml files", dir)
	}
	slices.Sort(names)
	s := &Source{Configuration: &gladegaugev1.Configuration{}, organisations: make(map[string]string)}
	var faults error
	for _, name := range names {
		if err := s.add(name); err != nil {
			faults = errors.CombineErrors(faults, err)
		}
	}
	return s, faults
}

func (s *Source) add(name string) error {
	text, err := os.ReadFile(name) //nolint:gosec // The operator names the folder.
	if err != nil {
		return errors.Wrapf(err, "read %s", name)
	}
	part, err := Parse(text)
	if err != nil {
		return errors.Wrapf(err, "%s", name)
	}
	file := filepath.Base(name)
	whole := s.Configuration
	if part.GetRevision() != 0 && whole.GetRevision() != 0 {
		return errors.Newf("%s: revision: already set in another file", name)
	}
	s.addSpan(file, "classes", len(whole.GetClasses()), len(part.GetClasses()))
	s.addSpan(file, "pools", len(whole.GetPools()), len(part.GetPools()))
	s.addSpan(file, "organisations", len(whole.GetOrganisations()), len(part.GetOrganisations()))
	for _, o := range part.GetOrganisations() {
		s.organisations[o.GetName()] = file
	}
	proto.Merge(whole, part)
	return nil
}

func (s *Source) addSpan(file, list string, from, length int) {
	if length > 0 {
		s.spans = append(s.spans, span{file: file, list: list, from: from, length: length})
	}
}

// Parse parses one YAML document. Unknown fields are errors.
func Parse(text []byte) (*gladegaugev1.Configuration, error) {
	data, err := yaml.YAMLToJSONStrict(text)
	if err != nil {
		return nil, errors.Wrap(err, "not YAML")
	}
	part := &gladegaugev1.Configuration{}
	if err := protojson.Unmarshal(data, part); err != nil {
		return nil, errors.Wrap(err, "not a configuration")
	}
	return part, nil
}

// Locate prefixes a fault's field with its file, and converts its index to the index within
// that file.
func (s *Source) Locate(field string) string {
	if name, ok := quotedName(field); ok && s.organisations[name] != "" {
		return s.organisations[name] + ": " + field
	}
	list, index, rest, ok := splitField(field)
	if !ok {
		return field
	}
	for _, sp := range s.spans {
		if sp.list == list && index >= sp.from && index < sp.from+sp.length {
			return fmt.Sprintf("%s: %s[%d]%s", sp.file, list, index-sp.from, rest)
		}
	}
	return field
}
