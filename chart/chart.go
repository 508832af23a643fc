// Package chart loads state charts from YAML and evaluates their transitions.
//
// A chart is validated when it is loaded and compiled to a small table of
// integers, so that a transition costs one look-up and no allocation.
package chart

import "fmt"

// State is the index of a state within its chart.
type State uint8

// Event is the index of an event within its chart.
type Event uint8

// Chart is a loaded state chart. It does not change and is safe for
// concurrent use.
type Chart struct {
	name    string
	initial State
	states  []string
	events  []string
	final   []bool
	// next holds the state that follows each event in each state. The index is
	// state*len(events) + event.
	next []State
}

// notAllowed is the entry in Chart.next for an event that a state does not
// allow. [maxNames] keeps it from being the index of a state.
const notAllowed = State(255)

// Name returns the name of the chart.
func (c *Chart) Name() string {
	return c.name
}

// Initial returns the initial state.
func (c *Chart) Initial() State {
	return c.initial
}

// Final reports whether s is a final state, which allows no event.
func (c *Chart) Final(s State) bool {
	return c.final[s]
}

// States returns the names of all states in the order of the file.
func (c *Chart) States() []string {
	return append([]string(nil), c.states...)
}

// StateName returns the name of s.
func (c *Chart) StateName(s State) string {
	return c.states[s]
}

// State returns the state with a name, or an [UnknownNameError].
func (c *Chart) State(name string) (State, error) {
	for i, n := range c.states {
		if n == name {
			return State(i), nil
		}
	}
	return 0, &UnknownNameError{Chart: c.name, Name: name}
}

// Event returns the event with a name, or an [UnknownNameError].
func (c *Chart) Event(name string) (Event, error) {
	for i, n := range c.events {
		if n == name {
			return Event(i), nil
		}
	}
	return 0, &UnknownNameError{Chart: c.name, Name: name}
}

// MustState is like State for names that are constants in the program. It
// panics if the chart has no state with the name.
func (c *Chart) MustState(name string) State {
	s, err := c.State(name)
	if err != nil {
		panic(err)
	}
	return s
}

// MustEvent is like Event for names that are constants in the program. It
// panics if the chart has no event with the name.
func (c *Chart) MustEvent(name string) Event {
	e, err := c.Event(name)
	if err != nil {
		panic(err)
	}
	return e
}

// Allows reports whether s allows e.
func (c *Chart) Allows(s State, e Event) bool {
	return c.next[int(s)*len(c.events)+int(e)] != notAllowed
}

// Next returns the state that follows s after e, or s itself and a
// [NotAllowedError].
func (c *Chart) Next(s State, e Event) (State, error) {
	next := c.next[int(s)*len(c.events)+int(e)]
	if next == notAllowed {
		return s, &NotAllowedError{Chart: c.name, State: c.states[s], Event: c.events[e]}
	}
	return next, nil
}

// NotAllowedError is returned for an event that a state does not allow.
type NotAllowedError struct {
	Chart, State, Event string
}

// Error implements error.
func (e *NotAllowedError) Error() string {
	return fmt.Sprintf("chart %s: event %s is not allowed in state %s", e.Chart, e.Event, e.State)
}

// UnknownNameError is returned if a chart has no state or event with a name.
type UnknownNameError struct {
	Chart, Name string
}

// Error implements error.
func (e *UnknownNameError) Error() string {
	return fmt.Sprintf("chart %s: no state or event is named %s", e.Chart, e.Name)
}

// DefinitionError is returned if the YAML definition of a chart is invalid.
type DefinitionError struct {
	Chart string
	// State is the invalid state; it is empty if the error concerns the chart
	// as a whole.
	State  string
	Reason string
}

// Error implements error.
func (e *DefinitionError) Error() string {
	if e.State == "" {
		return fmt.Sprintf("chart %s: %s", e.Chart, e.Reason)
	}
	return fmt.Sprintf("chart %s: state %s: %s", e.Chart, e.State, e.Reason)
}
