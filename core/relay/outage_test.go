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
	outageInstances = 7
	heartbeatEvery  = 200 * time.Millisecond
	outageSpan      = 10 * time.Minute
)

// outage is a fleet that hears no store and exchanges heartbeats.
type outage struct {
	members  fleet.Membership
	evidence []*relay.Freshness
	live     int
}

// exchange lets each live instance hear every other one.
func (o *outage) exchange() {
	now := time.Now()
	for to := range o.live {
		for from := range o.live {
			if to == from {
				continue
			}
			id, e := types.InstanceID(fmt.Sprintf("i%d", from)), o.evidence[from]
			standing := relay.PeerStatus{
				Membership: o.members.Revision, Synced: e.Synced(), StoreAge: e.StoreAge(now),
				Contacts: e.Contacts(now, id, o.members),
			}
			o.evidence[to].RecordHeartbeat(answer(id, now, standing), relay.Revisions{}, o.members)
		}
	}
}

func (o *outage) fresh(instance int) error {
	return o.evidence[instance].Check(time.Now(), types.InstanceID(fmt.Sprintf("i%d", instance)), o.members)
}

// TestTenMinutesWithoutTheStore keeps the store away for ten minutes and loses three instances meanwhile: those that are
// left go on working throughout, until they are no majority.
func TestTenMinutesWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &outage{members: membersOf(outageInstances), live: outageInstances}
		for range outageInstances {
			e := relay.NewFreshness(time.Now())
			e.RecordStore(relay.ContractPrefix, time.Now().Add(time.Millisecond))
			e.RecordStore(relay.GroupPrefix, time.Now().Add(time.Millisecond))
			o.evidence = append(o.evidence, e)
		}
		start := time.Now()
		for time.Since(start) < outageSpan {
			time.Sleep(heartbeatEvery)
			o.live = outageInstances - int(time.Since(start)/(outageSpan/4))
			o.exchange()
			for i := range min(o.live, 4) {
				require.NoError(t, o.fresh(i), "instance %d after %v", i, time.Since(start))
			}
		}
		o.live = 3
		for range 15 {
			time.Sleep(heartbeatEvery)
			o.exchange()
		}
		for i := range o.live {
			requireIsolated(t, o.fresh(i))
		}
	})
}
