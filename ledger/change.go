package ledger

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/work"
)

// Store keys and key prefixes.
const (
	// Prefix is the prefix of all ledger keys.
	Prefix = "lycheehook/"
	// JobPrefix is the prefix of job keys; the job ID follows.
	JobPrefix = Prefix + "job/"
	// LogPrefix is the prefix of log keys; the batch number follows in hexadecimal.
	LogPrefix = Prefix + "log/"
	// OwnerKey is the key of the Owner record.
	OwnerKey = Prefix + "owner"
	// HostPrefix is the prefix of entry host keys; the host name follows.
	HostPrefix = Prefix + "host/"
)

// ErrMalformed is returned for a ledger record that can't be decoded.
var ErrMalformed = merry.Sentinel("ledger: malformed record")

// ErrGap is returned when a read of the log misses batches; a new read returns them or the snapshots that replaced them.
var ErrGap = merry.Sentinel("ledger: batches are missing")

// ErrDamaged is returned when a batch of the log can't be decoded. No batch after it is applied, since it may have the starts
// and ends of tasks, until the log reproduces the whole state from a later batch on.
var ErrDamaged = merry.Sentinel("ledger: log is damaged")

// Kind is the kind of a change.
type Kind uint8

// The kinds of changes. Their numbers are stored.
const (
	// Assigned assigns an attempt to a worker; it is logged before the worker gets the order.
	Assigned Kind = iota + 1
	// Ended records the end of an attempt.
	Ended
	// JobFailed records that a task of the job used up its attempts.
	JobFailed
	// Maintained records that a host had its maintenance: Worker holds the host name, and Life the number of the wave.
	Maintained
	// HostOrdered announces a maintenance or move order to a host, before it is sent: Worker holds the host name, and Live the
	// host's worker without an attempt.
	HostOrdered
	// TaskSnapshot holds the whole state of a task and replaces all earlier changes; Number is its last attempt.
	TaskSnapshot
	// Compacted records that the log reproduces the whole state from the batch with the number in Life on.
	Compacted
	// TaskCrashed records that a worker crashed while an attempt may have been running there.
	TaskCrashed
	// CrashCleared withdraws the TaskCrashed of a task that names the same incarnation of a worker.
	CrashCleared
	// Begun records that an attempt has begun, if it is the first of its job that is known to have.
	Begun
	// Found records that a worker has an attempt at work that was believed over.
	Found
	// StartLost records that the start of an attempt got no answer, and that its worker was not known to have carried it out when the
	// attempt ended.
	StartLost
)

// Change is one change in a batch of the log.
type Change struct {
	_       struct{} `cbor:",toarray"`
	Kind    Kind
	Attempt work.Attempt
	Worker  work.WorkerID
	Life    work.Life
	Outcome work.Outcome
	// Checkpoint is the checkpoint from which the next attempt resumes.
	Checkpoint string
	// Failures and Done are set in a TaskSnapshot only, Live also in HostOrdered.
	Failures int
	Done     bool
	Live     []LiveAttempt
}

// LogKey returns the store key of a batch.
func LogKey(number uint64) string {
	return fmt.Sprintf("%s%016x", LogPrefix, number)
}

// JobKey returns the store key of a job.
func JobKey(id fleet.JobID) string {
	return JobPrefix + string(id)
}

// encMode encodes times as numbers, which are compact and keep fractions of a second.
var encMode = mustEncMode()

func mustEncMode() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeUnixMicro}.EncMode()
	if err != nil {
		panic(err)
	}

	return mode
}

// Encode returns the stored form of a record.
func Encode(v any) ([]byte, error) {
	data, err := encMode.Marshal(v)
	if err != nil {
		return nil, merry.Prepend(err, "encode record")
	}

	return data, nil
}

// Decode decodes a stored record; key is only used in errors.
func Decode[T any](key string, value []byte) (T, error) {
	var v T
	err := DecodeInto(key, value, &v)

	return v, err
}

// DecodeInto decodes a stored record into the value that v points to.
func DecodeInto(key string, value []byte, v any) error {
	if err := cbor.Unmarshal(value, v); err != nil {
		return merry.Prependf(ErrMalformed, "%s: %v", key, err)
	}

	return nil
}

// batchNumber parses the batch number from a log key.
func batchNumber(key string) (uint64, error) {
	n, err := strconv.ParseUint(strings.TrimPrefix(key, LogPrefix), 16, 64)
	if err != nil {
		return 0, merry.Prependf(ErrMalformed, "%s: %v", key, err)
	}

	return n, nil
}
