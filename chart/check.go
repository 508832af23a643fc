package chart

// check fails where the chart as a whole does not hold together.
func (c *Chart) check() error {
	reached := c.reach(c.initial)
	for i, name := range c.states {
		s := State(i)
		leaves := len(c.successors(s)) > 0
		switch {
		case c.final[i] && leaves:
			return &DefinitionError{Chart: c.name, State: name, Reason: "it is final but allows events"}
		case !reached[i]:
			return &DefinitionError{Chart: c.name, State: name, Reason: "it cannot be reached"}
		case !c.ends(s):
			return &DefinitionError{Chart: c.name, State: name, Reason: "no final state can be reached from it"}
		}
	}
	return nil
}

func (c *Chart) successors(s State) []State {
	var states []State
	for e := range c.events {
		if c.Allows(s, Event(e)) {
			states = append(states, c.next[int(s)*len(c.events)+e])
		}
	}
	return states
}

// reach tells which states can follow s, itself included.
func (c *Chart) reach(s State) []bool {
	reached := make([]bool, len(c.states))
	reached[s] = true
	todo := []State{s}
	for len(todo) > 0 {
		last := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		for _, n := range c.successors(last) {
			if !reached[n] {
				reached[n] = true
				todo = append(todo, n)
			}
		}
	}
	return reached
}

func (c *Chart) ends(s State) bool {
	for i, ok := range c.reach(s) {
		if ok && c.final[i] {
			return true
		}
	}
	return false
}
