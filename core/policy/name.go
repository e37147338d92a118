package policy

const nameRemedy = "expected 1 to 63 letters, digits, '-', '_' or '.', beginning with a letter or digit"

// ValidName reports whether a name is allowed in documents, keys of the store and start-up parameters.
func ValidName(name string) bool {
	if name == "" || len(name) > MaxNameLength || !isAlphanumeric(name[0]) {
		return false
	}
	for i := range len(name) {
		if !isAlphanumeric(name[i]) && name[i] != '-' && name[i] != '_' && name[i] != '.' {
			return false
		}
	}
	return true
}

func isAlphanumeric(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
}
