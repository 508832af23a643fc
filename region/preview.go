package region

import lovagestand "lovagestand.example/lovagestand"

// Preview chooses like [CostAware.Choose], but does not count the task as sent.
func (c *CostAware) Preview(t lovagestand.Task, bodyBytes int, candidates []Candidate) (Candidate, string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.chooseUnrecorded(t, bodyBytes, candidates)
}
