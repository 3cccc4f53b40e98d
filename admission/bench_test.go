package admission_test

import (
	"errors"
	"fmt"
	"testing"

	"lycheehook.example/lycheehook/admission"
	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/refusal"
)

// BenchmarkAdmit measures an uncontended admission and its release.
func BenchmarkAdmit(b *testing.B) {
	f := newFixture(8)
	ctx, req := b.Context(), f.request("a")
	b.ReportAllocs()
	for b.Loop() {
		g, err := f.Admit(ctx, req)
		if err != nil {
			b.Fatal(err)
		}
		g.Release()
	}
}

// BenchmarkAdmitOpen measures an uncontended admission to an open queue without a key.
func BenchmarkAdmitOpen(b *testing.B) {
	f := newFixture(8)
	ctx, req := b.Context(), admission.Request{Queue: "open", Size: slots(1)}
	b.ReportAllocs()
	for b.Loop() {
		g, err := f.Admit(ctx, req)
		if err != nil {
			b.Fatal(err)
		}
		g.Release()
	}
}

// BenchmarkAdmitContended measures admissions most of which have to wait.
func BenchmarkAdmitContended(b *testing.B) {
	f := newFixture(4)
	b.ReportAllocs()
	b.SetParallelism(4)
	b.RunParallel(func(p *testing.PB) {
		for i := 0; p.Next(); i++ {
			g, err := f.Admit(b.Context(), f.request([]fleet.TeamName{"a", "b", "c"}[i%3]))
			if err == nil {
				g.Release()
			} else if !errors.Is(err, refusal.Refuse(refusal.QueueFull, "")) {
				b.Error(fmt.Errorf("admit: %w", err))
			}
		}
	})
}
