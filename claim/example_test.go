package claim_test

import (
	"context"
	"crypto/sha256"
	"fmt"

	"github.com/google/uuid"

	"lycheehook.example/lycheehook/claim"
	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/standin"
)

func ExampleRegistry() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	b := claim.New(standin.NewStore().Client(), fleet.NewIncarnation("entry-1"))
	go b.Run(ctx)

	id := uuid.Must(uuid.NewV7()).String()
	digest := sha256.Sum256([]byte("post 500 for member 12"))
	c, err := b.Claim(ctx, "treasury", id, digest)
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println("to be sent:", c.Answer == nil)
	b.RecordOutcome(c, claim.Outcome{State: claim.Done, Answer: &claim.Answer{Status: 200, Body: []byte("posted")}})

	repeat, err := b.Claim(ctx, "treasury", id, digest)
	fmt.Println(string(repeat.Answer.Body), err)
	// Output:
	// to be sent: true
	// posted <nil>
}
