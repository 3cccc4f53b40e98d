package entry

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"strconv"
	"strings"
	"testing"

	"lycheehook.example/lycheehook/audit"
	"lycheehook.example/lycheehook/refusal"
	"lycheehook.example/lycheehook/revision"
	"lycheehook.example/lycheehook/standin"
)

// refusalCodes returns the values of all constants of package refusal.
func refusalCodes(t *testing.T) []refusal.Code {
	t.Helper()
	f, err := parser.ParseFile(token.NewFileSet(), "../refusal/refusal.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	var codes []refusal.Code
	ast.Inspect(f, func(n ast.Node) bool {
		if spec, ok := n.(*ast.ValueSpec); ok {
			for _, v := range spec.Values {
				if lit, ok := v.(*ast.BasicLit); ok && lit.Kind == token.STRING {
					text, _ := strconv.Unquote(lit.Value)
					codes = append(codes, refusal.Code(text))
				}
			}
		}

		return true
	})

	return codes
}

// section returns the text of a page between a heading and the next one of the same level.
func section(t *testing.T, page, heading string) string {
	t.Helper()
	data, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	_, rest, found := strings.Cut(string(data), "\n## "+heading+"\n")
	if !found {
		t.Fatalf("%s has no heading %s", page, heading)
	}
	part, _, _ := strings.Cut(rest, "\n## ")

	return part
}

func TestErrorCodesDocumented(t *testing.T) {
	callers := section(t, "../docs/INTERFACE.md", "Callers")
	codes := refusalCodes(t)
	for _, c := range codes {
		if !strings.Contains(callers, fmt.Sprintf("| `%s` | %d | ", c, httpStatus(c))) {
			t.Errorf("docs/INTERFACE.md lacks %s with status %d", c, httpStatus(c))
		}
	}
	if rows := strings.Count(callers, "\n| `") - strings.Count(callers, "Size-Slots") - 4; rows != len(codes) {
		t.Errorf("docs/INTERFACE.md has %d codes for callers, the code %d", rows, len(codes))
	}

	operators := section(t, "../docs/INTERFACE.md", "Operators")
	for c, status := range operatorStatuses {
		if !strings.Contains(operators, fmt.Sprintf("| `%s` | %d | ", c, status)) {
			t.Errorf("docs/INTERFACE.md lacks %s with status %d", c, status)
		}
	}
}

func TestMetricsDocumented(t *testing.T) {
	metrics := section(t, "../docs/OPERATIONS.md", "Metrics")
	c := standin.NewStore().Client()
	r := newRegistry()
	m := newOperatorMetrics(r, revision.New(c), audit.New(c, "entry-1"))
	m.requests.WithLabelValues("None", "200").Inc()
	families, err := r.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range families {
		if name := f.GetName(); strings.HasPrefix(name, "lycheehook_") && !strings.Contains(metrics, "| `"+name+"` |") {
			t.Errorf("docs/OPERATIONS.md lacks %s", name)
		}
	}
}
