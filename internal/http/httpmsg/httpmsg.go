// Package httpmsg holds the representation of HTTP requests and replies that the front and the back share.
package httpmsg

import (
	"io"
	"net/http"
	"net/url"
)

const (
	// MaxBody limits the bytes of a body that is read completely. A body that has a shape is limited to this too.
	MaxBody = 64 << 10
	// MaxStreamedBody limits the bytes of a body that is forwarded while it is received.
	MaxStreamedBody = 32 << 20
	// MaxHead limits the bytes of the head of a request or an answer.
	MaxHead = 16 << 10
)

// Request is the payload of a call that was received over HTTP.
type Request struct {
	Method string
	URL    *url.URL
	Header http.Header
	Body   []byte
	Upload *Upload // in place of Body, for a body that is forwarded while it is received

	// The following fields are for calls that have a shape.
	ForwardHeaders     []string // further headers that are forwarded to a server, in canonical form
	ReplyHeaders       []string // further headers of the answer that are returned to the client
	UnknownShapeStatus int      // the status of a server that does not know the shape; 0 for none

	// A translated request has these in place of URL and Header.
	Target       string
	HeaderFields [][2]string
}

// Reply is the reply of a server that served a call. The final answer to the client, a core.Answer, contains it.
type Reply struct {
	ContentType string
	Header      [][2]string // the further headers that were requested, as name and value
	Body        []byte

	// An answer that is relayed while it is received has these; Body then holds its first bytes.
	Stream     *io.PipeReader
	Length     int64 // -1 if unknown
	SmallParts bool  // memory is short: it is relayed in parts of SmallPartSize
}

// Close ends the reading of a relayed answer; its writer then fails.
func (r *Reply) Close() error {
	if r.Stream == nil {
		return nil
	}
	return r.Stream.Close()
}
