package key_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"lycheehook.example/lycheehook/key"
)

var given = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

func TestSeveralKeysOfOneTeam(t *testing.T) {
	first, firstSecret := key.Issue("postings", given)
	second, secondSecret := key.Issue("postings", given)
	other, otherSecret := key.Issue("receipts", given)
	r := key.NewRing(first, other).With(second)

	for secret, want := range map[string]key.Key{firstSecret: first, secondSecret: second, otherSecret: other} {
		got, err := r.Match(secret)
		if diff := cmp.Diff(want, got); diff != "" || err != nil {
			t.Errorf("%v (-want +got):\n%s", err, diff)
		}
	}
	if n := len(r.OfTeam("postings")); n != 2 {
		t.Errorf("postings has %d keys, want 2", n)
	}

	after := r.Without(first.ID)
	if _, err := after.Match(firstSecret); !errors.Is(err, key.ErrUnknown) {
		t.Errorf("revoked key: %v", err)
	}
	if _, err := after.Match(secondSecret); err != nil {
		t.Errorf("the other key of the team: %v", err)
	}
	if _, err := r.Match(firstSecret); err != nil {
		t.Errorf("Without changed its receiver: %v", err)
	}
}

func TestMatchRejects(t *testing.T) {
	k, secret := key.Issue("postings", given)
	other, otherSecret := key.Issue("receipts", given)
	parts, otherParts := strings.Split(secret, "."), strings.Split(otherSecret, ".")
	last := secret[:len(secret)-1]
	tests := []struct {
		name, presented string
		want            error
	}{
		{"empty", "", key.ErrMalformed},
		{"secret alone", parts[2], key.ErrMalformed},
		{"other prefix", "xx" + secret[2:], key.ErrMalformed},
		{"one character short", last, key.ErrMalformed},
		{"one extra character", secret + "A", key.ErrMalformed},
		{"trailing space", secret + " ", key.ErrMalformed},
		{"newline in place of a character", last + "\n", key.ErrMalformed},
		{"nothing between the dots", "lh.." + strings.Repeat("A", len(secret)-4), key.ErrMalformed},
		{"four parts", "lh." + parts[1] + "." + parts[2][:20] + "." + parts[2][21:], key.ErrMalformed},
		{"standard alphabet", last[:len(last)-2] + "+/A", key.ErrMalformed},
		{"a megabyte", strings.Repeat("A", 1<<20), key.ErrMalformed},
		{"stored hash in place of the secret", "lh." + parts[1] + "." + hashText(t, k), key.ErrUnknown},
		{"secret of another key", "lh." + parts[1] + "." + otherParts[2], key.ErrUnknown},
		{"unknown ID", "lh.AAAAAAAAAAAA." + parts[2], key.ErrUnknown},
		{"bits beyond the last byte", last + "B", key.ErrMalformed},
	}
	r := key.NewRing(k, other)
	for _, tt := range tests {
		if got, err := r.Match(tt.presented); !errors.Is(err, tt.want) || got.ID != "" {
			t.Errorf("%s: key %q, error %v; want %v", tt.name, got.ID, err, tt.want)
		}
	}
	if _, err := (key.Ring{}).Match(secret); !errors.Is(err, key.ErrUnknown) {
		t.Errorf("empty ring: %v", err)
	}
}

func hashText(t *testing.T, k key.Key) string {
	t.Helper()
	text, err := key.Hashed{Salt: k.Salt, Hash: k.Hash}.MarshalText()
	if err != nil {
		t.Fatal(err)
	}
	_, hash, _ := strings.Cut(string(text), ".")

	return hash
}

func TestSecretIsNotStored(t *testing.T) {
	k, secret := key.Issue("postings", given)
	record, err := json.Marshal(k)
	if err != nil {
		t.Fatal(err)
	}
	if hidden := strings.Split(secret, ".")[2]; strings.Contains(string(record), hidden) {
		t.Errorf("the stored key contains the secret: %s", record)
	}

	same, _ := key.Issue("postings", given)
	if cmp.Equal(k.Salt, same.Salt) || k.ID == same.ID {
		t.Error("two keys have the same salt or ID")
	}
}

func TestHashedText(t *testing.T) {
	h, secret := key.NewSecret()
	text, err := h.MarshalText()
	if err != nil {
		t.Fatal(err)
	}
	var back key.Hashed
	if err := back.UnmarshalText(text); err != nil || !back.Matches(secret) || back.Matches(secret+"x") {
		t.Errorf("%s does not match its secret after a round trip: %v", text, err)
	}
	if (key.Hashed{}).Matches("") {
		t.Error("the empty hash matches the empty secret")
	}
	for _, text := range []string{"", ".", "a.b", string(text) + "A", "x" + string(text)} {
		if err := new(key.Hashed).UnmarshalText([]byte(text)); !errors.Is(err, key.ErrMalformed) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

func FuzzMatch(f *testing.F) {
	k, secret := key.Issue("postings", given)
	r := key.NewRing(k)
	f.Add("lh.AAAAAAAAAAAA.AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA")
	f.Add("lh...")
	f.Fuzz(func(t *testing.T, presented string) {
		if _, err := r.Match(presented); (err == nil) != (presented == secret) {
			t.Errorf("%q: %v", presented, err)
		}
	})
}

func BenchmarkMatch(b *testing.B) {
	for _, size := range []int{10, 1000} {
		r := key.Ring{}
		var secret string
		for range size {
			var k key.Key
			k, secret = key.Issue("postings", given)
			r = r.With(k)
		}
		b.Run(fmt.Sprintf("keys=%d", size), func(b *testing.B) {
			for b.Loop() {
				if _, err := r.Match(secret); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func ExampleRing_Match() {
	k, secret := key.Issue("postings", time.Now())
	ring := key.NewRing(k)
	found, _ := ring.Match(secret)
	_, err := ring.Without(k.ID).Match(secret)
	fmt.Println(found.Team, errors.Is(err, key.ErrUnknown))
	// Output: postings true
}

// TestIDsAreNotFlags guards against IDs that a command line takes for a flag: 1 in 64 random IDs starts with a dash.
func TestIDsAreNotFlags(t *testing.T) {
	const draws = 2000
	for range draws {
		if k, _ := key.Issue("postings", time.Time{}); strings.HasPrefix(string(k.ID), "-") {
			t.Fatalf("ID %s looks like a flag", k.ID)
		}
	}
}
