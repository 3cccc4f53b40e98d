package document

import (
	"bytes"
	"encoding"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"
)

const (
	// maxQuoted limits how much of an invalid value a fault quotes, in bytes.
	maxQuoted = 60
	// maxDepth limits the nesting of values.
	maxDepth = 64
)

// Lines maps the path of each decoded value of a document to its line.
type Lines map[string]int

// Of returns the line of the field at path, or of the innermost enclosing field if the document has none at path.
func (l Lines) Of(path string) int {
	for {
		if line, ok := l[path]; ok {
			return line
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			return l[""]
		}
		path = path[:cut]
	}
}

// Decode decodes data into the struct that target points to and returns every fault: invalid syntax, unknown and duplicate fields,
// null for anything but a list, and values of the wrong type or form. Field names must match exactly. Valid fields are decoded even if
// others have faults.
func Decode(data []byte, target any) (Lines, []Fault) {
	d := decoder{data: data, lines: Lines{}}
	var whole any
	if err := json.Unmarshal(data, &whole); err != nil {
		return d.lines, []Fault{d.syntaxFault(err)}
	}

	start := len(data) - len(bytes.TrimLeft(data, " \t\r\n"))
	d.value(data[start:], start, reflect.ValueOf(target).Elem(), "", 0)

	return d.lines, d.faults
}

type decoder struct {
	data   []byte
	lines  Lines
	faults []Fault
}

func (d *decoder) syntaxFault(err error) Fault {
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) {
		return Fault{Reason: err.Error()}
	}

	return Fault{Line: d.lineAt(int(syntax.Offset)), Reason: "not JSON: " + err.Error()}
}

func (d *decoder) lineAt(offset int) int {
	return 1 + bytes.Count(d.data[:min(offset, len(d.data))], []byte{'\n'})
}

func (d *decoder) fault(path string, offset int, format string, args ...any) {
	d.faults = append(d.faults, Fault{Path: path, Line: d.lineAt(offset), Reason: fmt.Sprintf(format, args...)})
}

// value decodes raw, which starts at offset in the document, into v.
func (d *decoder) value(raw json.RawMessage, offset int, v reflect.Value, path string, depth int) {
	d.lines[path] = d.lineAt(offset)
	switch {
	case depth > maxDepth:
		d.fault(path, offset, "is nested more than %d deep", maxDepth)
	case bytes.Equal(raw, []byte("null")) && v.Kind() == reflect.Slice:
		// Encoders write a nil list as null.
	case bytes.Equal(raw, []byte("null")):
		d.fault(path, offset, "is null, must be %s or be left out", allowed(v.Type()))
	case isText(v.Type()):
		d.leaf(raw, offset, v, path)
	case v.Kind() == reflect.Struct:
		d.object(raw, offset, v, path, depth)
	case v.Kind() == reflect.Slice && v.Type().Elem().Kind() != reflect.Uint8:
		d.list(raw, offset, v, path, depth)
	default:
		d.leaf(raw, offset, v, path)
	}
}

func (d *decoder) leaf(raw json.RawMessage, offset int, v reflect.Value, path string) {
	if err := json.Unmarshal(raw, v.Addr().Interface()); err != nil {
		d.fault(path, offset, "is %s, must be %s", quote(raw), allowed(v.Type()))
	}
}

func (d *decoder) object(raw json.RawMessage, offset int, v reflect.Value, path string, depth int) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	if t, err := dec.Token(); err != nil || t != json.Delim('{') {
		d.fault(path, offset, "is %s, must be an object", quote(raw))
		return
	}

	fields, seen := fieldsOf(v.Type()), map[string]bool{}
	for dec.More() {
		name, value, at := nextField(dec)
		at += offset
		fieldPath := join(path, name)
		index, known := fields[name]
		switch {
		case !known:
			d.fault(fieldPath, at, "is no known field%s", suggestion(name, fields))
		case seen[name]:
			d.fault(fieldPath, at, "occurs twice")
		default:
			d.value(value, at, v.FieldByIndex(index), fieldPath, depth+1)
		}
		seen[name] = true
	}
}

// nextField returns the next name and value of an object, and the offset of the value. The syntax must have been checked before.
func nextField(dec *json.Decoder) (name string, value json.RawMessage, at int) {
	t, _ := dec.Token()
	name, _ = t.(string)
	_ = dec.Decode(&value)

	return name, value, int(dec.InputOffset()) - len(value)
}

func (d *decoder) list(raw json.RawMessage, offset int, v reflect.Value, path string, depth int) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	if t, err := dec.Token(); err != nil || t != json.Delim('[') {
		d.fault(path, offset, "is %s, must be a list", quote(raw))
		return
	}

	out := reflect.MakeSlice(v.Type(), 0, 0)
	for i := 0; dec.More(); i++ {
		var value json.RawMessage
		_ = dec.Decode(&value)
		element := reflect.New(v.Type().Elem()).Elem()
		d.value(value, offset+int(dec.InputOffset())-len(value), element, fmt.Sprintf("%s[%d]", path, i), depth+1)
		out = reflect.Append(out, element)
	}
	v.Set(out)
}

// fieldsOf maps the JSON name of each field of a struct to its index, including the fields of embedded structs.
func fieldsOf(t reflect.Type) map[string][]int {
	fields := map[string][]int{}
	for _, f := range reflect.VisibleFields(t) {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if f.Anonymous || !f.IsExported() || name == "-" {
			continue
		}
		if name == "" {
			name = f.Name
		}
		fields[name] = f.Index
	}

	return fields
}

func suggestion(name string, fields map[string][]int) string {
	for known := range fields {
		if strings.EqualFold(known, name) {
			return fmt.Sprintf(", did you mean %q?", known)
		}
	}

	return ""
}

func isText(t reflect.Type) bool {
	return reflect.PointerTo(t).Implements(reflect.TypeFor[encoding.TextUnmarshaler]()) ||
		reflect.PointerTo(t).Implements(reflect.TypeFor[json.Unmarshaler]())
}

// describer is implemented by types that describe the values they allow.
type describer interface {
	Allowed() string
}

func allowed(t reflect.Type) string {
	if d, ok := reflect.Zero(t).Interface().(describer); ok {
		return d.Allowed()
	}

	switch t.String() {
	case "fleet.Duration":
		return `a duration such as "1m30s"`
	case "netip.AddrPort":
		return `an IP address with a port such as "192.0.2.1:8080"`
	case "time.Time":
		return `a time such as "2026-03-01T08:00:00Z"`
	}

	switch t.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "a text"
	case reflect.Struct:
		return "an object"
	case reflect.Slice:
		return "a list"
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return "a whole number of at least 0"
	case reflect.Float32, reflect.Float64:
		return "a number"
	default:
		return "a whole number"
	}
}

func quote(raw json.RawMessage) string {
	if len(raw) > maxQuoted {
		return string(raw[:maxQuoted]) + "..."
	}

	return string(raw)
}

func join(path, name string) string {
	if path == "" {
		return name
	}

	return path + "." + name
}
