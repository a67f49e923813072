package httpback

import (
	"bufio"
	"bytes"
	"net/http"
	"net/url"
	"strconv"
	"testing"
	"time"

	"ternbeam/internal/host/membudget"
	"ternbeam/internal/http/httpmsg"
)

// Guards against a server that is told the time for receiving a long body, which the client does not have.
func TestTimeLeftOfACompleteLongBodyIsTheClients(t *testing.T) {
	const clientTime, forBody = 2 * time.Second, 20 * time.Second
	for name, c := range map[string]struct {
		finish func(u *httpmsg.Upload)
		most   time.Duration
	}{
		"coming":   {func(*httpmsg.Upload) {}, clientTime}, // the header goes on unchanged
		"complete": {func(u *httpmsg.Upload) { u.FinishComplete(time.Now().Add(clientTime)) }, clientTime},
		"expired":  {func(u *httpmsg.Upload) { u.FinishComplete(time.Now().Add(-clientTime)) }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			upload := httpmsg.NewUpload(10, membudget.New(0))
			defer upload.Close()
			upload.Append([]byte("ten bytes."), nil)
			c.finish(upload)
			request := &httpmsg.Request{Method: http.MethodPost, URL: &url.URL{Path: "/pay-out/1"}, Header: http.Header{"X-Time-Left": {"2.000"}}, Upload: upload}
			message := (&codec{request: request, host: "s"}).Message(time.Now().Add(clientTime + forBody))
			sent, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(message)))
			if err != nil {
				t.Fatal(err)
			}
			seconds, err := strconv.ParseFloat(sent.Header.Get("X-Time-Left"), 64)
			if told := time.Duration(seconds * float64(time.Second)); err != nil || told > c.most {
				t.Errorf("the server is told %v, the client has %v; %v", told, c.most, err)
			}
		})
	}
}
