package quota

// Woken reports whether a round was asked for, and takes the request back.
func (k *Keeper) Woken() bool {
	select {
	case <-k.wake:
		return true
	default:
		return false
	}
}
