package standin

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// httpEncoder encodes replies in HTTP/1.1.
type httpEncoder struct{}

func readHTTP(in *bufio.Reader) (Call, replyEncoder, error) {
	r, call, err := readRequest(in)
	if err != nil {
		return Call{}, nil, err
	}
	parts := strings.Split(r.URL.Path, "/")
	call.Key = parts[len(parts)-1]
	return call, httpEncoder{}, nil
}

// readRequest reads a request and builds a Call from its headers. The body becomes the call's text.
func readRequest(in *bufio.Reader) (*http.Request, Call, error) {
	r, err := http.ReadRequest(in)
	if err != nil {
		return nil, Call{}, err
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, Call{}, err
	}
	method := slices.Index(Classes[:], r.Header.Get("X-Service-Class"))
	if method < 0 {
		return nil, Call{}, fmt.Errorf("unknown class %q", r.Header.Get("X-Service-Class"))
	}
	left, _ := strconv.ParseFloat(r.Header.Get("X-Time-Left"), 64)
	return r, Call{Method: Method(method), ID: r.Header.Get("X-Correlation-Id"), Tenant: r.Header.Get("X-Account"),
		IdempotencyKey: r.Header.Get("Idempotency-Key"), TimeLeft: time.Duration(left * float64(time.Second)),
		ClientRetry: r.Header.Get("X-Repeat") == "1", Text: string(body)}, nil
}

func (httpEncoder) reply(r reply) []byte {
	var head strings.Builder
	switch r.fault {
	case Reject:
		head.WriteString("HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\n")
	case Error:
		head.WriteString("HTTP/1.1 500 Internal Server Error\r\n")
	case WrongSeq:
		return []byte("a reply to something else")
	default:
		head.WriteString("HTTP/1.1 200 OK\r\n")
	}
	if l := r.load; l != nil {
		fmt.Fprintf(&head, "X-Backend-Load: TEXT util=%g, qps=%g, eps=%g\r\n", l.util, l.qps, l.eps)
	}
	fmt.Fprintf(&head, "Content-Length: %d\r\n\r\n%s", len(r.text), r.text)
	return []byte(head.String())
}
