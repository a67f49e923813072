package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"ternbeam/internal/lab/testkit"
)

// signals are sent one right behind the other.
func signals(t *testing.T, cmd *exec.Cmd, all ...syscall.Signal) {
	t.Helper()
	for _, s := range all {
		if err := cmd.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
	}
}

// SIGTERM comes during SIGHUP, and again while the last call is under way: there is one end, in which that call is answered, and discovery
// is not moved by a configuration that nobody follows any more.
func TestSignalsCross(t *testing.T) {
	held, taken := make(chan struct{}), make(chan struct{}, 10)
	release := sync.OnceFunc(func() { close(held) })
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		taken <- struct{}{}
		<-held
		fmt.Fprintf(w, "checked %s", r.URL.Path)
	}))
	defer backend.Close()
	defer release()
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, `{"version":1,"full":true,"servers":[{"id":"s","addr":"%s","zone":"z","state":"in_service"}]}`+"\n", backend.Listener.Addr())
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	defer discovery.Close()
	defer discovery.CloseClientConnections()
	config, listen := configure(t, discovery.Listener.Addr().String(), settings)
	cmd, log := program(t, "NODE_CONFIG="+config, "NODE_NAME=n1", "NODE_LISTEN="+listen)
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	defer cmd.Process.Kill()
	testkit.Eventually(t, "it has its list", func() bool { return log.Has("backends=1") })

	answered := make(chan string, 1)
	go func() {
		req, _ := http.NewRequest(http.MethodGet, "http://"+listen+"/form-check/a1", nil)
		for name, value := range map[string]string{"X-Correlation-Id": "9b1f03aa5c7e2d41", "X-Service-Class": "form-check", "X-Account": "rosyth-port", "X-Time-Left": "15"} {
			req.Header.Set(name, value)
		}
		resp, err := new(http.Transport).RoundTrip(req)
		if err != nil {
			answered <- err.Error()
			return
		}
		defer resp.Body.Close()
		text, _ := io.ReadAll(resp.Body)
		answered <- fmt.Sprint(resp.StatusCode, " ", string(text))
	}()
	<-taken
	signals(t, cmd, syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM)
	testkit.Eventually(t, "it ends", func() bool { return log.Has("msg=ending") })
	signals(t, cmd, syscall.SIGTERM, syscall.SIGHUP, os.Interrupt.(syscall.Signal))
	select {
	case err := <-ended:
		t.Fatalf("it ended before its last answer: %v\n%s", err, log)
	case <-time.After(100 * time.Millisecond): // for the signals to arrive
	}
	release()
	if got := <-answered; got != "200 checked /form-check/a1" {
		t.Errorf("answered %s", got)
	}
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("ended with %v\n%s", err, log)
		}
	case <-time.After(testkit.Patience):
		t.Error("the agent does not end")
	}
	if n := strings.Count(log.String(), "msg=ending"); n != 1 {
		t.Errorf("it ended %d times", n)
	}
}

// SIGTERM comes before the agent is ready, while it waits for its first list: it ends at once, as it has taken nothing.
func TestEndsBeforeItIsReady(t *testing.T) {
	asked := make(chan struct{}, 10)
	discovery := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		asked <- struct{}{}
		<-r.Context().Done()
	}))
	defer discovery.Close()
	defer discovery.CloseClientConnections()
	config, listen := configure(t, discovery.Listener.Addr().String(), strings.Replace(settings, `"automatic"`, `"subscribe"`, 1))
	cmd, log := program(t, "NODE_CONFIG="+config, "NODE_NAME=n1", "NODE_LISTEN="+listen)
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	defer cmd.Process.Kill()
	<-asked
	if resp, err := http.Get("http://" + listen + "/ready"); err != nil || resp.StatusCode != http.StatusTooEarly {
		t.Errorf("ready: %v, %v", resp, err)
	}
	begin := time.Now()
	signals(t, cmd, syscall.SIGTERM)
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("ended with %v\n%s", err, log)
		}
	case <-time.After(testkit.Patience):
		t.Fatal("the agent does not end")
	}
	if took := time.Since(begin); took > 4*time.Second { // the list, or its absence, would have it ready after 5 s
		t.Errorf("it ended after %v", took)
	}
}
