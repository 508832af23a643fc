package quota

// RoundRequested reports whether an early round was requested, and clears the
// request.
func (k *Manager) RoundRequested() bool {
	select {
	case <-k.wake:
		return true
	default:
		return false
	}
}
