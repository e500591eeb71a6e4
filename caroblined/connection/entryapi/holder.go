package entryapi

import "carobline.dev/core/process/memory"

// holder is whom the bytes of a call are held for: its client account, or the address that it
// comes from, without the port, where it has none.
func (call *call) holder() memory.Holder {
	if call.clientAccount != "" {
		return memory.Holder{Kind: memory.Caller, Name: string(call.clientAccount)}
	}
	return memory.HolderAt(memory.Caller, call.request.RemoteAddr)
}
