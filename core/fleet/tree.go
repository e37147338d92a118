package fleet

import "turmericpulley/core/types"

// broadcastFanOut is the number of instances that one relay sends to.
const broadcastFanOut = 8

// BroadcastChildren returns the instances that self sends to in the tree over the instances that starts at root; an instance
// that is not in the tree sends to nobody.
func BroadcastChildren(instances []Instance, root, self types.InstanceID) []Instance {
	first, own := IndexOf(instances, root), IndexOf(instances, self)
	if first < 0 || own < 0 {
		return nil
	}
	size := len(instances)
	place := (own - first + size) % size
	children := make([]Instance, 0, broadcastFanOut)
	for child := place*broadcastFanOut + 1; child <= place*broadcastFanOut+broadcastFanOut && child < size; child++ {
		children = append(children, instances[(first+child)%size])
	}
	return children
}
