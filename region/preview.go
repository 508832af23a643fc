package region

import lovagestand "lovagestand.example/lovagestand"

// Preview draws and weighs as [Weighing.Choose] does, and
// takes nothing to be sent.
func (w *Weighing) Preview(t lovagestand.Task, bodyBytes int, candidates []Candidate) (Candidate, string, error) {
	fit, err := eligible(t, candidates)
	if err != nil {
		return Candidate{}, "", err
	}
	near, far := split(w.region, fit)
	w.mu.Lock()
	defer w.mu.Unlock()
	chosen, reason := w.weigh(t, bodyBytes, near, far)
	return chosen.Candidate, reason, nil
}
