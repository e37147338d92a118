package fakedb

import (
	"sort"
	"strconv"
	"strings"

	"turmericpulley/io/fakedb/syntax"
)

// runDataLocked runs a statement that needs a slot; the caller holds the slot and the member's lock.
func (s *session) runDataLocked(st syntax.Statement, args arguments) (*result, error) {
	switch st := st.(type) {
	case syntax.Insert:
		return s.insert(st, args)
	case syntax.Update:
		return s.update(st, args)
	case syntax.Delete:
		return s.remove(st, args)
	case syntax.Select:
		return s.selectRows(st, args)
	case syntax.Constant:
		value, err := args.value(st.Value)
		return rowsResult(s.resultColumns(st), []row{{value}}), err
	case syntax.Call:
		return s.runFunction(st, args)
	case syntax.CreateTemp:
		return s.createTemp(st)
	default:
		return nil, fail(stateUnsupported, "the stand-in does not support this statement")
	}
}

func rowsResult(columns []column, rows []row) *result {
	return &result{columns: columns, rows: rows, tag: "SELECT " + strconv.Itoa(len(rows))}
}

// readRow returns the value of a row and whether the row exists, as the open transaction sees them.
func (s *session) readRow(table, key string) (string, bool) {
	if rows, ok := s.temporary[table]; ok {
		value, found := rows[key]
		return value, found
	}
	if c, ok := s.tx.writes[rowKey{table, key}]; ok {
		return c.Value, !c.Deleted
	}
	return s.m.tables.get(table, key)
}

// writeRow buffers a change in the open transaction; a change of a temporary table is applied at once.
func (s *session) writeRow(c change) {
	if _, ok := s.temporary[c.Table]; ok {
		s.temporary.apply([]change{c})
		return
	}
	s.tx.write(c)
}

// selectRows returns the rows that match the filter, sorted by key, or their number.
func (s *session) selectRows(st syntax.Select, args arguments) (*result, error) {
	keys, err := s.matchingKeys(st, args)
	if err != nil {
		return nil, err
	}
	if st.Count {
		return rowsResult(s.resultColumns(st), []row{{numberDatum(int64(len(keys)))}}), nil
	}
	rows := make([]row, len(keys))
	for i, key := range keys {
		value, _ := s.readRow(st.Table, key)
		rows[i] = projectRow(st.Columns, key, value)
	}
	return rowsResult(s.resultColumns(st), rows), nil
}

// matchingKeys returns the sorted keys of the rows that match the filter.
func (s *session) matchingKeys(st syntax.Select, args arguments) ([]string, error) {
	if st.Filter.Kind == syntax.AllRows {
		return s.keys(st.Table, ""), nil
	}
	pattern, err := args.text(st.Filter.Operand)
	if err != nil {
		return nil, err
	}
	if st.Filter.Kind == syntax.KeyLike && strings.HasSuffix(pattern, "%") {
		return s.keys(st.Table, strings.TrimSuffix(pattern, "%")), nil
	}
	if _, ok := s.readRow(st.Table, pattern); ok {
		return []string{pattern}, nil
	}
	return nil, nil
}

// keys returns the sorted keys of a table that begin with a prefix, as the open transaction sees them.
func (s *session) keys(table, prefix string) []string {
	rows, temporary := s.temporary[table]
	if !temporary {
		rows = s.m.tables[table]
	}
	keys := make([]string, 0, len(rows))
	for key := range rows {
		if _, written := s.tx.writes[rowKey{table, key}]; !written || temporary {
			keys = append(keys, key)
		}
	}
	if !temporary {
		for _, c := range s.tx.writes {
			if c.Table == table && !c.Deleted {
				keys = append(keys, c.Key)
			}
		}
	}
	matching := keys[:0]
	for _, key := range keys {
		if strings.HasPrefix(key, prefix) {
			matching = append(matching, key)
		}
	}
	sort.Strings(matching)
	return matching
}

// projectRow returns the named columns of a row; each name is key or value.
func projectRow(columns []string, key, value string) row {
	r := make(row, len(columns))
	for i, name := range columns {
		r[i] = textDatum(value)
		if name == "key" {
			r[i] = textDatum(key)
		}
	}
	return r
}

func (s *session) createTemp(st syntax.CreateTemp) (*result, error) {
	if s.m.role != Primary || s.readOnly() {
		return nil, errReadOnly("CREATE TABLE")
	}
	if _, ok := s.temporary[st.Table]; ok {
		return nil, fail(stateDuplicateTable, `relation "`+st.Table+`" already exists`)
	}
	s.temporary[st.Table] = map[string]string{}
	return &result{tag: "CREATE TABLE"}, nil
}
