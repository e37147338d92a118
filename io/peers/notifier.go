package peers

import "sync"

// notifier signals to its subscribers that something changed.
type notifier struct {
	mu          sync.Mutex
	subscribers []chan struct{}
}

// subscribe returns a channel that holds one signal if something changed since the last signal was received.
func (n *notifier) subscribe() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	changes := make(chan struct{}, 1)
	n.subscribers = append(n.subscribers, changes)
	return changes
}

// notify sends a signal to every subscriber whose channel holds none yet.
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
