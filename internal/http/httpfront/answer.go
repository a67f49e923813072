package httpfront

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"ternbeam/internal/host/core"
	"ternbeam/internal/http/httpmsg"
)

// statuses maps the kind of a final answer to its HTTP status.
var statuses = [...]int{core.Served: http.StatusOK, core.Refused: http.StatusServiceUnavailable,
	core.Failed: http.StatusBadGateway, core.Duplicate: http.StatusConflict, core.Untranslatable: http.StatusUnprocessableEntity}

// The stages at which delivering an answer may fail, as logged.
const (
	stageWrite = "write" // writing an answer that the agent holds completely
	stageRelay = "relay" // relaying an answer while its server sends it
)

// deliveryError says why an answer was not completely delivered to its client.
type deliveryError struct {
	stage string
	cause error
}

// writeFinal writes the final answer to a client that is connected. If it can't be written completely, the connection is closed and the
// failure is logged.
func (f *Front) writeFinal(w http.ResponseWriter, in *http.Request, call *core.Call, ans core.Answer) {
	if f.shuttingDown.Load() {
		endConnection(w, in)
	}
	err := f.writeAnswer(w, in, ans, f.writeTimeout(call))
	if err == nil {
		if ans.Kind != core.Served && ans.Kind != core.Failed {
			f.rest(w, in)
		}
		return
	}
	f.core.RecordUndelivered(call, ans.Kind, err.stage, err.cause)
	panic(http.ErrAbortHandler) // net/http would treat a partly written answer as complete
}

// writeFailedAndClose writes the answer core.Failed, after which the connection closes. It is for a request whose handler has panicked
// or whose client has disconnected. A disconnected client normally does not read the answer; one that still does must not mistake the
// close for an empty answer.
func (f *Front) writeFailedAndClose(w http.ResponseWriter, in *http.Request) {
	w.Header().Set("Connection", "close")
	f.writeAnswer(w, in, core.Answer{Kind: core.Failed}, minWriteTimeout)
}

// writeTimeout returns how long a client may accept nothing of its answer. An answer is useful until answerGrace after the client's
// deadline: the write is not abandoned earlier, whatever delays the answer.
func (f *Front) writeTimeout(call *core.Call) time.Duration {
	if f.longBodies {
		return writeStallTimeout
	}
	return max(minWriteTimeout, call.Deadline+answerGrace-f.core.Now())
}

// writeAnswer writes a complete answer. It returns nil or the reason why the answer could not be written.
func (f *Front) writeAnswer(w http.ResponseWriter, in *http.Request, ans core.Answer, timeout time.Duration) *deliveryError {
	clientConnOf(in).answerStarted = true
	header := w.Header()
	header["Content-Type"] = nil // net/http must not guess it from the body
	control := http.NewResponseController(w)
	body := []byte(nil)
	if reply, ok := ans.Reply.(*httpmsg.Reply); ok {
		body = reply.Body
		if reply.ContentType != "" {
			header["Content-Type"] = []string{reply.ContentType}
		}
		for _, h := range reply.Header {
			header[h[0]] = append(header[h[0]], h[1])
		}
		if reply.Stream != nil {
			return relay(w, control, reply)
		}
	}
	// The write timeout starts now: the request may have taken long to arrive, and the process may have been suspended. A client whose
	// connection closes without an answer may retry a request that has already taken effect.
	control.SetWriteDeadline(time.Now().Add(timeout))
	if ans.Cause != nil {
		body = []byte(ans.Cause.Error())
		header["Content-Type"] = []string{"text/plain; charset=utf-8"}
	}
	if ans.After > 0 {
		header["Retry-After"] = []string{strconv.FormatFloat(ans.After.Seconds(), 'f', 3, 64)}
	}
	header["Content-Length"] = []string{strconv.Itoa(len(body))}
	w.WriteHeader(statuses[ans.Kind])
	if err := writeAndFlush(w, control, body); err != nil {
		return &deliveryError{stageWrite, err}
	}
	return nil
}

// writeAndFlush writes part of an answer and flushes it to the connection.
func writeAndFlush(w io.Writer, control *http.ResponseController, part []byte) error {
	if _, err := w.Write(part); err != nil {
		return err
	}
	return control.Flush()
}

// relay writes an answer while its server sends it. If the server's answer breaks off, the connection must close before the length
// announced in the head is reached.
func relay(w http.ResponseWriter, control *http.ResponseController, reply *httpmsg.Reply) *deliveryError {
	defer reply.Close()
	if reply.Length >= 0 {
		w.Header()["Content-Length"] = []string{strconv.FormatInt(reply.Length, 10)}
	}
	write := func(part []byte) *deliveryError {
		control.SetWriteDeadline(time.Now().Add(writeStallTimeout))
		if err := writeAndFlush(w, control, part); err != nil {
			return &deliveryError{stageWrite, err}
		}
		return nil
	}
	w.WriteHeader(http.StatusOK)
	if err := write(reply.Body); err != nil {
		return err
	}
	reply.Body = nil // written
	size := httpmsg.PartSize
	if reply.SmallParts {
		size = httpmsg.SmallPartSize
	}
	part := make([]byte, size)
	for {
		n, err := reply.Stream.Read(part)
		if n > 0 {
			if failed := write(part[:n]); failed != nil {
				return failed
			}
		}
		switch err {
		case nil:
		case io.EOF:
			return nil
		default:
			return &deliveryError{stageRelay, err}
		}
	}
}
