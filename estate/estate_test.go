package estate_test

import (
	"io"
	"testing"

	"github.com/charmbracelet/log"

	"lycheehook.example/lycheehook/estate"
)

func TestCheck(t *testing.T) {
	samples := map[string]func() estate.Sample{"ledger": estate.Ledger, "sleeves": estate.Sleeves}
	for name, sample := range samples {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := estate.New(log.New(io.Discard), estate.WithSample(sample()))
			if err := e.Start(t.Context()); err != nil {
				t.Fatal(err)
			}
			defer e.Stop()

			if err := e.Check(t.Context(), t.Output()); err != nil {
				t.Error(err)
			}
		})
	}
}
