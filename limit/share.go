package limit

// Share is an instance's part of the limits that hold over all instances.
type Share struct {
	// Index is the instance's place among the live ones, from 0.
	Index int
	// Live is how many instances are live; 0 counts as 1.
	Live int
}

// rate returns the part of a rate; all parts add up to it.
func (s Share) rate(total float64) float64 {
	return total / float64(max(s.Live, 1))
}

// burst returns the part of a burst, at least one request.
func (s Share) burst(total int) int {
	return max(1, total/max(s.Live, 1))
}

// count returns the part of a count. All parts add up to it, so that some are
// 0 where there are more instances than the count.
func (s Share) count(total int) int {
	live := max(s.Live, 1)
	part := total / live
	if s.Index < total%live {
		part++
	}
	return part
}
