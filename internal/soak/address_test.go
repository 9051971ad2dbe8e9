package soak

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

// No two gateways are given the same address, nor one that a connection or another
// program's port could take in the meantime.
func TestAddressesAreNobodyElses(t *testing.T) {
	is := is.New(t)
	seen := make(map[string]bool)
	hostOf := make(map[string]int)
	for gateway := range 60 {
		for _, address := range freeAddresses(t, 3) {
			is.True(!seen[address])
			seen[address] = true
			host, _, err := net.SplitHostPort(address)
			is.NoErr(err)
			is.True(host != "127.0.0.1")
			if held, ok := hostOf[host]; ok {
				is.Equal(held, gateway)
			}
			hostOf[host] = gateway
		}
	}
}
