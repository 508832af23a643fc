package chart

// validate checks that final states allow no event, that every state can be
// reached from the initial one and that a final state can be reached from every
// state.
func (c *Chart) validate() error {
	reached := c.reachableFrom(c.initial)
	for i, name := range c.states {
		s := State(i)
		allowsEvents := len(c.successors(s)) > 0
		switch {
		case c.final[i] && allowsEvents:
			return &DefinitionError{Chart: c.name, State: name, Reason: "it is final but allows events"}
		case !reached[i]:
			return &DefinitionError{Chart: c.name, State: name, Reason: "it cannot be reached"}
		case !c.reachesFinal(s):
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

// reachableFrom reports for each state whether it can be reached from s. s
// itself is included.
func (c *Chart) reachableFrom(s State) []bool {
	reached := make([]bool, len(c.states))
	reached[s] = true
	pending := []State{s}
	for len(pending) > 0 {
		current := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		for _, n := range c.successors(current) {
			if !reached[n] {
				reached[n] = true
				pending = append(pending, n)
			}
		}
	}
	return reached
}

func (c *Chart) reachesFinal(s State) bool {
	for i, ok := range c.reachableFrom(s) {
		if ok && c.final[i] {
			return true
		}
	}
	return false
}
