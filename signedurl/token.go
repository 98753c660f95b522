package signedurl

import "strings"

// requestToken is a token as it was sent in a request.
type requestToken struct {
	form  Form
	token string
}

// extractToken returns the token of a request and the target without it. It rejects a request with several tokens, in the
// query and the Cookie header together, since a server behind the gateway might use another one than the gateway verified.
func extractToken(target, cookie string) (bare string, f requestToken, err error) {
	path, query, hasQuery := strings.Cut(target, "?")
	var tokens []requestToken
	var rest []string
	if hasQuery { // an empty query counts as one, since the URI was signed with its question mark
		tokens, rest = queryTokens(query)
	}
	tokens = append(tokens, cookieTokens(cookie)...)
	switch {
	case len(tokens) == 0:
		return "", f, &Error{Reason: MissingToken}
	case len(tokens) > 1:
		return "", f, &Error{Reason: DuplicateToken}
	case tokens[0].token == "":
		return "", f, reject(MalformedToken, "the token is empty")
	}
	if len(rest) > 0 {
		path += "?" + strings.Join(rest, "&")
	}
	return path, tokens[0], nil
}

// queryTokens returns the tokens of a query and its other parameters, in their order.
func queryTokens(query string) (tokens []requestToken, rest []string) {
	for p := range strings.SplitSeq(query, "&") {
		name, value, _ := strings.Cut(p, "=")
		if form, ok := formOf(name); ok {
			tokens = append(tokens, requestToken{form, value})
		} else {
			rest = append(rest, p)
		}
	}
	return tokens, rest
}

// cookieTokens returns the tokens in a Cookie header.
func cookieTokens(cookie string) (tokens []requestToken) {
	for p := range strings.SplitSeq(cookie, ";") {
		name, value, _ := strings.Cut(strings.TrimSpace(p), "=")
		if form, ok := formOf(name); ok {
			tokens = append(tokens, requestToken{form, value})
		}
	}
	return tokens
}

// formOf returns the form of the token in a query parameter or cookie with the given name, or false if the name is not that
// of a token.
func formOf(name string) (Form, bool) {
	switch name {
	case URISigningPackage:
		return URISigning, true
	case EdgeAuthToken:
		return EdgeAuth, true
	}
	return "", false
}
