package node

import (
	"context"
	"time"

	"turmericpulley/core/routes"
	"turmericpulley/core/types"
	"turmericpulley/io/logs"
	"turmericpulley/io/wire"
)

// fromStore is the source of a configuration in the log that this instance has read from the store; otherwise it is an address or an
// instance.
const fromStore = "store"

// applyConfiguration puts a configuration into force if its version is newer than the current one, and returns its version; zero for an item
// that holds none. It reports false when the configuration cannot be understood, and may then withdraw keys that are in force here. from
// says in the log where the item came from.
func (s *storeSync) applyConfiguration(item Item, from string) (routes.Version, bool) {
	n, size := s.node, len(item.Value)
	if item.Key != n.settings.Formats.ConfigurationKey || item.Deleted {
		return 0, true
	}
	if newest := s.newestConfiguration.Load(); newest != nil && newest.Revision == item.Revision {
		return newest.version, true
	}
	table, err := n.settings.Formats.ParseConfiguration(item.Value)
	if err != nil {
		n.unreadableConfigurations.Add(1)
		n.logger.Error("configuration cannot be parsed", "revision", item.Revision, "error", err)
		return 0, false
	}
	s.proof.Notice(table.Version)
	s.applying.Lock()
	defer s.applying.Unlock()
	if !n.routes.UpdateIfNewer(table) {
		return table.Version, true
	}
	behind := s.backlog.Reach(table.Version)
	if from == fromStore {
		if item.Value, err = n.settings.Formats.SealConfiguration(item.Value); err != nil {
			n.logger.Error("configuration cannot be sent to other instances", "revision", item.Revision, "error", err)
			item.Value = nil
		}
	}
	s.newestConfiguration.Store(newSealedConfiguration(item, table.Version, s.newestConfiguration.Load()))
	s.wholeNeeded.Store(false)
	n.logger.Info("configuration in force", "version", int64(table.Version), "revision", item.Revision, "routes", len(table.Routes),
		"accounts", table.Accounts.Len(), "bytes", size, "from", from, "behind", behind.Round(time.Millisecond).String())
	for _, problem := range table.Accounts.Problems() {
		n.logger.Error("client accounts of the configuration", "version", int64(table.Version), "problem", logs.Text(problem))
	}
	return table.Version, true
}

// applyPeerConfiguration applies the configuration in a message of another instance, if it holds one.
func (s *storeSync) applyPeerConfiguration(message *wire.Configuration, from string) {
	value, found, err := s.newestConfiguration.Load().unseal(message)
	if err != nil {
		s.node.logger.Warn("configuration of another instance not usable", "from", from, "error", err)
		s.wholeNeeded.Store(true)
	}
	if !found {
		return
	}
	s.applyConfiguration(Item{
		Key: s.node.settings.Formats.ConfigurationKey, Value: value, Revision: types.Revision(message.GetRevision()),
	}, from)
}

// configurationRevision returns the revision that other instances need to know to send what is missing here; zero when that is all of the
// configuration.
func (s *storeSync) configurationRevision() types.Revision {
	newest := s.newestConfiguration.Load()
	if newest == nil || s.wholeNeeded.Load() {
		return 0
	}
	return newest.Revision
}

// serveConfiguration answers a query for the configuration in force.
func (s *storeSync) serveConfiguration(query *wire.ConfigurationQuery) *wire.Configuration {
	return s.newestConfiguration.Load().messageFor(types.Revision(query.GetConfigurationRevision()))
}

// configurationVersion returns the version of the configuration in force, zero before the first.
func (n *Node) configurationVersion() int64 {
	if t := n.routes.Table(); t != nil {
		return int64(t.Version)
	}
	return 0
}

// fetchFromPeers asks other instances for their configuration until this one has the newest that it knows of. It asks others with each call,
// not its neighbours, which the store may refuse like this one.
func (s *storeSync) fetchFromPeers(ctx context.Context) {
	n := s.node
	for _, address := range n.relayAddresses() {
		reply, err := n.call(ctx, address, &wire.Call{Kind: &wire.Call_ConfigurationQuery{ConfigurationQuery: &wire.ConfigurationQuery{
			ConfigurationRevision: uint64(s.configurationRevision()),
		}}})
		if err != nil {
			continue
		}
		s.applyPeerConfiguration(reply.GetConfigurationValue(), address)
		if n.configurationVersion() > 0 && s.backlog.Lasts() == 0 {
			return
		}
	}
}
