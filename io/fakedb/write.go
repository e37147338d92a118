package fakedb

import (
	"strconv"

	"turmericpulley/io/fakedb/syntax"
)

// readOnly reports whether the open transaction must not write.
func (s *session) readOnly() bool {
	switch s.tx.access {
	case syntax.ReadOnly:
		return true
	case syntax.ReadWrite:
		return false
	default:
		return s.settings.get(readOnlySetting) == "on"
	}
}

// claimRow makes a row writable: the member takes writes, the transaction may write and the row is locked.
func (s *session) claimRow(command, table, key string) error {
	if _, ok := s.temporary[table]; ok {
		return nil
	}
	if s.m.role != Primary || s.readOnly() {
		return errReadOnly(command)
	}
	if err := s.lockRow(rowKey{table, key}); err != nil {
		return err
	}
	if s.m.role != Primary {
		return errReadOnly(command)
	}
	return nil
}

// releaseUnwritten gives up the lock of a row that turned out not to exist.
func (s *session) releaseUnwritten(table, key string) {
	name := rowKey{table, key}
	if _, written := s.tx.rows[name]; !written {
		s.m.unlockRow(s.tx, name)
	}
}

func (s *session) insert(st syntax.Insert, args arguments) (*result, error) {
	key, err := args.text(st.Key)
	if err != nil {
		return nil, err
	}
	value, err := args.text(st.Value)
	if err != nil {
		return nil, err
	}
	if err = s.claimRow("INSERT", st.Table, key); err != nil {
		return nil, err
	}
	if _, exists := s.value(st.Table, key); exists && !st.Upsert {
		return nil, fail(stateUniqueViolation,
			`duplicate key value violates unique constraint "`+st.Table+`_pkey"`)
	}
	s.store(change{Table: st.Table, Key: key, Value: value})
	return written("INSERT 0 ", st.Returning, key, value), nil
}

func (s *session) update(st syntax.Update, args arguments) (*result, error) {
	key, err := args.text(st.Key)
	if err != nil {
		return nil, err
	}
	operand, err := args.text(st.Value)
	if err != nil {
		return nil, err
	}
	if err = s.claimRow("UPDATE", st.Table, key); err != nil {
		return nil, err
	}
	present, exists := s.value(st.Table, key)
	if !exists {
		s.releaseUnwritten(st.Table, key)
		return untouched("UPDATE ", st.Returning), nil
	}
	value := operand
	if st.Add {
		if value, err = addIntegers(present, operand); err != nil {
			return nil, err
		}
	}
	s.store(change{Table: st.Table, Key: key, Value: value})
	return written("UPDATE ", st.Returning, key, value), nil
}

func (s *session) remove(st syntax.Delete, args arguments) (*result, error) {
	key, err := args.text(st.Key)
	if err != nil {
		return nil, err
	}
	if err = s.claimRow("DELETE", st.Table, key); err != nil {
		return nil, err
	}
	value, exists := s.value(st.Table, key)
	if !exists {
		s.releaseUnwritten(st.Table, key)
		return untouched("DELETE ", st.Returning), nil
	}
	s.store(change{Table: st.Table, Key: key, Deleted: true})
	return written("DELETE ", st.Returning, key, value), nil
}

func written(tag string, returning []string, key, value string) *result {
	r := &result{tag: tag + "1", columns: namedColumns(returning)}
	if r.columns != nil {
		r.rows = []row{pick(returning, key, value)}
	}
	return r
}

func untouched(tag string, returning []string) *result {
	return &result{tag: tag + "0", columns: namedColumns(returning)}
}

func addIntegers(a, b string) (string, error) {
	x, err := parseInteger(a)
	if err != nil {
		return "", err
	}
	y, err := parseInteger(b)
	if err != nil {
		return "", err
	}
	return strconv.FormatInt(x+y, 10), nil
}
