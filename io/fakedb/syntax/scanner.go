package syntax

import "strings"

// scanner cuts SQL text into tokens.
type scanner struct {
	text string
	at   int
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
	if err := s.skipBlank(); err != nil {
		return token{}, err
	}
	if s.at >= len(s.text) {
		return token{}, nil
	}
	c := s.text[s.at]
	switch {
	case c == '\'':
		text, err := s.quoted('\'')
		return token{textToken, text}, err
	case c == '"':
		text, err := s.quoted('"')
		return token{quotedToken, text}, err
	case c == '$':
		s.at++
		return token{parameterToken, s.run(isDigit)}, nil
	case isDigit(c):
		return token{numberToken, s.run(isNumber)}, nil
	case isWord(c):
		return token{wordToken, strings.ToLower(s.run(isWord))}, nil
	default:
		s.at++
		return token{symbolToken, string(c)}, nil
	}
}

// skipBlank passes over white space and comments.
func (s *scanner) skipBlank() error {
	for s.at < len(s.text) {
		rest := s.text[s.at:]
		switch {
		case strings.ContainsRune(" \t\r\n", rune(rest[0])):
			s.at++
		case strings.HasPrefix(rest, "--"):
			s.at += lengthTo(rest, "\n")
		case strings.HasPrefix(rest, "/*"):
			end := strings.Index(rest, "*/")
			if end < 0 {
				return &Failure{Near: "/*"}
			}
			s.at += end + len("*/")
		default:
			return nil
		}
	}
	return nil
}

func lengthTo(text, mark string) int {
	if end := strings.Index(text, mark); end >= 0 {
		return end + len(mark)
	}
	return len(text)
}

// quoted reads text between two quotes, in which a doubled quote stands for one.
func (s *scanner) quoted(quote byte) (string, error) {
	start := s.at
	var text strings.Builder
	for s.at++; s.at < len(s.text); s.at++ {
		if s.text[s.at] != quote {
			text.WriteByte(s.text[s.at])
			continue
		}
		if s.at+1 >= len(s.text) || s.text[s.at+1] != quote {
			s.at++
			return text.String(), nil
		}
		s.at++
		text.WriteByte(quote)
	}
	return "", &Failure{Near: s.text[start:]}
}

// run reads characters of one class.
func (s *scanner) run(class func(byte) bool) string {
	start := s.at
	for s.at < len(s.text) && class(s.text[s.at]) {
		s.at++
	}
	return s.text[start:s.at]
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isNumber(c byte) bool { return isDigit(c) || c == '.' }

func isWord(c byte) bool {
	return c == '_' || isDigit(c) || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= 0x80
}
