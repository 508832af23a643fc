package chart

import (
	"bytes"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"
)

// chartFile is the YAML form of a chart.
type chartFile struct {
	Name    string       `yaml:"name"`
	Initial string       `yaml:"initial"`
	States  []stateEntry `yaml:"states"`
}

type stateEntry struct {
	Name  string            `yaml:"name"`
	Final bool              `yaml:"final"`
	On    []transitionEntry `yaml:"on"`
}

type transitionEntry struct {
	Event string `yaml:"event"`
	To    string `yaml:"to"`
}

// maxNames is the maximum number of states and of events in a chart.
const maxNames = 200

// Parse loads a chart from YAML. It fails with a [DefinitionError] if names are
// missing or defined twice, if a final state allows events, if a state cannot be
// reached, or if no final state can be reached from a state.
func Parse(data []byte) (*Chart, error) {
	var f chartFile
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	if err := decoder.Decode(&f); err != nil {
		return nil, errors.Wrap(err, "chart")
	}
	c := &Chart{name: f.Name}
	if err := c.addNames(f); err != nil {
		return nil, err
	}
	if err := c.addTransitions(f); err != nil {
		return nil, err
	}
	return c, c.validate()
}

func (c *Chart) addNames(f chartFile) error {
	for _, s := range f.States {
		if s.Name == "" {
			return &DefinitionError{Chart: c.name, Reason: "a state has no name"}
		}
		if _, err := c.State(s.Name); err == nil {
			return &DefinitionError{Chart: c.name, State: s.Name, Reason: "it is defined twice"}
		}
		c.states = append(c.states, s.Name)
		c.final = append(c.final, s.Final)
		for _, t := range s.On {
			if _, err := c.Event(t.Event); err != nil {
				c.events = append(c.events, t.Event)
			}
		}
	}
	if len(c.states) > maxNames || len(c.events) > maxNames {
		return &DefinitionError{Chart: c.name, Reason: "it has too many states or events"}
	}
	initial, err := c.State(f.Initial)
	if err != nil {
		return &DefinitionError{Chart: c.name, Reason: "the initial state " + f.Initial + " is not defined"}
	}
	c.initial = initial
	return nil
}

func (c *Chart) addTransitions(f chartFile) error {
	c.next = make([]State, len(c.states)*len(c.events))
	for i := range c.next {
		c.next[i] = notAllowed
	}
	for i, s := range f.States {
		for _, t := range s.On {
			to, err := c.State(t.To)
			if err != nil {
				return &DefinitionError{Chart: c.name, State: s.Name, Reason: "event " + t.Event + " leads to the undefined state " + t.To}
			}
			target := &c.next[i*len(c.events)+int(c.MustEvent(t.Event))]
			if *target != notAllowed {
				return &DefinitionError{Chart: c.name, State: s.Name, Reason: "event " + t.Event + " is defined twice"}
			}
			*target = to
		}
	}
	return nil
}
