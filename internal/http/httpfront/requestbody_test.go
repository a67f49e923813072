package httpfront

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"ternbeam/internal/decide/uploadclock"
	"ternbeam/internal/host/core"
	"ternbeam/internal/host/membudget"
	"ternbeam/internal/http/httpmsg"
	"ternbeam/internal/lab/testkit"
)

// deadlineRecorder is a ResponseWriter that records the read deadline of its connection.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	deadline time.Time
}

func (r *deadlineRecorder) SetReadDeadline(t time.Time) error {
	r.deadline = t
	return nil
}

// Guards against a connection that counts as left by its client, so that the next request on it is answered with 502, because the answer to a
// request with a long body came as the last byte of the body had just been read.
func TestStopAfterTheLastByteLeavesTheReadDeadlineAlone(t *testing.T) {
	_, c := newTestCore(t, describingServers{})
	call := &core.Call{}
	const eventQueue = 1024
	for range eventQueue { // the core does not run: the next event has to wait
		c.RequestReceived(call, time.Second)
	}
	writer := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
	body := &pacedBody{body: strings.NewReader("the rest"), control: http.NewResponseController(writer)}
	b := &incomingBody{pacedBody: body, upload: httpmsg.NewUpload(8, membudget.New(0)), clock: uploadclock.New(0, 8), drainedAt: time.Now, quit: make(chan struct{}), done: make(chan struct{})}
	b.pump(c, call)
	testkit.Eventually(t, "the body is complete", b.upload.Complete)
	stopped := make(chan bool)
	go func() { stopped <- b.stop() }()
	time.Sleep(20 * time.Millisecond) // stop waits for the pump, which waits for the core
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go c.Run(ctx)
	if incomplete := <-stopped; incomplete || !writer.deadline.IsZero() {
		t.Errorf("incomplete: %t, read deadline %v", incomplete, writer.deadline)
	}
}

// A body that is stopped before its end can't be finished: the connection closes behind the answer.
func TestStopBeforeTheLastByte(t *testing.T) {
	writer := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
	body := &pacedBody{control: http.NewResponseController(writer)}
	body.halt()
	if body.finish() || writer.deadline.IsZero() || !writer.deadline.Before(time.Now()) {
		t.Errorf("read deadline %v", writer.deadline)
	}
}
