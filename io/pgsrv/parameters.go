package pgsrv

import (
	"regexp"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

const (
	parameterUser        = "user"
	parameterDatabase    = "database"
	parameterApplication = "application_name"
	parameterEncoding    = "client_encoding"
	parameterOptions     = "options"
	parameterReplication = "replication"
	extensionPrefix      = "_pq_."
)

var settingNamePattern = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_$]*(\.[A-Za-z_][A-Za-z0-9_$]*)*$`)

// parameters holds the parameters of a start-up message.
type parameters struct {
	user           string
	database       string
	application    string
	proxySettings  map[string]string
	targetSettings []string
}

// parseParameters parses the parameters of a start-up message, including those in its options.
func parseParameters(given map[string]string) (parameters, error) {
	p := parameters{user: given[parameterUser], database: given[parameterDatabase], application: given[parameterApplication]}
	if p.user == "" {
		return p, errors.New("the start-up message has no user; set the user to the customer")
	}
	if p.database == "" {
		p.database = p.user
	}
	if len(p.application) > MaxSessionNameBytes {
		return p, errors.Errorf("application_name is longer than %d bytes", MaxSessionNameBytes)
	}
	all, err := parseOptions(given[parameterOptions])
	if err != nil {
		return p, err
	}
	for name, value := range given {
		all[name] = value
	}
	return p, p.classify(all)
}

// classify separates settings of the proxy from settings of the target, in the order of their names.
func (p *parameters) classify(all map[string]string) error {
	names := make([]string, 0, len(all))
	for name := range all {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if err := p.addParameter(name, all[name]); err != nil {
			return err
		}
	}
	if len(p.targetSettings) > MaxSessionSettings {
		return errors.Errorf("the start-up message has more than %d settings", MaxSessionSettings)
	}
	return nil
}

func (p *parameters) addParameter(name, value string) error {
	lower := strings.ToLower(name)
	switch {
	case strings.HasPrefix(lower, settingPrefix):
		if p.proxySettings == nil {
			p.proxySettings = make(map[string]string)
		}
		p.proxySettings[strings.TrimPrefix(lower, settingPrefix)] = value
		return nil
	case strings.HasPrefix(lower, extensionPrefix):
		return nil
	}
	switch lower {
	case parameterUser, parameterDatabase, parameterApplication, parameterOptions:
		return nil
	case parameterReplication:
		if value == "" || value == "off" || value == "false" || value == "0" {
			return nil
		}
		return errors.New("replication connections are not supported; connect to the member directly")
	case parameterEncoding:
		return checkEncoding(value)
	}
	text, err := setStatement(name, value)
	p.targetSettings = append(p.targetSettings, text)
	return err
}

func checkEncoding(value string) error {
	switch strings.ToLower(strings.Trim(value, `'" `)) {
	case "utf8", "utf-8", "unicode", "":
		return nil
	default:
		return errors.Errorf("client_encoding %q is not supported; use UTF8", value)
	}
}

// setStatement returns the SET statement for a setting of the target.
func setStatement(name, value string) (string, error) {
	if !settingNamePattern.MatchString(name) {
		return "", errors.Errorf("setting name %q is invalid; use letters, digits, dots and underscores", name)
	}
	return "SET " + name + " = " + quoteSettingValue(strings.ToLower(name), value), nil
}

// quoteSettingValue quotes a value. If the setting is a list of names, each name is quoted by itself.
func quoteSettingValue(name, value string) string {
	if name != "search_path" && name != "temp_tablespaces" {
		return quote(value)
	}
	items := strings.Split(value, ",")
	for i, item := range items {
		items[i] = quote(strings.Trim(strings.TrimSpace(item), `"`))
	}
	return strings.Join(items, ", ")
}

// quote returns a string literal that has the same meaning with standard_conforming_strings on or off.
func quote(value string) string {
	quoted := "'" + strings.ReplaceAll(value, "'", "''") + "'"
	if !strings.Contains(value, `\`) {
		return quoted
	}
	return "E" + strings.ReplaceAll(quoted, `\`, `\\`)
}
