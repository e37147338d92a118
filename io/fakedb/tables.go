package fakedb

// tables holds the values of all rows, by table and key.
type tables map[string]map[string]string

func (t tables) get(table, key string) (string, bool) {
	value, ok := t[table][key]
	return value, ok
}

func (t tables) apply(changes []change) {
	for _, c := range changes {
		if c.Deleted {
			delete(t[c.Table], c.Key)
			continue
		}
		rows := t[c.Table]
		if rows == nil {
			rows = map[string]string{}
			t[c.Table] = rows
		}
		rows[c.Key] = c.Value
	}
}

// rebuildTables returns the rows that result from applying all entries of a log.
func rebuildTables(entries []entry) tables {
	t := tables{}
	for i := range entries {
		t.apply(entries[i].Changes)
	}
	return t
}
