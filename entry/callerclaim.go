package entry

import (
	"bytes"
	"context"
	"crypto/sha256"
	"io"
	"net/http"
	"strconv"

	"lycheehook.example/lycheehook/claim"
	"lycheehook.example/lycheehook/endpoint"
	"lycheehook.example/lycheehook/fleet"
)

// headerRepeated marks the stored answer of an earlier attempt with the same request ID.
const headerRepeated = "Repeated"

// outcome is how a claimed request ended.
type outcome string

const (
	// outcomeNotRun means that no byte was sent, so that the request ID may be used again.
	outcomeNotRun outcome = "NotRun"
	// outcomeDone means that the caller got the complete answer.
	outcomeDone outcome = "Done"
	// outcomeUnknown means that the request may have run.
	outcomeUnknown outcome = "Unknown"
)

// claimed is a claimed request ID.
type claimed struct {
	// earlier is the answer to an earlier attempt; nil if the request must be sent.
	earlier *claim.Answer
	// recordOutcome must be called once with the outcome, and with the answer if it is short enough to be stored.
	recordOutcome func(outcome, *claim.Answer)
}

// claimFunc claims a request ID for a team before the first byte is sent, so that the request runs at most once across
// all entry hosts. The error is a NotRunError, or an UnknownError for an ID that another request has claimed.
type claimFunc func(ctx context.Context, team fleet.TeamName, id string, digest [sha256.Size]byte) (claimed, error)

// newClaimFunc returns a claimFunc that claims in b.
func newClaimFunc(b *claim.Registry) claimFunc {
	return func(ctx context.Context, team fleet.TeamName, id string, digest [sha256.Size]byte) (claimed, error) {
		c, err := b.Claim(ctx, team, id, digest)
		if err != nil {
			return claimed{}, err
		}

		return claimed{earlier: c.Answer, recordOutcome: func(o outcome, a *claim.Answer) {
			b.RecordOutcome(c, claim.Outcome{State: claimState(o), Answer: a})
		}}, nil
	}
}

func claimState(o outcome) claim.State {
	switch o {
	case outcomeNotRun:
		return claim.Withdrawn
	case outcomeDone:
		return claim.Done
	case outcomeUnknown:
	}

	return claim.Unknown
}

// claimID claims the ID of a request that must not run twice. An ID generated here needs no claim, because the caller
// can't repeat the request under it.
func (a *callerAPI) claimID(ctx context.Context, team fleet.TeamName, c call) (claimed, error) {
	if a.claim == nil || c.idempotent || !c.hasCallerID {
		return claimed{recordOutcome: func(outcome, *claim.Answer) {}}, nil
	}

	return a.claim(ctx, team, c.id, c.body.digest())
}

// pendingClaim is a claim made while its request waits for a slot, so that no slot is held while the store is called.
type pendingClaim struct {
	api  *callerAPI
	call call
	done chan struct{}
	cl   claimed
	err  error
}

// start makes the claim in the background.
func (p *pendingClaim) start(ctx context.Context, team fleet.Team) {
	p.done = make(chan struct{})
	go func() {
		defer close(p.done)
		p.cl, p.err = p.api.claimID(ctx, team.Name, p.call)
	}()
}

// result waits for the claim, or makes it now if the request did not have to wait for a slot.
func (p *pendingClaim) result(ctx context.Context, team fleet.Team) (claimed, error) {
	if p.done == nil {
		return p.api.claimID(ctx, team.Name, p.call)
	}
	<-p.done

	return p.cl, p.err
}

// abandon records that a request did not run which was refused while it waited, so that its ID may be used again.
func (p *pendingClaim) abandon() {
	if p.done == nil {
		return
	}
	<-p.done
	if p.err == nil && p.cl.earlier == nil {
		p.cl.recordOutcome(outcomeNotRun, nil)
	}
}

// digest identifies the body of a request; a streamed body is identified by its length alone.
func (b *callBody) digest() [sha256.Size]byte {
	if b.buffered != nil {
		return sha256.Sum256(b.buffered.Bytes())
	}

	return sha256.Sum256([]byte("length " + strconv.FormatInt(b.length, 10)))
}

// writeRepeatedAnswer writes the stored answer of an earlier attempt.
func writeRepeatedAnswer(w http.ResponseWriter, a *claim.Answer) {
	if a.ContentType != "" {
		w.Header().Set("Content-Type", a.ContentType)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
	w.Header().Set(headerRepeated, "true")
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

// answerRecorder keeps a copy of a body of up to limit bytes while it is read.
type answerRecorder struct {
	io.ReadCloser
	buf      bytes.Buffer
	limit    int
	overflow bool
}

func (r *answerRecorder) Read(p []byte) (int, error) {
	n, err := r.ReadCloser.Read(p)
	if r.overflow = r.overflow || r.buf.Len()+n > r.limit; !r.overflow {
		r.buf.Write(p[:n])
	}

	return n, err
}

// answer returns the recorded copy of a complete answer, or nil if the body exceeded the limit.
func (r *answerRecorder) answer(a endpoint.Answer) *claim.Answer {
	if r.overflow {
		return nil
	}

	return &claim.Answer{Status: a.Status, ContentType: a.Header.Get("Content-Type"), Body: r.buf.Bytes()}
}
