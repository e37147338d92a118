package store

import (
	"net/url"
	"strings"
)

// keyPath returns the URL path of a key, with each segment escaped.
func keyPath(key string) string {
	segments := strings.Split(key, "/")
	for i, segment := range segments {
		segments[i] = url.PathEscape(segment)
	}
	return "/v1/kv/" + strings.Join(segments, "/")
}
