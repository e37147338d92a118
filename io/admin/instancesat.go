package admin

import (
	"turmericpulley/core/fleet"
	"turmericpulley/core/types"
)

// InstancesAt returns instances that are known only by their HTTP addresses, which also serve as their ids. With them,
// instances can be queried while the platform does not answer.
func InstancesAt(addresses []string) []fleet.Instance {
	instances := make([]fleet.Instance, 0, len(addresses))
	for _, address := range addresses {
		instances = append(instances, fleet.Instance{ID: types.InstanceID(address), HTTPAddress: address})
	}
	return instances
}
