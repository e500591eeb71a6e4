package rest

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"
)

// Credential is the name of one holder of a bearer token and the token's
// SHA-256 in hexadecimal.
type Credential struct {
	Name        string `json:"name"`
	TokenSHA256 string `json:"token_sha256"`
}

// actorKey is the context key of the credential's name.
type actorKey struct{}

// Actor returns the name of the credential that a request was authenticated
// with, or "" for a context that Require didn't set.
func Actor(ctx context.Context) string {
	name, _ := ctx.Value(actorKey{}).(string)
	return name
}

// BearerToken returns a request's bearer token, or false when it has none.
func BearerToken(request *http.Request) (string, bool) {
	scheme, token, ok := strings.Cut(request.Header.Get("Authorization"), " ")
	return token, ok && strings.EqualFold(scheme, "Bearer") && token != ""
}

// HashToken returns the SHA-256 of a token in hexadecimal, as credentials hold
// it.
func HashToken(token string) string {
	hash := sha256.Sum256([]byte(token))
	return hex.EncodeToString(hash[:])
}

// Require passes a request on to next only when its bearer token is one of the
// credentials, and answers others with status 401.
func Require(credentials []Credential, next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		token, ok := BearerToken(request)
		hash := []byte(HashToken(token))
		name, found := "", 0
		// All credentials are compared, each in constant time, so that the
		// duration doesn't depend on the token.
		for _, credential := range credentials {
			if subtle.ConstantTimeCompare(hash, []byte(credential.TokenSHA256)) == 1 {
				name, found = credential.Name, 1
			}
		}
		if !ok || found == 0 {
			writer.Header().Set("WWW-Authenticate", "Bearer")
			WriteError(writer, NotRun(http.StatusUnauthorized, "bad_token", "the bearer token is missing or opens nothing here"))
			return
		}
		ctx := context.WithValue(request.Context(), actorKey{}, name)
		next.ServeHTTP(writer, request.WithContext(ctx))
	})
}
