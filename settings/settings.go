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

// ErrInvalid is returned for invalid settings; the error's text lists all faults.
var ErrInvalid = merry.Sentinel("settings: invalid")

// Settings is the settings of an entry host.
type Settings struct {
	Name   fleet.EntryName
	Region fleet.RegionName
	Zone   fleet.ZoneName
	// CallerAddress and OperatorAddress are the listen addresses for callers and operators.
	CallerAddress   netip.AddrPort
	OperatorAddress netip.AddrPort
	// PeerAddress is the address at which the other entry hosts reach this one; it is omitted if there are no others.
	PeerAddress netip.AddrPort `json:",omitzero"`
	// StoreAddress and PlatformAddress are the addresses of the platform's services.
	StoreAddress    netip.AddrPort
	PlatformAddress netip.AddrPort
	// Operators are the users of the operators' API, each with a name and a token.
	Operators []Operator
	TLS       TLS    `json:",omitzero"`
	Log       Log    `json:",omitzero"`
	Limits    Limits `json:",omitzero"`
	// MemoryMegabytes is the memory limit of the process; zero means what the machine and the control group allow.
	MemoryMegabytes int64 `json:",omitzero"`
	// MaxRequestTime is the longest timeout that a caller may set for a request.
	MaxRequestTime fleet.Duration `json:",omitzero"`
	// StopLimit is how long a graceful shutdown waits for requests in progress; it must be at least MaxRequestTime.
	StopLimit fleet.Duration `json:",omitzero"`
}

// Operator is a user of the operators' API; the name is recorded in the audit trail.
type Operator struct {
	Name      string
	TokenHash key.Hashed
}

// TLS is the TLS files of each listener; a listener without files serves without TLS.
type TLS struct {
	Callers   TLSFiles `json:",omitzero"`
	Operators TLSFiles `json:",omitzero"`
	Peers     TLSFiles `json:",omitzero"`
}

// TLSFiles names PEM files, which are reloaded when they change.
type TLSFiles struct {
	CertificateFile string `json:",omitempty"`
	KeyFile         string `json:",omitempty"`
	// CAFile contains the authorities that the other side's certificate is verified against; it is required for peers.
	CAFile string `json:",omitempty"`
}

// IsZero reports whether all names are empty.
func (f TLSFiles) IsZero() bool {
	return f == TLSFiles{}
}

// LogFormat is the encoding of log lines.
type LogFormat string

// The log formats.
const (
	LogLogfmt LogFormat = "Logfmt"
	LogJSON   LogFormat = "JSON"
)

// LogLevel is the minimum level that is logged.
type LogLevel string

// The log levels.
const (
	LogDebug LogLevel = "Debug"
	LogInfo  LogLevel = "Info"
	LogWarn  LogLevel = "Warn"
	LogError LogLevel = "Error"
)

// Log is the settings of the process's log.
type Log struct {
	Level  LogLevel  `json:",omitempty"`
	Format LogFormat `json:",omitempty"`
}

// Limits is the size and time limits of a connection.
type Limits struct {
	MaxHeaderBytes int   `json:",omitempty"`
	MaxBodyBytes   int64 `json:",omitempty"`
	// ReadHeaderTimeout is the limit for reading a request's header.
	ReadHeaderTimeout fleet.Duration `json:",omitzero"`
	// ReadTimeout is the limit for reading a whole request with its body.
	ReadTimeout fleet.Duration `json:",omitzero"`
	// IdleTimeout is how long a connection without requests is kept open.
	IdleTimeout fleet.Duration `json:",omitzero"`
}

// Default returns the defaults of the optional fields.
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

// WithDefaults returns the settings with each optional field that is zero set to its default.
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

// Read reads settings from a file. The error is ErrInvalid and lists all faults.
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

// Parse decodes settings, sets the defaults of omitted fields and validates all fields.
func Parse(data []byte) (Settings, error) {
	s := Default()
	lines, faults := document.Decode(data, &s)
	if faults = append(faults, withoutDecodeFaults(s.Faults(), lines, faults)...); len(faults) > 0 {
		slices.SortStableFunc(faults, func(a, b document.Fault) int { return cmp.Compare(a.Line, b.Line) })
		return Settings{}, merry.Append(ErrInvalid, "\n"+document.Text(faults))
	}

	return s, nil
}

// withoutDecodeFaults returns the faults, with their line numbers, of the fields without a decode error, so that no field is reported twice.
func withoutDecodeFaults(faults []document.Fault, lines document.Lines, decodeFaults []document.Fault) []document.Fault {
	known := map[string]bool{}
	for _, f := range decodeFaults {
		known[f.Path] = true
	}

	var more []document.Fault
	for _, f := range faults {
		if known[f.Path] || known[""] {
			continue
		}
		f.Line = lines.Of(f.Path)
		more = append(more, f)
	}

	return more
}
