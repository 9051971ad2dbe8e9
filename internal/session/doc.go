// Package session runs the real core in virtual time against small fakes.
//
// A script names a deployment, its load and its faults. The session carries
// the messages between entries and agents with the deployment's delays, plays
// the engines, and writes a transcript. The summary and the checks of the
// promises are computed from the transcript alone. It proves and measures; it
// is no simulator of a cluster.
//
// # Usage
//
//	result, err := session.Run(script, session.Current)
//	rows := result.Rows()
//	violations := result.Violations()
package session
