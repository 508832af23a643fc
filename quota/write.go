package quota

import (
	"lovagestand.example/lovagestand"
)

// write is the making of one write by one holder.
type write struct {
	holder *Holder
	book   *Ledger
	index  int
	known  []lovagestand.ShardName
	usage  map[lovagestand.TeamName]Usage
	// behind says that another writer had newer tables in force; nothing is
	// raised then.
	behind bool
	// worth says that the change is worth a write.
	worth bool
}

// settleTeams adds and removes teams as the tables in force say.
func (w *write) settleTeams() {
	for team, rule := range w.holder.rules {
		t := w.book.Teams[team]
		if t == nil {
			t = &TeamEntry{}
			w.book.Teams[team] = t
		}
		if t.Since < rule.Since {
			t.Since = rule.Since
			w.worth = true
		}
	}
	for team := range w.book.Teams {
		if _, limited := w.holder.rules[team]; !limited {
			delete(w.book.Teams, team)
			w.worth = true
		}
	}
}

// team writes one team's share and returns it.
func (w *write) team(team lovagestand.TeamName, t *TeamEntry) lovagestand.Resources {
	held := t.Shares[w.index].Resources()
	rule, limited := w.holder.rules[team]
	if !limited {
		return held
	}
	q, u := rule.Quota, w.usage[team]
	limit := w.holder.limit(team)
	share := w.share(team, t, held, limit, q)
	step := w.book.step(q)
	moved := !near(held, share, step)
	freed := w.holder.frozen[team] && held != share
	helped := u.stuck(limit) && share != held
	asked := !near(t.Demands[w.index].Resources(), u.demand(), step)
	w.worth = w.worth || moved || freed || helped || asked
	t.set(w.index, share, u.demand())
	return share
}

// share returns the share to write. It is at least what runs, and at least
// what the shard may start within until the write has taken effect.
func (w *write) share(team lovagestand.TeamName, t *TeamEntry, held, limit, q lovagestand.Resources) lovagestand.Resources {
	u := w.usage[team]
	if !w.holder.entered {
		// Until this owner's epoch is written, its predecessor's writes may
		// take effect, so that the share must not be lowered.
		return most(held, u.Running)
	}
	floor := most(u.Running, least(held, limit))
	if w.behind || !w.book.counted(t, w.known) {
		return floor
	}
	room := q.Sub(t.sum().Sub(held)).Sub(floor)
	if !room.Valid() {
		return floor
	}
	wanted := want(t, w.index, w.book.live(), q, u)
	return floor.Add(grant(wanted.Sub(floor), room, u, floor))
}
