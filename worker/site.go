package worker

import "lovagestand.example/lovagestand"

// Site is the location of a worker: its region, failure domain and rack.
type Site struct {
	Region        lovagestand.RegionName
	FailureDomain lovagestand.FailureDomain
	Rack          lovagestand.RackName
}

// site is a rack and the workers in it.
type site struct {
	name Site
	// domain is the index of the first site in the same failure domain. It
	// identifies the failure domain.
	domain int32
	rows   []Row
}

func (s *site) add(r Row) {
	s.rows = append(s.rows, r)
}

func (s *site) remove(r Row) {
	for i := range s.rows {
		if s.rows[i] == r {
			s.rows = append(s.rows[:i], s.rows[i+1:]...)
			return
		}
	}
}

// siteIndex returns the index of a site and adds the site if it is new.
func (l *Ledger) siteIndex(name Site) int32 {
	domain := int32(len(l.sites))
	for i := range l.sites {
		s := &l.sites[i]
		if s.name == name {
			return int32(i)
		}
		if s.name.Region == name.Region && s.name.FailureDomain == name.FailureDomain {
			domain = min(domain, s.domain)
		}
	}
	l.sites = append(l.sites, site{name: name, domain: domain})
	return int32(len(l.sites) - 1)
}

// Replicas counts a route's service tasks by failure domain and by rack. The zero
// value has no replicas.
type Replicas struct {
	domains, racks []int32
}

// AddReplicas adds delta, which may be negative, to the number of replicas on the
// worker in row r.
func (l *Ledger) AddReplicas(replicas *Replicas, r Row, delta int32) {
	for len(replicas.racks) < len(l.sites) {
		replicas.racks = append(replicas.racks, 0)
		replicas.domains = append(replicas.domains, 0)
	}
	rack := l.rows[r].site
	replicas.racks[rack] += delta
	replicas.domains[l.sites[rack].domain] += delta
}

// counts returns the numbers of replicas in a failure domain and in a rack, which
// are given as indices of sites.
func (r *Replicas) counts(rack, domain int32) (inDomain, inRack int32) {
	if int(domain) < len(r.domains) {
		inDomain = r.domains[domain]
	}
	if int(rack) < len(r.racks) {
		inRack = r.racks[rack]
	}
	return inDomain, inRack
}

// BestSpread returns the open worker for a further replica. It prefers the failure
// domain with the fewest replicas, then the rack with the fewest, then the worker
// that moreFree prefers. It returns [None] if no worker has room.
func (l *Ledger) BestSpread(size lovagestand.Resources, p *Replicas) Row {
	best := None
	var bestDomain, bestRack int32
	for i := range l.sites {
		s := &l.sites[i]
		inDomain, inRack := p.counts(int32(i), s.domain)
		if best != None && (inDomain > bestDomain || inDomain == bestDomain && inRack > bestRack) {
			continue
		}
		r := l.mostFree(s, size)
		if r == None {
			continue
		}
		if best == None || inDomain < bestDomain || inRack < bestRack || moreFree(&l.rows[r], &l.rows[best]) {
			best, bestDomain, bestRack = r, inDomain, inRack
		}
	}
	return best
}

// mostFree returns the open worker of a site with room for size that comes first in
// the order of moreFree, or [None].
func (l *Ledger) mostFree(s *site, size lovagestand.Resources) Row {
	best := None
	for _, r := range s.rows {
		w := &l.rows[r]
		if !w.indexed || !size.Fits(w.capacity.Sub(w.used)) {
			continue
		}
		if best == None || moreFree(w, &l.rows[best]) {
			best = r
		}
	}
	return best
}

// moreFree reports whether a is preferred to b for a replica. Fewer free
// accelerators are preferred first, then more free processor time, then more free
// memory, then the worker that joined earlier.
func moreFree(a, b *row) bool {
	f, g := a.capacity.Sub(a.used), b.capacity.Sub(b.used)
	switch {
	case f.Accelerators != g.Accelerators:
		return f.Accelerators < g.Accelerators
	case f.MilliCPU != g.MilliCPU:
		return f.MilliCPU > g.MilliCPU
	case f.MemoryMiB != g.MemoryMiB:
		return f.MemoryMiB > g.MemoryMiB
	}
	return a.joinOrder < b.joinOrder
}
