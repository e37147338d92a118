package server

import (
	"context"
	"sync/atomic"
	"time"

	"turmericpulley/core/fleet"
	"turmericpulley/core/types"
)

const (
	minListInterval = time.Second
	// listIntervalPerInstance keeps the list calls of all instances together at 100 per second or fewer.
	listIntervalPerInstance = 10 * time.Millisecond
)

// leavingTargets holds the targets that the platform lists as leaving; it is safe for concurrent use.
type leavingTargets struct {
	listEntries func(context.Context) ([]fleet.ListEntry, error)
	network     network
	targets     atomic.Pointer[map[types.TargetID]struct{}]
}

func newLeavingTargets(list func(context.Context) ([]fleet.ListEntry, error), n network) *leavingTargets {
	l := &leavingTargets{listEntries: list, network: n}
	l.targets.Store(&map[types.TargetID]struct{}{})
	return l
}

// contains reports whether the platform lists the target as leaving.
func (l *leavingTargets) contains(target types.TargetID) bool {
	_, ok := (*l.targets.Load())[target]
	return ok
}

// poll reads the list periodically until the context ends. The last list stays in use while the platform does not answer.
func (l *leavingTargets) poll(ctx context.Context) {
	for {
		if listed, err := l.listEntries(ctx); err == nil {
			l.replace(listed)
		}
		timer := time.NewTimer(max(minListInterval, time.Duration(len(l.network.Membership().Instances))*listIntervalPerInstance))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

func (l *leavingTargets) replace(listed []fleet.ListEntry) {
	targets := map[types.TargetID]struct{}{}
	for _, entry := range listed {
		if entry.Kind == fleet.TargetEntry && entry.State == fleet.Leaving {
			targets[types.TargetID(entry.ID)] = struct{}{}
		}
	}
	l.targets.Store(&targets)
}
