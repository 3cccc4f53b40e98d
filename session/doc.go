// Package session keeps what the owner of the workers knows of its calls to one
// worker: which incarnation answers, under which token, until when its leases
// last, and which of its ends are acknowledged. It does no I/O and reads no
// clock.
//
// A worker may start again under its ID, and nothing in an order says which
// incarnation is meant. So what the owner believes may be wrong at any time, and
// only the worker itself can tell: an answer to a poll names its incarnation and
// lists its runs. A registration is a claim, since it may be late or come from
// another writer, and start times do not order incarnations, since clocks jump.
// Answers to polls are in order: a poll under a newer token was sent after the
// last accepted answer.
package session
