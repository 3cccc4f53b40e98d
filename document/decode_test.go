package document_test

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"lycheehook.example/lycheehook/document"
	"lycheehook.example/lycheehook/fleet"
)

type inner struct {
	Name string
	Wait fleet.Duration
}

type embedded struct{ Extra int }

type outer struct {
	embedded
	Exported
	Address netip.AddrPort
	Count   int
	Inner   inner
	List    []inner
	Names   []string
	Hidden  string `json:"-"`
}

// Exported is embedded in outer.
type Exported struct{ Flag bool }

func TestDecodeFaults(t *testing.T) {
	tests := []struct{ in, want string }{
		{`{}`, ""},
		{`{"Count": 1, "Flag": true, "Inner": {"Name": "x", "Wait": "1s"}, "List": [{"Name": "y"}], "Names": ["a"]}`, ""},
		{``, "line 1: not JSON: unexpected end of JSON input"},
		{"{\n\"Count\": 1,\n}", "line 3: not JSON: invalid character '}' looking for beginning of object key string"},
		{`{} {}`, "line 1: not JSON: invalid character '{' after top-level value"},
		{`[1]`, "line 1: is [1], must be an object"},
		{`{"count": 1}`, `line 1: count: is no known field, did you mean "Count"?`},
		{`{"Hidden": "x"}`, "line 1: Hidden: is no known field"},
		{`{"Extra": 1}`, ""},
		{"{\"Count\": 1,\n\"Count\": 2}", "line 2: Count: occurs twice"},
		{`{"Count": null}`, "line 1: Count: is null, must be a whole number or be left out"},
		{`{"List": null, "Inner": null}`, "line 1: Inner: is null, must be an object or be left out"},
		{`{"Count": 1.5}`, "line 1: Count: is 1.5, must be a whole number"},
		{`{"Count": 99999999999999999999}`, "line 1: Count: is 99999999999999999999, must be a whole number"},
		{`{"Address": "example.org:80"}`, `line 1: Address: is "example.org:80", must be an IP address with a port such as "192.0.2.1:8080"`},
		{`{"Inner": [], "Names": {}}`, "line 1: Inner: is [], must be an object\nline 1: Names: is {}, must be a list"},
		{
			"{\n \"Inner\": {\"Wait\": \"soon\"},\n \"List\": [{},\n  {\"Nme\": 1, \"Wait\": 5}],\n \"Names\": [7]}",
			"line 2: Inner.Wait: is \"soon\", must be a duration such as \"1m30s\"\nline 4: List[1].Nme: is no known field\n" +
				"line 4: List[1].Wait: is 5, must be a duration such as \"1m30s\"\nline 5: Names[0]: is 7, must be a text",
		},
	}
	for _, tt := range tests {
		var v outer
		_, faults := document.Decode([]byte(tt.in), &v)
		if diff := cmp.Diff(tt.want, document.Text(faults)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", tt.in, diff)
		}
	}
}

func TestDecodeKeepsValidFields(t *testing.T) {
	var v outer
	lines, faults := document.Decode([]byte("{\"Count\": 3,\n\"Bad\": 1,\n\"List\": [\n{\"Name\": \"a\"}]}"), &v)
	if v.Count != 3 || len(v.List) != 1 || v.List[0].Name != "a" || len(faults) != 1 {
		t.Errorf("decoded %+v, faults %v", v, faults)
	}
	for path, want := range map[string]int{"": 1, "List[0].Name": 4, "List[0].Wait": 4, "Inner.Name": 1, "List[7]": 3} {
		if got := lines.Of(path); got != want {
			t.Errorf("line of %q is %d, want %d", path, got, want)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"Count": 1, "List": [{"Name": "x", "Wait": "1s"}]}`))
	f.Add([]byte(`{"Inner": null, "Address": 3}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var v outer
		_, faults := document.Decode(data, &v)
		for _, fault := range faults {
			if fault.Reason == "" || fault.Line > 1+strings.Count(string(data), "\n") {
				t.Errorf("fault %+v of %q", fault, data)
			}
		}
	})
}

func ExampleDecode() {
	var v struct{ Name string }
	_, faults := document.Decode([]byte("{\n  \"Name\": 7,\n  \"Team\": \"x\"\n}"), &v)
	fmt.Println(document.Text(faults))
	// Output:
	// line 2: Name: is 7, must be a text
	// line 3: Team: is no known field
}
