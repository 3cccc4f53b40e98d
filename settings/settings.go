package settings

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"os"

	"github.com/ansel1/merry/v2"

	"lycheehook.example/lycheehook/fleet"
)

// ErrInvalid says that settings do not hold together.
var ErrInvalid = merry.Sentinel("settings: invalid")

// Settings is what an entry host is told at its start.
type Settings struct {
	Name   fleet.EntryName
	Region fleet.RegionName
	Zone   fleet.ZoneName
	// CallerAddress and OperatorAddress are where the entry host listens.
	CallerAddress   netip.AddrPort
	OperatorAddress netip.AddrPort
	// StoreAddress and PlatformAddress are where the platform's services listen.
	StoreAddress    netip.AddrPort
	PlatformAddress netip.AddrPort
	// OperatorToken is the secret that operators present.
	OperatorToken string
}

// Read returns the settings in a file.
func Read(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, merry.Prepend(ErrInvalid, err.Error())
	}

	return Parse(data)
}

// Parse decodes settings and refuses unknown fields.
func Parse(data []byte) (Settings, error) {
	var s Settings
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return Settings{}, merry.Prepend(ErrInvalid, err.Error())
	}

	return s, nil
}
