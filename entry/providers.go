package entry

import (
	"time"

	"github.com/charmbracelet/log"

	"lycheehook.example/lycheehook/audit"
	"lycheehook.example/lycheehook/endpoint"
	"lycheehook.example/lycheehook/hostapi"
	"lycheehook.example/lycheehook/revision"
	"lycheehook.example/lycheehook/settings"
	"lycheehook.example/lycheehook/store"
)

const (
	storeTimeout    = 2 * time.Second
	platformTimeout = 2 * time.Second
)

func newStore(s settings.Settings) *store.Client {
	return store.Dial(s.StoreAddress, storeTimeout)
}

func newPlatform(s settings.Settings) *hostapi.Client {
	return hostapi.Dial(s.PlatformAddress, platformTimeout)
}

func newRepository(c *store.Client, cl *cluster) *revision.Repository {
	return revision.New(c, revision.WithPeers(cl.mesh, cl.registry))
}

func newTrail(c *store.Client, s settings.Settings, l *log.Logger) *audit.Trail {
	return audit.New(c, s.Name, audit.WithLogger(l))
}

func newSender() *endpoint.Sender {
	return endpoint.NewSender()
}
