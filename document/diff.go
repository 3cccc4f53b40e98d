package document

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// nameField is the field by which elements of lists are matched.
const nameField = "Name"

// Change is one difference between two documents.
type Change struct {
	// Path names the field; elements of a list that have a name are given by it, such as Customers[kisumu-clubs].Plan.
	Path string
	// Before and After are JSON; empty stands for a field that is absent.
	Before string `json:",omitempty"`
	After  string `json:",omitempty"`
}

// String returns the change as one line that starts with +, - or ~ for an addition, a removal or another value.
func (c Change) String() string {
	switch {
	case c.Before == "":
		return fmt.Sprintf("+ %s: %s", c.Path, c.After)
	case c.After == "":
		return fmt.Sprintf("- %s: %s", c.Path, c.Before)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", c.Path, c.Before, c.After)
	}
}

// Diff returns what turns one document into another, in the order of the paths. Lists whose elements have names are compared
// without regard to their order.
func Diff(from, to any) ([]Change, error) {
	a, err := plain(from)
	if err != nil {
		return nil, err
	}
	b, err := plain(to)
	if err != nil {
		return nil, err
	}

	return diff(nil, "", a, b), nil
}

// plain returns the document as maps, slices and numbers that keep their digits.
func plain(v any) (any, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return nil, err
	}
	var p any
	err = json.Unmarshal(data, &p)

	return p, err
}

func diff(changes []Change, path string, a, b any) []Change {
	ma, aIsMap := asMap(a)
	mb, bIsMap := asMap(b)
	if !aIsMap || !bIsMap {
		if before, after := text(a), text(b); before != after {
			changes = append(changes, Change{Path: path, Before: before, After: after})
		}

		return changes
	}

	_, aNamed := a.([]any)
	_, bNamed := b.([]any)
	all := map[string]any{}
	maps.Copy(all, ma)
	maps.Copy(all, mb)
	for _, name := range slices.Sorted(maps.Keys(all)) {
		inner := join(path, name)
		if aNamed || bNamed {
			inner = fmt.Sprintf("%s[%s]", path, name)
		}
		va, inA := ma[name]
		vb, inB := mb[name]
		switch {
		case !inA:
			changes = append(changes, Change{Path: inner, After: text(vb)})
		case !inB:
			changes = append(changes, Change{Path: inner, Before: text(va)})
		default:
			changes = diff(changes, inner, va, vb)
		}
	}

	return changes
}

// asMap returns the fields of an object, or the elements of a list by their names if each has one of its own; an absent value has none.
func asMap(v any) (map[string]any, bool) {
	if v == nil {
		return nil, true
	}
	if m, ok := v.(map[string]any); ok {
		return m, true
	}
	list, ok := v.([]any)
	if !ok {
		return nil, false
	}

	m := map[string]any{}
	for _, e := range list {
		fields, _ := e.(map[string]any)
		name, ok := fields[nameField].(string)
		if _, taken := m[name]; !ok || taken {
			return nil, false
		}
		m[name] = e
	}

	return m, true
}

func text(v any) string {
	// What Unmarshal made can be encoded again.
	data, _ := json.Marshal(v)
	return string(data)
}
