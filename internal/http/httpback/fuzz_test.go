package httpback

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"

	"ternbeam/internal/host/exchange"
	"ternbeam/internal/http/httpmsg"
)

// answers are seeds: valid, unusual and invalid ones.
var answers = []string{
	"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 200 OK\r\nX-Backend-Load: TEXT util=0.5, qps=40, eps=0\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length:2\r\n\r\nok",
	"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok!",
	"HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nok",
	"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok",
	"HTTP/1.1 200 OK\r\nX: a\r\n b\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 200 OK\nContent-Length: 2\n\nok",
	"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 204 No Content\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 20 OK\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 2000 OK\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok",
	"\x8e\x1f7\x00noise",
}

// Whatever a server sends, the reader terminates, accepts no more than an answer may hold, and parses plain heads as net/http
// does.
func FuzzAnswer(f *testing.F) {
	for _, text := range answers {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		ans, err := readAnswer(bufio.NewReader(bytes.NewReader(text)), func() error { return nil }, []string{"X-Receipt"})
		switch {
		case err != nil && !errors.Is(err, exchange.ErrInvalidAnswer) && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) &&
			!strings.Contains(err.Error(), "chunk"):
			t.Fatalf("error %v", err)
		case err == nil && len(ans.body) > httpmsg.MaxBody:
			t.Fatalf("a body of %d bytes", len(ans.body))
		case err == nil && ans.status < 200:
			t.Fatalf("status %d", ans.status)
		}
		end := bytes.Index(text, []byte("\r\n\r\n"))
		if end < 0 {
			return
		}
		plain, ok := parsePlainHead(text[:end+4])
		if !ok {
			return
		}
		if other, err := parseAnyHead(text[:end+4]); err != nil || !reflect.DeepEqual(plain, other) {
			t.Fatalf("parsed as %+v, by net/http as %+v, %v", plain, other, err)
		}
	})
}

// Heads that servers usually send are parsed without net/http; those with anything else in them are not.
func TestPlainHeads(t *testing.T) {
	for i, text := range answers[:5] {
		head, _, _ := strings.Cut(text, "\r\n\r\n")
		if _, ok := parsePlainHead([]byte(head + "\r\n\r\n")); ok != (i < 3) {
			t.Errorf("%q: plain %t", head, ok)
		}
	}
}

// readAnswer reads one complete answer.
func readAnswer(r *bufio.Reader, awaitData func() error, wanted []string) (answer, error) {
	h, err := readHeads(r, awaitData, wanted)
	if err != nil {
		return answer{}, err
	}
	return readBody(r, h)
}
