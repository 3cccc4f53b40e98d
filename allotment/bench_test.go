package allotment

import (
	"context"
	"fmt"
	"testing"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/standin"
)

// benchHolder returns a holder with the given number of limits; every member has an allocation of
// each.
func benchHolder(b *testing.B, limits, members int) *Holder {
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
		h.LeaseValid = func(time.Time) bool { return true }
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

	return last
}

func BenchmarkAcquire(b *testing.B) {
	h := benchHolder(b, 43, 7)
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
	h := benchHolder(b, 43, 7)
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
	h := benchHolder(b, 43, 7)
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

// BenchmarkTick measures a tick in which nothing changes and no record is read.
func BenchmarkTick(b *testing.B) {
	eachSize(b, func(b *testing.B, h *Holder) {
		b.Helper()
		h.lastRefresh = time.Now().Add(time.Hour)
		for b.Loop() {
			h.tick(context.Background(), time.Now())
		}
	})
}

// BenchmarkRefresh measures the listing of all records, which runs once per RefreshEvery, when
// every record has changed.
func BenchmarkRefresh(b *testing.B) {
	eachSize(b, func(b *testing.B, h *Holder) {
		b.Helper()
		for b.Loop() {
			for _, g := range h.allGroups() {
				g.view.revision = 0
			}
			h.lastRefresh = time.Time{}
			h.refresh(context.Background(), time.Now(), h.allGroups())
		}
	})
}

// BenchmarkChange measures one acquisition or release, including the read and the write of its
// record.
func BenchmarkChange(b *testing.B) {
	eachSize(b, func(b *testing.B, h *Holder) {
		b.Helper()
		k := Key{Set: Limits, Name: "team-007"}
		g := h.groups[k.recordKey()]
		for i := 0; b.Loop(); i++ {
			err := h.change(context.Background(), g, nil, func(g *group) Record {
				l, _ := g.view.record.Limits.Get(k.Name)
				if i%2 == 0 {
					l = l.WithReleased(h.self, fleet.Resources{Slots: 1})
				} else {
					l = l.WithAcquired(h.self, fleet.Resources{Slots: 1})
				}
				return g.view.record.WithLimit(k.Name, l)
			})
			if err != nil {
				b.Fatal(err)
			}
		}
	})
}

func eachSize(b *testing.B, run func(b *testing.B, h *Holder)) {
	b.Helper()
	for _, limits := range []int{43, 430} {
		for _, members := range []int{7, 28} {
			b.Run(fmt.Sprintf("limits=%d/members=%d", limits, members), func(b *testing.B) {
				h := benchHolder(b, limits, members)
				b.ReportAllocs()
				run(b, h)
			})
		}
	}
}
