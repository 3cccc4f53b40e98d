package allotment

import (
	"context"
	"fmt"
	"testing"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/standin"
)

// benchHolder returns a holder with n limits of which every member has a part.
func benchHolder(b *testing.B, limits, members int) (*Holder, Membership) {
	b.Helper()
	st := standin.NewStore()
	upper := map[string]fleet.Resources{}
	for i := range limits {
		upper[fmt.Sprintf("team-%03d", i)] = fleet.Resources{Slots: 1000, Cores: 1000_000, Memory: 1 << 20}
	}

	m := Membership{Confirmed: time.Now()}
	var last *Holder
	for i := range members {
		h := New(st.Client(), fleet.NewIncarnation(fleet.EntryName(fmt.Sprintf("entry-%02d", i))))
		h.Licensed = func(time.Time) bool { return true }
		m.Live = append(m.Live, h.self)
		h.SetLimits(Limits, 1, upper)
		for _, g := range h.allGroups() {
			if err := h.change(context.Background(), g, nil, func(g *group) Record { return h.plan(g, members) }); err != nil {
				b.Fatal(err)
			}
		}
		last = h
	}
	last.Members = func() Membership { return m }

	return last, m
}

func BenchmarkAcquire(b *testing.B) {
	h, _ := benchHolder(b, 43, 7)
	k := Key{Set: Limits, Name: "team-007"}
	size := fleet.Resources{Slots: 1, Cores: 500}
	b.ReportAllocs()
	for b.Loop() {
		hold, err := h.Acquire(k, size)
		if err != nil {
			b.Fatal(err)
		}
		hold.Release()
	}
}

func BenchmarkAcquireRefused(b *testing.B) {
	h, _ := benchHolder(b, 43, 7)
	k := Key{Set: Limits, Name: "team-007"}
	size := fleet.Resources{Slots: 5000}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := h.Acquire(k, size); err == nil {
			b.Fatal("admitted")
		}
	}
}

func BenchmarkAcquireParallel(b *testing.B) {
	h, _ := benchHolder(b, 43, 7)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			hold, err := h.Acquire(Key{Set: Limits, Name: "team-007"}, fleet.Resources{Slots: 1})
			if err == nil {
				hold.Release()
			}
		}
	})
}

// BenchmarkTick is one round in which nothing changes, without the store's answers.
func BenchmarkTick(b *testing.B) {
	eachSize(b, func(b *testing.B, h *Holder, _ int) {
		h.listed = time.Now().Add(time.Hour)
		for b.Loop() {
			h.tick(context.Background(), time.Now())
		}
	})
}

// BenchmarkRefresh is the reading of all records, which runs once in RefreshEvery, when all of them changed.
func BenchmarkRefresh(b *testing.B) {
	eachSize(b, func(b *testing.B, h *Holder, _ int) {
		for b.Loop() {
			for _, g := range h.allGroups() {
				g.view.revision = 0
			}
			h.listed = time.Time{}
			h.refresh(context.Background(), time.Now(), h.allGroups())
		}
	})
}

// BenchmarkChange is one take or give, with reading and writing of its record.
func BenchmarkChange(b *testing.B) {
	eachSize(b, func(b *testing.B, h *Holder, _ int) {
		k := Key{Set: Limits, Name: "team-007"}
		g := h.groups[k.record()]
		for i := 0; b.Loop(); i++ {
			err := h.change(context.Background(), g, nil, func(g *group) Record {
				l, _ := g.view.record.Limits.Get(k.Name)
				if i%2 == 0 {
					l = l.WithGive(h.self, fleet.Resources{Slots: 1})
				} else {
					l = l.WithTake(h.self, fleet.Resources{Slots: 1})
				}
				return g.view.record.WithLimit(k.Name, l)
			})
			if err != nil {
				b.Fatal(err)
			}
		}
	})
}

func eachSize(b *testing.B, run func(b *testing.B, h *Holder, limits int)) {
	b.Helper()
	for _, limits := range []int{43, 430} {
		for _, members := range []int{7, 28} {
			b.Run(fmt.Sprintf("limits=%d/members=%d", limits, members), func(b *testing.B) {
				h, _ := benchHolder(b, limits, members)
				b.ReportAllocs()
				run(b, h, limits)
			})
		}
	}
}
