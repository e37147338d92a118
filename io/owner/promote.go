package owner

import (
	"context"
	"sync"
	"time"

	"turmericpulley/core/quorum"
	"turmericpulley/core/types"
)

// promote fences the reachable members except the excluded one and promotes the one with the most complete log. It needs a
// majority of members.
func (c *failoverController) promote(ctx context.Context, now time.Time, exclude types.TargetID) {
	if now.Sub(c.lastPromotion) < minPromotionInterval {
		return
	}
	c.lastPromotion = now
	o := c.owner
	reachable := o.state.reachable()
	statuses := make([]quorum.Status, 0, len(reachable))
	voters := make([]types.TargetID, 0, len(reachable))
	for _, observed := range reachable {
		statuses = append(statuses, observed.Status)
		if observed.Target != exclude {
			voters = append(voters, observed.Target)
		}
	}
	if len(voters) < o.state.majority {
		return
	}
	term := quorum.NextTerm(statuses)
	fenced := o.fenceAll(ctx, voters, term)
	winner, ok := quorum.Elect(fenced, term, o.state.majority)
	if !ok {
		o.settings.Logger.Warn("promotion failed, no majority of members could be fenced", "term", term, "fenced", len(fenced))
		return
	}
	o.promoteWinner(ctx, winner, term, fenced)
}

// promoteWinner promotes the elected member and instructs the other fenced members to replicate from it.
func (o *Owner) promoteWinner(ctx context.Context, winner types.TargetID, term types.Term, fenced []quorum.Status) {
	o.state.recordPromotionRequest(winner)
	observed, err := o.callMember(ctx, winner, func(c *controlConn) (quorum.Observation, error) {
		return c.promote(o.settings.Epoch, term)
	})
	if err != nil {
		o.settings.Logger.Warn("promotion failed", "target", winner, "term", term, "error", err)
		return
	}
	o.settings.Counters.Promotions.Add(1)
	if o.settings.RecordPromotion != nil {
		o.settings.RecordPromotion(o.state.timeSincePrimaryContact(time.Now()))
	}
	for i := range fenced {
		if fenced[i].Target == winner {
			o.setPrimary(observed, &fenced[i])
		}
	}
	var repoints sync.WaitGroup
	for _, s := range fenced {
		if s.Target != winner {
			repoints.Go(func() { o.repointReplica(ctx, s.Target, winner, term) })
		}
	}
	repoints.Wait()
}

// fenceAll fences the members and returns the statuses of those that answered.
func (o *Owner) fenceAll(ctx context.Context, voters []types.TargetID, term types.Term) []quorum.Status {
	results := make(chan *quorum.Status, len(voters))
	for _, target := range voters {
		go func() {
			observed, err := o.callMember(ctx, target, func(c *controlConn) (quorum.Observation, error) {
				return c.fence(o.settings.Epoch, term)
			})
			if err != nil {
				results <- nil
				return
			}
			observed.Leaving = observed.Leaving || o.listedAsLeaving(target)
			results <- &observed.Status
		}()
	}
	var fenced []quorum.Status
	for range voters {
		if s := <-results; s != nil {
			fenced = append(fenced, *s)
		}
	}
	return fenced
}

func (o *Owner) listedAsLeaving(target types.TargetID) bool {
	return o.settings.IsLeaving != nil && o.settings.IsLeaving(target)
}

// repointReplica instructs a member to replicate from the primary.
func (o *Owner) repointReplica(ctx context.Context, target, primary types.TargetID, term types.Term) {
	address := o.members[primary].info.Address
	observed, err := o.callMember(ctx, target, func(c *controlConn) (quorum.Observation, error) {
		return c.follow(o.settings.Epoch, term, address)
	})
	if err != nil {
		o.settings.Logger.Debug("member does not follow the primary yet", "target", target, "error", err)
		return
	}
	o.members[target].pool.closeIdle()
	o.state.recordObservation(observed)
	o.settings.Logger.Info("member follows the primary", "target", target, "primary", primary, "term", term)
}

func (o *Owner) callMember(ctx context.Context, target types.TargetID, call func(*controlConn) (quorum.Observation, error),
) (quorum.Observation, error) {
	c, err := dialControl(ctx, o.settings, o.members[target].info)
	if err != nil {
		return quorum.Observation{}, err
	}
	defer c.close()
	return call(c)
}
