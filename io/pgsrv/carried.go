package pgsrv

import (
	"regexp"
	"strings"
)

// MaxSessionSettings is the maximum number of a session's settings that are repeated at the start of each transaction.
const MaxSessionSettings = 64

var (
	setPattern    = regexp.MustCompile(`(?is)^\s*set\s+(?:session\s+)?(time\s+zone|characteristics|authorization|[a-z_][\w.$]*|"[^"]+")`)
	unsetPattern  = regexp.MustCompile(`(?is)^\s*reset\s+(time\s+zone|session\s+authorization|[a-z_][\w.$]*|"[^"]+")\s*;?\s*$`)
	quotedPattern = regexp.MustCompile(`(?s)'(?:[^']|'')*'`)
)

// sessionSetting is a setting of a session with the SET statement that made it.
type sessionSetting struct {
	name string
	text string
}

// sessionSettings holds the SET statements of a session, in the order in which their settings were first set.
type sessionSettings struct {
	settings []sessionSetting
}

// settingName returns the name of the setting when the text is a single SET statement for the session, and an empty string
// otherwise.
func settingName(text string) string {
	if len(text) > maxCommandBytes {
		return ""
	}
	m := setPattern.FindStringSubmatch(text)
	if m == nil || hasSeveralStatements(text) {
		return ""
	}
	switch name := normalName(m[1]); name {
	case "local", "transaction", "constraints":
		return ""
	default:
		return name
	}
}

func hasSeveralStatements(text string) bool {
	text = quotedPattern.ReplaceAllString(text, "")
	return strings.Contains(strings.TrimRight(text, "; \t\r\n"), ";")
}

func normalName(name string) string {
	name = strings.ToLower(strings.Join(strings.Fields(strings.Trim(name, `"`)), " "))
	if name == "time zone" {
		return "timezone"
	}
	return name
}

// exceedsLimit reports whether the statement would add a setting above MaxSessionSettings.
func (c *sessionSettings) exceedsLimit(text string) bool {
	name := settingName(text)
	return name != "" && len(c.settings) >= MaxSessionSettings && c.index(name) < 0
}

// recordStatement updates the settings after a target has run a statement outside a transaction block.
func (c *sessionSettings) recordStatement(text, tag string) {
	switch tag {
	case tagSet:
		c.set(settingName(text), text)
	case tagReset:
		c.unset(text)
	case tagDiscardAll:
		c.settings = nil
	}
}

func (c *sessionSettings) set(name, text string) {
	if name == "" {
		return
	}
	setting := sessionSetting{name: name, text: strings.Clone(text)}
	if i := c.index(name); i >= 0 {
		c.settings[i] = setting
		return
	}
	if len(c.settings) < MaxSessionSettings {
		c.settings = append(c.settings, setting)
	}
}

func (c *sessionSettings) unset(text string) {
	m := unsetPattern.FindStringSubmatch(text)
	if m == nil {
		return
	}
	name := normalName(m[1])
	if name == "all" {
		c.settings = nil
		return
	}
	if i := c.index(name); i >= 0 {
		c.settings = append(c.settings[:i], c.settings[i+1:]...)
	}
}

func (c *sessionSettings) index(name string) int {
	for i, s := range c.settings {
		if s.name == name {
			return i
		}
	}
	return -1
}

// statements returns the SET statements in order.
func (c *sessionSettings) statements() []string {
	texts := make([]string, 0, len(c.settings))
	for _, s := range c.settings {
		texts = append(texts, s.text)
	}
	return texts
}
