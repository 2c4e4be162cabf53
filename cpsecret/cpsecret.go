// Package cpsecret holds the token that operators and VMs show. It compares tokens in constant time and
// never prints them.
package cpsecret

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
)

const bearer = "Bearer "

// Token is a shared secret; the empty token accepts nothing.
type Token struct {
	value string
}

// New returns the token with a value.
func New(value string) Token { return Token{value: strings.TrimSpace(value)} }

// String hides the value.
func (t Token) String() string { return "[hidden]" }

// GoString hides the value.
func (t Token) GoString() string { return t.String() }

// Set adds the token to the headers of a request.
func (t Token) Set(h http.Header) { h.Set("Authorization", bearer+t.value) }

// Accepts reports whether the headers of a request carry the token.
func (t Token) Accepts(h http.Header) bool {
	got, ok := strings.CutPrefix(h.Get("Authorization"), bearer)
	if !ok || t.value == "" {
		return false
	}
	want, have := sha256.Sum256([]byte(t.value)), sha256.Sum256([]byte(got))
	return subtle.ConstantTimeCompare(want[:], have[:]) == 1
}

// Require refuses requests that do not carry the token.
func Require(t Token, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !t.Accepts(r.Header) {
			http.Error(w, `{"Verdict":"not-run","Fault":"unauthorized","Reason":"token missing or wrong"}`, http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}
