// Package admission decides which calls of a plain service are sent, queued or rejected by
// a gateway.
//
// # Problem
//
// For seconds more calls of a plain service arrive than its replicas can run. Without
// ordering, all of them wait in the replicas' queues until few are in time, and replicas
// reject calls whatever their urgency. A gateway knows the load of the others only from
// reports that are 0.1 to 0.6 s old, so gateways that fill the room that they see all fill
// it at once.
//
// A gateway therefore admits calls immediately while the requests in flight are below a
// limit: the slots and a short queue at each replica. Once the limit is reached, the pool
// is contended: the gateway sends at its share of the pool's rate, corrected by how far the
// requests in flight are from the limit, and queues calls that still complete within their
// target. All others are rejected at once with the time after which to retry.
//
// # Order
//
// Queued calls are ordered by urgency, then by whether their organisation is below its
// fair share, then first tries before repeated ones, then by deadline. Repeated tries are
// late already, and most would displace a first try that is still in time; a small part of
// the rate is reserved for callers that waited as instructed. A call that no longer fits is
// rejected, unless a less urgent one is queued that can be rejected instead.
//
// # Usage
//
//	d := queue.Arrive(now, room, call)
//	switch d.Outcome {
//	case admission.Admitted: // send it
//	case admission.Queued: // wait for d.Ticket in the result of a later Arrive or Next
//	case admission.Rejected: // answer with d.RetryAfter
//	}
//	released := queue.Next(now, room) // when a call ended, reports arrived, or NextAt has come
//	queue.Leave(d.Ticket)             // the caller disconnected
package admission
