// Package revision decides which published configuration is in force.
//
// Revisions only rise. A document is applied as a whole or not at all, and an invalid one
// changes nothing. Two documents with the same revision number violate an invariant of
// the operators' pipeline: the first stays in force, and the conflict is counted.
//
// # Usage
//
//	h := revision.NewHolder()
//	if h.CheckManifest(manifest) == revision.Newer {
//		verdict, faults := h.Apply(document)
//	}
package revision

import (
	"github.com/gladegauge/gladegauge/internal/core/config"
	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
)

// Verdict is the result of comparing or applying a document.
type Verdict int

// Verdicts on a document.
const (
	// Older means that the revision in force is higher.
	Older Verdict = iota + 1
	// Same means that the document is already in force.
	Same
	// Conflict means that another document has the same revision.
	Conflict
	// Newer means that the document should be fetched.
	Newer
	// Accepted means that the document is now in force.
	Accepted
	// Rejected means that the document has faults.
	Rejected
)

// Holder holds the configuration in force. It is not safe for concurrent use.
type Holder struct {
	cfg       *config.Config
	shards    map[string][]byte
	rejected  map[string]bool
	conflicts int
}

// NewHolder returns a holder without a configuration.
func NewHolder() *Holder {
	return &Holder{rejected: make(map[string]bool)}
}

// Config returns the configuration in force, or nil.
func (h *Holder) Config() *config.Config { return h.cfg }

// Conflicts returns the number of revision conflicts seen.
func (h *Holder) Conflicts() int { return h.conflicts }

// Shard returns the value of a shard of the configuration in force.
func (h *Holder) Shard(name string) ([]byte, bool) {
	value, ok := h.shards[name]
	return value, ok
}

// Compare compares a version that another process reports with the one in force.
func (h *Holder) Compare(revision uint64, digest string) Verdict {
	switch {
	case h.cfg == nil && revision > 0:
		return Newer
	case revision == 0 || revision < h.cfg.Revision():
		return Older
	case revision > h.cfg.Revision():
		return Newer
	case digest != h.cfg.Digest():
		h.conflicts++
		return Conflict
	default:
		return Same
	}
}

// CheckManifest checks a manifest before its shards are fetched.
func (h *Holder) CheckManifest(m *gladegaugev1.Manifest) Verdict {
	digest := config.ManifestDigest(m)
	if h.rejected[digest] {
		return Rejected
	}
	return h.Compare(m.GetRevision(), digest)
}

// Missing returns the shards of the manifest that must be fetched.
func (h *Holder) Missing(m *gladegaugev1.Manifest) []string {
	return config.Missing(h.cfg, m)
}

// Apply puts a document into force if it is newer and has no faults.
func (h *Holder) Apply(doc config.Document) (Verdict, config.Faults) {
	if v := h.CheckManifest(doc.Manifest); v != Newer {
		return v, nil
	}
	cfg, faults := config.Build(h.cfg, doc)
	if len(faults) > 0 {
		h.reject(doc.Manifest, faults)
		return Rejected, faults
	}
	h.keepShards(doc)
	h.cfg = cfg
	return Accepted, nil
}

// reject records an invalid document so that it is not fetched again. A document with
// shards that did not match their digests is not recorded, because it may still arrive
// intact.
func (h *Holder) reject(m *gladegaugev1.Manifest, faults config.Faults) {
	for _, fault := range faults {
		if fault.Transient {
			return
		}
	}
	h.rejected[config.ManifestDigest(m)] = true
}

func (h *Holder) keepShards(doc config.Document) {
	next := make(map[string][]byte, len(doc.Manifest.GetShards()))
	for _, ref := range doc.Manifest.GetShards() {
		value, ok := doc.Shards[ref.GetName()]
		if !ok {
			value = h.shards[ref.GetName()]
		}
		next[ref.GetName()] = value
	}
	h.shards = next
}
