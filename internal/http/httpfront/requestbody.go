package httpfront

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"ternbeam/internal/clock"
	"ternbeam/internal/decide/uploadclock"
	"ternbeam/internal/host/core"
	"ternbeam/internal/http/httpmsg"
)

const (
	// longHeadTimeout limits the time for a head when long bodies are allowed. Clients may then be slow for up to 2 s.
	longHeadTimeout = 2400 * time.Millisecond

	// bodyGrace and minBodyRate limit how long the agent waits for a body: bodyGrace in total, plus the time that the body takes at
	// minBodyRate.
	bodyGrace   = 1500 * time.Millisecond
	minBodyRate = 48_000 // bytes per second

	writeStallTimeout = 10 * time.Second // how long a client may accept nothing of an answer
)

// pacedBody reads a body and fails when the body arrives more slowly than minBodyRate, after bodyGrace. Time in which nobody reads does not
// count.
type pacedBody struct {
	body     io.Reader
	control  *http.ResponseController
	received int64
	waited   time.Duration

	mu       sync.Mutex
	stopped  bool // by halt
	finished bool // the body has been read to its end
}

func newPacedBody(in *http.Request, w http.ResponseWriter) *pacedBody {
	return &pacedBody{body: in.Body, control: http.NewResponseController(w)}
}

// errStopped is returned by reads after the request has ended.
var errStopped = errors.New("the request has ended")

func (p *pacedBody) Read(b []byte) (int, error) {
	start := time.Now()
	remaining := bodyGrace + time.Duration(p.received)*time.Second/minBodyRate - p.waited
	p.mu.Lock()
	stopped := p.stopped
	if !stopped {
		p.control.SetReadDeadline(start.Add(max(remaining, 0)))
	}
	p.mu.Unlock()
	if stopped {
		return 0, errStopped
	}
	n, err := p.body.Read(b)
	p.waited += time.Since(start)
	p.received += int64(n)
	return n, err
}

// halt ends a pending Read, by a read deadline that has passed, and makes later ones fail. It has no effect on a body that is finished: from
// there on net/http reads the connection, and would take the deadline for the end of the client.
func (p *pacedBody) halt() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.finished {
		return
	}
	p.stopped = true
	p.control.SetReadDeadline(time.Unix(1, 0))
}

// finish records that the body has been read to its end, and clears the read deadline, which would also end the wait for the client's
// disconnect. It returns false if halt came first: then the connection can't carry another request.
func (p *pacedBody) finish() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return false
	}
	p.finished = true
	p.control.SetReadDeadline(time.Time{})
	return true
}

// incomingBody is a request body that is being received.
type incomingBody struct {
	*pacedBody
	upload   *httpmsg.Upload
	timeLeft time.Duration // how long the client waits, counted from the last byte

	drainedAt func() time.Time // as of conntrack.Conn
	clockMu   sync.Mutex
	clock     *uploadclock.Clock // when the client may have written the last byte

	once     sync.Once
	quit     chan struct{}
	done     chan struct{}
	complete bool // the body was read to its end and the connection can carry another request; valid once done is closed
}

// readBody reads a short body completely. Of a long body it reads the beginning; the rest is forwarded as it arrives.
func (f *Front) readBody(in *http.Request, w http.ResponseWriter, call *core.Call) (*incomingBody, error) {
	payload := call.Payload.(*httpmsg.Request)
	long := f.longBodies && !call.Shape.IsSet()
	switch {
	case in.ContentLength > httpmsg.MaxBody && !long:
		return nil, &http.MaxBytesError{Limit: httpmsg.MaxBody} // without reading it
	case in.ContentLength > httpmsg.MaxStreamedBody:
		return nil, &http.MaxBytesError{Limit: httpmsg.MaxStreamedBody}
	case in.ContentLength < 0 && !long:
		return nil, errUnsupportedFraming
	case in.ContentLength == 0:
		return nil, nil
	}
	if in.ContentLength > 0 && in.ContentLength <= httpmsg.MaxBody {
		source := io.Reader(in.Body)
		if f.longBodies {
			source = newPacedBody(in, w)
		}
		payload.Body = make([]byte, in.ContentLength)
		if _, err := io.ReadFull(source, payload.Body); err != nil {
			return nil, fmt.Errorf("%w: %w", errBody, err)
		}
		return nil, nil
	}
	b := &incomingBody{pacedBody: newPacedBody(in, w), drainedAt: clientConnOf(in).conn.DrainedAt, quit: make(chan struct{}), done: make(chan struct{})}
	first, err := make([]byte, 0, httpmsg.MaxBody), error(nil)
	for err == nil && len(first) < cap(first) {
		var n int
		n, err = b.Read(first[len(first):cap(first)])
		first = first[:len(first)+n]
	}
	switch err {
	case nil:
	case io.EOF: // short, but chunked
		payload.Body = first
		return nil, nil
	default:
		return nil, fmt.Errorf("%w: %w", errBody, err)
	}
	b.upload = httpmsg.NewUpload(in.ContentLength, f.conns.Budget())
	b.upload.Begin(first)
	payload.Upload, call.BodyPending = b.upload, true
	return b, nil
}

// errBody rejects a request whose body was not received or is invalid.
var errBody = errors.New("reading the body")

// startClock records how long the client waits. The beginning of the body has been received.
func (b *incomingBody) startClock(now, timeLeft time.Duration) {
	b.timeLeft, b.clock = timeLeft, uploadclock.New(now, b.upload.Length())
	b.recordReceived(now, httpmsg.MaxBody)
}

// recordReceived records that bytes of the body were received.
func (b *incomingBody) recordReceived(now time.Duration, bytes int) {
	var drainedAt time.Duration
	if at := b.drainedAt(); !at.IsZero() {
		drainedAt = clock.FromTime(at)
	}
	b.clockMu.Lock()
	defer b.clockMu.Unlock()
	b.clock.Received(now, bytes, drainedAt)
}

// expired reports whether the client's time may be over although the body is not complete: the server reads it too slowly.
func (b *incomingBody) expired(now time.Duration) bool {
	b.clockMu.Lock()
	defer b.clockMu.Unlock()
	at, possible := b.clock.ExpiresAt(b.timeLeft)
	return possible && now >= at
}

// maxReadTime returns how long reading the rest of the body can take at most.
func (b *incomingBody) maxReadTime() time.Duration {
	length := b.upload.Length()
	if length < 0 {
		length = httpmsg.MaxStreamedBody
	}
	return bodyGrace + time.Duration(length)*time.Second/minBodyRate
}

// pump reads the rest of the body until it is complete, fails or is stopped. The returned channel receives nil if the body is complete,
// the error if it failed, and nothing if it was stopped.
func (b *incomingBody) pump(c *core.Core, call *core.Call) <-chan error {
	ended := make(chan error, 1)
	go func() {
		defer close(b.done)
		total := int64(httpmsg.MaxBody)
		part := make([]byte, httpmsg.PartSize)
		for {
			n, err := b.Read(part)
			if total += int64(n); total > httpmsg.MaxStreamedBody {
				err = &http.MaxBytesError{Limit: httpmsg.MaxStreamedBody}
			}
			if err != nil && err != io.EOF {
				c.ClientDisconnected(call) // first, as an attempt that fails because the body ends would be retried
				b.upload.Finish(err)
				ended <- fmt.Errorf("%w: %w", errBody, err)
				return
			}
			if n > 0 {
				b.recordReceived(c.Now(), n)
			}
			if n > 0 && !b.upload.Append(part[:n], b.quit) {
				return
			}
			if err == io.EOF {
				b.complete = b.finish()
				b.upload.FinishComplete(time.Now().Add(b.timeLeft))
				c.RequestReceived(call, b.timeLeft)
				ended <- nil
				return
			}
		}
	}()
	return ended
}

// stop ends the reading and reports whether the body was not read completely.
func (b *incomingBody) stop() (incomplete bool) {
	if b == nil {
		return false
	}
	b.once.Do(func() {
		close(b.quit)
		select {
		case <-b.done:
		default:
			b.halt()
			<-b.done
		}
		b.upload.Close()
	})
	return !b.complete
}
