package fakedb

import (
	"bytes"
	"encoding/json"
	"os"

	"github.com/pkg/errors"

	"turmericpulley/core/types"
)

// journalMode holds the permission bits of a new state file.
const journalMode = 0o600

// durableState is the state besides the log. A change of it is written to the state file before it takes effect.
type durableState struct {
	Term       types.Term  `json:"term"`
	FencedTerm types.Term  `json:"fencedTerm"`
	Epoch      types.Epoch `json:"epoch"`
	// PreviousEpoch is the highest epoch before the current one.
	PreviousEpoch types.Epoch `json:"previousEpoch,omitempty"`
	Discarded     uint64      `json:"discarded"`
}

// record is one line of the state file; exactly one field is set.
type record struct {
	Durable  *durableState   `json:"promises,omitempty"`
	Entry    *entry          `json:"entry,omitempty"`
	Truncate *types.Position `json:"truncate,omitempty"`
}

// journal appends changes of the member's state to the state file; a nil journal writes nothing.
type journal struct {
	file *os.File
}

// savedState is the state that the records of a state file give; exists is false when the file was empty or not configured.
type savedState struct {
	exists  bool
	durable durableState
	log     replicatedLog
}

// openJournal reads the state file, creating it when it is missing, and opens it for appending.
func openJournal(path string) (*journal, savedState, error) {
	if path == "" {
		return nil, savedState{}, nil
	}
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_APPEND, journalMode)
	if err != nil {
		return nil, savedState{}, errors.Wrap(err, "opening the state file")
	}
	saved, err := readJournal(file, path)
	if err != nil {
		_ = file.Close()
		return nil, savedState{}, err
	}
	return &journal{file: file}, saved, nil
}

// readJournal replays the records of the file and truncates a last line that was not written completely.
func readJournal(file *os.File, path string) (savedState, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return savedState{}, errors.Wrap(err, "reading the state file")
	}
	complete := bytes.LastIndexByte(data, '\n') + 1
	if err := file.Truncate(int64(complete)); err != nil {
		return savedState{}, errors.Wrap(err, "truncating the state file")
	}
	var saved savedState
	for line := range bytes.Lines(data[:complete]) {
		var r record
		if err := json.Unmarshal(line, &r); err != nil {
			return savedState{}, errors.Wrap(err, "reading a line of the state file")
		}
		saved.replay(r)
	}
	return saved, nil
}

// replay applies one record of the state file.
func (s *savedState) replay(r record) {
	s.exists = true
	switch {
	case r.Durable != nil:
		s.durable = *r.Durable
	case r.Entry != nil:
		s.log.append(*r.Entry)
	case r.Truncate != nil:
		s.log.truncate(*r.Truncate)
	}
}

// write appends records in one call. When it fails, the caller must not let any of them take effect.
func (j *journal) write(records ...record) error {
	if j == nil || len(records) == 0 {
		return nil
	}
	var lines []byte
	for _, r := range records {
		line, err := json.Marshal(r)
		if err != nil {
			return errors.Wrap(err, "encoding a record of the state file")
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
