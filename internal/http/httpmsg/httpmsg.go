// Package httpmsg holds what an HTTP call is between the front that takes it and the transport that makes its attempts.
package httpmsg

import (
	"io"
	"net/http"
	"net/url"
)

const (
	// MaxBody is the most that a body may hold which is read whole. One that has a shape may hold no more.
	MaxBody = 64 << 10
	// MaxLong is the most that a body may hold which is passed on while it comes.
	MaxLong = 32 << 20
	// MaxHead is the most that a request's or an answer's head may hold.
	MaxHead = 16 << 10
)

// Request is the payload of a call that came in HTTP.
type Request struct {
	Method string
	URL    *url.URL
	Header http.Header
	Body   []byte
	Upload *Upload // in place of Body, where that is sent on while it comes

	// What follows is of calls that have a shape.
	Pass    []string // further headers that go on to a server, in their canonical form
	Wanted  []string // further headers of the answer that go back
	Unknown int      // the status of a server that does not know the shape; 0 for none

	// A request that was translated has these in place of URL and Header.
	Target string
	Fields [][2]string
}

// Reply is what a server answered a call that it served.
type Reply struct {
	ContentType string
	Header      [][2]string // further ones that were wanted
	Body        []byte

	// An answer that is passed on while it comes has these in place of Body.
	Stream *io.PipeReader
	Length int64 // -1 where it is not said
}

// Close says that nobody reads the rest.
func (r *Reply) Close() error {
	if r.Stream == nil {
		return nil
	}
	return r.Stream.Close()
}
