package client

import (
	"net/http"
	"time"
)

// renewalCookie is the name of the cookie that carries a renewed URI-signing token.
const renewalCookie = "URISigningPackage"

// currentToken returns the renewed token, or "" if there is none or it is no longer to be used.
func (h *HTTP) currentToken(now time.Time) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Before(h.renewedUntil) {
		return h.renewedToken
	}
	return ""
}

// storeRenewedToken stores the renewed token among the cookies of an answer, if there is one. The token is used for nine
// tenths of its lifetime, so that it does not expire on the way to the gateway.
func (h *HTTP) storeRenewedToken(cookies []*http.Cookie) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, k := range cookies {
		if k.Name == renewalCookie && k.MaxAge > 0 {
			h.renewedToken, h.renewedUntil = k.Value, time.Now().Add(time.Duration(k.MaxAge)*time.Second*9/10)
		}
	}
}

// dropRenewedToken removes the stored token after the gateway rejected a token. The next attempt is signed by HTTP.Sign.
func (h *HTTP) dropRenewedToken() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.renewedToken, h.renewedUntil = "", time.Time{}
}
