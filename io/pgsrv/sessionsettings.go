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
	quotedPattern = regexp.MustCompile(`(?s)\b[eE]'(?:[^'\\]|\\.|'')*'|'(?:[^']|'')*'|"[^"]*"`)
	// commentPattern also matches what is quoted, in which there are no comments.
	commentPattern = regexp.MustCompile(quotedPattern.String() + `|--[^\n]*|/\*(?s:.*?)\*/`)
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
	text = withoutComments(text)
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

// withoutComments returns the text with a blank for each comment. Comments inside others are not recognised.
func withoutComments(text string) string {
	if !strings.Contains(text, "--") && !strings.Contains(text, "/*") {
		return text
	}
	return commentPattern.ReplaceAllStringFunc(text, func(match string) string {
		if strings.HasPrefix(match, "--") || strings.HasPrefix(match, "/*") {
			return " "
		}
		return match
	})
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
func (s *sessionSettings) exceedsLimit(text string) bool {
	name := settingName(text)
	return name != "" && len(s.settings) >= MaxSessionSettings && s.index(name) < 0
}

// recordStatement updates the settings after a target has run a statement outside a transaction block.
func (s *sessionSettings) recordStatement(text, tag string) {
	switch tag {
	case tagSet:
		s.set(settingName(text), text)
	case tagReset:
		s.unset(text)
	case tagDiscardAll:
		s.settings = nil
	}
}

func (s *sessionSettings) set(name, text string) {
	if name == "" {
		return
	}
	setting := sessionSetting{name: name, text: strings.Clone(text)}
	if i := s.index(name); i >= 0 {
		s.settings[i] = setting
		return
	}
	if len(s.settings) < MaxSessionSettings {
		s.settings = append(s.settings, setting)
	}
}

func (s *sessionSettings) unset(text string) {
	m := unsetPattern.FindStringSubmatch(withoutComments(text))
	if m == nil {
		return
	}
	name := normalName(m[1])
	if name == "all" {
		s.settings = nil
		return
	}
	if i := s.index(name); i >= 0 {
		s.settings = append(s.settings[:i], s.settings[i+1:]...)
	}
}

func (s *sessionSettings) index(name string) int {
	for i, setting := range s.settings {
		if setting.name == name {
			return i
		}
	}
	return -1
}

// statements returns the SET statements in order.
func (s *sessionSettings) statements() []string {
	texts := make([]string, 0, len(s.settings))
	for _, setting := range s.settings {
		texts = append(texts, setting.text)
	}
	return texts
}
