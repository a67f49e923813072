package discovery

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"ternbeam/internal/lab/testkit"
)

// Guards against a list that counts as current, although the service has not said so.
func TestFreshnessIsConfirmedByAcceptedListsAndEmptyLines(t *testing.T) {
	send := make(chan string)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusOK)
		for {
			w.(http.Flusher).Flush()
			select {
			case text := <-send:
				fmt.Fprint(w, text)
			case <-r.Context().Done():
				return
			}
		}
	}))
	defer s.Close()
	defer s.CloseClientConnections()
	const pause = 50 * time.Millisecond // for what must not be confirmed
	freshness := new(Freshness)
	for _, watch := range [][]struct {
		text     string
		confirms bool
	}{
		{{`{"version":9,"full":true,"servers":[]}` + "\n", false}}, // not believed
		{{`{"version":9,"servers":[{"id":"a","state":"in_service"}]}` + "\n", true}, {"\n", true}, {`{"version":10,`, false}, {`"servers":[]}` + "\n", true}},
	} {
		d := New(s.Listener.Addr().String(), List{Version: 7, Servers: []Entry{{ID: "a", State: "in_service"}}}, slog.New(slog.DiscardHandler))
		d.ReportFreshness(freshness)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			d.Watch(ctx, Events{Answered: func() {}, Alive: func() {}, Deliver: func(List) {}})
		}()
		for _, step := range watch {
			before := freshness.CurrentAt()
			send <- step.text
			if step.confirms {
				testkit.Eventually(t, fmt.Sprintf("%q confirms the list", step.text), func() bool { return freshness.CurrentAt() > before })
				continue
			}
			time.Sleep(pause)
			if freshness.CurrentAt() != before {
				t.Errorf("%q confirms the list", step.text)
			}
		}
		cancel()
		<-ended
	}
}
