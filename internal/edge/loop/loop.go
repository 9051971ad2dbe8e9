// Package loop runs the control state of a process in one goroutine.
//
// Traffic goroutines hand it short functions; nothing else touches the state,
// so it needs no locks.
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

// backlog is the number of functions that may wait.
const backlog = 1024

// ErrStopped says that the loop has ended.
var ErrStopped = errors.New("control loop has stopped")

// Loop is one control goroutine.
type Loop struct {
	clock func() time.Time
	work  chan func(now time.Time)
	done  chan struct{}
}

// New returns a loop that reads the present time from clock.
func New(clock func() time.Time) *Loop {
	return &Loop{
		clock: clock,
		work:  make(chan func(now time.Time), backlog),
		done:  make(chan struct{}),
	}
}

// Run carries out functions until the context ends.
func (l *Loop) Run(ctx context.Context) error {
	defer close(l.done)
	for {
		select {
		case f := <-l.work:
			f(l.clock())
		case <-ctx.Done():
			return nil
		}
	}
}

// Do carries out a function and waits until it has ended.
func (l *Loop) Do(ctx context.Context, f func(now time.Time)) error {
	if l.do(ctx.Done(), f) {
		return nil
	}
	if ctx.Err() != nil {
		return errors.WithStack(ctx.Err())
	}
	return ErrStopped
}

// Must carries out a function and waits, whatever became of any caller. It
// reports false only if the loop has stopped.
func (l *Loop) Must(f func(now time.Time)) bool {
	return l.do(nil, f)
}

// do reports false if the function was not taken, or the loop stopped first.
func (l *Loop) do(gaveUp <-chan struct{}, f func(now time.Time)) bool {
	finished := make(chan struct{})
	wrapped := func(now time.Time) {
		defer close(finished)
		f(now)
	}
	select {
	case l.work <- wrapped:
	case <-gaveUp:
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

// Every carries out a function at each interval until the context ends.
func (l *Loop) Every(ctx context.Context, d time.Duration, f func(now time.Time)) error {
	ticker := time.NewTicker(d)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if !l.Must(f) {
				return nil
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// Pause waits; it reports false if the context ended first.
func Pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
