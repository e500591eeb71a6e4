package entryapi

import "slices"

// framing is how an answer shows its end (RFC 9112, section 6.3).
type framing string

const (
	framingLength     framing = "length"
	framingChunked    framing = "chunked"
	framingConnection framing = "connection"
)

// framing returns the framing of the endpoint's answer, or an empty string when there
// was none.
func (exchange *exchange) framing() framing {
	response := exchange.response
	switch {
	case response == nil:
		return ""
	case slices.Contains(response.TransferEncoding, "chunked"):
		return framingChunked
	case response.ContentLength >= 0:
		return framingLength
	default:
		return framingConnection
	}
}
