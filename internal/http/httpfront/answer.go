package httpfront

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"ternbeam/internal/host/core"
	"ternbeam/internal/http/httpmsg"
)

// statuses are those of the final answers.
var statuses = [...]int{core.Served: http.StatusOK, core.Refused: http.StatusServiceUnavailable,
	core.Failed: http.StatusBadGateway, core.Duplicate: http.StatusConflict, core.Unfit: http.StatusUnprocessableEntity}

// The stages at which an answer may fail to reach its client, in the log.
const (
	stageWrite = "write" // of an answer that the agent has whole
	stageRelay = "relay" // of an answer that is relayed while its server sends it
)

// deliveryError is why an answer did not reach its client whole.
type deliveryError struct {
	stage string
	cause error
}

// final writes the final answer to a client that is connected. An answer that can't be written whole ends the connection, and is logged.
func (f *Front) final(w http.ResponseWriter, in *http.Request, call *core.Call, ans core.Answer) {
	if f.ending.Load() {
		endConnection(w, in)
	}
	err := f.answer(w, in, ans, f.patience(call))
	if err == nil {
		return
	}
	f.core.Undelivered(call, ans.Kind, err.stage, err.cause)
	panic(http.ErrAbortHandler) // net/http would take an answer that was begun for a whole one
}

// abandon answers a request whose client has disconnected. Nobody should be there to read this; whoever is must not take the
// end of the connection for an empty answer.
func (f *Front) abandon(w http.ResponseWriter, in *http.Request) {
	w.Header().Set("Connection", "close")
	f.answer(w, in, core.Answer{Kind: core.Failed}, lateWrite)
}

// patience is how long a client may take nothing of its answer. An answer is of use until answerGrace after the client's time: a client that
// waits is not given up before, whatever keeps the answer from it.
func (f *Front) patience(call *core.Call) time.Duration {
	if f.long {
		return writePause
	}
	return max(lateWrite, call.Deadline+answerGrace-f.core.Now())
}

// answer writes an answer whole and returns why it could not be, or nil.
func (f *Front) answer(w http.ResponseWriter, in *http.Request, ans core.Answer, patience time.Duration) *deliveryError {
	callerOf(in).answering = true
	header := w.Header()
	header["Content-Type"] = nil // no guess from the body
	control := http.NewResponseController(w)
	body := []byte(nil)
	if reply, ok := ans.Reply.(*httpmsg.Reply); ok {
		body = reply.Body
		if reply.ContentType != "" {
			header["Content-Type"] = []string{reply.ContentType}
		}
		for _, more := range reply.Header {
			header[more[0]] = append(header[more[0]], more[1])
		}
		if reply.Stream != nil {
			return relay(w, control, reply)
		}
	}
	// The time to write begins now: the request may have taken long to arrive, and the process may have been suspended. A client whose
	// connection ends without an answer may ask again, for what may have had its effect.
	control.SetWriteDeadline(time.Now().Add(patience))
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

// writeAndFlush writes a part of an answer through to the connection.
func writeAndFlush(w io.Writer, control *http.ResponseController, part []byte) error {
	if _, err := w.Write(part); err != nil {
		return err
	}
	return control.Flush()
}

// relay writes an answer while its server sends it. Where that breaks off, the connection has to end before the end that the head has
// promised.
func relay(w http.ResponseWriter, control *http.ResponseController, reply *httpmsg.Reply) *deliveryError {
	defer reply.Close()
	if reply.Length >= 0 {
		w.Header()["Content-Length"] = []string{strconv.FormatInt(reply.Length, 10)}
	}
	write := func(part []byte) *deliveryError {
		control.SetWriteDeadline(time.Now().Add(writePause))
		if err := writeAndFlush(w, control, part); err != nil {
			return &deliveryError{stageWrite, err}
		}
		return nil
	}
	w.WriteHeader(http.StatusOK)
	if err := write(reply.Body); err != nil {
		return err
	}
	part := make([]byte, httpmsg.PartSize)
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
