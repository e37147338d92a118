package fleet

import "turmericpulley/core/types"

// Instance describes one instance of the proxy.
type Instance struct {
	ID          types.InstanceID `json:"id"`
	PeerAddress string           `json:"peerAddress"`
	HTTPAddress string           `json:"httpAddress"`
	DataCentre  types.DataCentre `json:"dataCentre"`
	Incarnation Incarnation      `json:"incarnation"`
	State       State            `json:"state"`
	// Processor is the processor time that the instance may use; zero means unknown.
	Processor types.Millicores `json:"processor,omitempty"`
}
