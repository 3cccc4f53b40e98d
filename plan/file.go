package plan

import (
	"bytes"
	"encoding"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"sort"
	"strings"
)

// File is the name and content of a list's file.
type File struct {
	Name string
	Data []byte
}

// CheckFiles decodes and checks both lists and returns them with every fault, each with its path and line.
func CheckFiles(customers, plans File) (Lists, []Fault) {
	var l Lists
	c, p := newDocument(customers), newDocument(plans)
	faults := append(c.decode(&l.CustomersList), p.decode(&l.PlansList)...)
	if len(faults) > 0 {
		return l, faults
	}

	for _, f := range l.Faults() {
		d := p
		if strings.HasPrefix(f.Path, "Customers") {
			d = c
		}
		faults = append(faults, d.locate(f))
	}

	return l, faults
}

// document is a JSON document with the offset of each of its values.
type document struct {
	file File
	// lines holds the offset at which each line starts.
	lines []int
	// offsets maps the path of each value to its offset.
	offsets map[string]int
	faults  []Fault
}

func newDocument(f File) *document {
	d := &document{file: f, offsets: map[string]int{}, lines: []int{0}}
	for i, b := range f.Data {
		if b == '\n' {
			d.lines = append(d.lines, i+1)
		}
	}

	return d
}

// decode decodes the document into list and returns its syntax faults and its unknown, duplicate and mistyped fields.
func (d *document) decode(list any) []Fault {
	if len(d.file.Data) > MaxListSize {
		return []Fault{{File: d.file.Name, Line: 1, Reason: fmt.Sprintf("must be at most %d bytes, is %d", MaxListSize, len(d.file.Data))}}
	}

	dec := json.NewDecoder(bytes.NewReader(d.file.Data))
	dec.UseNumber()
	if err := d.walk(dec, reflect.TypeOf(list).Elem(), ""); err != nil {
		return append(d.faults, d.faultAt("", syntaxOffset(err, dec), "is not JSON: "+strings.TrimPrefix(err.Error(), "json: ")))
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		d.faults = append(d.faults, d.faultAt("", int(dec.InputOffset()), "data after the end of the list"))
	}
	if len(d.faults) > 0 {
		return d.faults
	}
	if err := json.Unmarshal(d.file.Data, list); err != nil {
		return []Fault{d.unmarshalFault(err)}
	}

	return nil
}

func syntaxOffset(err error, dec *json.Decoder) int {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return int(syntax.Offset)
	}

	return int(dec.InputOffset())
}

func (d *document) unmarshalFault(err error) Fault {
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) {
		return d.faultAt(wrong.Field, int(wrong.Offset), fmt.Sprintf("must not be a %s", wrong.Value))
	}

	return d.faultAt("", 0, err.Error())
}

// faultAt returns a fault with the line of an offset.
func (d *document) faultAt(path string, offset int, reason string) Fault {
	line := sort.SearchInts(d.lines, offset+1)
	return Fault{Path: path, Reason: reason, File: d.file.Name, Line: max(line, 1)}
}

// locate returns the fault with its line. If the field is absent, the line is that of the innermost enclosing value.
func (d *document) locate(f Fault) Fault {
	for path := f.Path; ; {
		if offset, ok := d.offsets[path]; ok {
			return d.faultAt(f.Path, offset, f.Reason)
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			return d.faultAt(f.Path, 0, f.Reason)
		}
		path = path[:cut]
	}
}

// walk reads one value, which should be of type t, and records its offset and its faults.
func (d *document) walk(dec *json.Decoder, t reflect.Type, path string) error {
	start := d.nextValue(int(dec.InputOffset()))
	d.offsets[path] = start
	tok, err := dec.Token()
	if err != nil {
		return err
	}

	switch tok {
	case json.Delim('{'):
		if t.Kind() != reflect.Struct {
			d.faults = append(d.faults, d.faultAt(path, start, "must not be an object"))
		}
		return d.walkObject(dec, t, path)
	case json.Delim('['):
		if t.Kind() != reflect.Slice {
			d.faults = append(d.faults, d.faultAt(path, start, "must not be an array"))
		}
		return d.walkArray(dec, t, path)
	}
	if reason := scalarFault(tok, t); reason != "" {
		d.faults = append(d.faults, d.faultAt(path, start, reason))
	}

	return nil
}

// nextValue returns the offset of the first value or name at or after offset.
func (d *document) nextValue(offset int) int {
	for offset < len(d.file.Data) && strings.IndexByte(" \t\r\n,:", d.file.Data[offset]) >= 0 {
		offset++
	}

	return offset
}

func (d *document) walkObject(dec *json.Decoder, t reflect.Type, path string) error {
	seen := map[string]bool{}
	for dec.More() {
		offset := d.nextValue(int(dec.InputOffset()))
		tok, err := dec.Token()
		if err != nil {
			return err
		}
		name, _ := tok.(string)
		field := name
		if path != "" {
			field = path + "." + name
		}
		if seen[name] {
			d.faults = append(d.faults, d.faultAt(field, offset, "is there twice"))
		}
		seen[name] = true

		ft, known := fieldType(t, name)
		if !known && t.Kind() == reflect.Struct {
			d.faults = append(d.faults, d.faultAt(field, offset, "is not a field of the list"))
		}
		if err := d.walk(dec, ft, field); err != nil {
			return err
		}
	}
	_, err := dec.Token()

	return err
}

func (d *document) walkArray(dec *json.Decoder, t reflect.Type, path string) error {
	elem := anyType
	if t.Kind() == reflect.Slice {
		elem = t.Elem()
	}
	for i := 0; dec.More(); i++ {
		if err := d.walk(dec, elem, fmt.Sprintf("%s[%d]", path, i)); err != nil {
			return err
		}
	}
	_, err := dec.Token()

	return err
}

var (
	anyType       = reflect.TypeFor[any]()
	unmarshalText = reflect.TypeFor[encoding.TextUnmarshaler]()
)

// fieldType returns the type of the struct field with this exact JSON name, and whether there is one.
func fieldType(t reflect.Type, name string) (reflect.Type, bool) {
	if t.Kind() != reflect.Struct {
		return anyType, false
	}
	f, ok := t.FieldByName(name)
	if !ok || f.Tag.Get("json") == "-" || f.Anonymous {
		return anyType, false
	}

	return f.Type, true
}

// scalarFault returns why a scalar value cannot be of type t, or "".
func scalarFault(tok json.Token, t reflect.Type) string {
	if t == anyType {
		return ""
	}
	want := kindOf(t)
	have := "null"
	switch v := tok.(type) {
	case nil:
		// Go encodes a nil slice as null.
		if want == "array" {
			return ""
		}
	case string:
		have = "string"
		if want == have && reflect.PointerTo(t).Implements(unmarshalText) {
			return textFault(v, t)
		}
	case bool:
		have = "boolean"
	case json.Number:
		have = "number"
		if want == "integer" {
			if _, err := v.Int64(); err != nil {
				return fmt.Sprintf("must be an integer of 64 bits, is %s", v)
			}
			have = want
		}
	}
	if have != want {
		return fmt.Sprintf("must be %s, is %s", article(want), article(have))
	}

	return ""
}

func textFault(text string, t reflect.Type) string {
	v, ok := reflect.New(t).Interface().(encoding.TextUnmarshaler)
	if !ok {
		return ""
	}
	if err := v.UnmarshalText([]byte(text)); err != nil {
		return err.Error()
	}

	return ""
}

// kindOf returns the JSON type that a Go type is encoded as.
func kindOf(t reflect.Type) string {
	if reflect.PointerTo(t).Implements(unmarshalText) {
		return "string"
	}
	switch t.Kind() {
	case reflect.Struct:
		return "object"
	case reflect.Slice:
		return "array"
	case reflect.Bool:
		return "boolean"
	case reflect.Int, reflect.Int64:
		return "integer"
	default:
		return "string"
	}
}

func article(kind string) string {
	switch kind {
	case "object", "array", "integer":
		return "an " + kind
	case "null":
		return kind
	default:
		return "a " + kind
	}
}
