package pgsrv

import (
	"crypto/subtle"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"turmericpulley/core/types"
)

const instanceShift = 16

// cancelKey identifies a connection in cancel requests.
type cancelKey struct {
	process uint32 // the instance's hash above, the connection's number below
	secret  [4]byte
}

func (k cancelKey) number() uint16 { return uint16(k.process) }

func (k cancelKey) matches(secret []byte) bool {
	return subtle.ConstantTimeCompare(k.secret[:], secret) == 1
}

// keyring issues the keys of one instance.
type keyring struct {
	instance uint16
	last     uint16
}

func newKeyring(id types.InstanceID) keyring {
	return keyring{instance: InstanceHash(id)}
}

// InstanceHash returns the hash that the process ids of an instance hold in their upper half.
func InstanceHash(id types.InstanceID) uint16 { return uint16(xxhash.Sum64String(string(id))) }

// issue returns a key with a number that no open connection has.
func (k *keyring) issue(used map[uint16]*caller) cancelKey {
	for {
		k.last++
		if _, taken := used[k.last]; !taken {
			break
		}
	}
	key := cancelKey{process: uint32(k.instance)<<instanceShift | uint32(k.last)}
	binary.BigEndian.PutUint32(key.secret[:], randomNumber())
	return key
}
