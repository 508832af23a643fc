package plot

import "math"

// axis converts times and values to pixels.
type axis struct {
	seconds float64
	// low and high bound the values.
	low, high float64
	log       bool
}

// axis returns the axis that covers all points of p.
func (p Plot) axis() axis {
	a := axis{seconds: max(p.Seconds, 1e-9), log: p.Log, low: math.Inf(1)}
	for _, l := range p.Lines {
		for _, point := range l.Points {
			a.high = max(a.high, point.Value)
			if point.Value > 0 {
				a.low = min(a.low, point.Value)
			}
		}
	}
	if !a.log {
		a.low = 0
		a.high = roundUp(a.high)
		return a
	}
	if math.IsInf(a.low, 1) {
		a.low, a.high = 1, 10
	}
	a.low = math.Pow(10, math.Floor(math.Log10(a.low)))
	a.high = max(math.Pow(10, math.Ceil(math.Log10(a.high))), a.low*10)
	return a
}

// roundUp returns the least of the numbers 1, 2, 2.5 and 5 times a power of ten
// that is at least v; 1 if v is not positive.
func roundUp(v float64) float64 {
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
	fraction := (value - a.low) / (a.high - a.low)
	if a.log {
		value = max(value, a.low)
		fraction = math.Log10(value/a.low) / math.Log10(a.high/a.low)
	}
	return height - marginBottom - fraction*(height-marginTop-marginBottom)
}

// ticks returns the values at which the axis is labelled.
func (a axis) ticks() []float64 {
	var values []float64
	if a.log {
		for v := a.low; v <= a.high*1.001; v *= 10 {
			values = append(values, v)
		}
		return values
	}
	for i := range tickCount + 1 {
		values = append(values, a.high*float64(i)/tickCount)
	}
	return values
}
