package settings

import (
	"cmp"
	"net/netip"
	"os"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"lycheehook.example/lycheehook/document"
	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/key"
)

// ErrInvalid says that settings do not hold together; the error's text names each fault.
var ErrInvalid = merry.Sentinel("settings: invalid")

// Settings is what an entry host is told at its start.
type Settings struct {
	Name   fleet.EntryName
	Region fleet.RegionName
	Zone   fleet.ZoneName
	// CallerAddress and OperatorAddress are where the entry host listens.
	CallerAddress   netip.AddrPort
	OperatorAddress netip.AddrPort
	// PeerAddress is where the other entry hosts reach this one; a lone entry host has none.
	PeerAddress netip.AddrPort `json:",omitzero"`
	// StoreAddress and PlatformAddress are where the platform's services listen.
	StoreAddress    netip.AddrPort
	PlatformAddress netip.AddrPort
	// Operators may use the operators' interface, each under an own name and token.
	Operators []Operator
	TLS       TLS    `json:",omitzero"`
	Log       Log    `json:",omitzero"`
	Limits    Limits `json:",omitzero"`
	// MaxRequestTime bounds the time that a caller may give one request.
	MaxRequestTime fleet.Duration `json:",omitzero"`
	// StopLimit bounds how long requests in progress may hold up a stop; it must not be below MaxRequestTime.
	StopLimit fleet.Duration `json:",omitzero"`
}

// Operator is one who may use the operators' interface; the name goes into the audit trail.
type Operator struct {
	Name      string
	TokenHash key.Hashed
}

// TLS is what each listener uses for TLS; a listener without files serves plain text.
type TLS struct {
	Callers   TLSFiles `json:",omitzero"`
	Operators TLSFiles `json:",omitzero"`
	Peers     TLSFiles `json:",omitzero"`
}

// TLSFiles names PEM files, which are read again whenever they change.
type TLSFiles struct {
	CertificateFile string `json:",omitempty"`
	KeyFile         string `json:",omitempty"`
	// CAFile has the authorities whose certificates the other side must show; peers need it.
	CAFile string `json:",omitempty"`
}

// IsZero reports whether no file is named.
func (f TLSFiles) IsZero() bool {
	return f == TLSFiles{}
}

// LogFormat is the form of the log's lines.
type LogFormat string

// The forms of the log's lines.
const (
	LogLogfmt LogFormat = "Logfmt"
	LogJSON   LogFormat = "JSON"
)

// LogLevel is the least level that is logged.
type LogLevel string

// The levels of the log.
const (
	LogDebug LogLevel = "Debug"
	LogInfo  LogLevel = "Info"
	LogWarn  LogLevel = "Warn"
	LogError LogLevel = "Error"
)

// Log is how the process logs.
type Log struct {
	Level  LogLevel  `json:",omitempty"`
	Format LogFormat `json:",omitempty"`
}

// Limits bounds what one connection may take.
type Limits struct {
	MaxHeaderBytes int   `json:",omitempty"`
	MaxBodyBytes   int64 `json:",omitempty"`
	// ReadHeaderTimeout bounds the time from the first byte of a request to the end of its header.
	ReadHeaderTimeout fleet.Duration `json:",omitzero"`
	// ReadTimeout bounds the time to the end of a request's body.
	ReadTimeout fleet.Duration `json:",omitzero"`
	// IdleTimeout bounds how long a connection is kept without a request.
	IdleTimeout fleet.Duration `json:",omitzero"`
}

// Default returns the values of the fields that a file may leave out.
func Default() Settings {
	return Settings{
		Log: Log{Level: LogInfo, Format: LogLogfmt},
		Limits: Limits{
			MaxHeaderBytes:    64 << 10,
			MaxBodyBytes:      64 << 20,
			ReadHeaderTimeout: fleet.Duration(5 * time.Second),
			ReadTimeout:       fleet.Duration(time.Minute),
			IdleTimeout:       fleet.Duration(2 * time.Minute),
		},
		MaxRequestTime: fleet.Duration(10 * time.Minute),
		StopLimit:      fleet.Duration(11 * time.Minute),
	}
}

// WithDefaults returns the settings with the default in place of each field that may be left out and is zero.
func (s Settings) WithDefaults() Settings {
	d := Default()
	orDefault(&s.Log.Level, d.Log.Level)
	orDefault(&s.Log.Format, d.Log.Format)
	orDefault(&s.Limits.MaxHeaderBytes, d.Limits.MaxHeaderBytes)
	orDefault(&s.Limits.MaxBodyBytes, d.Limits.MaxBodyBytes)
	orDefault(&s.Limits.ReadHeaderTimeout, d.Limits.ReadHeaderTimeout)
	orDefault(&s.Limits.ReadTimeout, d.Limits.ReadTimeout)
	orDefault(&s.Limits.IdleTimeout, d.Limits.IdleTimeout)
	orDefault(&s.MaxRequestTime, d.MaxRequestTime)
	orDefault(&s.StopLimit, d.StopLimit)

	return s
}

func orDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Read returns the settings in a file; an error of kind ErrInvalid names every fault.
func Read(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, merry.Prepend(ErrInvalid, err.Error())
	}

	s, err := Parse(data)
	if err != nil {
		return Settings{}, merry.Prepend(err, path)
	}

	return s, nil
}

// Parse decodes settings, fills in the defaults and checks every field.
func Parse(data []byte) (Settings, error) {
	s := Default()
	lines, faults := document.Decode(data, &s)
	if faults = append(faults, additional(s.Faults(), lines, faults)...); len(faults) > 0 {
		slices.SortStableFunc(faults, func(a, b document.Fault) int { return cmp.Compare(a.Line, b.Line) })
		return Settings{}, merry.Append(ErrInvalid, "\n"+document.Text(faults))
	}

	return s, nil
}

// additional returns the faults of fields that decoded well, with their lines; a field that did not decode has its fault already.
func additional(found []document.Fault, lines document.Lines, decode []document.Fault) []document.Fault {
	known := map[string]bool{}
	for _, f := range decode {
		known[f.Path] = true
	}

	var more []document.Fault
	for _, f := range found {
		if known[f.Path] || known[""] {
			continue
		}
		f.Line = lines.Of(f.Path)
		more = append(more, f)
	}

	return more
}
