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

// headerRepeated marks an answer that an earlier attempt with the same request ID got.
const headerRepeated = "Repeated"

// outcome is how a claimed request ended.
type outcome string

const (
	// outcomeNotRun says that no byte left, so that the request ID may be used again.
	outcomeNotRun outcome = "NotRun"
	// outcomeDone says that the caller was given the whole answer.
	outcomeDone outcome = "Done"
	// outcomeUnknown says that the request may have run.
	outcomeUnknown outcome = "Unknown"
)

// claimed is a request ID that was claimed.
type claimed struct {
	// earlier is the answer that an earlier attempt got; nil if the request is to be sent.
	earlier *claim.Answer
	// settle is called once with how the request ended, and the answer if it is short enough to be kept.
	settle func(outcome, *claim.Answer)
}

// claimFunc claims a request ID for a team before its first byte leaves, so that it runs at most once over all entry
// hosts. The error is a NotRunError, or an UnknownError for an ID that another request has claimed.
type claimFunc func(ctx context.Context, team fleet.TeamName, id string, digest [sha256.Size]byte) (claimed, error)

// claimIn returns the claimFunc over a book of claims.
func claimIn(b *claim.Book) claimFunc {
	return func(ctx context.Context, team fleet.TeamName, id string, digest [sha256.Size]byte) (claimed, error) {
		c, err := b.Claim(ctx, team, id, digest)
		if err != nil {
			return claimed{}, err
		}

		return claimed{earlier: c.Answer, settle: func(o outcome, a *claim.Answer) {
			b.Settle(c, claim.Outcome{State: stateOf(o), Answer: a})
		}}, nil
	}
}

func stateOf(o outcome) claim.State {
	switch o {
	case outcomeNotRun:
		return claim.Withdrawn
	case outcomeDone:
		return claim.Done
	case outcomeUnknown:
	}

	return claim.Unknown
}

// claimID claims the ID of a request that must not run twice; one whose caller gave no ID can't be repeated.
func (a *callerAPI) claimID(ctx context.Context, team fleet.TeamName, c call) (claimed, error) {
	if a.claim == nil || c.idempotent || !c.named {
		return claimed{settle: func(outcome, *claim.Answer) {}}, nil
	}

	return a.claim(ctx, team, c.id, c.body.digest())
}

// pendingClaim is a claim that is made while its request waits for a slot, so that no slot waits for the store.
type pendingClaim struct {
	api  *callerAPI
	call call
	done chan struct{}
	cl   claimed
	err  error
}

// begin makes the claim beside the wait.
func (p *pendingClaim) begin(ctx context.Context, team fleet.Team) {
	p.done = make(chan struct{})
	go func() {
		defer close(p.done)
		p.cl, p.err = p.api.claimID(ctx, team.Name, p.call)
	}()
}

// result returns the claim, made now if the request did not have to wait.
func (p *pendingClaim) result(ctx context.Context, team fleet.Team) (claimed, error) {
	if p.done == nil {
		return p.api.claimID(ctx, team.Name, p.call)
	}
	<-p.done

	return p.cl, p.err
}

// abandon gives the ID back for another attempt, because the request was refused while it waited.
func (p *pendingClaim) abandon() {
	if p.done == nil {
		return
	}
	<-p.done
	if p.err == nil && p.cl.earlier == nil {
		p.cl.settle(outcomeNotRun, nil)
	}
}

// digest identifies the body of a request; one that is not held is known by its length alone.
func (b *callBody) digest() [sha256.Size]byte {
	if b.held != nil {
		return sha256.Sum256(b.held.Bytes())
	}

	return sha256.Sum256([]byte("length " + strconv.FormatInt(b.length, 10)))
}

// writeEarlier answers with what an earlier attempt got.
func writeEarlier(w http.ResponseWriter, a *claim.Answer) {
	if a.ContentType != "" {
		w.Header().Set("Content-Type", a.ContentType)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
	w.Header().Set(headerRepeated, "true")
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

// keeper keeps a short body while it is passed on.
type keeper struct {
	io.ReadCloser
	kept  bytes.Buffer
	limit int
	over  bool
}

func (k *keeper) Read(p []byte) (int, error) {
	n, err := k.ReadCloser.Read(p)
	if k.over = k.over || k.kept.Len()+n > k.limit; !k.over {
		k.kept.Write(p[:n])
	}

	return n, err
}

// answer returns what was kept of a whole answer, or nil if it was too long.
func (k *keeper) answer(a endpoint.Answer) *claim.Answer {
	if k.over {
		return nil
	}

	return &claim.Answer{Status: a.Status, ContentType: a.Header.Get("Content-Type"), Body: k.kept.Bytes()}
}
