package plot

import "math"

// axis turns times and values into pixels.
type axis struct {
	seconds     float64
	least, most float64
	log         bool
}

// axis returns the axis on which all lines of p find room.
func (p Plot) axis() axis {
	a := axis{seconds: max(p.Seconds, 1e-9), log: p.Log, least: math.Inf(1)}
	for _, l := range p.Lines {
		for _, q := range l.Points {
			a.most = max(a.most, q.Value)
			if q.Value > 0 {
				a.least = min(a.least, q.Value)
			}
		}
	}
	if !a.log {
		a.least = 0
		a.most = above(a.most)
		return a
	}
	if math.IsInf(a.least, 1) {
		a.least, a.most = 1, 10
	}
	a.least = math.Pow(10, math.Floor(math.Log10(a.least)))
	a.most = max(math.Pow(10, math.Ceil(math.Log10(a.most))), a.least*10)
	return a
}

// above returns a round number that is at least v.
func above(v float64) float64 {
	if v <= 0 {
		return 1
	}
	power := math.Pow(10, math.Floor(math.Log10(v)))
	for _, m := range []float64{1, 2, 2.5, 5} {
		if v <= m*power {
			return m * power
		}
	}
	return 10 * power
}

func (a axis) x(seconds float64) float64 {
	return marginLeft + seconds/a.seconds*(width-marginLeft-marginRight)
}

func (a axis) y(value float64) float64 {
	share := (value - a.least) / (a.most - a.least)
	if a.log {
		value = max(value, a.least)
		share = math.Log10(value/a.least) / math.Log10(a.most/a.least)
	}
	return height - marginFoot - share*(height-marginTop-marginFoot)
}

func (a axis) ticks() []float64 {
	var values []float64
	if a.log {
		for v := a.least; v <= a.most*1.001; v *= 10 {
			values = append(values, v)
		}
		return values
	}
	for i := range ticks + 1 {
		values = append(values, a.most*float64(i)/ticks)
	}
	return values
}
