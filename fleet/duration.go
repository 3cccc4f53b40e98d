package fleet

import "time"

// Duration is a time.Duration that is encoded as text such as "1m30s".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}

// String formats d like time.Duration.
func (d Duration) String() string {
	return time.Duration(d).String()
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}

	*d = Duration(v)

	return nil
}
