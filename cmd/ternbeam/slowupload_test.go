package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// slowUpload is a long request whose server reads it in pieces with a pause between them, or not to its end.
type slowUpload struct {
	name       string
	bytes      int
	pieceBytes int
	pause      time.Duration // between two pieces; 0 for none
	stopAfter  int           // bytes; 0 for never
	served     bool          // the server has read it before its client's time is over
}

const uploadTime = 700 * time.Millisecond // that the clients wait

func slowUploads() []slowUpload {
	return []slowUpload{
		{name: "server stops", bytes: 1_700_000, pieceBytes: 4 << 10, stopAfter: 13_000},
		{name: "server stops, more than buffers hold", bytes: 6_700_000, pieceBytes: 4 << 10, stopAfter: 13_000},
		{name: "server is slow, more than buffers hold", bytes: 6_300_000, pieceBytes: 16 << 10, pause: 50 * time.Millisecond},
		{name: "server is fast", bytes: 12 << 20, pieceBytes: 64 << 10, pause: time.Millisecond, served: true},
	}
}

// start starts a server whose connections hold little that it has not read.
func (u slowUpload) start(t *testing.T) net.Addr {
	t.Helper()
	const receiveBuffer = 8 << 10 // bytes
	lc := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		raw.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer) })
		return err
	}}
	l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	serveListener(t, l.(*net.TCPListener), u.serve)
	return l.Addr()
}

// serve reads one request on a connection and answers it.
func (u slowUpload) serve(conn *net.TCPConn) {
	defer conn.Close()
	req, err := http.ReadRequest(bufio.NewReaderSize(conn, 4<<10))
	if err != nil {
		return
	}
	piece := make([]byte, u.pieceBytes)
	for read := 0; ; {
		if u.stopAfter > 0 && read >= u.stopAfter {
			time.Sleep(6 * uploadTime)
			return
		}
		n, err := io.ReadFull(req.Body, piece)
		read += n
		if err != nil {
			break
		}
		time.Sleep(u.pause)
	}
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nchecked")
}

// Guards against answers that come seconds late, or never, because a server reads a long request slowly or stops reading it.
func TestRequestsThatServersReadSlowlyAreAnsweredInTime(t *testing.T) {
	t.Parallel()
	for _, upload := range slowUploads() {
		for _, class := range []string{"refund-record", "refund-pay"} {
			for _, isChunked := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, chunked %t", upload.name, class, isChunked), func(t *testing.T) {
					t.Parallel()
					config, listen := configure(t, unusedAddr(t), everyEffectSettings(randomDeadline, time.Second), upload.start(t), upload.start(t))
					p := startReady(t, config, listen, true)
					upload.request(t, listen, class, isChunked)
					if t.Failed() {
						t.Log(p.log)
					}
				})
			}
		}
	}
}

// request sends one request and checks that it has its answer in time, counted from its last byte.
func (u slowUpload) request(t *testing.T, listen, class string, isChunked bool) {
	conn, err := net.Dial("tcp", listen)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	head := fmt.Sprintf(requestHead, "POST", class, "1", "upload-1", uploadTime.Seconds())
	if class == "refund-record" {
		head += "Idempotency-Key: upload-1\r\n"
	}
	body := strings.Repeat("b", u.bytes)
	if isChunked {
		head += "Transfer-Encoding: chunked\r\n"
		body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	} else {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	written := make(chan time.Time, 1)
	go func() {
		if _, err := io.WriteString(conn, head+"\r\n"+body); err == nil {
			written <- time.Now()
		}
	}()
	begin := time.Now()
	conn.SetReadDeadline(begin.Add(8 * uploadTime))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("after %v: %v", time.Since(begin), err)
	}
	resp.Body.Close()
	due := time.Now() // not written yet
	select {
	case due = <-written:
	default:
	}
	if late := time.Since(due) - uploadTime; late > answerSlack {
		t.Errorf("answered %v behind the client's time", late)
	}
	if served := resp.StatusCode == http.StatusOK; served != u.served {
		t.Errorf("status %d after %v", resp.StatusCode, time.Since(begin))
	}
	if class == "refund-pay" && resp.StatusCode == http.StatusServiceUnavailable && u.served {
		t.Error("refused although it may have run")
	}
}
