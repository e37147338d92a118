package peers

import (
	"turmericpulley/core/fleet"
	"turmericpulley/core/relay"
	"turmericpulley/core/types"
	"turmericpulley/io/wire"
)

func encodeHeartbeat(self fleet.Instance, status relay.PeerStatus) *wire.Heartbeat {
	contacts := make([]byte, 0, len(status.Contacts))
	for _, age := range status.Contacts {
		contacts = append(contacts, byte(age))
	}
	return &wire.Heartbeat{
		Sender:             string(self.ID),
		Incarnation:        uint64(self.Incarnation),
		MembershipRevision: uint64(status.Membership),
		ContractRevision:   uint64(status.Revisions.Contracts),
		GroupRevision:      uint64(status.Revisions.Groups),
		StoreAge:           uint32(status.StoreAge),
		Contacts:           contacts,
		Settled:            status.Synced,
	}
}

func decodeHeartbeat(heartbeat *wire.Heartbeat) relay.PeerStatus {
	contacts := make([]relay.Age, 0, len(heartbeat.GetContacts()))
	for _, age := range heartbeat.GetContacts() {
		contacts = append(contacts, relay.Age(age))
	}
	return relay.PeerStatus{
		Revisions: relay.Revisions{
			Contracts: types.Revision(heartbeat.GetContractRevision()),
			Groups:    types.Revision(heartbeat.GetGroupRevision()),
		},
		Membership: types.Revision(heartbeat.GetMembershipRevision()),
		Synced:     heartbeat.GetSettled(),
		StoreAge:   relay.NewAge(heartbeat.GetStoreAge()),
		Contacts:   contacts,
	}
}

func encodeInstance(instance fleet.Instance) *wire.Instance {
	return &wire.Instance{
		Id:          string(instance.ID),
		PeerAddress: instance.PeerAddress,
		HttpAddress: instance.HTTPAddress,
		DataCentre:  string(instance.DataCentre),
		Incarnation: uint64(instance.Incarnation),
		State:       string(instance.State),
	}
}

func decodeInstance(instance *wire.Instance) fleet.Instance {
	return fleet.Instance{
		ID:          types.InstanceID(instance.GetId()),
		PeerAddress: instance.GetPeerAddress(),
		HTTPAddress: instance.GetHttpAddress(),
		DataCentre:  types.DataCentre(instance.GetDataCentre()),
		Incarnation: fleet.Incarnation(instance.GetIncarnation()),
		State:       fleet.State(instance.GetState()),
	}
}

func encodeBatch(batch relay.Batch) *wire.Documents {
	documents := make([]*wire.Document, 0, len(batch.Entries))
	for _, e := range batch.Entries {
		documents = append(documents, &wire.Document{
			Key: e.Key, Value: e.Value, Revision: uint64(e.Revision), Deleted: e.Deleted,
		})
	}
	return &wire.Documents{
		Documents:            documents,
		BaseContractRevision: uint64(batch.Base.Contracts),
		BaseGroupRevision:    uint64(batch.Base.Groups),
		ContractRevision:     uint64(batch.Through.Contracts),
		GroupRevision:        uint64(batch.Through.Groups),
	}
}

func decodeBatch(documents *wire.Documents) relay.Batch {
	entries := make([]relay.Entry, 0, len(documents.GetDocuments()))
	for _, d := range documents.GetDocuments() {
		entries = append(entries, relay.Entry{
			Key: d.GetKey(), Value: d.GetValue(), Revision: types.Revision(d.GetRevision()), Deleted: d.GetDeleted(),
		})
	}
	return relay.Batch{
		Base: relay.Revisions{
			Contracts: types.Revision(documents.GetBaseContractRevision()),
			Groups:    types.Revision(documents.GetBaseGroupRevision()),
		},
		Through: relay.Revisions{
			Contracts: types.Revision(documents.GetContractRevision()),
			Groups:    types.Revision(documents.GetGroupRevision()),
		},
		Entries: entries,
	}
}
