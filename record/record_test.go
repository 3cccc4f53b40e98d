package record_test

import (
	"errors"
	"testing"

	"lycheehook.example/lycheehook/record"
	"lycheehook.example/lycheehook/standin"
	"lycheehook.example/lycheehook/store"
)

type set struct {
	Names map[string]bool
}

func with(name string) func(set) (set, bool, error) {
	return func(s set) (set, bool, error) {
		if s.Names[name] {
			return s, false, nil
		}
		if s.Names == nil {
			s.Names = map[string]bool{}
		}
		s.Names[name] = true

		return s, true, nil
	}
}

func TestUpdate(t *testing.T) {
	cases := []struct {
		fault  standin.Fault
		err    error
		writes int64
	}{
		{standin.FaultNone, nil, 1},
		// The answer is lost after the write. Reading the record shows that the write took effect, so it is not repeated.
		{standin.FaultAnswerLost, nil, 1},
		{standin.FaultDown, store.ErrUnavailable, 0},
	}
	for _, tc := range cases {
		t.Run(string(tc.fault), func(t *testing.T) {
			s := standin.NewStore()
			s.SetFault(tc.fault)
			v, err := record.Update(t.Context(), s.Client(), "k", with("a"))
			if !errors.Is(err, tc.err) || err == nil && !v.Value.Names["a"] {
				t.Errorf("value %v, error %v, want %v", v, err, tc.err)
			}
			if n := s.Calls()["CompareAndSwap"]; n != tc.writes {
				t.Errorf("%d writes, want %d", n, tc.writes)
			}
		})
	}
}

// TestUpdateRace checks that a change made between the read and the write is kept.
func TestUpdateRace(t *testing.T) {
	s := standin.NewStore()
	raced := false
	v, err := record.Update(t.Context(), s.Client(), "k", func(cur set) (set, bool, error) {
		if !raced {
			raced = true
			if _, err := record.Update(t.Context(), s.Client(), "k", with("other")); err != nil {
				t.Fatal(err)
			}
		}

		return with("mine")(cur)
	})
	if err != nil || !v.Value.Names["other"] || !v.Value.Names["mine"] {
		t.Errorf("value %v, error %v, want both names", v, err)
	}
	alwaysRaces := func(cur set) (set, bool, error) {
		_, err := record.Update(t.Context(), s.Client(), "k", func(set) (set, bool, error) { return set{}, true, nil })
		return cur, true, err
	}
	if _, err := record.Update(t.Context(), s.Client(), "k", alwaysRaces); !errors.Is(err, record.ErrContended) {
		t.Errorf("error %v, want ErrContended", err)
	}
}
