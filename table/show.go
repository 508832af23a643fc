package table

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"go.yaml.in/yaml/v3"
)

// rowFields returns the values of a row by key, in the notation of the tables. The
// text is the row as JSON; if it is empty, there are no fields.
func rowFields(row Row, text string) map[string]string {
	fields := map[string]string{}
	if text == "" {
		return fields
	}
	var values map[string]any
	if err := yaml.Unmarshal(asYAML(row, content(text)), &values); err != nil {
		return map[string]string{"row": text}
	}
	for key, value := range values {
		line, err := json.Marshal(value)
		if err != nil {
			line = []byte(fmt.Sprint(value))
		}
		fields[key] = string(line)
	}
	return fields
}

// asYAML returns a row as YAML, as it is written in its file.
func asYAML(row Row, text content) []byte {
	var value any
	switch {
	case row.Table == RoutesTable:
		value = decodeRow[Route](text)
	case row.Team != "":
		value = decodeRow[Team](text)
	default:
		value = decodeRow[Pool](text)
	}
	data, err := yaml.Marshal(value)
	if err != nil {
		panic(err) // rows contain only values that YAML can represent
	}
	return data
}

// formatFields formats all fields of a row as one line.
func formatFields(fields map[string]string) string {
	var parts []string
	for _, key := range slices.Sorted(maps.Keys(fields)) {
		parts = append(parts, key+": "+fields[key])
	}
	return strings.Join(parts, ", ")
}

// formatChange formats the fields in which two versions of a row differ as one
// line.
func formatChange(before, after map[string]string) string {
	union := maps.Clone(before)
	maps.Copy(union, after)
	var parts []string
	for _, key := range slices.Sorted(maps.Keys(union)) {
		if before[key] != after[key] {
			parts = append(parts, fmt.Sprintf("%s: %s -> %s", key, valueOrNone(before[key]), valueOrNone(after[key])))
		}
	}
	return strings.Join(parts, ", ")
}

func valueOrNone(value string) string {
	if value == "" {
		return "none"
	}
	return value
}
