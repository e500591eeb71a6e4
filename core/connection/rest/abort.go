package rest

import (
	"net"
	"net/http"
)

// AbortAnswer ends an answer that stays incomplete: the caller sees its connection break.
// It doesn't return.
func AbortAnswer(writer http.ResponseWriter, request *http.Request) {
	if !request.ProtoAtLeast(1, 1) {
		resetConnection(writer)
	}
	panic(http.ErrAbortHandler)
}

// resetConnection closes the connection with a reset. A caller of HTTP/1.0 gets an answer
// without a length up to the connection's end, so that a plain close would complete it.
func resetConnection(writer http.ResponseWriter) {
	connection, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return // the server closes the connection
	}
	if encrypted, ok := connection.(interface{ NetConn() net.Conn }); ok {
		connection = encrypted.NetConn()
	}
	if socket, ok := connection.(interface{ SetLinger(seconds int) error }); ok {
		_ = socket.SetLinger(0)
	}
	_ = connection.Close()
}
