package endpoint

import (
	"errors"
	"io"
	"net/http"

	"lycheehook.example/lycheehook/refusal"
)

// answerBody is the body of an answer; the connection is reused only after the whole body was read.
type answerBody struct {
	exchange *exchange
	resp     *http.Response
	err      error
}

// Read implements io.Reader; io.EOF means that the body is whole.
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

// Close implements io.Closer; a body that was not read to its end takes its connection with it.
func (b *answerBody) Close() error {
	if b.err == nil {
		b.err = http.ErrBodyReadAfterClose
		b.exchange.abort()
	}

	return nil
}
