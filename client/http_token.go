package client

import (
	"net/http"
	"time"
)

// renewalCookie carries a renewed URI-signing token.
const renewalCookie = "URISigningPackage"

// currentToken is the renewed token, while it is good; else it is empty.
func (h *HTTP) currentToken(now time.Time) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Before(h.renewedUntil) {
		return h.renewedToken
	}
	return ""
}

// storeRenewedToken keeps a token that came with an answer, for nine tenths of its time, so that it does not expire on its
// way.
func (h *HTTP) storeRenewedToken(cookies []*http.Cookie) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, k := range cookies {
		if k.Name == renewalCookie && k.MaxAge > 0 {
			h.renewedToken, h.renewedUntil = k.Value, time.Now().Add(time.Duration(k.MaxAge)*time.Second*9/10)
		}
	}
}

// dropRenewedToken forgets the token that the gateway refused: the next attempt is signed anew.
func (h *HTTP) dropRenewedToken() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.renewedToken, h.renewedUntil = "", time.Time{}
}
