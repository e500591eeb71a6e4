package rest

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"
)

// Credential is one holder of a bearer token, known by the token's hash.
type Credential struct {
	Name        string `json:"name"`
	TokenSHA256 string `json:"token_sha256"`
}

// actorKey is the context key of the holder's name.
type actorKey struct{}

// Actor is the name of the credential that a request came with.
func Actor(ctx context.Context) string {
	name, _ := ctx.Value(actorKey{}).(string)
	return name
}

// BearerToken reads a request's bearer token.
func BearerToken(request *http.Request) (string, bool) {
	scheme, token, ok := strings.Cut(request.Header.Get("Authorization"), " ")
	return token, ok && strings.EqualFold(scheme, "Bearer") && token != ""
}

// HashToken is the form in which a token is kept.
func HashToken(token string) string {
	hash := sha256.Sum256([]byte(token))
	return hex.EncodeToString(hash[:])
}

// Require lets only the holders of credentials through.
func Require(credentials []Credential, next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		token, ok := BearerToken(request)
		hash := []byte(HashToken(token))
		name, found := "", 0
		// Each is compared in constant time and none is left out.
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
