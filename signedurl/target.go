package signedurl

import "strings"

// maxTargetBytes is the greatest length of a path and query.
const maxTargetBytes = 4096

// CheckTarget rejects a target that could be read in more than one way: dot segments, empty segments,
// backslashes, raw bytes outside printable ASCII, and every escape that is malformed, not needed, or hides a
// character with a meaning in paths.
func CheckTarget(target string) error {
	if len(target) > maxTargetBytes {
		return reject(MalformedURI, "%d bytes", len(target))
	}
	if !strings.HasPrefix(target, "/") {
		return reject(MalformedURI, "it is no path")
	}
	path, _, _ := strings.Cut(target, "?")
	if err := checkBytes(target, len(path)); err != nil {
		return err
	}
	return checkSegments(path)
}

// checkBytes checks a target byte by byte; its path has so many bytes.
func checkBytes(target string, pathLen int) error {
	for i := 0; i < len(target); i++ {
		switch c := target[i]; {
		case !allowedRaw(c):
			return reject(MalformedURI, "the byte %#x", c)
		case c == ';' && i < pathLen:
			return reject(MalformedURI, "a path parameter")
		case c == '%':
			if err := checkEscape(target[i:]); err != nil {
				return err
			}
			i += 2
		}
	}
	return nil
}

// allowedRaw reports whether a byte may stand in a target as it is.
func allowedRaw(c byte) bool {
	return c > ' ' && c < 0x7f && strings.IndexByte("\"<>\\^`{|}#", c) < 0
}

// checkEscape checks the escape with which s begins.
func checkEscape(s string) error {
	if len(s) < 3 || !upperHex(s[1]) || !upperHex(s[2]) {
		return reject(MalformedURI, "a malformed escape")
	}
	if c := hexValue(s[1])<<4 | hexValue(s[2]); !allowedEscaped(c) {
		return reject(MalformedURI, "the escape %s", s[:3])
	}
	return nil
}

// allowedEscaped reports whether an escape may stand for a byte: not for one that needs none, for a control character or
// a space, or for one with a meaning in paths.
func allowedEscaped(c byte) bool {
	return c > ' ' && c != 0x7f && !unreserved(c) && strings.IndexByte("/\\%", c) < 0
}

// checkSegments rejects dot segments and empty ones, but for an empty one at the end.
func checkSegments(path string) error {
	segments := strings.Split(path[1:], "/")
	for i, s := range segments {
		empty := s == "" && i < len(segments)-1
		if s == "." || s == ".." || empty {
			return reject(MalformedURI, "the segment %q", s)
		}
	}
	return nil
}

func upperHex(c byte) bool { return c >= '0' && c <= '9' || c >= 'A' && c <= 'F' }

// hexValue is the value of an upper-case hex digit.
func hexValue(c byte) byte {
	if c <= '9' {
		return c - '0'
	}
	return c - 'A' + 10
}

// unreserved reports whether a character is unreserved by RFC 3986.
func unreserved(c byte) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' ||
		strings.IndexByte("-._~", c) >= 0
}
