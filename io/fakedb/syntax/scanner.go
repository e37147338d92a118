package syntax

import "strings"

// scanner splits SQL text into tokens; position is the index of the next byte.
type scanner struct {
	text     string
	position int
}

func scan(text string) ([]token, error) {
	s := scanner{text: text}
	tokens := make([]token, 0, 16)
	for {
		t, err := s.next()
		if err != nil {
			return nil, err
		}
		tokens = append(tokens, t)
		if t.kind == endToken {
			return tokens, nil
		}
	}
}

func (s *scanner) next() (token, error) {
	if err := s.skipSpace(); err != nil {
		return token{}, err
	}
	if s.position >= len(s.text) {
		return token{}, nil
	}
	c := s.text[s.position]
	switch {
	case c == '\'':
		text, err := s.quoted('\'', false)
		return token{textToken, text}, err
	case strings.HasPrefix(s.text[s.position:], "E'"):
		s.position++
		text, err := s.quoted('\'', true)
		return token{textToken, text}, err
	case c == '"':
		text, err := s.quoted('"', false)
		return token{quotedToken, text}, err
	case c == '$':
		s.position++
		return token{parameterToken, s.takeWhile(isDigit)}, nil
	case isDigit(c):
		return token{numberToken, s.takeWhile(isNumberByte)}, nil
	case isWordByte(c):
		return token{wordToken, strings.ToLower(s.takeWhile(isWordByte))}, nil
	default:
		s.position++
		return token{symbolToken, string(c)}, nil
	}
}

// skipSpace skips white space and comments.
func (s *scanner) skipSpace() error {
	for s.position < len(s.text) {
		rest := s.text[s.position:]
		switch {
		case strings.ContainsRune(" \t\r\n", rune(rest[0])):
			s.position++
		case strings.HasPrefix(rest, "--"):
			s.position += lengthTo(rest, "\n")
		case strings.HasPrefix(rest, "/*"):
			end := strings.Index(rest, "*/")
			if end < 0 {
				return &Error{Near: "/*"}
			}
			s.position += end + len("*/")
		default:
			return nil
		}
	}
	return nil
}

// lengthTo returns the length of the text up to and including the mark, or of all of it when the mark is missing.
func lengthTo(text, mark string) int {
	if end := strings.Index(text, mark); end >= 0 {
		return end + len(mark)
	}
	return len(text)
}

// quoted returns the text between two quotes, in which a doubled quote stands for one.
func (s *scanner) quoted(quote byte, escapes bool) (string, error) {
	start := s.position
	var text strings.Builder
	for s.position++; s.position < len(s.text); s.position++ {
		if escapes && s.text[s.position] == '\\' && s.position+1 < len(s.text) {
			s.position++
			text.WriteByte(s.text[s.position])
			continue
		}
		if s.text[s.position] != quote {
			text.WriteByte(s.text[s.position])
			continue
		}
		if s.position+1 >= len(s.text) || s.text[s.position+1] != quote {
			s.position++
			return text.String(), nil
		}
		s.position++
		text.WriteByte(quote)
	}
	return "", &Error{Near: s.text[start:]}
}

// takeWhile consumes and returns the next bytes of a class.
func (s *scanner) takeWhile(class func(byte) bool) string {
	start := s.position
	for s.position < len(s.text) && class(s.text[s.position]) {
		s.position++
	}
	return s.text[start:s.position]
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isNumberByte(c byte) bool { return isDigit(c) || c == '.' }

func isWordByte(c byte) bool {
	return c == '_' || isDigit(c) || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= 0x80
}
