package dispatch

import "time"

// WaitReason names why tasks of a step do not start in a pass.
type WaitReason string

// The reasons that a pass gives. An owner gives further ones for steps that are not in the
// pass.
const (
	// WaitsForWorker means that no open worker has the service and the label, and is large
	// enough.
	WaitsForWorker WaitReason = "noWorker"
	// WaitsForRoom means that the workers on which the step may run are full.
	WaitsForRoom WaitReason = "noRoom"
	// WaitsForSpread means that the workers with room have as many tasks of the step as it
	// allows on one worker.
	WaitsForSpread WaitReason = "maxPerWorker"
	// WaitsForReservation means that the room that is free is reserved: for a gang, for
	// tasks near their data or for a task on trial.
	WaitsForReservation WaitReason = "reserved"
	// WaitsForLocality means that the tasks could start elsewhere and wait for room near
	// their data or within one rack.
	WaitsForLocality WaitReason = "locality"
	// WaitsForCap means that the cap of the team leaves no room.
	WaitsForCap WaitReason = "cap"
	// WaitsForAdvice means that it is not known yet on which workers the policy service
	// allows the step, or that a ticket is missing.
	WaitsForAdvice WaitReason = "advice"
	// WaitsForAdviceClient means that advice is not requested either, because all clients
	// have calls to make.
	WaitsForAdviceClient WaitReason = "adviceClient"
	// WaitsForHeadroom means that the job is too late to be of use, and may not use the
	// processors that are kept free for others.
	WaitsForHeadroom WaitReason = "headroom"
)

// Explanation is what a pass decides for a step, and why tasks of it wait.
type Explanation struct {
	// Workers contains the index of a worker for each task that starts.
	Workers []int
	// AdviceFor contains the indexes of the workers on which advice is requested.
	AdviceFor []int
	// Waiting is the number of tasks that do not start, and Reason why; empty if all do.
	Waiting int
	Reason  WaitReason
	// Until is when the wait for locality ends; zero for other reasons.
	Until time.Time
}

// Explain is [PlanExplained] without the decisions.
func Explain(l Load, steps []int) []Explanation {
	_, explanations := PlanExplained(l, steps)
	return explanations
}

// PlanExplained decides like [Plan] and also returns an explanation for each of the given
// steps. It changes the load as Plan does.
func PlanExplained(l Load, steps []int) ([]Decision, []Explanation) {
	if len(steps) == 0 {
		return Plan(l), nil
	}
	findings := make(map[int]finding, len(steps))
	for _, i := range steps {
		findings[i] = finding{}
	}
	l.beforeDecision = func(p *planner, index int) {
		if _, wanted := findings[index]; wanted {
			findings[index] = p.examine(&p.Steps[index])
		}
	}
	decisions := Plan(l)
	out := make([]Explanation, len(steps))
	for n, i := range steps {
		out[n] = findings[i].explain(&l.Steps[i], decisionFor(decisions, i))
	}
	return decisions, out
}

// decisionFor combines the decisions for a step.
func decisionFor(decisions []Decision, step int) Decision {
	var sum Decision
	for _, d := range decisions {
		if d.Step != step {
			continue
		}
		sum.Workers = append(sum.Workers, d.Workers...)
		sum.AdviceFor = append(sum.AdviceFor, d.AdviceFor...)
		if d.Wait.Tasks > 0 {
			sum.Wait = d.Wait
		}
	}
	return sum
}

// finding is what limits a step immediately before the pass decides on it.
type finding struct {
	awaitsRenewal, noHeadroom bool
	// held is the number of tasks that the quota of the team holds back.
	held int
	roomFound
	// adviceAdmitted and adviceCallLeft report whether the quota, and the clients, permit a
	// first request for advice.
	adviceAdmitted, adviceCallLeft bool
}

// examine determines what limits a step. It changes nothing.
func (p *planner) examine(s *Step) finding {
	f := finding{awaitsRenewal: s.awaitsRenewal(), noHeadroom: p.leavesNoHeadroom(s), adviceCallLeft: p.mayRequestAdvice(s)}
	_, f.held = p.withinQuota(s)
	f.adviceAdmitted = !s.Team.limited() || s.Team.fits(s.Team.advised.Add(s.leastNeeds()))
	f.roomFound = s.findRoom(p.Workers)
	return f
}

// explain returns the explanation for a step on which the pass has decided d.
func (f finding) explain(s *Step, d Decision) Explanation {
	e := Explanation{Workers: d.Workers, AdviceFor: d.AdviceFor, Waiting: s.Tasks - len(d.Workers)}
	if e.Waiting == 0 {
		return e
	}
	e.Reason, e.Until = f.reason(s, d, e.Waiting), d.Wait.Until
	return e
}

// reason returns why tasks of a step wait, in the order in which a pass checks.
func (f finding) reason(s *Step, d Decision, waiting int) WaitReason {
	needed := len(d.Workers) + 1
	if s.Gang {
		needed = s.Tasks
	}
	switch {
	case d.Wait.Tasks > 0:
		return WaitsForLocality
	case f.awaitsRenewal:
		return WaitsForAdvice
	case f.noHeadroom:
		return WaitsForHeadroom
	case !f.matching:
		return WaitsForWorker
	case f.held >= waiting:
		return WaitsForCap
	case s.NeedsTickets && s.Candidates == nil:
		return f.firstAdviceReason(s, d)
	case f.room < needed:
		return WaitsForRoom
	case f.spread < needed:
		return WaitsForSpread
	case s.NeedsTickets && f.ticketed < needed:
		return WaitsForAdvice
	}
	return WaitsForReservation
}

// firstAdviceReason returns why a step waits for which there is no advice yet.
func (f finding) firstAdviceReason(s *Step, d Decision) WaitReason {
	switch {
	case len(d.AdviceFor) > 0 || len(s.AdvicePending) > 0:
		return WaitsForAdvice
	case !f.adviceCallLeft:
		return WaitsForAdviceClient
	case !f.adviceAdmitted:
		return WaitsForCap
	}
	return WaitsForRoom
}
