package plan

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Change is one difference between two pairs of lists.
type Change struct {
	// Path names the entry and the field, with names in place of positions, such as "Customers[ann].Teams[post].Share".
	Path string
	// From and To are the values as JSON; empty means that there is none.
	From string `json:",omitempty"`
	To   string `json:",omitempty"`
}

// String returns the change as a line that starts with "+", "-" or "~".
func (c Change) String() string {
	switch {
	case c.From == "":
		return fmt.Sprintf("+ %s: %s", c.Path, c.To)
	case c.To == "":
		return fmt.Sprintf("- %s: %s", c.Path, c.From)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", c.Path, c.From, c.To)
	}
}

// Diff returns what has to change in a to make it b, in the order of paths; the order of entries does not matter.
func Diff(a, b Lists) []Change {
	from, to := flatten(a), flatten(b)
	var changes []Change
	for path := range from {
		if from[path] != to[path] {
			changes = append(changes, Change{Path: path, From: from[path], To: to[path]})
		}
	}
	for path := range to {
		if _, ok := from[path]; !ok {
			changes = append(changes, Change{Path: path, To: to[path]})
		}
	}
	slices.SortFunc(changes, func(x, y Change) int { return strings.Compare(x.Path, y.Path) })

	return whole(changes, from, to)
}

// whole puts one change in place of the fields of an entry that was added or removed as a whole.
func whole(changes []Change, from, to map[string]string) []Change {
	var out []Change
	covered := ""
	for _, c := range changes {
		if covered != "" && strings.HasPrefix(c.Path, covered) {
			continue
		}
		covered = ""
		if c.From == "" || c.To == "" {
			if _, ok := from[c.Path+entryMark]; ok {
				continue
			}
			if _, ok := to[c.Path+entryMark]; ok {
				continue
			}
		}
		if entry, ok := strings.CutSuffix(c.Path, entryMark); ok {
			if c.From != "" && c.To != "" {
				continue
			}
			covered = entry
			c.Path = entry
		}
		out = append(out, c)
	}

	return out
}

// entryMark ends the path under which flatten keeps a whole entry; it sorts before the paths of its fields.
const entryMark = "\x00"

// flatten returns every field and every entry of the lists by its path.
func flatten(l Lists) map[string]string {
	flat := map[string]string{}
	data, err := json.Marshal(l.Canonical())
	if err != nil {
		return flat
	}

	var tree any
	dec := json.NewDecoder(strings.NewReader(string(data)))
	dec.UseNumber()
	if err := dec.Decode(&tree); err != nil {
		return flat
	}
	flattenInto(flat, "", tree)

	return flat
}

func flattenInto(flat map[string]string, path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for _, name := range slices.Sorted(maps.Keys(v)) {
			field := name
			if path != "" {
				field = path + "." + name
			}
			flattenInto(flat, field, v[name])
		}
	case []any:
		if !flattenEntries(flat, path, v) {
			flat[path] = text(v)
		}
	case nil:
	default:
		flat[path] = text(v)
	}
}

// flattenEntries flattens a list of named entries and reports whether it is one.
func flattenEntries(flat map[string]string, path string, list []any) bool {
	for _, e := range list {
		fields, ok := e.(map[string]any)
		if !ok {
			return false
		}
		entry := fmt.Sprintf("%s[%v]", path, fields["Name"])
		flat[entry+entryMark] = text(e)
		flattenInto(flat, entry, e)
	}

	return true
}

func text(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprint(v)
	}

	return string(data)
}
