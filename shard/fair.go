package shard

import (
	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/admission"
	"lovagestand.example/lovagestand/fairshare"
)

// division is the division of the capacity of one service among teams. An empty service
// stands for all workers.
type division struct {
	capacity lovagestand.Resources
	// names holds the teams with demand. By number of a team, index holds 1 more than its
	// position in names, teams and accounts; 0 for a team without demand.
	names    []lovagestand.TeamName
	index    []int
	teams    []fairshare.Team
	accounts []*fairshare.Account
	// running holds the tier that the running tasks of each team reach.
	running []fairshare.Tier
	// used is what all runs use. all is the backlog of all teams, and backlogs that of
	// each.
	used     lovagestand.Resources
	all      admission.Backlog
	backlogs []admission.Backlog
}

// add returns the position of a team and adds the team if it is missing.
func (d *division) add(number int, name lovagestand.TeamName) int {
	for len(d.index) <= number {
		d.index = append(d.index, 0)
	}
	if d.index[number] == 0 {
		d.names = append(d.names, name)
		d.teams = append(d.teams, fairshare.Team{})
		d.index[number] = len(d.teams)
	}
	return d.index[number] - 1
}

// find returns the position of a team, and false for a team without demand.
func (d *division) find(number int) (int, bool) {
	if number >= len(d.index) || d.index[number] == 0 {
		return 0, false
	}
	return d.index[number] - 1, true
}

// teamNumber returns the number of the team of a job, which the job keeps. Numbers count from
// 1 and include that of the jobs without a team.
func (s *Shard) teamNumber(e *jobEntry) int {
	if e.teamNumber == 0 || e.numberedTeam != e.team {
		number, ok := s.teamNumbers[e.team]
		if !ok {
			number = len(s.teamNumbers) + 1
			s.teamNumbers[e.team] = number
		}
		e.teamNumber, e.numberedTeam = number, e.team
	}
	return e.teamNumber
}

// assignTiers sets the tiers of the waiting steps, which are sorted by score. Without teams
// all steps are in the first tier.
func (s *Shard) assignTiers(p *pass) {
	teams, ok := s.teams()
	if !ok || !teams.Enabled {
		return
	}
	p.divisions = map[string]*division{}
	for i := range p.waiting {
		w := &p.waiting[i]
		service := w.entry.service
		d := p.divisions[service]
		if d == nil {
			d = s.newDivision(p, service)
			p.divisions[service] = d
		}
		w.division, w.team = d, d.add(s.teamNumber(w.entry), w.entry.team)
		t := &d.teams[w.team]
		t.Waiting = t.Waiting.Add(w.needs.Times(int64(w.tasks)))
	}
	for _, d := range p.divisions {
		d.divide(teams)
	}
	for i := range p.waiting {
		w := &p.waiting[i]
		w.tier = w.division.accounts[w.team].Tier(w.needs, w.tasks, w.gang)
	}
}

// newDivision returns the capacity of the open workers of a service and what each team
// has running there. Workers that are not open are left out of both, because what runs
// there takes nothing from other teams.
func (s *Shard) newDivision(p *pass, service string) *division {
	d := p.spareDivisions[service]
	if d == nil {
		d = &division{}
	}
	d.reset()
	for i := range p.dispatchWorkers {
		w := &p.dispatchWorkers[i]
		if !w.Open || service != "" && w.Service != service {
			continue
		}
		d.capacity = d.capacity.Add(w.Capacity)
		d.used = d.used.Add(w.Capacity.Sub(w.Free))
		for _, r := range s.runsOn(p.workers[i]) {
			t := &d.teams[d.add(r.teamNumber, r.team)]
			t.Used = t.Used.Add(r.needs)
		}
	}
	return d
}

// reset removes everything from a division. Its memory is used again.
func (d *division) reset() {
	clear(d.index)
	*d = division{index: d.index, names: d.names[:0], teams: d.teams[:0], running: d.running[:0], all: d.all, backlogs: d.backlogs[:0]}
}

// divide opens an account for each team with its entitlement. The jobs of public routes
// have no team; together they count as a team of the mean weight.
func (d *division) divide(teams Teams) {
	for i, name := range d.names {
		policy := teams.Policy(name)
		d.teams[i].Weight, d.teams[i].Cap = policy.Weight, policy.Quota
		if name == "" {
			d.teams[i].Weight = teams.meanWeight()
		}
	}
	d.accounts = fairshare.NewAccounts(d.capacity, d.teams, fairshare.DefaultBounds)
	for _, a := range d.accounts {
		d.running = append(d.running, a.RunningTier())
	}
}

// meanWeight returns the mean weight of the teams, or 1 if there are none.
func (t Teams) meanWeight() float64 {
	sum := 0.0
	for _, p := range t.Policies {
		if p.Weight > 0 {
			sum += p.Weight
		} else {
			sum++
		}
	}
	if sum == 0 {
		return 1
	}
	return sum / float64(len(t.Policies))
}

// runningTier returns the tier that the running tasks of a team, given by its number, reach
// on the workers of a service.
func (p *pass) runningTier(service string, team int) fairshare.Tier {
	d := p.divisions[service]
	if d == nil {
		return 0
	}
	i, ok := d.find(team)
	if !ok {
		return 0
	}
	return d.running[i]
}
