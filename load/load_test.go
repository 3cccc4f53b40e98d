package load

import (
	"bytes"
	"encoding/xml"
	"errors"
	"io"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

func TestMaxMinFair(t *testing.T) {
	tests := []struct {
		name           string
		amount         float64
		demand, weight []float64
		want           []float64
	}{
		{name: "no demand", amount: 10, demand: []float64{0, 0}, weight: []float64{1, 1}, want: []float64{0, 0}},
		{name: "enough for all", amount: 10, demand: []float64{3, 4}, weight: []float64{1, 1}, want: []float64{3, 4}},
		{name: "by weight when demand exceeds the amount", amount: 9, demand: []float64{9, 9}, weight: []float64{2, 1}, want: []float64{6, 3}},
		{name: "a surplus is divided among the others", amount: 12, demand: []float64{2, 20, 20}, weight: []float64{1, 1, 1}, want: []float64{2, 5, 5}},
		{name: "nothing to divide", amount: 0, demand: []float64{2}, weight: []float64{1}, want: []float64{0}},
		{name: "a weight of zero gets nothing", amount: 4, demand: []float64{4, 4}, weight: []float64{0, 1}, want: []float64{0, 4}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := maxMinFair(tt.amount, tt.demand, tt.weight)
			if diff := cmp.Diff(tt.want, got, cmpopts.EquateApprox(0, 1e-9)); diff != "" {
				t.Errorf("maxMinFair (-want +got):\n%s", diff)
			}
		})
	}
}

func TestVerdicts(t *testing.T) {
	tests := []struct {
		name        string
		observation observation
		ran         int
		want        Verdicts
	}{
		{name: "done once", observation: observation{outcome: Done}, ran: 1, want: Verdicts{Audited: true}},
		{name: "refused and not run", observation: observation{outcome: NotRun}, ran: 0, want: Verdicts{Audited: true}},
		{name: "unknown may have run", observation: observation{outcome: Unknown}, ran: 1, want: Verdicts{Audited: true}},
		{name: "done and never ran", observation: observation{outcome: Done}, ran: 0, want: Verdicts{Audited: true, Lost: 1}},
		{name: "refused and ran", observation: observation{outcome: NotRun}, ran: 1, want: Verdicts{Audited: true, FalseNotRun: 1}},
		{name: "ran twice", observation: observation{outcome: Done}, ran: 2, want: Verdicts{Audited: true, Doubled: 1}},
		{name: "idempotent may run twice", observation: observation{outcome: Done, idempotent: true}, ran: 2, want: Verdicts{Audited: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRecorder(time.Now(), time.Second, nil)
			r.observations["id"] = tt.observation
			if diff := cmp.Diff(tt.want, r.verdicts(map[string]int{"id": tt.ran})); diff != "" {
				t.Errorf("verdicts (-want +got):\n%s", diff)
			}
		})
	}
}

func TestClassifyAnswer(t *testing.T) {
	req := request{id: "id-1", body: []byte("id-1 body")}
	tests := []struct {
		name, id, body string
		want           Outcome
	}{
		{name: "own and complete", id: "id-1", body: "id-1 body", want: Done},
		{name: "truncated", id: "id-1", body: "id-1", want: Cut},
		{name: "empty", id: "id-1", body: "", want: Cut},
		{name: "another request's", id: "id-2", body: "id-2 body", want: Mixed},
		{name: "another request's body with own ID", id: "id-1", body: "id-2 body", want: Mixed},
		{name: "own body with another request's ID", id: "id-2", body: "id-1 body", want: Mixed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := classifyAnswer(req, tt.id, []byte(tt.body)).outcome; got != tt.want {
				t.Errorf("classified as %s, want %s", got, tt.want)
			}
		})
	}
}

func TestNewChecksOptions(t *testing.T) {
	loopback := WithTargets(netip.MustParseAddrPort("127.0.0.1:1"))
	stream := WithStreams(Stream{Team: "a", Rate: 10})
	tests := []struct {
		name string
		opts []Option
		want error
	}{
		{name: "complete", opts: []Option{loopback, stream}},
		{name: "no target", opts: []Option{stream}, want: ErrInvalid},
		{name: "no stream", opts: []Option{loopback}, want: ErrInvalid},
		{name: "other address", opts: []Option{WithTargets(netip.MustParseAddrPort("192.0.2.1:80")), stream}, want: ErrInvalid},
		{name: "too long", opts: []Option{loopback, stream, WithDuration(time.Hour)}, want: ErrInvalid},
		{name: "too many", opts: []Option{loopback, WithStreams(Stream{Rate: MaxRequests})}, want: ErrInvalid},
		{name: "no window", opts: []Option{loopback, stream, WithWindow(0)}, want: ErrInvalid},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if _, err := New(tt.opts...); !errors.Is(err, tt.want) {
				t.Errorf("New: %v, want %v", err, tt.want)
			}
		})
	}
}

func TestTurnsPreserveMean(t *testing.T) {
	turns := Turns{Burst: 2 * time.Second, BurstFactor: 5, LullFactor: 0.05}
	rng := rand.New(rand.NewPCG(7, 7))

	const periods, rate = 200, 50.0
	length := (turns.Burst + turns.lull()) * periods
	arrivals, inBursts := 0, 0
	for at := turns.next(0, rate, rng); at < length; at = turns.next(at, rate, rng) {
		arrivals++
		if turns.factor(at) > 1 {
			inBursts++
		}
	}

	want := rate * length.Seconds()
	if got := float64(arrivals); got < 0.97*want || got > 1.03*want {
		t.Errorf("%v arrivals, want about %v", got, want)
	}
	wantBursts := 5 * rate * turns.Burst.Seconds() * periods
	if got := float64(inBursts); got < 0.97*wantBursts || got > 1.03*wantBursts {
		t.Errorf("%v arrivals in bursts, want about %v", got, wantBursts)
	}
}

func TestWriteSVG(t *testing.T) {
	r := Report{Window: 1e9, Teams: []TeamReport{{Team: "a", Windows: []Window{{Done: 1}, {Done: 3, NotRun: 2}}}}}
	var b bytes.Buffer
	if err := r.WriteSVG(&b); err != nil {
		t.Fatal(err)
	}

	for dec := xml.NewDecoder(&b); ; {
		if _, err := dec.Token(); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			t.Fatalf("not well formed: %v", err)
		}
	}
}
