package node

import (
	"context"
	"time"

	"turmericpulley/io/logs"
)

const (
	// provingWatches is the number of a store reader's watches between two reads of the configuration, where keys are withdrawn strictly. A
	// follower's proof is then at most 3.6 s old in calm.
	provingWatches = 4
	// proofCheckInterval is the time between two checks whether callers with keys may still be served.
	proofCheckInterval = 100 * time.Millisecond
)

// watchTimeout returns how long a watch for the configuration waits in the store. It is shorter for store readers, since the
// age of their copy adds to that of their followers.
func (s *storeSync) watchTimeout() time.Duration {
	if s.node.isStoreReader() {
		return readerWatchTimeout
	}
	return configurationWatchTimeout
}

// watchesPerRead returns after how many watches the configuration is read, where keys are withdrawn strictly: only a read proves that no
// withdrawal was missed.
func (s *storeSync) watchesPerRead() int {
	if s.node.isStoreReader() {
		return provingWatches
	}
	return 1
}

// watchProof closes the sessions at rest whose keys can no longer be served, and logs when that begins and ends.
func (n *Node) watchProof(ctx context.Context) {
	ticker := time.NewTicker(proofCheckInterval)
	defer ticker.Stop()
	held := true
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		table := n.routes.Table()
		if table == nil || table.Accounts == nil {
			continue
		}
		if holds := n.storeSync.proof.Holds(); holds != held {
			held = holds
			age, known := n.storeSync.proof.Age()
			n.logger.Info(logs.ProofOfAge, "holds", holds, "age", age.String(), "known", known, "limit", n.settings.RevokeLimit.String(),
				"version", int64(table.Version), "newest known", int64(n.storeSync.proof.Newest()))
		}
		if !held {
			n.callers.WakeSessions()
		}
	}
}
