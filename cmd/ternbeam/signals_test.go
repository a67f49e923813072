package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"ternbeam/internal/lab/testkit"
)

// Sends SIGTERM during SIGHUP, and again while the last call is in flight. Checks that there is one shutdown, in which that call is answered, and
// that a configuration that is no longer in use does not change the discovery address.
func TestOverlappingSignalsCauseOneShutdown(t *testing.T) {
	held, received := make(chan struct{}), make(chan struct{}, 10)
	release := sync.OnceFunc(func() { close(held) })
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received <- struct{}{}
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
	p := start(t, "NODE_CONFIG="+config, "NODE_NAME=n1", "NODE_LISTEN="+listen)
	testkit.Eventually(t, "it has its list", func() bool { return p.log.Contains("backends=1") })

	answered := make(chan string, 1)
	go func() {
		resp, err := new(http.Transport).RoundTrip(newRequest(http.MethodGet, listen, "/form-check/a1", "form-check", "9b1f03aa5c7e2d41", "15"))
		if err != nil {
			answered <- err.Error()
			return
		}
		defer resp.Body.Close()
		text, _ := io.ReadAll(resp.Body)
		answered <- fmt.Sprint(resp.StatusCode, " ", string(text))
	}()
	<-received
	p.sendSignals(t, syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM)
	testkit.Eventually(t, "it shuts down", func() bool { return p.log.Contains("msg=ending") })
	p.sendSignals(t, syscall.SIGTERM, syscall.SIGHUP, os.Interrupt.(syscall.Signal))
	select {
	case err := <-p.exited:
		t.Fatalf("the process exited before its last answer: %v\n%s", err, p.log)
	case <-time.After(100 * time.Millisecond): // for the signals to arrive
	}
	release()
	if got := <-answered; got != "200 checked /form-check/a1" {
		t.Errorf("answered %s", got)
	}
	p.awaitExit(t, testkit.WaitTimeout)
	if n := strings.Count(p.log.String(), "msg=ending"); n != 1 {
		t.Errorf("%d shutdowns are logged", n)
	}
}

// Sends SIGTERM before the agent is ready, while it waits for its first list. Checks that it exits at once, because it has accepted no calls.
func TestSIGTERMBeforeReadyExitsAtOnce(t *testing.T) {
	asked := make(chan struct{}, 10)
	discovery := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		asked <- struct{}{}
		<-r.Context().Done()
	}))
	defer discovery.Close()
	defer discovery.CloseClientConnections()
	config, listen := configure(t, discovery.Listener.Addr().String(), strings.Replace(settings, `"automatic"`, `"subscribe"`, 1))
	p := start(t, "NODE_CONFIG="+config, "NODE_NAME=n1", "NODE_LISTEN="+listen)
	<-asked
	if resp, err := http.Get("http://" + listen + "/ready"); err != nil || resp.StatusCode != http.StatusTooEarly {
		t.Errorf("ready: %v, %v", resp, err)
	}
	begin := time.Now()
	p.sendSignals(t, syscall.SIGTERM)
	p.awaitExit(t, testkit.WaitTimeout)
	if took := time.Since(begin); took > 4*time.Second { // it becomes ready after 5 s, with or without a list
		t.Errorf("the process exited after %v", took)
	}
}

// Checks that the agent continues to serve and shuts down as usual after the reader of its log has closed the pipe.
func TestAgentServesAfterTheLogPipeIsClosed(t *testing.T) {
	config, listen := configure(t, unusedAddr(t), settings)
	cmd := agentCommand(t, "NODE_CONFIG="+config, "NODE_NAME=n1", "NODE_LISTEN="+listen)
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	cmd.Stdout, cmd.Stderr = writer, writer
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	writer.Close()
	reader.Close()
	t.Cleanup(func() { cmd.Process.Kill() })
	awaitReady(t, listen)
	if err := cmd.Process.Signal(syscall.SIGHUP); err != nil { // which is logged
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond)
	awaitReady(t, listen)
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("the process exited with %v", err)
	}
}
