package share_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/share"
)

func res(slots int64, cores fleet.MilliCores, memory fleet.Mebibytes, accelerators int64) fleet.Resources {
	return fleet.Resources{Slots: slots, Cores: cores, Memory: memory, Accelerators: accelerators}
}

func TestAllocate(t *testing.T) {
	total := res(0, 9000, 18, 0)
	for _, c := range []struct {
		name    string
		total   fleet.Resources
		demands []share.Demand
		want    []float64
	}{
		{"example of Ghodsi et al., section 4.1", total, []share.Demand{{Weight: 1, Wanted: res(0, 9000, 36, 0)}, {Weight: 1, Wanted: res(0, 27000, 9, 0)}}, []float64{2. / 3, 2. / 3}},
		{"weights", res(80, 0, 0, 0), []share.Demand{{Weight: 3, Wanted: res(80, 0, 0, 0)}, {Weight: 1, Wanted: res(80, 0, 0, 0)}}, []float64{.75, .25}},
		{"unused share goes to others", res(80, 0, 0, 0), []share.Demand{{Weight: 3, Wanted: res(8, 0, 0, 0)}, {Weight: 1, Wanted: res(80, 0, 0, 0)}}, []float64{.1, .9}},
		{"a met demand takes no more", res(80, 0, 0, 0), []share.Demand{{Weight: 1, Wanted: res(8, 0, 0, 0)}}, []float64{.1}},
		{"no demand", res(80, 0, 0, 0), []share.Demand{{Weight: 1}}, []float64{0}},
		{"a demand stops at its first exhausted resource", res(80, 0, 0, 4), []share.Demand{{Weight: 1, Wanted: res(80, 0, 0, 4)}, {Weight: 1, Wanted: res(40, 0, 0, 0)}}, []float64{.5, .5}},
		{"past usage lowers the share", res(80, 0, 0, 0), []share.Demand{{Weight: 1, Wanted: res(80, 0, 0, 0), Used: 1}, {Weight: 1, Wanted: res(80, 0, 0, 0)}}, []float64{.25, .75}},
		{"past usage costs nothing without competition", res(80, 0, 0, 0), []share.Demand{{Weight: 1, Wanted: res(80, 0, 0, 0), Used: 1}, {Weight: 1, Wanted: res(8, 0, 0, 0)}}, []float64{.9, .1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if d := cmp.Diff(c.want, share.Allocate(c.total, c.demands), cmpopts.EquateApprox(0, 1e-6)); d != "" {
				t.Errorf("fair shares (-want +got):\n%s", d)
			}
		})
	}
}

// TestAllocateProperty checks that no resource is allocated beyond its capacity and that no demand stays unmet
// while all resources that it requests are free.
func TestAllocateProperty(t *testing.T) {
	for seed := range uint64(500) {
		r := rand.New(rand.NewPCG(seed, 2))
		total := res(80, 64000, 1<<17, 4)
		demands := make([]share.Demand, 1+r.IntN(8))
		for i := range demands {
			demands[i] = share.Demand{
				Weight: 1 + r.Int64N(5), Used: r.Float64(),
				Wanted: res(r.Int64N(100), fleet.MilliCores(r.Int64N(90000)), fleet.Mebibytes(r.Int64N(1<<18)), r.Int64N(6)),
			}
		}
		var used [4]float64
		fair := share.Allocate(total, demands)
		parts := func(i int) [4]float64 {
			w := demands[i].Wanted
			return [4]float64{float64(w.Slots) / 80, float64(w.Cores) / 64000, float64(w.Memory) / (1 << 17), float64(w.Accelerators) / 4}
		}
		for i := range demands {
			largest := demands[i].Wanted.DominantShare(total)
			for k, v := range parts(i) {
				if largest > 0 {
					used[k] += fair[i] * v / largest
				}
			}
		}
		for i := range demands {
			met, short := fair[i] >= demands[i].Wanted.DominantShare(total)-1e-6, false
			for k, v := range parts(i) {
				if used[k] > 1+1e-6 {
					t.Fatalf("seed %d: resource %d is allocated %.3f times its capacity", seed, k, used[k])
				}
				short = short || v > 0 && used[k] > 1-1e-6
			}
			if !met && !short {
				t.Errorf("seed %d: demand %d has a fair share of %.3f, but all resources that it requests are free", seed, i, fair[i])
			}
		}
	}
}

func TestDivide(t *testing.T) {
	standing := func(team fleet.TeamName, n int64) share.TeamLoad {
		return share.TeamLoad{Team: team, Demand: res(n, 0, 0, 0)}
	}
	for _, c := range []struct {
		name    string
		slots   int64
		reports []share.Report
		want    []int64
	}{
		{"idle slots are spread evenly", 8, []share.Report{{}, {}, {}}, []int64{3, 3, 2}},
		{"slots follow the demand", 8, []share.Report{{Teams: []share.TeamLoad{standing("a", 40)}}, {}}, []int64{8, 0}},
		{"weights decide when demand exceeds capacity", 12, []share.Report{
			{Teams: []share.TeamLoad{standing("a", 100)}}, {Teams: []share.TeamLoad{standing("b", 10)}},
		}, []int64{8, 4}},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := share.Divide(c.slots, map[fleet.TeamName]int64{"a": 2, "b": 1}, time.Second, c.reports)
			if d := cmp.Diff(c.want, got); d != "" {
				t.Errorf("slots (-want +got):\n%s", d)
			}
		})
	}
}

// TestLedgerReports checks that running work on peers counts, that old reports lose their weight, and that usage halves in a half-life.
func TestLedgerReports(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	total := res(80, 0, 0, 0)
	underShare := func(age time.Duration) bool {
		l := share.New()
		a, b := l.Open(fleet.Team{Name: "a", Share: 1}, start), l.Open(fleet.Team{Name: "b", Share: 1}, start)
		l.AddWaiting(a, res(80, 0, 0, 0))
		l.AddWaiting(b, res(80, 0, 0, 0))
		l.Refresh(total, []share.Report{{Age: age, Teams: []share.TeamLoad{{Team: "a", Running: res(60, 0, 0, 0), Demand: res(60, 0, 0, 0)}}}}, start)

		return l.UnderShare(a)
	}
	if underShare(100 * time.Millisecond) {
		t.Error("a team that has most of the pool on a peer counts as under its share")
	}
	if !underShare(time.Minute) {
		t.Error("a report that is a minute old still counts")
	}

	l := share.New(share.WithHalfLife(10 * time.Second))
	a := l.Open(fleet.Team{Name: "a", Share: 1}, start)
	l.Refresh(total, nil, start)
	l.Start(a, res(80, 0, 0, 0), start)
	l.End(a, res(80, 0, 0, 0), start.Add(time.Second))
	usage := func(after time.Duration) float64 { return l.Report("e", start.Add(after)).Teams[0].Usage }
	first := usage(time.Second)
	if half := usage(11 * time.Second); math.Abs(half/first-.5) > 1e-9 {
		t.Errorf("usage after a half-life is %.3f of what it was", half/first)
	}
}

func BenchmarkRefresh(b *testing.B) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, size := range []struct{ teams, hosts int }{{6, 7}, {43, 70}} {
		b.Run(fmt.Sprintf("teams-%d-hosts-%d", size.teams, size.hosts), func(b *testing.B) {
			l := share.New()
			teams := make([]share.TeamLoad, 0, size.teams)
			for i := range size.teams {
				t := fleet.TeamName(rune('a' + i))
				l.Open(fleet.Team{Name: t, Share: 1}, start)
				teams = append(teams, share.TeamLoad{Team: t, Running: res(3, 0, 0, 0), Demand: res(9, 0, 0, 0), Usage: 1})
			}
			reports := make([]share.Report, size.hosts-1)
			for i := range reports {
				reports[i] = share.Report{Teams: teams}
			}
			for b.Loop() {
				l.Refresh(res(800, 0, 0, 0), reports, start)
			}
		})
	}
}
