package document

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// MaxUnits is the maximum of every amount. It ensures that sums over a fleet
// cannot overflow.
const MaxUnits = int64(1) << 40

// Processors is processor time in thousandths of a core, written as cores
// ("2", "0.5") or thousandths ("500m").
type Processors int64

// UnmarshalText implements encoding.TextUnmarshaler.
func (p *Processors) UnmarshalText(text []byte) error {
	number, scale := string(text), 1000.0
	if thousandths, ok := strings.CutSuffix(number, "m"); ok {
		number, scale = thousandths, 1
	}
	n, err := parseScaled(number, scale)
	if err != nil {
		return &UnitError{Text: string(text), Want: `cores such as "2", "0.5" or "500m"`}
	}
	*p = Processors(n)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (p Processors) MarshalText() ([]byte, error) {
	if p%1000 == 0 {
		return strconv.AppendInt(nil, int64(p)/1000, 10), nil
	}
	return append(strconv.AppendInt(nil, int64(p), 10), 'm'), nil
}

// Memory is memory in mebibytes, written as "512MiB", "4GiB" or "1TiB".
type Memory int64

type memoryUnit struct {
	suffix string
	mib    int64
}

// memoryUnits returns the known suffixes, largest first.
func memoryUnits() []memoryUnit {
	return []memoryUnit{{"TiB", 1 << 20}, {"GiB", 1 << 10}, {"MiB", 1}}
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (m *Memory) UnmarshalText(text []byte) error {
	for _, u := range memoryUnits() {
		number, ok := strings.CutSuffix(string(text), u.suffix)
		if !ok {
			continue
		}
		n, err := parseScaled(number, float64(u.mib))
		if err != nil {
			break
		}
		*m = Memory(n)
		return nil
	}
	return &UnitError{Text: string(text), Want: `memory such as "512MiB" or "4GiB"`}
}

// MarshalText implements encoding.TextMarshaler.
func (m Memory) MarshalText() ([]byte, error) {
	for _, u := range memoryUnits() {
		if int64(m)%u.mib == 0 && (m != 0 || u.mib == 1) {
			return append(strconv.AppendInt(nil, int64(m)/u.mib, 10), u.suffix...), nil
		}
	}
	return nil, &UnitError{Text: strconv.FormatInt(int64(m), 10), Want: "memory"}
}

// UnitError is returned for a text that is not a valid amount.
type UnitError struct {
	Text string
	// Want describes the valid forms.
	Want string
}

// Error implements error.
func (e *UnitError) Error() string {
	return fmt.Sprintf("%q is not %s", e.Text, e.Want)
}

// parseScaled returns number times scale. It fails if the product is not a whole
// number or exceeds [MaxUnits].
func parseScaled(number string, scale float64) (int64, error) {
	if number == "" || strings.Trim(number, "0123456789.") != "" {
		return 0, strconv.ErrSyntax
	}
	f, err := strconv.ParseFloat(number, 64)
	if err != nil {
		return 0, err
	}
	product := f * scale
	whole := math.Round(product)
	if math.Abs(product-whole) > 1e-6 || whole > float64(MaxUnits) {
		return 0, strconv.ErrRange
	}
	return int64(whole), nil
}
