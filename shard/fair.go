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

// team returns the demand of a team.
func (d *division) team(name lovagestand.TeamName) *fairshare.Team {
	i, ok := d.index[name]
	if !ok {
		i = len(d.teams)
		d.index[name] = i
		d.names = append(d.names, name)
		d.teams = append(d.teams, fairshare.Team{})
	}
	return &d.teams[i]
}

// assignTiers sets the tiers of the waiting steps, which are sorted by score, and sorts
// them by tier. Without teams all steps are in the first tier and keep their order.
func (s *Shard) assignTiers(p *pass) {
	teams, ok := s.teams()
	if !ok || !teams.Enabled {
		return
	}
	divisions := map[string]*division{}
	for _, w := range p.waiting {
		j := w.entry.progress.Job()
		d := divisions[j.Policy.Service]
		if d == nil {
			d = newDivision(p, j.Policy.Service)
			divisions[j.Policy.Service] = d
		}
		t := d.team(w.entry.team)
		t.Waiting = t.Waiting.Add(j.Steps[w.ref.Step].Needs.Times(int64(len(w.indexes))))
	}
	for _, d := range divisions {
		d.divide(teams)
	}
	for i := range p.waiting {
		w := &p.waiting[i]
		j := w.entry.progress.Job()
		d, step := divisions[j.Policy.Service], j.Steps[w.ref.Step]
		w.tier = d.accounts[d.index[w.entry.team]].Tier(step.Needs, len(w.indexes), step.Gang)
	}
	p.divisions = divisions
	s.recordBacklogs(p, divisions)
	s.recordBeyond(p)
	p.sortByTier()
}

// newDivision returns the capacity of the open workers of a service and what each team
// has running there. Workers that are not open are left out of both, because what runs
// there takes nothing from other teams.
func newDivision(p *pass, service string) *division {
	d := &division{index: map[lovagestand.TeamName]int{}}
	for i, w := range p.workers {
		if !p.dispatchWorkers[i].Open || service != "" && w.info.Service != service {
			continue
		}
		d.capacity = d.capacity.Add(w.info.Capacity)
		d.used = d.used.Add(w.info.Capacity.Sub(w.free))
		for _, placed := range w.placements {
			t := d.team(placed.entry.team)
			t.Used = t.Used.Add(placed.needs)
		}
	}
	return d
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
	d.running = make([]fairshare.Tier, len(d.accounts))
	for i, a := range d.accounts {
		d.running[i] = a.RunningTier()
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
