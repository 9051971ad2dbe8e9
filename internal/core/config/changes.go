package config

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
)

// Changes describes the differences between old and next, one line each.
func Changes(old, next *Config) []string {
	lines := diff("class", old.classes, next.classes)
	lines = append(lines, diff("pool", old.pools, next.pools)...)
	return append(lines, diff("organisation", old.organisations(), next.organisations())...)
}

func (c *Config) organisations() map[string]*Organisation {
	all := make(map[string]*Organisation, c.count)
	for _, shard := range c.shards {
		maps.Copy(all, shard.organisations)
	}
	return all
}

func diff[T any](kind string, old, next map[string]*T) []string {
	var lines []string
	for _, name := range slices.Sorted(maps.Keys(next)) {
		held, ok := old[name]
		switch {
		case !ok:
			lines = append(lines, fmt.Sprintf("%s %s: new", kind, name))
		case !reflect.DeepEqual(held, next[name]):
			lines = append(lines, fmt.Sprintf("%s %s: changed", kind, name))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(old)) {
		if _, ok := next[name]; !ok {
			lines = append(lines, fmt.Sprintf("%s %s: removed", kind, name))
		}
	}
	return lines
}
