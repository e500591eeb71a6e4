package crashes

// Size returns the numbers of crashes and of parts that are kept.
func (crashes *Crashes) Size() (kept, parts int) {
	for _, crash := range crashes.crashes {
		for _, call := range crash.calls {
			parts += len(call.Parts)
		}
	}
	return len(crashes.crashes), parts
}
