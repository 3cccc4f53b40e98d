package endpoint

import (
	"errors"
	"io"
	"net/http"

	"lycheehook.example/lycheehook/refusal"
)

// answerBody is the body of an answer; its connection is reused only if the body was read to the end.
type answerBody struct {
	exchange *exchange
	resp     *http.Response
	err      error
}

// Read implements io.Reader; it returns io.EOF only for a complete body.
func (b *answerBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.resp.Body.Read(p)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
		b.err = io.EOF
		b.exchange.finish(b.resp)
	default:
		b.err = Sent{exchange: b.exchange}.Uncertain(refusal.AnswerIncomplete, err)
	}

	return n, b.err
}

// Close implements io.Closer; it also closes the connection if the body was not read to the end.
func (b *answerBody) Close() error {
	if b.err == nil {
		b.err = http.ErrBodyReadAfterClose
		b.exchange.abort()
	}

	return nil
}
