package document

import (
	"encoding"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// decoder stores the nodes of a YAML tree in a Go value and collects errors.
type decoder struct {
	document *Document
	errs     Errors
}

func (d *decoder) decodeRoot(n *yaml.Node, path string, target any) {
	if n != nil {
		d.decodeValue(n, path, reflect.ValueOf(target).Elem())
	}
}

func (d *decoder) addError(n *yaml.Node, path, problem, hint string) {
	d.errs = append(d.errs, &Error{
		File: d.document.file, Line: n.Line, Key: path, Problem: problem, Hint: hint,
	})
}

// decodeValue decodes a node of any kind into v.
func (d *decoder) decodeValue(n *yaml.Node, path string, v reflect.Value) {
	if n.Kind == yaml.AliasNode || n.Anchor != "" {
		d.addError(n, path, "anchors and aliases are not taken", "write the value out")
		return
	}
	if n.Tag == "!!null" && n.Kind == yaml.ScalarNode {
		d.addError(n, path, "has no value", "give a value or remove the key")
		return
	}
	if v.Kind() == reflect.Pointer {
		v.Set(reflect.New(v.Type().Elem()))
		v = v.Elem()
	}
	if _, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.decodeScalar(n, path, v)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.decodeMapping(n, path, v)
	case reflect.Slice:
		d.decodeSequence(n, path, v)
	default:
		d.decodeScalar(n, path, v)
	}
}

func (d *decoder) decodeMapping(n *yaml.Node, path string, v reflect.Value) {
	if n.Kind != yaml.MappingNode {
		d.addError(n, path, "must be a mapping of keys to values", "")
		return
	}
	fields, names := structFields(v.Type())
	seen := map[string]bool{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key := n.Content[i]
		childPath := join(path, key.Value)
		index, known := fields[key.Value]
		switch {
		case !known:
			d.addError(key, childPath, "is not a known key", Suggest(key.Value, names))
		case seen[key.Value]:
			d.addError(key, childPath, "is given twice", "keep one of them")
		default:
			seen[key.Value] = true
			d.document.lines[childPath] = key.Line
			d.decodeValue(n.Content[i+1], childPath, v.Field(index))
		}
	}
}

func (d *decoder) decodeSequence(n *yaml.Node, path string, v reflect.Value) {
	if n.Kind != yaml.SequenceNode {
		d.addError(n, path, "must be a list", `start each entry with "- "`)
		return
	}
	list := reflect.MakeSlice(v.Type(), len(n.Content), len(n.Content))
	for i, entry := range n.Content {
		childPath := fmt.Sprintf("%s[%d]", path, i)
		d.document.lines[childPath] = entry.Line
		d.decodeValue(entry, childPath, list.Index(i))
	}
	v.Set(list)
}

func (d *decoder) decodeScalar(n *yaml.Node, path string, v reflect.Value) {
	if n.Kind != yaml.ScalarNode {
		d.addError(n, path, "must be a single value", "")
		return
	}
	if problem, hint := setScalar(n, v); problem != "" {
		d.addError(n, path, problem, hint)
	}
}

// setScalar stores a scalar in v. It returns a problem and possibly a hint if
// the scalar is invalid; an empty problem means success.
func setScalar(n *yaml.Node, v reflect.Value) (problem, hint string) {
	if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		if err := u.UnmarshalText([]byte(n.Value)); err != nil {
			return err.Error(), ""
		}
		return "", ""
	}
	if v.Type() == reflect.TypeFor[time.Duration]() {
		return setDuration(n, v)
	}
	switch v.Kind() {
	case reflect.String:
		v.SetString(n.Value)
		return "", ""
	case reflect.Bool:
		return setBool(n, v)
	case reflect.Float32, reflect.Float64:
		return setFloat(n, v)
	case reflect.Int, reflect.Int64, reflect.Int32, reflect.Uint64, reflect.Uint32:
		return setInteger(n, v)
	default:
		return fmt.Sprintf("is of a kind that cannot be decoded: %s", v.Type()), ""
	}
}

func setDuration(n *yaml.Node, v reflect.Value) (problem, hint string) {
	d, err := time.ParseDuration(n.Value)
	if err != nil {
		return fmt.Sprintf("%q is not a duration", n.Value), `write it with a unit, such as "2s", "500ms" or "10m"`
	}
	v.SetInt(int64(d))
	return "", ""
}

func setBool(n *yaml.Node, v reflect.Value) (problem, hint string) {
	if n.Tag != "!!bool" || (n.Value != "true" && n.Value != "false") {
		return fmt.Sprintf("%q is neither true nor false", n.Value), ""
	}
	v.SetBool(n.Value == "true")
	return "", ""
}

func setFloat(n *yaml.Node, v reflect.Value) (problem, hint string) {
	f, err := strconv.ParseFloat(n.Value, 64)
	if err != nil || f != f || f > float64(MaxUnits) || f < -float64(MaxUnits) {
		return fmt.Sprintf("%q is not a number in range", n.Value), ""
	}
	v.SetFloat(f)
	return "", ""
}

func setInteger(n *yaml.Node, v reflect.Value) (problem, hint string) {
	i, err := strconv.ParseInt(n.Value, 10, 64)
	unsigned := v.CanUint()
	if err != nil || (unsigned && i < 0) || (unsigned && v.OverflowUint(uint64(i))) || (!unsigned && v.OverflowInt(i)) {
		return fmt.Sprintf("%q is not a whole number in range", n.Value), ""
	}
	if unsigned {
		v.SetUint(uint64(i))
		return "", ""
	}
	v.SetInt(i)
	return "", ""
}

// structFields returns the field indexes of a struct by YAML name, and the names
// in the order of the fields.
func structFields(t reflect.Type) (fields map[string]int, names []string) {
	fields = map[string]int{}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("yaml"), ",")
		if name == "" || name == "-" || !t.Field(i).IsExported() {
			continue
		}
		fields[name] = i
		names = append(names, name)
	}
	return fields, names
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
