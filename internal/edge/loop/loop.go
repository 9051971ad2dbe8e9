// Package loop confines the control state of a process to one goroutine.
//
// Other goroutines send it short functions to execute. Nothing else accesses the
// state, so it needs no locks.
//
// # Usage
//
//	l := loop.New(clock.New().Now)
//	group.Go(func() error { return l.Run(ctx) })
//	err := l.Do(ctx, func(now time.Time) { state.Change(now) })
package loop

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// queueSize is the maximum number of functions that wait to be executed.
const queueSize = 1024

// ErrStopped is returned once the loop has ended.
var ErrStopped = errors.New("control loop has stopped")

// Loop is a goroutine that executes functions one at a time.
type Loop struct {
	clock func() time.Time
	queue chan func(now time.Time)
	done  chan struct{}
}

// New returns a loop that reads the current time from clock.
func New(clock func() time.Time) *Loop {
	return &Loop{
		clock: clock,
		queue: make(chan func(now time.Time), queueSize),
		done:  make(chan struct{}),
	}
}

// Run executes functions until the context ends.
func (l *Loop) Run(ctx context.Context) error {
	defer close(l.done)
	for {
		select {
		case f := <-l.queue:
			f(l.clock())
		case <-ctx.Done():
			return nil
		}
	}
}

// Do executes a function and waits until it has returned.
func (l *Loop) Do(ctx context.Context, f func(now time.Time)) error {
	if l.do(ctx.Done(), f) {
		return nil
	}
	if ctx.Err() != nil {
		return errors.WithStack(ctx.Err())
	}
	return ErrStopped
}

// DoWithoutCancel executes a function and waits until it has returned, without a context
// that could cancel it. It returns false only if the loop has stopped.
func (l *Loop) DoWithoutCancel(f func(now time.Time)) bool {
	return l.do(nil, f)
}

// do returns false if the function was not queued, or the loop stopped before it
// returned.
func (l *Loop) do(cancelled <-chan struct{}, f func(now time.Time)) bool {
	finished := make(chan struct{})
	wrapped := func(now time.Time) {
		defer close(finished)
		f(now)
	}
	select {
	case l.queue <- wrapped:
	case <-cancelled:
		return false
	case <-l.done:
		return false
	}
	select {
	case <-finished:
		return true
	case <-l.done:
		return false
	}
}

// Every executes a function at a fixed interval until the context ends.
func (l *Loop) Every(ctx context.Context, d time.Duration, f func(now time.Time)) error {
	ticker := time.NewTicker(d)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if !l.DoWithoutCancel(f) {
				return nil
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// Sleep waits for the duration. It returns false if the context ended first.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
