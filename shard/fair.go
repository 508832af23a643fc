package shard

import (
	"slices"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/admission"
	"lovagestand.example/lovagestand/fairshare"
)

// division is the division of the capacity of one service among teams. An empty service
// stands for all workers.
type division struct {
	capacity lovagestand.Resources
	// names holds the teams with demand, and index the position of each in teams and
	// accounts.
	names    []lovagestand.TeamName
	index    map[lovagestand.TeamName]int
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

// indexOf returns the position of a team and adds the team if it is missing.
func (d *division) indexOf(name lovagestand.TeamName) int {
	i, ok := d.index[name]
	if !ok {
		i = len(d.teams)
		d.index[name] = i
		d.names = append(d.names, name)
		d.teams = append(d.teams, fairshare.Team{})
	}
	return i
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
		service := w.entry.progress.Policy().Service
		d := p.divisions[service]
		if d == nil {
			d = newDivision(p, service)
			p.divisions[service] = d
		}
		w.division, w.team = d, d.indexOf(w.entry.team)
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
func newDivision(p *pass, service string) *division {
	d := p.spareDivisions[service]
	if d == nil {
		d = &division{index: map[lovagestand.TeamName]int{}}
	}
	d.reset()
	for i, w := range p.workers {
		if !p.dispatchWorkers[i].Open || service != "" && w.info.Service != service {
			continue
		}
		d.capacity = d.capacity.Add(w.info.Capacity)
		d.used = d.used.Add(w.info.Capacity.Sub(w.free))
		for _, u := range w.usageByTeam() {
			t := &d.teams[d.indexOf(u.team)]
			t.Used = t.Used.Add(u.used)
		}
	}
	return d
}

// reset removes everything from a division. Its memory is used again.
func (d *division) reset() {
	clear(d.index)
	*d = division{index: d.index, names: d.names[:0], teams: d.teams[:0], running: d.running[:0], all: d.all, backlogs: d.backlogs[:0]}
}

// teamUsage is what the runs of a team hold on a worker.
type teamUsage struct {
	team lovagestand.TeamName
	used lovagestand.Resources
}

// usageByTeam returns what the runs of each team hold on the worker. It is kept until a run
// is added or removed.
func (w *worker) usageByTeam() []teamUsage {
	if w.teamUsages != nil {
		return w.teamUsages
	}
	w.teamUsages = make([]teamUsage, 0, len(w.placements))
	for _, p := range w.placements {
		i := slices.IndexFunc(w.teamUsages, func(u teamUsage) bool { return u.team == p.entry.team })
		if i < 0 {
			i = len(w.teamUsages)
			w.teamUsages = append(w.teamUsages, teamUsage{team: p.entry.team})
		}
		w.teamUsages[i].used = w.teamUsages[i].used.Add(p.needs)
	}
	return w.teamUsages
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

// runningTier returns the tier that the running tasks of a team reach on the workers of a
// service.
func (p *pass) runningTier(service string, team lovagestand.TeamName) fairshare.Tier {
	d := p.divisions[service]
	if d == nil {
		return 0
	}
	i, ok := d.index[team]
	if !ok {
		return 0
	}
	return d.running[i]
}
