package region

import lovagestand "lovagestand.example/lovagestand"

// Preview chooses like [CostAware.Choose], but does not count the task as sent.
func (w *CostAware) Preview(t lovagestand.Task, bodyBytes int, candidates []Candidate) (Candidate, string, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.chooseUnrecorded(t, bodyBytes, candidates)
}
