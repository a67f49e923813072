package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"ternbeam/internal/lab/sysfault"
	"ternbeam/internal/lab/testkit"
)

const settings = `{"Balancers":1,"Classes":[{"Name":"form-check","Effect":"repeatable","Group":"all",
	"AimNs":600000000,"DeadlineNs":20000000000,"Worth":2}],
	"Ceilings":{"ConnIdleNs":15000000000,"ConnectTimeoutNs":5000000000,"MostHeld":100,"MostTries":5},
	"Discovery":"automatic","Report":{"Fields":["util","qps","eps"]},"TickNs":5000000,"WeightKind":"silent",
	"Tenants":[{"Name":"rosyth-port"}],"Zones":["z"]}`

// buildOnce builds the program once for all tests and returns the folder that holds it.
var buildOnce = sync.OnceValues(func() (folder string, err error) {
	if folder, err = os.MkdirTemp("", "ternbeam"); err != nil {
		return "", err
	}
	buildDir = folder
	if out, err := exec.Command("go", "build", "-o", folder, ".").CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w\n%s", err, out)
	}
	return folder, nil
})

var buildDir string // the folder of buildOnce, removed after the tests

func TestMain(m *testing.M) {
	sysfault.Main() // does not return if this process is to become the program under test
	code := m.Run()
	if buildDir != "" {
		os.RemoveAll(buildDir)
	}
	os.Exit(code)
}

// startCommand starts the agent with the command of the deploy file under RUN_ROOT, or one built here if RUN_ROOT is not set.
func startCommand(t *testing.T, env ...string) (*exec.Cmd, *testkit.Log) {
	t.Helper()
	cmd, log := agentCommand(t, env...), &testkit.Log{}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	return cmd, log
}

// agentCommand returns the agent's command without starting it.
func agentCommand(t *testing.T, env ...string) *exec.Cmd {
	t.Helper()
	shellCommand, root := "", os.Getenv("RUN_ROOT")
	if root != "" {
		text, err := os.ReadFile(filepath.Join(root, "deploy/balancer.toml"))
		if err != nil {
			t.Fatal(err)
		}
		run := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(text)
		if run == nil {
			t.Fatal("deploy/balancer.toml has no run command")
		}
		shellCommand = string(run[1])
	} else {
		var err error
		if root, err = buildOnce(); err != nil {
			t.Fatal(err)
		}
		shellCommand = "exec ./ternbeam"
	}
	cmd := exec.Command("/bin/sh", "-c", shellCommand)
	cmd.Dir, cmd.Env = root, append(os.Environ(), env...)
	return cmd
}

// addArguments appends arguments to a command that is run by a shell.
func addArguments(cmd *exec.Cmd, arguments string) { cmd.Args[len(cmd.Args)-1] += " " + arguments }

// process is the program under test. It is killed after the test if it is still running.
type process struct {
	cmd    *exec.Cmd
	log    *testkit.Log
	ops    string // the operations address; empty if there is none
	exited chan error

	traced *sysfault.Process // used instead of cmd and exited if its system calls are made to fail
}

func start(t *testing.T, env ...string) *process {
	t.Helper()
	return startWithArguments(t, "", env...)
}

// startWithArguments is like start, with additional program arguments.
func startWithArguments(t *testing.T, arguments string, env ...string) *process {
	t.Helper()
	p := &process{cmd: agentCommand(t, env...), log: &testkit.Log{}, exited: make(chan error, 1)}
	addArguments(p.cmd, arguments)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { p.exited <- p.cmd.Wait() }()
	t.Cleanup(func() { p.cmd.Process.Kill() })
	return p
}

// startReady starts the program, with or without an operations address, and waits until it is ready. It runs until the test ends.
func startReady(t *testing.T, config, listen string, withOps bool) *process {
	t.Helper()
	env := []string{"NODE_CONFIG=" + config, "NODE_NAME=n1", "NODE_LISTEN=" + listen}
	if withOps {
		env = append(env, "NODE_OPS="+unusedAddr(t), "TMPDIR="+t.TempDir())
	}
	p := start(t, env...)
	awaitReady(t, listen)
	return p
}

// sendSignals sends signals to the process without a pause between them.
func (p *process) sendSignals(t *testing.T, signals ...syscall.Signal) {
	t.Helper()
	for _, s := range signals {
		if err := p.cmd.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
	}
}

// awaitExit waits until the process has exited on its own and without an error.
func (p *process) awaitExit(t *testing.T, within time.Duration) {
	t.Helper()
	select {
	case err := <-p.exited:
		if err != nil {
			t.Errorf("the process exited with %v\n%s", err, p.log)
		}
	case <-time.After(within):
		t.Fatalf("the process does not exit\n%s", p.log)
	}
}

// newRequest returns a request as an application sends it.
func newRequest(method, listen, path, class, id, left string) *http.Request {
	req, err := http.NewRequest(method, "http://"+listen+path, nil)
	if err != nil {
		panic(err)
	}
	for name, value := range map[string]string{"X-Correlation-Id": id, "X-Service-Class": class, "X-Account": "rosyth-port", "X-Time-Left": left} {
		req.Header.Set(name, value)
	}
	return req
}

// configure writes the configuration of an agent with an initial list of servers, which may be empty. It returns the path of the
// configuration and the address the agent listens on.
func configure(t *testing.T, discovery, settings string, servers ...net.Addr) (config, listen string) {
	t.Helper()
	return configureLimited(t, discovery, settings, 1024, servers...)
}

// configureLimited is like configure, with a limit on file descriptors.
func configureLimited(t *testing.T, discovery, settings string, sockets int, servers ...net.Addr) (config, listen string) {
	t.Helper()
	listen = unusedAddr(t)
	known := []any{}
	for i, addr := range servers {
		known = append(known, map[string]any{"id": fmt.Sprint("s-", i), "addr": addr.String(), "zone": "z", "state": "in_service", "weight": 1})
	}
	config = filepath.Join(t.TempDir(), "config.json")
	text, err := json.Marshal(map[string]any{"name": "n1", "listen": listen, "seed": "1f", "discovery": discovery,
		"settings": json.RawMessage(settings),
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": sockets},
		"known":    map[string]any{"version": min(1, len(known)), "full": true, "servers": known}})
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(config, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return config, listen
}

// editConfig changes a configuration file.
func editConfig(t *testing.T, config string, edit func(all map[string]any)) {
	t.Helper()
	text, err := os.ReadFile(config)
	if err != nil {
		t.Fatal(err)
	}
	var all map[string]any
	if err := json.Unmarshal(text, &all); err != nil {
		t.Fatal(err)
	}
	edit(all)
	if text, err = json.Marshal(all); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(config, text, 0o600); err != nil {
		t.Fatal(err)
	}
}

// Runs the program against peers on loopback: it becomes ready, serves a request from a backend that only the watch lists, and shuts
// down gracefully.
func TestProgramServesReloadsAndShutsDown(t *testing.T) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, "checked %s", r.URL.Path)
	}))
	defer backend.Close()
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, `{"version":1,"full":true,"servers":[{"id":"s","addr":"%s","zone":"z","state":"in_service"}]}`+"\n",
			backend.Listener.Addr())
		for r.Context().Err() == nil {
			w.(http.Flusher).Flush()
			time.Sleep(100 * time.Millisecond)
			fmt.Fprintln(w)
		}
	}))
	defer discovery.CloseClientConnections()
	config, listen := configure(t, discovery.Listener.Addr().String(), settings)
	p := start(t, "NODE_CONFIG="+config, "NODE_NAME=n1", "NODE_LISTEN="+listen)

	get := func(path string) (int, string, error) {
		resp, err := http.DefaultClient.Do(newRequest(http.MethodGet, listen, path, "form-check", "9b1f03aa5c7e2d41", "15"))
		if err != nil {
			return 0, "", err
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		return resp.StatusCode, string(body), err
	}
	awaitAnswer := func(what, path, want string) {
		t.Helper()
		for end := time.Now().Add(time.Minute); ; time.Sleep(20 * time.Millisecond) {
			status, body, err := get(path)
			if err == nil && status == 200 && body == want {
				return
			}
			if time.Now().After(end) {
				t.Fatalf("%s: answered %d %q, %v", what, status, body, err)
			}
		}
	}
	awaitAnswer("ready", "/ready", "")
	awaitAnswer("served", "/form-check/a1", "checked /form-check/a1") // refused until the watch has listed the backend
	for range 2 {                                                     // each SIGHUP reloads the configuration
		p.sendSignals(t, syscall.SIGHUP)
		awaitAnswer("served after SIGHUP", "/form-check/a1", "checked /form-check/a1")
	}
	p.sendSignals(t, syscall.SIGTERM)
	p.awaitExit(t, time.Minute)
}

func TestMissingConfigurationExitsWithAnError(t *testing.T) {
	cmd, log := startCommand(t, "NODE_CONFIG="+filepath.Join(t.TempDir(), "nothing.json"))
	if err := cmd.Wait(); err == nil {
		t.Error("the program exits without an error")
	}
	if line := strings.TrimSpace(log.String()); !strings.HasPrefix(line, "ternbeam: ") || strings.Contains(line, "\n") {
		t.Errorf("the program printed %q", line)
	}
}
