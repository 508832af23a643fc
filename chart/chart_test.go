package chart_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand/chart"
)

func ExampleChart_Next() {
	c := chart.Task()
	placed, err := c.Next(c.Initial(), c.MustEvent("place"))
	fmt.Println(c.StateName(placed), err)
	_, err = c.Next(placed, c.MustEvent("cancel"))
	fmt.Println(err)
	// Output:
	// placed <nil>
	// chart task: event cancel is not allowed in state placed
}

func TestEmbeddedChartsLoad(t *testing.T) {
	for name, load := range map[string]func() *chart.Chart{"task": chart.Task, "request": chart.Request, "worker": chart.Worker} {
		t.Run(name, func(t *testing.T) { qt.New(t).Assert(load().Name(), qt.Equals, name) })
	}
}

func TestParseRejectsInvalidCharts(t *testing.T) {
	for name, test := range map[string]struct{ states, want string }{
		"a state twice":     {"[{name: a, final: true}, {name: a}]", ".*state a: it is defined twice"},
		"no initial state":  {"[{name: b, final: true}]", ".*initial state a is not defined"},
		"a missing target":  {"[{name: a, on: [{event: e, to: b}]}]", ".*undefined state b"},
		"an event twice":    {"[{name: a, on: [{event: e, to: b}, {event: e, to: b}]}, {name: b, final: true}]", ".*event e is defined twice"},
		"final with events": {"[{name: a, final: true, on: [{event: e, to: a}]}]", ".*it is final but allows events"},
		"unreachable":       {"[{name: a, final: true}, {name: b, final: true}]", ".*state b: it cannot be reached"},
		"no end":            {"[{name: a, on: [{event: e, to: a}]}]", ".*no final state can be reached from it"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			_, err := chart.Parse([]byte("{name: t, initial: a, states: " + test.states + "}"))
			var definitionErr *chart.DefinitionError
			c.Assert(err, qt.ErrorAs, &definitionErr)
			c.Assert(err, qt.ErrorMatches, test.want)
		})
	}
}

func TestNextAllocatesNothing(t *testing.T) {
	c := chart.Task()
	place := c.MustEvent("place")
	qt.New(t).Assert(testing.AllocsPerRun(10, func() { _, _ = c.Next(c.Initial(), place) }), qt.Equals, 0.0)
}
