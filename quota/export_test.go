package quota

// RoundRequested reports whether a round was asked for, and takes the request back.
func (k *Manager) RoundRequested() bool {
	select {
	case <-k.wake:
		return true
	default:
		return false
	}
}
