// Package suspect follows requests under which upstreams end.
package suspect
