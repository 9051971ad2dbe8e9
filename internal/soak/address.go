package soak

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/gladegauge/gladegauge/platform/standin"
)

// hostCount is the number of loopback hosts that this test process has allocated.
var hostCount atomic.Uint32

// hostAddress returns a loopback address that no other gateway uses, neither in this test
// process nor in another one. A port that was free on 127.0.0.1 may be in use by another
// program by the time that a gateway listens on it.
func hostAddress() string {
	pid, n := os.Getpid(), hostCount.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 16+(pid>>8)%128, pid%256, 1+n%254)
}

// freeAddresses returns n different unused addresses on a loopback host of their own.
func freeAddresses(t standin.Owner, n int) []string {
	host := hostAddress()
	var list []string
	for range n {
		l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		if err != nil {
			t.Fatal(err)
		}
		// All listeners stay open until the last port is known, so that no port is
		// returned twice.
		defer func() { _ = l.Close() }()
		list = append(list, l.Addr().String())
	}
	return list
}
