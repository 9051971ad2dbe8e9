// Package session runs the real entries and agents of the core as a discrete event
// simulation in virtual time.
//
// A script names a deployment, its load and its faults. The session delivers the
// messages between entries and agents with the network delays of the deployment,
// substitutes fake engines for the upstreams, and writes a transcript. The metrics and
// the checks of the guarantees are computed from the transcript alone. The package
// verifies and measures the core; it does not model the machines or the network of a
// cluster beyond delays and faults.
//
// # Usage
//
//	result, err := session.Run(script, session.Current)
//	rows := result.Rows()
//	violations := result.Violations()
package session
