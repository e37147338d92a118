package peers

import "sync"

// notifier tells subscribers that something changed.
type notifier struct {
	mu          sync.Mutex
	subscribers []chan struct{}
}

// subscribe returns a channel that holds one signal when something changed since the last was taken.
func (n *notifier) subscribe() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	changes := make(chan struct{}, 1)
	n.subscribers = append(n.subscribers, changes)
	return changes
}

// notify signals every subscriber that holds no signal yet.
func (n *notifier) notify() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, changes := range n.subscribers {
		select {
		case changes <- struct{}{}:
		default:
		}
	}
}
