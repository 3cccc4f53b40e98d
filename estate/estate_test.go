package estate_test

import (
	"io"
	"testing"

	"github.com/charmbracelet/log"

	"lycheehook.example/lycheehook/estate"
)

func TestCheck(t *testing.T) {
	e := estate.New(log.New(io.Discard))
	if err := e.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	defer e.Stop()

	if err := e.Check(t.Context(), t.Output()); err != nil {
		t.Error(err)
	}
}
