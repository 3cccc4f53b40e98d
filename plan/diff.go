package plan

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Change is one difference between two versions of the lists.
type Change struct {
	// Path is the path of the entry or field, with names as indexes, such as "Customers[ann].Teams[post].Share".
	Path string
	// From and To are the old and new values as JSON; empty means that the entry or field is absent.
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

// Diff returns the changes that turn a into b, sorted by path. The order of entries is ignored.
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

	return collapseEntries(changes, from, to)
}

// collapseEntries replaces the field changes of each added or removed entry with one change of the whole entry.
func collapseEntries(changes []Change, from, to map[string]string) []Change {
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

// entryMark is appended to the path under which flatten stores a whole entry, so that it sorts before the paths of the entry's fields.
const entryMark = "\x00"

// flatten returns every field and every entry of the lists as JSON, keyed by path.
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
			flat[path] = jsonText(v)
		}
	case nil:
	default:
		flat[path] = jsonText(v)
	}
}

// flattenEntries flattens a list of named entries and reports whether list is one.
func flattenEntries(flat map[string]string, path string, list []any) bool {
	for _, e := range list {
		fields, ok := e.(map[string]any)
		if !ok {
			return false
		}
		entry := fmt.Sprintf("%s[%v]", path, fields["Name"])
		flat[entry+entryMark] = jsonText(e)
		flattenInto(flat, entry, e)
	}

	return true
}

func jsonText(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprint(v)
	}

	return string(data)
}
