package fleet

import "turmericpulley/core/types"

// broadcastFanOut is the number of instances that one instance passes a broadcast on to.
const broadcastFanOut = 8

// BroadcastChildren returns the instances that self passes a broadcast from root on to: its children in a tree over all the
// instances. It returns none when self or root is not among the instances.
func BroadcastChildren(instances []Instance, root, self types.InstanceID) []Instance {
	rootIndex, selfIndex := IndexOf(instances, root), IndexOf(instances, self)
	if rootIndex < 0 || selfIndex < 0 {
		return nil
	}
	size := len(instances)
	position := (selfIndex - rootIndex + size) % size
	children := make([]Instance, 0, broadcastFanOut)
	for child := position*broadcastFanOut + 1; child <= position*broadcastFanOut+broadcastFanOut && child < size; child++ {
		children = append(children, instances[(rootIndex+child)%size])
	}
	return children
}
