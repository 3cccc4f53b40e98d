package document_test

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"lycheehook.example/lycheehook/document"
)

type item struct {
	Name  string
	Share int      `json:",omitempty"`
	Tags  []string `json:",omitempty"`
	Items []item   `json:",omitempty"`
}

func TestDiff(t *testing.T) {
	a, b := item{Name: "a", Share: 1}, item{Name: "b", Share: 2, Tags: []string{"x", "y"}}
	tests := []struct {
		from, to []item
		want     string
	}{
		{nil, nil, ""},
		{nil, []item{}, ""},
		{nil, []item{a}, `+ Items[a]: {"Name":"a","Share":1}`},
		{[]item{a}, nil, `- Items[a]: {"Name":"a","Share":1}`},
		{[]item{a, b}, []item{b, a}, ""},
		{[]item{a}, []item{a, b}, `+ Items[b]: {"Name":"b","Share":2,"Tags":["x","y"]}`},
		{[]item{a, b}, []item{b}, `- Items[a]: {"Name":"a","Share":1}`},
		{[]item{a}, []item{{Name: "a", Share: 3}}, `~ Items[a].Share: 1 -> 3`},
		{[]item{a}, []item{{Name: "a"}}, `- Items[a].Share: 1`},
		{[]item{b}, []item{{Name: "b", Share: 2, Tags: []string{"y", "x"}}}, `~ Items[b].Tags: ["x","y"] -> ["y","x"]`},
		{[]item{{Name: "c", Items: []item{a, b}}}, []item{{Name: "c", Items: []item{{Name: "b", Share: 5, Tags: b.Tags}}}},
			`- Items[c].Items[a]: {"Name":"a","Share":1}` + "\n" + `~ Items[c].Items[b].Share: 2 -> 5`},
		{[]item{a, a}, []item{a}, `~ Items: [{"Name":"a","Share":1},{"Name":"a","Share":1}] -> [{"Name":"a","Share":1}]`},
	}
	for _, tt := range tests {
		type list struct{ Items []item }
		changes, err := document.Diff(list{tt.from}, list{tt.to})
		if err != nil {
			t.Fatal(err)
		}
		lines := make([]string, len(changes))
		for i, c := range changes {
			lines[i] = c.String()
		}
		if diff := cmp.Diff(tt.want, strings.Join(lines, "\n")); diff != "" {
			t.Errorf("(-want +got):\n%s", diff)
		}
	}
}
