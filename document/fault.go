package document

import (
	"fmt"
	"strings"
)

// Fault is one fault of a document.
type Fault struct {
	// Path is the path of the field, such as Limits.MaxBodyBytes or Customers[2].Name; empty for the document as a whole.
	Path string
	// Line is the line number, starting at 1; zero if unknown.
	Line int `json:",omitempty"`
	// Reason states the value and which values are allowed.
	Reason string
}

// String returns the fault as "line N: path: reason", omitting an unknown line and an empty path.
func (f Fault) String() string {
	var b strings.Builder
	if f.Line > 0 {
		fmt.Fprintf(&b, "line %d: ", f.Line)
	}
	if f.Path != "" {
		b.WriteString(f.Path + ": ")
	}
	b.WriteString(f.Reason)

	return b.String()
}

// Text returns the faults joined by newlines.
func Text(faults []Fault) string {
	lines := make([]string, len(faults))
	for i, f := range faults {
		lines[i] = f.String()
	}

	return strings.Join(lines, "\n")
}
