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

// promises is the state besides the log that a member must remember before it acts on it.
type promises struct {
	Term       types.Term  `json:"term"`
	FencedTerm types.Term  `json:"fencedTerm"`
	Epoch      types.Epoch `json:"epoch"`
	// PreviousEpoch is the highest epoch before the present one.
	PreviousEpoch types.Epoch `json:"previousEpoch,omitempty"`
	Discarded     uint64      `json:"discarded"`
}

// record is one line of the state file; exactly one field is set.
type record struct {
	Promises *promises       `json:"promises,omitempty"`
	Entry    *entry          `json:"entry,omitempty"`
	Truncate *types.Position `json:"truncate,omitempty"`
}

// journal appends the member's state to a file; a nil journal keeps nothing.
type journal struct {
	file *os.File
}

// memory is what a state file holds.
type memory struct {
	known    bool
	promises promises
	log      logbook
}

// openJournal reads the state file and makes it ready for appending.
func openJournal(path string) (*journal, memory, error) {
	if path == "" {
		return nil, memory{}, nil
	}
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_APPEND, journalMode)
	if err != nil {
		return nil, memory{}, errors.Wrap(err, "opening the state file")
	}
	found, err := recall(file, path)
	if err != nil {
		_ = file.Close()
		return nil, memory{}, err
	}
	return &journal{file: file}, found, nil
}

// recall replays the file and cuts off a last line that was not written to its end.
func recall(file *os.File, path string) (memory, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return memory{}, errors.Wrap(err, "reading the state file")
	}
	whole := bytes.LastIndexByte(data, '\n') + 1
	if err := file.Truncate(int64(whole)); err != nil {
		return memory{}, errors.Wrap(err, "cutting the state file")
	}
	var found memory
	for line := range bytes.Lines(data[:whole]) {
		var r record
		if err := json.Unmarshal(line, &r); err != nil {
			return memory{}, errors.Wrap(err, "reading a line of the state file")
		}
		found.add(r)
	}
	return found, nil
}

func (m *memory) add(r record) {
	m.known = true
	switch {
	case r.Promises != nil:
		m.promises = *r.Promises
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
