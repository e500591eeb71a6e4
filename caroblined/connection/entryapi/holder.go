package entryapi

import (
	"net"

	"carobline.dev/core/process/memory"
)

// holder is whom the bytes of a call are held for: its client account, or the address that it
// comes from, without the port, where it has none.
func (call *call) holder() memory.Holder {
	if call.clientAccount != "" {
		return memory.Holder{Kind: memory.Caller, Name: string(call.clientAccount)}
	}
	address := call.request.RemoteAddr
	if host, _, err := net.SplitHostPort(address); err == nil {
		address = host
	}
	return memory.Holder{Kind: memory.Caller, Name: address}
}
