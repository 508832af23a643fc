package owner

import (
	_ "embed" // The charts are embedded files.

	"lovagestand.example/lovagestand/chart"
)

var (
	//go:embed takeover.yaml
	takeoverYAML []byte
	//go:embed handover.yaml
	handoverYAML []byte

	takeoverChart = mustParse(takeoverYAML)
	handoverChart = mustParse(handoverYAML)
)

// The states and events of a takeover that the code refers to.
var (
	takeoverChecking = takeoverChart.MustState("checking")
	takeoverSealing  = takeoverChart.MustState("sealing")
	takeoverReady    = takeoverChart.MustState("ready")
	takeoverAnswer   = takeoverChart.MustEvent("answer")
	takeoverConsent  = takeoverChart.MustEvent("consent")
	takeoverWithdraw = takeoverChart.MustEvent("withdraw")
)

// The states and events of a handover that the code refers to.
var (
	handoverJoining = handoverChart.MustState("joining")
	handoverWarming = handoverChart.MustState("warming")
	handoverPassing = handoverChart.MustState("passing")
	handoverJoin    = handoverChart.MustEvent("join")
	handoverWarm    = handoverChart.MustEvent("warm")
	handoverChoose  = handoverChart.MustEvent("choose")
	handoverRelease = handoverChart.MustEvent("release")
	handoverDesist  = handoverChart.MustEvent("desist")
)

func mustParse(data []byte) *chart.Chart {
	c, err := chart.Parse(data)
	if err != nil {
		panic(err)
	}
	return c
}

// advance applies an event to a state and reports whether the chart allows the
// event in that state.
func advance(c *chart.Chart, state *chart.State, e chart.Event) bool {
	next, err := c.Next(*state, e)
	*state = next
	return err == nil
}
