package region

import lovagestand "lovagestand.example/lovagestand"

// Preview draws and weighs as [CostAware.Choose] does, and
// takes nothing to be sent.
func (w *CostAware) Preview(t lovagestand.Task, bodyBytes int, candidates []Candidate) (Candidate, string, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.chooseUnrecorded(t, bodyBytes, candidates)
}
