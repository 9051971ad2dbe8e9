package soak

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

// No two gateways get the same address, nor an address that a connection or another
// program may take before the gateway listens on it.
func TestAddressesAreUnique(t *testing.T) {
	is := is.New(t)
	seen := make(map[string]bool)
	gatewayOf := make(map[string]int)
	for gateway := range 60 {
		for _, address := range freeAddresses(t, 3) {
			is.True(!seen[address])
			seen[address] = true
			host, _, err := net.SplitHostPort(address)
			is.NoErr(err)
			is.True(host != "127.0.0.1")
			if owner, ok := gatewayOf[host]; ok {
				is.Equal(owner, gateway)
			}
			gatewayOf[host] = gateway
		}
	}
}
