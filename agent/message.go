package agent

import (
	"encoding/binary"
	"errors"
	"io"
	"time"

	"github.com/ansel1/merry/v2"

	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/work"
)

// ErrFrame is returned for a malformed frame, after which the stream is closed.
var ErrFrame = merry.Sentinel("agent: malformed frame")

// errNotMade is returned for a call that the agent has not made and will not make.
var errNotMade = merry.Sentinel("agent: call not made")

// maxFrame limits the size of a frame in bytes. The starts of a scheduling pass with their specs take some hundred kilobytes.
const maxFrame = 8 << 20

// eagerFrame is the size in bytes up to which a frame is allocated before it arrives.
const eagerFrame = 64 << 10

// frameHeader is the size in bytes of the length that precedes a frame.
const frameHeader = 4

// wireCall is a request to make one call; exactly one of Start, Stop, Pace and Poll is set.
type wireCall struct {
	// ID is the number of the call in its stream.
	ID uint64 `cbor:"1,keyasint"`
	// Deadline is the time on the agent's clock from which on the call must not be made.
	Deadline time.Duration `cbor:"2,keyasint"`
	Worker   work.WorkerID `cbor:"3,keyasint"`
	Address  string        `cbor:"4,keyasint"`
	Start    *work.Start   `cbor:"5,keyasint,omitempty"`
	Stop     *work.Stop    `cbor:"6,keyasint,omitempty"`
	Pace     *work.Pace    `cbor:"7,keyasint,omitempty"`
	Poll     *work.Poll    `cbor:"8,keyasint,omitempty"`
}

// wireCalls is a frame from the owner to an agent.
type wireCalls struct {
	Calls []wireCall `cbor:"1,keyasint"`
}

// wireReply is the result of a call.
type wireReply struct {
	_  struct{} `cbor:",toarray"`
	ID uint64
	// Failure is the index of the error in failures; zero means success.
	Failure int
	Reason  string
	Answer  work.Answer
	Active  []work.Activity
	Ended   []work.End
}

// wireReplies is a frame from an agent to the owner.
type wireReplies struct {
	// Clock is the time on the agent's monotonic clock, including time in suspend, when it wrote the frame.
	Clock time.Duration `cbor:"1,keyasint"`
	// Leaving is set if the agent is about to stop and should get no more calls.
	Leaving bool        `cbor:"2,keyasint,omitempty"`
	Replies []wireReply `cbor:"3,keyasint,omitempty"`
}

// failures lists the errors of calls. Its indices are part of the protocol between entry hosts.
var failures = []error{
	nil, work.ErrNoAnswer, work.ErrNotSent, work.ErrFenced, work.ErrOldAttempt, work.ErrLate, work.ErrNoRoom, work.ErrTicket,
	work.ErrUnhealthy, work.ErrAnotherLife, work.ErrRejected, errNotMade,
}

// failureIndex returns the index of an error in failures. Other errors leave the outcome of the call unknown, so that they
// count as work.ErrNoAnswer.
func failureIndex(err error) int {
	if err == nil {
		return 0
	}
	for i, f := range failures[1:] {
		if errors.Is(err, f) {
			return i + 1
		}
	}

	return failureIndex(work.ErrNoAnswer)
}

// err returns the error of the call.
func (r wireReply) err() error {
	switch {
	case r.Failure == 0:
		return nil
	case r.Failure < 0 || r.Failure >= len(failures):
		return merry.Prependf(work.ErrNoAnswer, "unknown failure %d: %s", r.Failure, r.Reason)
	default:
		return merry.Prepend(failures[r.Failure], r.Reason)
	}
}

// writeFrame writes a message, preceded by its length, in a single Write.
func writeFrame(w io.Writer, message any) error {
	body, err := ledger.Encode(message)
	if err != nil {
		return err
	}
	if len(body) > maxFrame {
		return merry.Prependf(ErrFrame, "%d bytes", len(body))
	}
	_, err = w.Write(append(binary.BigEndian.AppendUint32(make([]byte, 0, frameHeader+len(body)), uint32(len(body))), body...))

	return err
}

// readBody reads size bytes. The memory of a large frame grows with what arrives, not with what is announced.
func readBody(r io.Reader, size int64) ([]byte, error) {
	if size > eagerFrame {
		body, err := io.ReadAll(io.LimitReader(r, size))
		if err == nil && int64(len(body)) < size {
			err = io.ErrUnexpectedEOF
		}

		return body, err
	}
	body := make([]byte, size)
	_, err := io.ReadFull(r, body)

	return body, err
}

// readFrame reads a message written by writeFrame. It returns ErrFrame for malformed data.
func readFrame(r io.Reader, message any) error {
	var header [frameHeader]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > maxFrame {
		return merry.Prependf(ErrFrame, "%d bytes", size)
	}
	body, err := readBody(r, int64(size))
	if err != nil {
		return err
	}
	if err := ledger.DecodeInto(Path, body, message); err != nil {
		return merry.Prepend(ErrFrame, err.Error())
	}

	return nil
}
