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
		newHost, newBook, newStore, newPlatform, newTrail, newRegistry, newOperatorMetrics,
		endpoint.NewSet, endpoint.NewSender, admission.New,
	)

	return nil
}
