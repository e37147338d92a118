package pgsrv

import (
	"regexp"
	"strings"
)

// maxCommandBytes is the maximum length of a statement that the proxy examines for commands and for SET.
const maxCommandBytes = 1 << 10

var (
	assignPattern   = regexp.MustCompile(`(?is)^\s*set\s+(session\s+|local\s+)?pulley\.(\w+)\s*(?:=|\sto\s)\s*(?:'((?:[^']|'')*)'|([\w.+-]+))\s*;?\s*$`)
	resetPattern    = regexp.MustCompile(`(?is)^\s*reset\s+pulley\.(\w+)\s*;?\s*$`)
	showPattern     = regexp.MustCompile(`(?is)^\s*show\s+pulley\.(\w+)\s*;?\s*$`)
	pulleyPattern   = regexp.MustCompile(`(?is)^\s*(?:set|reset|show)\s+(?:session\s+|local\s+)?pulley\.`)
	endBlockPattern = regexp.MustCompile(`(?is)^\s*(?:rollback|abort|commit|end)(?:\s+(?:work|transaction))?\s*;?\s*$`)
)

// recogniseCommand returns the command for a statement on a pulley setting, and nil for any other statement.
func recogniseCommand(text string) command {
	if len(text) > maxCommandBytes || !strings.Contains(strings.ToLower(text), settingPrefix) {
		return nil
	}
	if m := assignPattern.FindStringSubmatch(text); m != nil {
		return recogniseAssign(m[1], strings.ToLower(m[2]), strings.ReplaceAll(m[3], "''", "'"), m[4])
	}
	if m := resetPattern.FindStringSubmatch(text); m != nil {
		return resetCommand{name: strings.ToLower(m[1])}
	}
	if m := showPattern.FindStringSubmatch(text); m != nil {
		return showCommand{name: strings.ToLower(m[1])}
	}
	if pulleyPattern.MatchString(text) {
		return unsupportedCommand{remedy: "write SET pulley.NAME = 'value' as a statement by itself"}
	}
	return nil
}

func recogniseAssign(scope, name, quoted, bare string) command {
	if strings.EqualFold(strings.TrimSpace(scope), "local") {
		return unsupportedCommand{remedy: "SET LOCAL does not apply to pulley settings; use SET"}
	}
	if strings.EqualFold(bare, "default") {
		return resetCommand{name: name}
	}
	return assignCommand{name: name, value: quoted + bare}
}

// endsBlock reports whether the statement is a ROLLBACK, ABORT, COMMIT or END, which ends a failed transaction block.
func endsBlock(text string) bool {
	return len(text) <= maxCommandBytes && endBlockPattern.MatchString(text)
}
