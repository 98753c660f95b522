package signedurl

import "strings"

// maxTargetBytes is the maximum length of a target.
const maxTargetBytes = 4096

// CheckTarget returns an [*Error] with the reason [MalformedURI] if a target (path and query) is longer than 4096 bytes or
// could be interpreted in different ways by different servers. Such targets contain dot segments or empty segments (except
// an empty last one), path parameters (;), bytes that must be escaped, or percent escapes that are malformed, in lower
// case, unnecessary, or stand for a control character, a space, / \ or %.
func CheckTarget(target string) error {
	if len(target) > maxTargetBytes {
		return reject(MalformedURI, "target has %d bytes, want at most 4096", len(target))
	}
	if !strings.HasPrefix(target, "/") {
		return reject(MalformedURI, "target does not begin with /")
	}
	path, _, _ := strings.Cut(target, "?")
	if err := checkBytes(target, len(path)); err != nil {
		return err
	}
	return checkSegments(path)
}

// checkBytes checks the bytes and escapes of a target whose path has pathLen bytes.
func checkBytes(target string, pathLen int) error {
	for i := 0; i < len(target); i++ {
		switch c := target[i]; {
		case !allowedRaw(c):
			return reject(MalformedURI, "byte %#x is not allowed without an escape", c)
		case c == ';' && i < pathLen:
			return reject(MalformedURI, "path parameters (;) are not allowed")
		case c == '%':
			if err := checkEscape(target[i:]); err != nil {
				return err
			}
			i += 2
		}
	}
	return nil
}

// allowedRaw reports whether a byte may occur in a target without an escape.
func allowedRaw(c byte) bool {
	return c > ' ' && c < 0x7f && strings.IndexByte("\"<>\\^`{|}#", c) < 0
}

// checkEscape checks the percent escape at the beginning of s.
func checkEscape(s string) error {
	if len(s) < 3 || !isUpperHex(s[1]) || !isUpperHex(s[2]) {
		return reject(MalformedURI, "percent escape is malformed, want two upper-case hex digits")
	}
	if c := hexValue(s[1])<<4 | hexValue(s[2]); !allowedEscaped(c) {
		return reject(MalformedURI, "escape %s is not allowed", s[:3])
	}
	return nil
}

// allowedEscaped reports whether a byte may be written as a percent escape. Bytes that need no escape, control characters,
// the space, and the characters / \ and % may not.
func allowedEscaped(c byte) bool {
	return c > ' ' && c != 0x7f && !isUnreserved(c) && strings.IndexByte("/\\%", c) < 0
}

// checkSegments rejects a path with dot segments or empty segments, except an empty last one.
func checkSegments(path string) error {
	segments := strings.Split(path[1:], "/")
	for i, s := range segments {
		empty := s == "" && i < len(segments)-1
		if s == "." || s == ".." || empty {
			return reject(MalformedURI, "path segment %q is not allowed", s)
		}
	}
	return nil
}

func isUpperHex(c byte) bool { return c >= '0' && c <= '9' || c >= 'A' && c <= 'F' }

// hexValue returns the value of an upper-case hex digit.
func hexValue(c byte) byte {
	if c <= '9' {
		return c - '0'
	}
	return c - 'A' + 10
}

// isUnreserved reports whether a character is unreserved in RFC 3986, so that it needs no escape.
func isUnreserved(c byte) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' ||
		strings.IndexByte("-._~", c) >= 0
}
