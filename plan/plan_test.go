package plan_test

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/plan"
)

const customersFile = `{
  "Customers": [
    {
      "Name": "nairobi",
      "Plan": "ledger",
      "SignedUp": "2011-03-01",
      "Teams": [
        {"Name": "post", "Share": 4, "UpperLimit": {"Slots": 8}},
        {"Name": "read", "Share": 1, "UpperLimit": {"Slots": 4}}
      ]
    }
  ]
}
`

const plansFile = `{
  "Plans": [{"Name": "ledger", "Queues": ["post"], "UpperLimit": {"Slots": 10}, "Claim": {"Slots": 2}}],
  "Queues": [{"Name": "post", "Pool": "a", "MaxLength": 10, "MaxWait": "30s"}],
  "Pools": [{"Name": "a", "MinHosts": 2}, {"Name": "spare", "Spare": true}],
  "Budgets": [{"Name": "a", "Pools": ["a"], "MaxUnavailable": 1}]
}
`

// TestFaultPathsAndLines changes one value in valid files and compares the reported faults.
func TestFaultPathsAndLines(t *testing.T) {
	for _, c := range []struct {
		old, changed, want string
	}{
		{`"Share": 4`, `"Share": 4`, ``},
		{`"Share": 4`, `"Share": 0`, `c.json:8: Customers[0].Teams[0].Share: must be from 1 to 1099511627776, is 0`},
		{`"Share": 1`, `"Share": "x"`, `c.json:9: Customers[0].Teams[1].Share: must be an integer, is a string`},
		{`"Share": 1`, `"Share": 1.5`, `c.json:9: Customers[0].Teams[1].Share: must be an integer of 64 bits, is 1.5`},
		{`"Share": 1`, `"share": 1`, `c.json:9: Customers[0].Teams[1].share: is not a field of the list`},
		{`"Share": 1`, `"Share": 1, "Share": 2`, `c.json:9: Customers[0].Teams[1].Share: is there twice`},
		{`"Name": "read"`, `"Name": "post"`, `c.json:9: Customers[0].Teams[1].Name: "post" is taken already`},
		{`"Name": "read"`, `"Name": "a/b"`, `c.json:9: Customers[0].Teams[1].Name: "a/b" may have letters, digits, '-', '_' and '.' only`},
		{`"Name": "nairobi"`, `"Name": "Kōwhai"`, ``},
		{`"Name": "nairobi",`, ``, `c.json:3: Customers[0].Name: must not be empty`},
		{`"Plan": "ledger"`, `"Plan": "gold"`, `c.json:5: Customers[0].Plan: plan "gold" does not exist`},
		{`2011-03-01`, `2011-13-01`, `c.json:6: Customers[0].SignedUp: "2011-13-01" is not a day as YYYY-MM-DD`},
		{`{"Slots": 4}`, `{"Slots": -4}`, `c.json:9: Customers[0].Teams[1].UpperLimit.Slots: must be from 0 to 1099511627776, is -4`},
		{`{"Slots": 4}`, `[4]`, `c.json:9: Customers[0].Teams[1].UpperLimit: must not be an array`},
		{`"Queues": ["post"]`, `"Queues": ["post", "post", "x"]`, `p.json:2: Plans[0].Queues[1]: queue "post" is named already` + "\n" + `p.json:2: Plans[0].Queues[2]: queue "x" does not exist`},
		{`"Claim": {"Slots": 2}`, `"Claim": {"Slots": 12}`, `p.json:2: Plans[0].Claim: must fit in the plan's UpperLimit`},
		{`"Pool": "a"`, `"Pool": "z"`, `p.json:3: Queues[0].Pool: pool "z" does not exist`},
		{`"MaxLength": 10`, `"MaxLength": 0`, `p.json:3: Queues[0].MaxLength: must be at least 1, is 0`},
		{`"30s"`, `"-1s"`, `p.json:3: Queues[0].MaxWait: must not be negative, is -1s`},
		{`"30s"`, `"half an hour"`, `p.json:3: Queues[0].MaxWait: time: invalid duration "half an hour"`},
		{`"MinHosts": 2`, `"MinHosts": -2, "Spare": true`, `p.json:4: Pools[0].MinHosts: must not be negative, is -2` + "\n" + `p.json:4: Pools[1].Spare: pool "a" is the spare already`},
		{`"Pools": ["a"]`, `"Pools": ["z"]`, `p.json:5: Budgets[0].Pools[0]: pool "z" does not exist`},
		{`"Pools": ["a"]`, `"Plans": ["z"]`, `p.json:5: Budgets[0].Plans[0]: plan "z" does not exist`},
		{`"MaxUnavailable": 1`, `"MaxUnavailable": -1`, `p.json:5: Budgets[0].MaxUnavailable: must not be negative, is -1`},
		{`"Budgets": [`, `"Budgets": 5 [`, `p.json:5: Budgets: must be an array, is a number` + "\n" + `p.json:5: : is not JSON: invalid character '[' after object key:value pair`},
		{`"Share": 4`, `"Share": `, `c.json:8: : is not JSON: invalid character ',' looking for beginning of value`},
	} {
		files := customersFile + plansFile
		if !strings.Contains(files, c.old) {
			t.Fatalf("files do not contain %s", c.old)
		}
		_, faults := plan.CheckFiles(
			plan.File{Name: "c.json", Data: []byte(strings.Replace(customersFile, c.old, c.changed, 1))},
			plan.File{Name: "p.json", Data: []byte(strings.Replace(plansFile, c.old, c.changed, 1))},
		)
		lines := make([]string, 0, len(faults))
		for _, f := range faults {
			lines = append(lines, f.String())
		}
		if diff := cmp.Diff(c.want, strings.Join(lines, "\n")); diff != "" {
			t.Errorf("%s -> %s (-want +got):\n%s", c.old, c.changed, diff)
		}
	}
}

// TestSizeLimits builds lists that exceed the limits.
func TestSizeLimits(t *testing.T) {
	l := sample(t)
	for i := range plan.MaxTeamsPerCustomer {
		l.Customers[0].Teams = append(l.Customers[0].Teams, fleet.Team{Name: fleet.TeamName(fmt.Sprint("t", i)), Share: 1})
	}
	for i := range plan.MaxCustomers {
		l.Customers = append(l.Customers, fleet.Customer{Name: fleet.CustomerName(fmt.Sprint("c", i)), Plan: "ledger"})
	}
	for i := range plan.MaxPlanEntries {
		l.Pools = append(l.Pools, fleet.Pool{Name: fleet.PoolName(fmt.Sprint("p", i))})
	}
	faults := l.Faults()
	paths := make([]string, 0, len(faults))
	for _, f := range faults {
		paths = append(paths, f.Path)
	}
	if diff := cmp.Diff([]string{"Customers", "Pools", "Customers[0].Teams"}, paths); diff != "" {
		t.Errorf("faults (-want +got):\n%s", diff)
	}

	_, err := plan.ParsePlans(make([]byte, plan.MaxListSize+1))
	if !errors.Is(err, plan.ErrInvalid) {
		t.Errorf("file above the size limit: %v", err)
	}
}

func sample(tb testing.TB) plan.Lists {
	tb.Helper()
	l, faults := plan.CheckFiles(plan.File{Data: []byte(customersFile)}, plan.File{Data: []byte(plansFile)})
	if len(faults) > 0 {
		tb.Fatal(faults)
	}

	return l
}

// edited returns an edited deep copy of the lists.
func edited(l plan.Lists, edit func(*plan.Lists)) plan.Lists {
	data, err := json.Marshal(l)
	if err != nil {
		panic(err)
	}
	var c plan.Lists
	if err := json.Unmarshal(data, &c); err != nil {
		panic(err)
	}
	edit(&c)

	return c
}

func TestDiffText(t *testing.T) {
	base := sample(t)
	for _, c := range []struct {
		name string
		edit func(*plan.Lists)
		want []string
	}{
		{"nothing", func(*plan.Lists) {}, []string{}},
		{"another order", func(l *plan.Lists) {
			teams := l.Customers[0].Teams
			teams[0], teams[1] = teams[1], teams[0]
			l.Pools[0], l.Pools[1] = l.Pools[1], l.Pools[0]
		}, []string{}},
		{"a field", func(l *plan.Lists) { l.Customers[0].Teams[0].UpperLimit.Slots = 9 }, []string{
			"~ Customers[nairobi].Teams[post].UpperLimit.Slots: 8 -> 9",
		}},
		{"a field that comes and one that goes", func(l *plan.Lists) {
			l.Customers[0].SignedUp, l.Customers[0].Teams[1].Workspace = "", "w"
		}, []string{`- Customers[nairobi].SignedUp: "2011-03-01"`, `+ Customers[nairobi].Teams[read].Workspace: "w"`}},
		{"an entry that goes and one that comes", func(l *plan.Lists) {
			l.Customers[0].Teams = l.Customers[0].Teams[:1]
			l.Queues = append(l.Queues, fleet.Queue{Name: "more", Pool: "a", MaxLength: 1})
		}, []string{
			`- Customers[nairobi].Teams[read]: {"Name":"read","Share":1,"UpperLimit":{"Slots":4}}`,
			`+ Queues[more]: {"MaxLength":1,"MaxWait":"0s","Name":"more","Pool":"a"}`,
		}},
		{"a list in an entry", func(l *plan.Lists) { l.Plans[0].Queues = nil }, []string{`- Plans[ledger].Queues: ["post"]`}},
	} {
		changes := plan.Diff(base, edited(base, c.edit))
		got := make([]string, 0, len(changes))
		for _, ch := range changes {
			got = append(got, ch.String())
		}
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, diff)
		}
	}
}

func TestMerge(t *testing.T) {
	base := sample(t)
	limit := func(team int, slots int64) func(*plan.Lists) {
		return func(l *plan.Lists) { l.Customers[0].Teams[team].UpperLimit.Slots = slots }
	}
	both := func(a, b func(*plan.Lists)) func(*plan.Lists) {
		return func(l *plan.Lists) {
			a(l)
			b(l)
		}
	}
	removeTeam := func(l *plan.Lists) { l.Customers[0].Teams = l.Customers[0].Teams[:1] }
	removeCustomer := func(l *plan.Lists) { l.Customers = nil }
	addPool := func(l *plan.Lists) { l.Pools = append(l.Pools, fleet.Pool{Name: "b"}) }
	keep := func(*plan.Lists) {}
	for _, c := range []struct {
		name               string
		ours, theirs, want func(*plan.Lists)
		conflicts          string
	}{
		{"one side only", limit(0, 9), keep, limit(0, 9), ""},
		{"other side only", keep, limit(0, 9), limit(0, 9), ""},
		{"different teams", limit(0, 9), limit(1, 5), both(limit(0, 9), limit(1, 5)), ""},
		{"same change", limit(0, 9), limit(0, 9), limit(0, 9), ""},
		{"same team", limit(0, 9), limit(0, 10), nil, "Customers[nairobi].Teams[post]"},
		{"removal and change elsewhere", removeTeam, limit(0, 9), both(limit(0, 9), removeTeam), ""},
		{"removal of what changed", removeTeam, limit(1, 9), nil, "Customers[nairobi].Teams[read]"},
		{"removal of the customer whose team changed", removeCustomer, limit(1, 9), nil, "Customers[nairobi].Teams"},
		{"change of a team whose customer goes", limit(1, 9), removeCustomer, nil, "Customers[nairobi].Teams"},
		{"both remove", removeCustomer, removeCustomer, removeCustomer, ""},
		{"different lists", addPool, removeTeam, both(addPool, removeTeam), ""},
		{"same entry added twice", addPool, addPool, addPool, ""},
		{"added in two ways", addPool, func(l *plan.Lists) { l.Pools = append(l.Pools, fleet.Pool{Name: "b", MinHosts: 1}) }, nil, "Pools[b]"},
	} {
		got, conflicts := plan.Merge(base, edited(base, c.ours), edited(base, c.theirs))
		paths := make([]string, 0, len(conflicts))
		for _, cf := range conflicts {
			paths = append(paths, cf.Path)
		}
		if diff := cmp.Diff(c.conflicts, strings.Join(paths, " ")); diff != "" {
			t.Errorf("%s: conflicts (-want +got):\n%s", c.name, diff)
		}
		if c.want == nil {
			continue
		}
		if diff := plan.Diff(edited(base, c.want), got); len(diff) > 0 {
			t.Errorf("%s: merged lists differ: %v", c.name, diff)
		}
	}
}

// TestMergeKeepsEveryChange merges random edits of different entries and checks that the result has all of them.
func TestMergeKeepsEveryChange(t *testing.T) {
	random := rand.New(rand.NewPCG(6, 6))
	var base plan.Lists
	for i := range 12 {
		base.Pools = append(base.Pools, fleet.Pool{Name: fleet.PoolName(fmt.Sprint("p", i))})
	}
	for range 300 {
		var mine, yours []int
		for i := range base.Pools {
			switch random.IntN(3) {
			case 0:
				mine = append(mine, i)
			case 1:
				yours = append(yours, i)
			}
		}
		change := func(which []int, hosts int) func(*plan.Lists) {
			return func(l *plan.Lists) {
				for _, i := range which {
					l.Pools[i].MinHosts = hosts
				}
				random.Shuffle(len(l.Pools), func(i, j int) { l.Pools[i], l.Pools[j] = l.Pools[j], l.Pools[i] })
			}
		}
		want := edited(base, func(l *plan.Lists) {
			for _, i := range mine {
				l.Pools[i].MinHosts = 1
			}
			for _, i := range yours {
				l.Pools[i].MinHosts = 2
			}
		})
		got, conflicts := plan.Merge(base, edited(base, change(mine, 1)), edited(base, change(yours, 2)))
		if len(conflicts) > 0 || len(plan.Diff(want, got)) > 0 {
			t.Fatalf("conflicts %v, differences %v", conflicts, plan.Diff(want, got))
		}
	}
}

var update = flag.Bool("update", false, "rewrite the published schema")

func TestPublishedSchema(t *testing.T) {
	const path = "../docs/lists.schema.json"
	want, err := plan.Schema()
	if err != nil {
		t.Fatal(err)
	}
	if *update {
		if err := os.WriteFile(path, want, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), string(got)); diff != "" {
		t.Errorf("docs/lists.schema.json (-want +got), write it with -update:\n%s", diff)
	}
}

func FuzzCheckFiles(f *testing.F) {
	f.Add([]byte(customersFile), []byte(plansFile))
	f.Add([]byte(`{"Customers": [{"Name": 1e999}]}`), []byte(`{}`))
	f.Add([]byte(`{}`), []byte(`{"Budgets": [{"Pools": [["a"]]}]}`))
	f.Fuzz(func(t *testing.T, customers, plans []byte) {
		l, faults := plan.CheckFiles(plan.File{Name: "c", Data: customers}, plan.File{Name: "p", Data: plans})
		for _, fault := range faults {
			if fault.Line < 1 || fault.Reason == "" {
				t.Fatalf("fault without a line or a reason: %+v", fault)
			}
		}
		if len(faults) > 0 {
			return
		}
		// Accepted lists must not change when encoded and decoded again.
		c, err := json.Marshal(l.CustomersList)
		if err != nil {
			t.Fatal(err)
		}
		p, err := json.Marshal(l.PlansList)
		if err != nil {
			t.Fatal(err)
		}
		again, faults := plan.CheckFiles(plan.File{Data: c}, plan.File{Data: p})
		if len(faults) > 0 || len(plan.Diff(l, again)) > 0 {
			t.Fatalf("decoded again: faults %v, differences %v", faults, plan.Diff(l, again))
		}
	})
}

func ExampleDiff() {
	before := plan.Lists{PlansList: plan.PlansList{Pools: []fleet.Pool{{Name: "ledger", MinHosts: 4}, {Name: "old"}}}}
	after := plan.Lists{PlansList: plan.PlansList{Pools: []fleet.Pool{{Name: "ledger", MinHosts: 6}}}}
	for _, c := range plan.Diff(before, after) {
		fmt.Println(c)
	}
	// Output:
	// ~ Pools[ledger].MinHosts: 4 -> 6
	// - Pools[old]: {"Name":"old"}
}
