package relay_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"turmericpulley/core/fleet"
	"turmericpulley/core/relay"
	"turmericpulley/core/types"
)

const (
	outageInstances   = 7
	heartbeatInterval = 200 * time.Millisecond
	outageDuration    = 10 * time.Minute
)

// outage is a fleet that cannot reach the store; its first instances, as many as live, exchange heartbeats.
type outage struct {
	members   fleet.Membership
	freshness []*relay.Freshness
	live      int
}

// exchange lets each live instance receive a heartbeat response of every other one.
func (o *outage) exchange() {
	now := time.Now()
	for to := range o.live {
		for from := range o.live {
			if to == from {
				continue
			}
			id, f := types.InstanceID(fmt.Sprintf("i%d", from)), o.freshness[from]
			status := relay.PeerStatus{
				Membership: o.members.Revision, Synced: f.Synced(), StoreAge: f.StoreAge(now),
				Contacts: f.Contacts(now, id, o.members),
			}
			o.freshness[to].RecordHeartbeat(newResponse(id, now, status), relay.Revisions{}, o.members)
		}
	}
}

func (o *outage) checkFresh(instance int) error {
	return o.freshness[instance].Check(time.Now(), types.InstanceID(fmt.Sprintf("i%d", instance)), o.members)
}

// TestInstancesStayFreshDuringTenMinuteStoreOutage makes the store unreachable for ten minutes and stops three of seven
// instances meanwhile. The remaining instances have to stay fresh until they are no longer a majority.
func TestInstancesStayFreshDuringTenMinuteStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &outage{members: membersOf(outageInstances), live: outageInstances}
		for range outageInstances {
			f := relay.NewFreshness(time.Now())
			f.RecordStore(relay.ContractPrefix, time.Now().Add(time.Millisecond))
			f.RecordStore(relay.GroupPrefix, time.Now().Add(time.Millisecond))
			o.freshness = append(o.freshness, f)
		}
		start := time.Now()
		for time.Since(start) < outageDuration {
			time.Sleep(heartbeatInterval)
			o.live = outageInstances - int(time.Since(start)/(outageDuration/4))
			o.exchange()
			for i := range min(o.live, 4) {
				require.NoError(t, o.checkFresh(i), "instance %d after %v", i, time.Since(start))
			}
		}
		o.live = 3
		for range 15 {
			time.Sleep(heartbeatInterval)
			o.exchange()
		}
		for i := range o.live {
			requireIsolated(t, o.checkFresh(i))
		}
	})
}
