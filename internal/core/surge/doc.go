// Package surge decides which new connections of callers a gateway closes unread while it
// cannot keep up with them.
//
// A balancer may hand most new connections of an availability zone or a region to one gateway
// for some seconds. If that gateway has too little of a processor for them, it reads all
// requests and answers none in time, and its own state becomes stale. A connection that is
// closed unread costs little here, and its caller meets another gateway at once. What is
// accepted is served as usual.
//
// The signal is the lag of the process: by how much a periodic task runs late. The part of the
// new connections that is closed grows while the lag is high and new connections come more
// often than usual, and falls once the lag is low. Some are always accepted, so that the
// gateway is never closed to all callers.
//
// # Usage
//
//	g := surge.New(now)
//	g.Measure(now, lag)        // periodically
//	if !g.Admit(now, random) { // for each new connection; random is from 0 to 1
//		conn.Close()
//	}
package surge
