package fakedb

import (
	"maps"
	"strings"
)

const (
	customerSetting        = "pulley.customer"
	epochSetting           = "pulley.epoch"
	positionSetting        = "pulley.position"
	replicationSetting     = "replication"
	readOnlySetting        = "default_transaction_read_only"
	standInSettingPrefix   = "pulley_standin."
	receiveLagSetting      = standInSettingPrefix + "receive_lag"
	applyLagSetting        = standInSettingPrefix + "apply_lag"
	statementTimeSetting   = standInSettingPrefix + "statement_time"
	serverVersion          = "16.0"
	isolationLevelReported = "read committed"
)

// settingSet holds the settings of one connection.
type settingSet struct {
	defaults map[string]string
	current  map[string]string
	// beforeTransaction holds the settings before the first change in the transaction; nil when there was no change.
	beforeTransaction map[string]string
	// local holds the names of the settings that SET LOCAL changed in the transaction.
	local map[string]struct{}
}

func newSettingSet(startup map[string]string) settingSet {
	defaults := map[string]string{
		"server_version":              serverVersion,
		"server_encoding":             "UTF8",
		"client_encoding":             "UTF8",
		"standard_conforming_strings": "on",
		"datestyle":                   "ISO, MDY",
		"integer_datetimes":           "on",
		"timezone":                    "UTC",
		"application_name":            "",
		"search_path":                 `"$user", public`,
		"transaction_isolation":       isolationLevelReported,
		"statement_timeout":           "0",
		readOnlySetting:               "off",
		customerSetting:               "",
	}
	for name, value := range startup {
		defaults[strings.ToLower(name)] = value
	}
	return settingSet{defaults: defaults, current: maps.Clone(defaults)}
}

func (t *settingSet) get(name string) string { return t.current[name] }

func (t *settingSet) lookup(name string) (string, bool) {
	value, ok := t.current[name]
	return value, ok
}

// set changes a setting. A rollback undoes a change in a transaction; the end of the transaction undoes a local one. A local
// change outside a transaction has no effect.
func (t *settingSet) set(name, value string, inTransaction, local bool) {
	if inTransaction {
		t.saveBefore()
	}
	if local {
		if !inTransaction {
			return
		}
		t.local[name] = struct{}{}
	} else {
		delete(t.local, name)
	}
	t.current[name] = value
}

// saveBefore saves the settings before their first change in a transaction.
func (t *settingSet) saveBefore() {
	if t.beforeTransaction == nil {
		t.beforeTransaction = maps.Clone(t.current)
		t.local = map[string]struct{}{}
	}
}

// reset sets one setting to its default, or all of them when the name is empty.
func (t *settingSet) reset(name string, inTransaction bool) {
	if inTransaction {
		t.saveBefore()
	}
	if name == "" {
		t.current = maps.Clone(t.defaults)
		return
	}
	if value, ok := t.defaults[name]; ok {
		t.current[name] = value
		return
	}
	delete(t.current, name)
}

// commit undoes the local changes of a transaction and keeps the others.
func (t *settingSet) commit() {
	for name := range t.local {
		if value, ok := t.beforeTransaction[name]; ok {
			t.current[name] = value
		} else {
			delete(t.current, name)
		}
	}
	t.beforeTransaction, t.local = nil, nil
}

// rollback undoes all changes in a transaction.
func (t *settingSet) rollback() {
	if t.beforeTransaction != nil {
		t.current = t.beforeTransaction
	}
	t.beforeTransaction, t.local = nil, nil
}
