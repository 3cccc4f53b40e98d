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

// Keys of the store.
const (
	// Prefix begins every key of the ledger.
	Prefix = "lycheehook/"
	// JobPrefix begins the keys of jobs; the job's ID follows.
	JobPrefix = Prefix + "job/"
	// LogPrefix begins the keys of the log; the batch's number follows in hexadecimal.
	LogPrefix = Prefix + "log/"
	// OwnerKey names the owner of the workers.
	OwnerKey = Prefix + "owner"
	// HostPrefix begins the keys of entry hosts; the host's name follows.
	HostPrefix = Prefix + "host/"
)

// ErrMalformed says that a record of the ledger can't be read.
var ErrMalformed = merry.Sentinel("ledger: malformed record")

// ErrGap says that batches are missing in what was read of the log; another read has them, or what replaced them.
var ErrGap = merry.Sentinel("ledger: batches are missing")

// Kind says what a change is about.
type Kind uint8

// The kinds of changes.
const (
	// Assigned puts an attempt on a worker, before the worker is told.
	Assigned Kind = iota + 1
	// Ended is the end of an attempt.
	Ended
	// JobFailed is a job of which a task used up its attempts.
	JobFailed
	// Maintained is a host that had its maintenance: Worker has the host's name and Life the number of the wave.
	Maintained
	// HostOrdered is a host that is about to be ordered away: Worker has the host's name.
	HostOrdered
	// Restated is the whole state of a task, in place of all changes before; Number is its last attempt.
	Restated
)

// Change is one entry of the log.
type Change struct {
	_       struct{} `cbor:",toarray"`
	Kind    Kind
	Attempt work.Attempt
	Worker  work.WorkerID
	Life    work.Life
	Outcome work.Outcome
	// Checkpoint is where the next attempt resumes.
	Checkpoint string
	// Failures, Done and Live are set where a task is restated.
	Failures int
	Done     bool
	Live     []Live
}

// LogKey returns the key of a batch.
func LogKey(number uint64) string {
	return fmt.Sprintf("%s%016x", LogPrefix, number)
}

// JobKey returns the key of a job.
func JobKey(id fleet.JobID) string {
	return JobPrefix + string(id)
}

// encoding writes times as numbers, which keep fractions of a second and need little room.
var encoding = mustMode()

func mustMode() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeUnixMicro}.EncMode()
	if err != nil {
		panic(err)
	}

	return mode
}

// Encode returns the form in which a record is stored.
func Encode(v any) ([]byte, error) {
	data, err := encoding.Marshal(v)
	if err != nil {
		return nil, merry.Prepend(err, "encode record")
	}

	return data, nil
}

// Decode reads a stored record.
func Decode[T any](key string, value []byte) (T, error) {
	var v T
	err := DecodeInto(key, value, &v)

	return v, err
}

// DecodeInto reads a stored record into what v points to.
func DecodeInto(key string, value []byte, v any) error {
	if err := cbor.Unmarshal(value, v); err != nil {
		return merry.Prependf(ErrMalformed, "%s: %v", key, err)
	}

	return nil
}

// batchNumber returns the number in the key of a batch.
func batchNumber(key string) (uint64, error) {
	n, err := strconv.ParseUint(strings.TrimPrefix(key, LogPrefix), 16, 64)
	if err != nil {
		return 0, merry.Prependf(ErrMalformed, "%s: %v", key, err)
	}

	return n, nil
}
