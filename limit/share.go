package limit

// Share is one instance's part of the limits that apply to the sum over all
// instances.
type Share struct {
	// Index is the position of the instance among the live ones, from 0.
	Index int
	// LiveInstances is the number of live instances; 0 counts as 1.
	LiveInstances int
}

// rate returns this instance's part of a rate. The parts of all instances add
// up to total.
func (s Share) rate(total float64) float64 {
	return total / float64(max(s.LiveInstances, 1))
}

// burst returns this instance's part of a burst, at least one request.
func (s Share) burst(total int) int {
	return max(1, total/max(s.LiveInstances, 1))
}

// count returns this instance's part of a count. The parts of all instances add
// up to total, so some are 0 if there are more instances than total.
func (s Share) count(total int) int {
	live := max(s.LiveInstances, 1)
	part := total / live
	if s.Index < total%live {
		part++
	}
	return part
}
