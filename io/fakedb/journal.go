package fakedb

import (
	"bytes"
	"encoding/json"
	"os"

	"github.com/pkg/errors"

	"turmericpulley/core/types"
)

// journalMode is the permission of a new state file.
const journalMode = 0o600

// durableState is the state besides the log that a member must remember before it acts on it.
type durableState struct {
	Term       types.Term  `json:"term"`
	FencedTerm types.Term  `json:"fencedTerm"`
	Epoch      types.Epoch `json:"epoch"`
	// PreviousEpoch is the highest epoch before the present one.
	PreviousEpoch types.Epoch `json:"previousEpoch,omitempty"`
	Discarded     uint64      `json:"discarded"`
}

// record is one line of the state file; exactly one field is set.
type record struct {
	Durable  *durableState   `json:"promises,omitempty"`
	Entry    *entry          `json:"entry,omitempty"`
	Truncate *types.Position `json:"truncate,omitempty"`
}

// journal appends the member's state to a file; a nil journal keeps nothing.
type journal struct {
	file *os.File
}

// savedState is what a state file holds.
type savedState struct {
	exists  bool
	durable durableState
	log     replicatedLog
}

// openJournal reads the state file and makes it ready for appending.
func openJournal(path string) (*journal, savedState, error) {
	if path == "" {
		return nil, savedState{}, nil
	}
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_APPEND, journalMode)
	if err != nil {
		return nil, savedState{}, errors.Wrap(err, "opening the state file")
	}
	found, err := readJournal(file, path)
	if err != nil {
		_ = file.Close()
		return nil, savedState{}, err
	}
	return &journal{file: file}, found, nil
}

// readJournal replays the file and cuts off a last line that was not written to its end.
func readJournal(file *os.File, path string) (savedState, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return savedState{}, errors.Wrap(err, "reading the state file")
	}
	whole := bytes.LastIndexByte(data, '\n') + 1
	if err := file.Truncate(int64(whole)); err != nil {
		return savedState{}, errors.Wrap(err, "cutting the state file")
	}
	var found savedState
	for line := range bytes.Lines(data[:whole]) {
		var r record
		if err := json.Unmarshal(line, &r); err != nil {
			return savedState{}, errors.Wrap(err, "reading a line of the state file")
		}
		found.replay(r)
	}
	return found, nil
}

func (m *savedState) replay(r record) {
	m.exists = true
	switch {
	case r.Durable != nil:
		m.durable = *r.Durable
	case r.Entry != nil:
		m.log.append(*r.Entry)
	case r.Truncate != nil:
		m.log.truncate(*r.Truncate)
	}
}

// write appends records in one call; nothing may take effect when it fails.
func (j *journal) write(records ...record) error {
	if j == nil || len(records) == 0 {
		return nil
	}
	var lines []byte
	for _, r := range records {
		line, err := json.Marshal(r)
		if err != nil {
			return errors.Wrap(err, "encoding a record")
		}
		lines = append(append(lines, line...), '\n')
	}
	if _, err := j.file.Write(lines); err != nil {
		return fail(stateInputOutput, "writing the state file: "+err.Error())
	}
	return nil
}

func (j *journal) close() error {
	if j == nil {
		return nil
	}
	return errors.Wrap(j.file.Close(), "closing the state file")
}
