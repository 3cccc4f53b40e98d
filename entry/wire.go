//go:build wireinject

package entry

import (
	"github.com/charmbracelet/log"
	"github.com/google/wire"

	"lycheehook.example/lycheehook/admission"
	"lycheehook.example/lycheehook/endpoint"
	"lycheehook.example/lycheehook/settings"
)

// New returns an entry host with the given settings, logger and sockets; the error names a certificate that can't be read.
func New(s settings.Settings, l *log.Logger, sockets Sockets) (*Host, error) {
	wire.Build(
		newHost, wire.Struct(new(components), "*"), newRepository, newStore, newPlatform, newControlLoop, newCluster, newLimits, newClaims, newTrail, newRegistry, newOperatorMetrics,
		endpoint.NewSet, newSender, admission.New,
	)

	return nil, nil
}
