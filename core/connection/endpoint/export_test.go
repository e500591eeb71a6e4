package endpoint

// Kept returns the number of unused connections that a transport keeps.
func Kept(transport *Transport) int {
	transport.pool.mutex.Lock()
	defer transport.pool.mutex.Unlock()
	kept := 0
	for _, idle := range transport.pool.idleByAddress {
		kept += len(idle)
	}
	return kept
}
