package document

import (
	"fmt"
	"strings"
)

// Fault is one thing wrong with a document.
type Fault struct {
	// Path names the field, such as Limits.MaxBodyBytes or Customers[2].Name; it is empty for the document as a whole.
	Path string
	// Line counts from 1; zero means unknown.
	Line int `json:",omitempty"`
	// Reason names the value and what is allowed.
	Reason string
}

// String returns the fault as "line N: path: reason", without the parts that are unknown.
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

// Text returns the faults one per line.
func Text(faults []Fault) string {
	lines := make([]string, len(faults))
	for i, f := range faults {
		lines[i] = f.String()
	}

	return strings.Join(lines, "\n")
}
