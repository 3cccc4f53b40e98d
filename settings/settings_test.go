package settings_test

import (
	"errors"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/settings"
)

const (
	hash  = "AAAAAAAAAAAAAAAAAAAAAA.AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA"
	valid = `{
  "Name": "entry-1",
  "Region": "region-1",
  "Zone": "zone-a",
  "CallerAddress": "127.0.0.1:8080",
  "OperatorAddress": "127.0.0.1:8081",
  "StoreAddress": "127.0.0.1:9000",
  "PlatformAddress": "127.0.0.1:9001",
  "Operators": [{"Name": "wanjiru", "TokenHash": "` + hash + `"}]
}`
)

func TestParseSetsDefaults(t *testing.T) {
	s, err := settings.Parse([]byte(valid))
	if err != nil {
		t.Fatal(err)
	}
	d := settings.Default()
	if diff := cmp.Diff([]any{d.Limits, d.Log, d.MaxRequestTime}, []any{s.Limits, s.Log, s.MaxRequestTime}); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
	if got := (settings.Settings{MaxRequestTime: fleet.Duration(time.Second)}).WithDefaults(); got.MaxRequestTime != fleet.Duration(time.Second) ||
		got.StopLimit != d.StopLimit {
		t.Errorf("WithDefaults gave %+v", got)
	}
}

func TestParseReportsFault(t *testing.T) {
	tests := []struct{ old, new, want string }{
		{`"entry-1"`, `"Entry 1"`, `line 2: Name: is "Entry 1", must be 1 to 63 of`},
		{`"Name": "entry-1",`, ``, `line 1: Name: is "", must be`},
		{`"region-1"`, `7`, `line 3: Region: is 7, must be a text`},
		{`"zone-a"`, `"../x"`, `line 4: Zone: is "../x", must be`},
		{`"127.0.0.1:8080"`, `"entry.example:8080"`, `line 5: CallerAddress: is "entry.example:8080", must be an IP address with a port`},
		{`"127.0.0.1:8080"`, `"127.0.0.1:0"`, `line 5: CallerAddress: is "127.0.0.1:0", must be an IP address with a port of 1 to 65535`},
		{`"127.0.0.1:8081"`, `"127.0.0.1:8080"`, `line 6: OperatorAddress: is 127.0.0.1:8080, must differ from CallerAddress`},
		{`"StoreAddress": "127.0.0.1:9000",`, ``, `line 1: StoreAddress: is "", must be an IP address`},
		{`"Zone"`, `"Zome"`, `line 4: Zome: is no known field`},
		{`"Zone"`, `"OperatorToken": "x", "Zone"`, `line 4: OperatorToken: is no known field`},
		{`"Zone"`, `"PeerAddress": "0.0.0.0:1", "Zone"`, `line 4: PeerAddress: is 0.0.0.0:1, must be an address at which the other`},
		{`"Zone"`, `"PeerAddress": "127.0.0.1:1", "Zone"`, `TLS.Peers.CAFile: is empty, must name a file, because PeerAddress`},
		{`"Zone"`, `"TLS": {"Callers": {"KeyFile": "/no/such"}}, "Zone"`, `line 4: TLS.Callers.CertificateFile: is empty, must name a file`},
		{`"Zone"`, `"TLS": {"Callers": {"KeyFile": "/no/such"}}, "Zone"`, `line 4: TLS.Callers.KeyFile: is "/no/such", must be a file that can be read`},
		{`"Zone"`, `"Log": {"Level": "Loud", "Format": "xml"}, "Zone"`, `Log.Level: is "Loud", must be one of Debug, Info, Warn, Error`},
		{`"Zone"`, `"Log": {"Level": "Loud", "Format": "xml"}, "Zone"`, `Log.Format: is "xml", must be one of Logfmt, JSON`},
		{`"Zone"`, `"Limits": {"MaxHeaderBytes": 1}, "Zone"`, `Limits.MaxHeaderBytes: is 1, must be 4096 to 1048576`},
		{`"Zone"`, `"Limits": {"MaxBodyBytes": -1}, "Zone"`, `Limits.MaxBodyBytes: is -1, must be 1024 to 67108864`},
		{`"Zone"`, `"Limits": {"IdleTimeout": "0s"}, "Zone"`, `Limits.IdleTimeout: is 0s, must be 100ms to 1h0m0s`},
		{`"Zone"`, `"StopLimit": "1s", "Zone"`, `line 4: StopLimit: is 1s, must be MaxRequestTime (10m0s) to 24h0m0s`},
		{`"Zone"`, `"MaxRequestTime": 5, "Zone"`, `line 4: MaxRequestTime: is 5, must be a duration such as "1m30s"`},
		{hash, `secret`, `line 9: Operators[0].TokenHash: is "secret", must be a salted hash "SALT.HASH"`},
		{`"wanjiru"`, `""`, `line 9: Operators[0].Name: is "", must be`},
		{`{"Name": "wanjiru"`, `{"Name": "wanjiru"}, {"Name": "wanjiru"`, `line 9: Operators[1].Name: is "wanjiru", which another operator has`},
		{`{"Name": "wanjiru"`, `{"Name": "a"}, {"Name": "wanjiru"`, `line 9: Operators[0].TokenHash: is empty, must be a salted hash`},
	}
	for _, tt := range tests {
		in := strings.Replace(valid, tt.old, tt.new, 1)
		if _, err := settings.Parse([]byte(in)); !errors.Is(err, settings.ErrInvalid) || !strings.Contains(err.Error(), tt.want) {
			t.Errorf("%s in place of %s: %v; want %q", tt.new, tt.old, err, tt.want)
		}
	}
}

func TestParseReportsAllFaults(t *testing.T) {
	_, err := settings.Parse([]byte(`{"Name": "X", "Zome": 1, "CallerAddress": "nowhere"}`))
	if err == nil {
		t.Fatal("no error")
	}
	for _, path := range []string{"Name", "Region", "Zome", "Zone", "CallerAddress", "OperatorAddress", "StoreAddress", "PlatformAddress", "Operators"} {
		if strings.Count(err.Error(), " "+path+": ") != 1 {
			t.Errorf("%s is not reported exactly once in:\n%v", path, err)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte(`{"Limits": {"MaxBodyBytes": 1}, "Operators": [{}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := settings.Parse(data)
		if err != nil && !errors.Is(err, settings.ErrInvalid) {
			t.Errorf("error is not ErrInvalid: %v", err)
		}
		if err == nil && len(s.Faults()) > 0 {
			t.Errorf("accepted %q with faults %v", data, s.Faults())
		}
	})
}

// The documentation lists every setting by its full path.
func TestSettingsAreDocumented(t *testing.T) {
	doc, err := os.ReadFile("../docs/INTERFACE.md")
	if err != nil {
		t.Fatal(err)
	}
	var walk func(t reflect.Type, path string) []string
	walk = func(t reflect.Type, path string) (paths []string) {
		for _, f := range reflect.VisibleFields(t) {
			inner := path + f.Name
			switch {
			case f.Type.Kind() == reflect.Struct && f.Type.PkgPath() == t.PkgPath():
				paths = append(paths, walk(f.Type, inner+".")...)
			case f.Type.Kind() == reflect.Slice && f.Type.Elem().PkgPath() == t.PkgPath():
				paths = append(paths, walk(f.Type.Elem(), inner+"[].")...)
			default:
				paths = append(paths, inner)
			}
		}

		return paths
	}
	paths := walk(reflect.TypeFor[settings.Settings](), "")
	if len(paths) < 20 {
		t.Errorf("only %d settings found", len(paths))
	}
	for _, path := range paths {
		if !strings.Contains(string(doc), "| `"+path+"` |") {
			t.Errorf("docs/INTERFACE.md lacks %s", path)
		}
	}
}
