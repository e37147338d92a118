package pgsrv

import (
	"crypto/subtle"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"turmericpulley/core/types"
)

const instanceHashShift = 16

// cancelKey identifies a connection in a CancelRequest.
type cancelKey struct {
	processID uint32 // upper half: the instance's hash; lower half: the connection's number
	secret    [4]byte
}

func (k cancelKey) connectionNumber() uint16 { return uint16(k.processID) }

func (k cancelKey) matches(secret []byte) bool {
	return subtle.ConstantTimeCompare(k.secret[:], secret) == 1
}

// cancelKeyIssuer issues the cancel keys of an instance.
type cancelKeyIssuer struct {
	instanceHash uint16
	lastNumber   uint16
}

func newCancelKeyIssuer(id types.InstanceID) cancelKeyIssuer {
	return cancelKeyIssuer{instanceHash: InstanceHash(id)}
}

// InstanceHash returns the hash of an instance's id. It is the upper half of the process ids that the instance issues.
func InstanceHash(id types.InstanceID) uint16 { return uint16(xxhash.Sum64String(string(id))) }

// issue returns a key with a random secret and a connection number that is not in use.
func (k *cancelKeyIssuer) issue(used map[uint16]*connection) cancelKey {
	for {
		k.lastNumber++
		if _, inUse := used[k.lastNumber]; !inUse {
			break
		}
	}
	key := cancelKey{processID: uint32(k.instanceHash)<<instanceHashShift | uint32(k.lastNumber)}
	binary.BigEndian.PutUint32(key.secret[:], randomNumber())
	return key
}
