package soak

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/gladegauge/gladegauge/platform/standin"
)

// hosts is the number of loopback addresses that this test process gave out.
var hosts atomic.Uint32

// hostAddress returns a loopback address that no other host of any play has, in
// this test process or in another one. A port that was free on 127.0.0.1 may be
// another one's by the time that a gateway listens on it.
func hostAddress() string {
	pid, n := os.Getpid(), hosts.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 16+(pid>>8)%128, pid%256, 1+n%254)
}

// freeAddresses returns n different addresses on a host of their own, on which
// nobody listens.
func freeAddresses(t standin.Owner, n int) []string {
	host := hostAddress()
	var list []string
	for range n {
		l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		if err != nil {
			t.Fatal(err)
		}
		// All stay open until the last one is known, so that none is given twice.
		defer func() { _ = l.Close() }()
		list = append(list, l.Addr().String())
	}
	return list
}
