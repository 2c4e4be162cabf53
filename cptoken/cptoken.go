// Package cptoken implements the bearer token with which operators and VMs authenticate. Tokens are compared in
// constant time and never printed.
package cptoken

import (
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpjson"
)

const bearer = "Bearer "

// Token is a shared secret. The empty token accepts no request.
type Token struct {
	value string
}

// New returns a token with the given value, without surrounding white space.
func New(value string) Token { return Token{value: strings.TrimSpace(value)} }

// String implements fmt.Stringer and hides the value.
func (t Token) String() string { return "[hidden]" }

// Format implements fmt.Formatter and hides the value for every verb.
func (t Token) Format(f fmt.State, _ rune) { _, _ = io.WriteString(f, t.String()) }

// UnmarshalText implements encoding.TextUnmarshaler.
func (t *Token) UnmarshalText(text []byte) error {
	*t = New(string(text))
	return nil
}

// Len returns the length of the value in bytes.
func (t Token) Len() int { return len(t.value) }

// Set sets the Authorization header of a request to the token.
func (t Token) Set(h http.Header) { h.Set("Authorization", bearer+t.value) }

// Accepts reports whether the headers of a request contain the token.
func (t Token) Accepts(h http.Header) bool {
	got, ok := strings.CutPrefix(h.Get("Authorization"), bearer)
	if !ok || t.value == "" {
		return false
	}
	want, have := sha256.Sum256([]byte(t.value)), sha256.Sum256([]byte(got))
	return subtle.ConstantTimeCompare(want[:], have[:]) == 1
}

// Require returns a handler that refuses requests without the token and passes others to next.
func Require(t Token, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !t.Accepts(r.Header) {
			cpjson.Write(w, http.StatusUnauthorized, cpjson.NewRefusal(clementineport.FaultUnauthorized, "token missing or wrong"))
			return
		}
		next.ServeHTTP(w, r)
	})
}
