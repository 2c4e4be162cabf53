package cpoperator

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/clementineport/clementineport"
)

const bearer = "Bearer "

// Authorize lets through only requests that carry the token; an empty token lets nothing through.
func Authorize(token string, next http.Handler) http.Handler {
	want := sha256.Sum256([]byte(token))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		given, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearer)
		have := sha256.Sum256([]byte(given))
		if subtle.ConstantTimeCompare(have[:], want[:]) != 1 || !ok || token == "" {
			w.Header().Set("WWW-Authenticate", "Bearer")
			WriteError(w, clementineport.Fail(clementineport.FaultUnauthorized, "the operators' token is missing or wrong"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// SetToken puts the token into a request.
func SetToken(r *http.Request, token string) { r.Header.Set("Authorization", bearer+token) }
