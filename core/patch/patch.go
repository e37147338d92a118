package patch

import (
	"bytes"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// chunkEnd is the byte after which documents are split into the chunks that are compared: the end of a JSON object.
const chunkEnd = '}'

// maxShare is the part of a document up to which a patch is smaller than the document itself would be in compressed form.
const maxShare = 8

// ErrMismatch means that a patch was made for another document than the one that it was applied to, or is damaged.
var ErrMismatch = errors.New("the patch does not fit the document; ask for the whole document")

// segment is a part of the target: bytes of the base, then bytes that the patch brings.
type segment struct {
	offset, length int
	added          []byte
}

// Make returns a patch that turns the base into the target, and whether it is worth sending instead of the target. It finds objects that
// were changed, added, removed or moved.
//
// It answers configurations of a megabyte of which one change touches a single object.
func Make(base, target []byte) ([]byte, bool) {
	offsets := map[uint64]int{}
	for offset, chunk := range chunks(base) {
		if hash := xxhash.Sum64(chunk); !contains(offsets, hash) {
			offsets[hash] = offset
		}
	}
	var segments []segment
	current := segment{}
	for _, chunk := range chunks(target) {
		end := current.offset + current.length
		if len(current.added) == 0 && bytes.HasPrefix(base[end:], chunk) {
			current.length += len(chunk)
			continue
		}
		offset, found := offsets[xxhash.Sum64(chunk)]
		if !found || !bytes.HasPrefix(base[offset:], chunk) {
			current.added = append(current.added, chunk...)
			continue
		}
		segments = append(segments, current)
		current = segment{offset: offset, length: len(chunk)}
	}
	encoded := binary.AppendUvarint(nil, uint64(len(target)))
	encoded = binary.BigEndian.AppendUint64(encoded, xxhash.Sum64(target))
	for _, s := range append(segments, current) {
		encoded = binary.AppendUvarint(encoded, uint64(s.offset))
		encoded = binary.AppendUvarint(encoded, uint64(s.length))
		encoded = binary.AppendUvarint(encoded, uint64(len(s.added)))
		encoded = append(encoded, s.added...)
	}
	return encoded, len(encoded) <= len(target)/maxShare
}

func contains(offsets map[uint64]int, hash uint64) bool {
	_, found := offsets[hash]
	return found
}

// chunks returns the chunks of a document with their offsets.
func chunks(document []byte) func(yield func(int, []byte) bool) {
	return func(yield func(int, []byte) bool) {
		for offset := 0; offset < len(document); {
			length := bytes.IndexByte(document[offset:], chunkEnd) + 1
			if length == 0 {
				length = len(document) - offset
			}
			if !yield(offset, document[offset:offset+length]) {
				return
			}
			offset += length
		}
	}
}

// Apply returns the target of a patch of the base, of at most limit bytes; otherwise the error is ErrMismatch.
func Apply(base, change []byte, limit int) ([]byte, error) {
	r := reader{rest: change}
	size, sum := r.number(limit), r.sum()
	target := make([]byte, 0, size)
	for len(r.rest) > 0 && !r.damaged {
		offset, length := r.number(len(base)), r.number(len(base))
		added := r.bytes(r.number(limit))
		if length > len(base)-offset || length+len(added) > size-len(target) {
			return nil, ErrMismatch
		}
		target = append(append(target, base[offset:offset+length]...), added...)
	}
	if r.damaged || len(target) != size || xxhash.Sum64(target) != sum {
		return nil, ErrMismatch
	}
	return target, nil
}

// reader reads the parts of a patch; once it is damaged it returns zeros.
type reader struct {
	rest    []byte
	damaged bool
}

// number returns the next number, which is at most limit.
func (r *reader) number(limit int) int {
	number, length := binary.Uvarint(r.rest)
	if length <= 0 || number > uint64(limit) {
		r.rest, r.damaged = nil, true
		return 0
	}
	r.rest = r.rest[length:]
	return int(number)
}

func (r *reader) sum() uint64 {
	if b := r.bytes(8); b != nil {
		return binary.BigEndian.Uint64(b)
	}
	return 0
}

// bytes returns the next bytes.
func (r *reader) bytes(count int) []byte {
	if count > len(r.rest) {
		r.rest, r.damaged = nil, true
		return nil
	}
	taken := r.rest[:count]
	r.rest = r.rest[count:]
	return taken
}
