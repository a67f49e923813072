package httpfront

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"ternbeam/internal/host/membudget"
	"ternbeam/internal/lab/testkit"
)

// A request for which there is no memory is refused when its client has no more time, and counted as refused.
func TestRequestsWithoutMemoryAreRefused(t *testing.T) {
	r := newTestFront(t, 10)
	r.openRequests = membudget.New(0)
	r.serve()
	client := r.dial(t)
	client.SetDeadline(time.Now().Add(testkit.WaitTimeout))
	text := requestsByKind["safe"]("waits")
	begin := time.Now()
	send(t, client, text)
	resp, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || !resp.Close || !strings.Contains(string(body), membudget.ErrExhausted.Error()) {
		t.Errorf("answered %d %q, close %t, %v", resp.StatusCode, body, resp.Close, err)
	}
	if took := time.Since(begin); took > roomTimeout+time.Second {
		t.Errorf("refused after %v", took)
	}
	if s := r.core.Snapshot(); s.Stats.Refused != 1 || s.Stats.Requests != 1 || s.Malformed != 0 || r.servers.attempts("waits") != 0 {
		t.Errorf("%d of %d requests refused, %d malformed", s.Stats.Refused, s.Stats.Requests, s.Malformed)
	}
}
