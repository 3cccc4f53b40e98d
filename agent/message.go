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

// ErrFrame says that a frame of a stream can't be read; the stream ends with it.
var ErrFrame = merry.Sentinel("agent: malformed frame")

// errNotMade says that an agent surely did not make a call and never will.
var errNotMade = merry.Sentinel("agent: call not made")

// maxFrame bounds a frame, in bytes; the starts of a pass with their specs are some hundred kilobytes.
const maxFrame = 8 << 20

// frameHeader is the size of a frame's length, in bytes.
const frameHeader = 4

// wireCall is one call that an agent is to make; one of its orders is set.
type wireCall struct {
	// ID numbers the calls of a stream.
	ID uint64 `cbor:"1,keyasint"`
	// Until is when the permission to make the call ends, on the agent's clock.
	Until   time.Duration `cbor:"2,keyasint"`
	Worker  work.WorkerID `cbor:"3,keyasint"`
	Address string        `cbor:"4,keyasint"`
	Start   *work.Start   `cbor:"5,keyasint,omitempty"`
	Stop    *work.Stop    `cbor:"6,keyasint,omitempty"`
	Pace    *work.Pace    `cbor:"7,keyasint,omitempty"`
	Poll    *work.Poll    `cbor:"8,keyasint,omitempty"`
}

// wireCalls is a frame from the owner.
type wireCalls struct {
	Calls []wireCall `cbor:"1,keyasint"`
}

// wireReply is what came of a call.
type wireReply struct {
	_  struct{} `cbor:",toarray"`
	ID uint64
	// Failure is the place in failures of what went wrong; zero means that nothing did.
	Failure int
	Reason  string
	Answer  work.Answer
	Active  []work.Activity
	Ended   []work.End
}

// wireReplies is a frame from an agent.
type wireReplies struct {
	// Clock is the agent's steady clock when it wrote the frame; it goes on while the machine is suspended.
	Clock time.Duration `cbor:"1,keyasint"`
	// Leaving says that the agent is about to stop and wants no more calls.
	Leaving bool        `cbor:"2,keyasint,omitempty"`
	Replies []wireReply `cbor:"3,keyasint,omitempty"`
}

// failures lists the errors of calls; places in it are part of the protocol between entry hosts.
var failures = []error{
	nil, work.ErrNoAnswer, work.ErrNotSent, work.ErrFenced, work.ErrOldAttempt, work.ErrLate, work.ErrNoRoom, work.ErrTicket,
	work.ErrUnhealthy, work.ErrAnotherLife, work.ErrRejected, errNotMade,
}

// failureOf returns the place of an error in failures; one that is not there proves nothing about the call.
func failureOf(err error) int {
	if err == nil {
		return 0
	}
	for i, f := range failures[1:] {
		if errors.Is(err, f) {
			return i + 1
		}
	}

	return failureOf(work.ErrNoAnswer)
}

// err returns the reply's error.
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

// writeFrame writes a message with its length before it, in one piece.
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

// readFrame reads a message that was written by writeFrame; its error is of kind ErrFrame if the bytes make no sense.
func readFrame(r io.Reader, message any) error {
	var header [frameHeader]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > maxFrame {
		return merry.Prependf(ErrFrame, "%d bytes", size)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return err
	}
	if err := ledger.DecodeInto(Path, body, message); err != nil {
		return merry.Prepend(ErrFrame, err.Error())
	}

	return nil
}
