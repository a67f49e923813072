package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
)

// framing is how the end of an answer's body is marked.
type framing string

// The framings of HTTP/1.1.
const (
	withLength framing = "length"
	chunked    framing = "chunked"
	untilClose framing = "none"
)

var framings = []framing{withLength, chunked, untilClose}

// writeHead writes the head of an answer. The length counts for withLength only.
func (f framing) writeHead(w io.Writer, length int) {
	switch f {
	case withLength:
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", length)
	case chunked:
		io.WriteString(w, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	default:
		io.WriteString(w, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
	}
}

// writePiece writes a piece of the body.
func (f framing) writePiece(w io.Writer, piece string) error {
	if f == chunked {
		piece = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
	}
	_, err := io.WriteString(w, piece)
	return err
}

// writeEnd ends the body and reports whether the connection can carry another answer.
func (f framing) writeEnd(w io.Writer) (again bool) {
	if f == chunked {
		io.WriteString(w, "0\r\n\r\n")
	}
	return f != untilClose
}

// answerRequests reads requests from a connection and has each one answered, until the connection ends or answer returns false.
func answerRequests(conn *net.TCPConn, answer func(req *http.Request) (again bool)) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		io.Copy(io.Discard, req.Body)
		if !answer(req) {
			return
		}
	}
}
