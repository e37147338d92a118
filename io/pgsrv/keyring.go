package pgsrv

import (
	"crypto/subtle"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"turmericpulley/core/types"
)

const instanceHashShift = 16

// cancelKey identifies a connection in cancel requests.
type cancelKey struct {
	processID uint32 // the instance's hash above, the connection's number below
	secret    [4]byte
}

func (k cancelKey) connectionNumber() uint16 { return uint16(k.processID) }

func (k cancelKey) matches(secret []byte) bool {
	return subtle.ConstantTimeCompare(k.secret[:], secret) == 1
}

// cancelKeyIssuer issues the keys of one instance.
type cancelKeyIssuer struct {
	instanceHash uint16
	lastNumber   uint16
}

func newCancelKeyIssuer(id types.InstanceID) cancelKeyIssuer {
	return cancelKeyIssuer{instanceHash: InstanceHash(id)}
}

// InstanceHash returns the hash that the process ids of an instance hold in their upper half.
func InstanceHash(id types.InstanceID) uint16 { return uint16(xxhash.Sum64String(string(id))) }

// issue returns a key with a number that no open connection has.
func (k *cancelKeyIssuer) issue(used map[uint16]*connection) cancelKey {
	for {
		k.lastNumber++
		if _, taken := used[k.lastNumber]; !taken {
			break
		}
	}
	key := cancelKey{processID: uint32(k.instanceHash)<<instanceHashShift | uint32(k.lastNumber)}
	binary.BigEndian.PutUint32(key.secret[:], randomNumber())
	return key
}
