package crashes

import "slices"

// Size returns the numbers of crashes, proven or not, and of parts that are kept.
func (crashes *Crashes) Size() (kept, parts int) {
	all := slices.Concat(crashes.crashes, crashes.unproven)
	for _, crash := range all {
		for _, call := range crash.calls {
			parts += len(call.Parts)
		}
	}
	return len(all), parts
}
