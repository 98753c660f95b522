package signedurl

import "strings"

// requestToken is the token of a request as it was sent.
type requestToken struct {
	form  Form
	token string
}

// extractToken takes the one token out of a target and a Cookie header. Guards against a second token: a server
// behind us might look at the other one.
func extractToken(target, cookie string) (bare string, f requestToken, err error) {
	path, query, hasQuery := strings.Cut(target, "?")
	var tokens []requestToken
	var rest []string
	if hasQuery { // an empty one counts: it was signed with the question mark
		tokens, rest = queryTokens(query)
	}
	tokens = append(tokens, cookieTokens(cookie)...)
	switch {
	case len(tokens) == 0:
		return "", f, &Error{Reason: MissingToken}
	case len(tokens) > 1:
		return "", f, &Error{Reason: DuplicateToken}
	case tokens[0].token == "":
		return "", f, reject(MalformedToken, "it is empty")
	}
	if len(rest) > 0 {
		path += "?" + strings.Join(rest, "&")
	}
	return path, tokens[0], nil
}

// queryTokens returns the tokens of a query, and its other parameters.
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

// cookieTokens returns the tokens of a Cookie header.
func cookieTokens(cookie string) (tokens []requestToken) {
	for p := range strings.SplitSeq(cookie, ";") {
		name, value, _ := strings.Cut(strings.TrimSpace(p), "=")
		if form, ok := formOf(name); ok {
			tokens = append(tokens, requestToken{form, value})
		}
	}
	return tokens
}

// formOf is the form of token that a query parameter or cookie of this name carries.
func formOf(name string) (Form, bool) {
	switch name {
	case URISigningPackage:
		return URISigning, true
	case EdgeAuthToken:
		return EdgeAuth, true
	}
	return "", false
}
