package logfmt

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// field is a field of an event. Its key and value are parts of the JSON of the event.
type field struct {
	rank  int
	key   []byte
	value jsonValue
}

// syntaxError reports that the JSON of an event cannot be split into fields.
type syntaxError struct {
	// offset is where the unexpected byte is.
	offset int
}

// Error implements error.
func (e *syntaxError) Error() string {
	return fmt.Sprintf("event is not a JSON object: unexpected byte or end at offset %d", e.offset)
}

// appendFields appends the fields of an event to fields.
func appendFields(fields []field, event []byte) ([]field, error) {
	event = bytes.TrimRight(event, "\n")
	last := len(event) - 1
	if last < 1 || event[0] != '{' || event[last] != '}' {
		return fields, &syntaxError{}
	}
	for i := 1; i < last; {
		keyEnd := valueEnd(event, i)
		if event[i] != '"' || keyEnd >= last || event[keyEnd] != ':' {
			return fields, &syntaxError{offset: i}
		}
		end := valueEnd(event, keyEnd+1)
		if end > last || end < last && event[end] != ',' {
			return fields, &syntaxError{offset: end}
		}
		key, err := decodeKey(event[i:keyEnd])
		if err != nil {
			return fields, err
		}
		fields = append(fields, field{rank: rank(key), key: key, value: event[keyEnd+1 : end]})
		i = end + 1
	}
	return fields, nil
}

// decodeKey returns the key that a JSON string contains.
func decodeKey(text []byte) ([]byte, error) {
	if plain, _ := isPlain(text[1 : len(text)-1]); plain {
		return text[1 : len(text)-1], nil
	}
	var key string
	err := json.Unmarshal(text, &key)
	return []byte(key), err
}

// valueEnd returns the index after the JSON value that begins at start, or the length of
// text if the value does not end. The value is not checked.
func valueEnd(text []byte, start int) int {
	depth := 0
	for i := start; i < len(text); i++ {
		switch text[i] {
		case '"':
			i = stringEnd(text, i)
			if depth == 0 {
				return min(i+1, len(text))
			}
		case '[', '{':
			depth++
		case ']', '}':
			if depth == 0 {
				return i
			}
			if depth--; depth == 0 {
				return i + 1
			}
		case ',':
			if depth == 0 {
				return i
			}
		}
	}
	return len(text)
}

// stringEnd returns the index of the quote that ends the JSON string which begins at
// start, or the length of text if there is none.
func stringEnd(text []byte, start int) int {
	for i := start + 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(text)
}

// isPlain reports whether the content of a JSON string contains only printable ASCII
// characters and no escapes, so that it is its own value, and whether it has to be
// quoted in a line.
func isPlain(content []byte) (plain, quoted bool) {
	quoted = len(content) == 0
	for _, b := range content {
		if b < ' ' || b > '~' || b == '\\' {
			return false, false
		}
		quoted = quoted || b == ' ' || b == '='
	}
	return true, quoted
}

// jsonValue is the JSON of one value.
type jsonValue []byte

// valueError reports that the value of a field is not JSON.
type valueError struct {
	value string
}

// Error implements error.
func (e *valueError) Error() string { return "value of a field is not JSON: " + e.value }

// isNumber reports whether the value can only be a number.
func (v jsonValue) isNumber() bool {
	for _, b := range v {
		if (b < '0' || b > '9') && b != '.' && b != '-' {
			return false
		}
	}
	return len(v) > 0
}

// appendTo appends the text of the value in a line. It has the same result as
// [formatValue] of the decoded value, which it avoids for the usual values.
func (v jsonValue) appendTo(line []byte) ([]byte, error) {
	if len(v) > 1 && v[0] == '"' {
		content := v[1 : len(v)-1]
		if plain, quoted := isPlain(content); plain && quoted {
			return append(line, v...), nil
		} else if plain {
			return append(line, content...), nil
		}
	} else if v.isNumber() || string(v) == "true" || string(v) == "false" {
		return append(line, v...), nil
	}
	if !json.Valid(v) {
		return line, &valueError{value: string(v)}
	}
	decoder := json.NewDecoder(bytes.NewReader(v))
	decoder.UseNumber()
	var value any
	if err := decoder.Decode(&value); err != nil {
		return line, err
	}
	return append(line, formatValue(value)...), nil
}
