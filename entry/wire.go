//go:build wireinject

package entry

import (
	"github.com/charmbracelet/log"
	"github.com/google/wire"

	"lycheehook.example/lycheehook/admission"
	"lycheehook.example/lycheehook/endpoint"
	"lycheehook.example/lycheehook/settings"
)

// New returns an entry host with the given settings and logger.
func New(s settings.Settings, l *log.Logger) *Host {
	wire.Build(
		newHost, wire.Struct(new(parts), "*"), newBook, newStore, newPlatform, newControl, newTrail, newRegistry, newOperatorMetrics,
		endpoint.NewSet, newSender, admission.New,
	)

	return nil
}
