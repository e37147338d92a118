package node

import (
	"bytes"
	"compress/flate"
	"io"
	"slices"
	"sync"

	"github.com/pkg/errors"

	"turmericpulley/core/patch"
	"turmericpulley/core/routes"
	"turmericpulley/core/types"
	"turmericpulley/io/wire"
)

const (
	// maxConfigurationBytes bounds a configuration that another instance sends in compressed form or as patches. Values of the store have at
	// most 1 MiB.
	maxConfigurationBytes = 4 << 20
	// maxPatches bounds the steps that an instance keeps. A storm brings one or two a second, and an instance that is further behind gets
	// the whole configuration.
	maxPatches = 16
)

// sealedConfiguration is a configuration in force as it is sent to other instances: without the keys of client accounts. Its size is the
// same for all of them, and so it is compressed once.
type sealedConfiguration struct {
	Item
	version routes.Version
	// packed returns the compressed value, nil when there is none.
	packed func() []byte
	// patches are the latest steps that lead to the value, each from the result of the one before.
	patches []*wire.ConfigurationPatch
}

// newSealedConfiguration returns a configuration whose value is sealed, after the one that was in force before; nil when there was none.
func newSealedConfiguration(sealed Item, version routes.Version, previous *sealedConfiguration) *sealedConfiguration {
	c := &sealedConfiguration{Item: sealed, version: version, packed: sync.OnceValue(func() []byte { return pack(sealed.Value) })}
	if previous == nil || len(previous.Value) == 0 || len(sealed.Value) == 0 {
		return c
	}
	if change, worthSending := patch.Make(previous.Value, sealed.Value); worthSending {
		c.patches = append(slices.Clone(previous.patches[max(0, len(previous.patches)+1-maxPatches):]), &wire.ConfigurationPatch{
			BaseRevision: uint64(previous.Revision), Revision: uint64(sealed.Revision), Change: change,
		})
	}
	return c
}

// messageFor returns what an instance needs that has the configuration of the revision: the patches since, or all of it.
func (c *sealedConfiguration) messageFor(revision types.Revision) *wire.Configuration {
	if c == nil || revision == c.Revision {
		return &wire.Configuration{}
	}
	message := &wire.Configuration{Revision: uint64(c.Revision)}
	first := slices.IndexFunc(c.patches, func(p *wire.ConfigurationPatch) bool { return p.GetBaseRevision() == uint64(revision) })
	if first >= 0 && revision != 0 {
		message.Patches = c.patches[first:]
		return message
	}
	message.Packed = c.packed()
	return message
}

// unseal returns the item in another instance's message, and whether there is one. Patches apply to this configuration, which may be nil.
func (c *sealedConfiguration) unseal(message *wire.Configuration) (value []byte, found bool, err error) {
	switch {
	case len(message.GetValue()) > 0:
		return message.GetValue(), true, nil
	case len(message.GetPacked()) > 0:
		value, err = unpack(message.GetPacked())
		return value, err == nil, err
	case len(message.GetPatches()) == 0 || c == nil || message.GetRevision() == uint64(c.Revision):
		return nil, false, nil
	}
	value, reached := c.Value, uint64(c.Revision)
	for _, p := range message.GetPatches() {
		if p.GetBaseRevision() != reached {
			continue
		}
		if value, err = patch.Apply(value, p.GetChange(), maxConfigurationBytes); err != nil {
			return nil, false, err
		}
		reached = p.GetRevision()
	}
	if reached != message.GetRevision() {
		return nil, false, patch.ErrMismatch
	}
	return value, true, nil
}

// pack compresses a value; nil stands for an empty one.
func pack(value []byte) []byte {
	if len(value) == 0 {
		return nil
	}
	packed := &bytes.Buffer{}
	w, err := flate.NewWriter(packed, flate.BestSpeed)
	if err != nil {
		return nil
	}
	if _, err = w.Write(value); err != nil {
		return nil
	}
	if w.Close() != nil {
		return nil
	}
	return packed.Bytes()
}

// unpack returns the value that was compressed.
func unpack(packed []byte) ([]byte, error) {
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxConfigurationBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "unpacking a configuration")
	}
	if len(value) > maxConfigurationBytes {
		return nil, errors.Errorf("a configuration of another instance exceeds %d bytes", maxConfigurationBytes)
	}
	return value, nil
}
