package fleet

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"

	"ternbeam/deploy"
	"ternbeam/internal/lab/standin"
)

// process is an agent that runs as a process of the program. It may exit and be started again with the same name.
type process struct {
	number  int
	program string
	config  string // path of its configuration file
	peers   string // path of its peers file; empty if it does not exchange lists
	log     string // path of its log file
	record  *Record

	mu     sync.Mutex
	cmd    *exec.Cmd // nil while it does not run
	exited chan struct{}
	killed bool // it was signaled to exit by the fleet
}

// newProcess writes the configuration of an agent, without starting it.
func newProcess(number int, program, dir string, p standin.Platform, exchangesLists bool, record *Record) (*process, error) {
	a := &process{number: number, program: program, record: record, config: filepath.Join(dir, p.Name+".json"), log: filepath.Join(dir, p.Name+".log")}
	if err := os.WriteFile(a.config, p.Config(), 0o600); err != nil || !exchangesLists {
		return a, err
	}
	a.peers = filepath.Join(dir, "peers.toml")
	return a, os.WriteFile(a.peers, []byte(deploy.Peers), 0o600)
}

// start starts the process, unless it runs.
func (a *process) start() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cmd != nil {
		return nil
	}
	logFile, err := os.OpenFile(a.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logFile.Close()
	var args []string
	if a.peers != "" {
		args = []string{"run", "--peers", a.peers}
	}
	cmd := exec.Command(a.program, args...)
	cmd.Env = append(os.Environ(), "NODE_CONFIG="+a.config, "GOMAXPROCS=1")
	cmd.Stdout, cmd.Stderr = logFile, logFile
	// The agent is killed when this process exits for any reason.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := cmd.Start(); err != nil {
		return err
	}
	a.record.Add(ProcessStarted, a.number, "")
	ended := make(chan struct{})
	a.cmd, a.exited, a.killed = cmd, ended, false
	go func() {
		err := cmd.Wait()
		a.mu.Lock()
		defer a.mu.Unlock()
		detail := ""
		if !a.killed {
			detail = fmt.Sprintf("on its own: %v", err)
		}
		a.cmd = nil
		a.record.Add(ProcessExited, a.number, detail)
		close(ended)
	}()
	return nil
}

// signal sends the process a signal, if it runs.
func (a *process) signal(s syscall.Signal) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cmd == nil {
		return nil
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		a.killed = true
	}
	switch s {
	case syscall.SIGSTOP:
		a.record.Add(ProcessStopped, a.number, "")
	case syscall.SIGCONT:
		a.record.Add(ProcessResumed, a.number, "")
	}
	if err := a.cmd.Process.Signal(s); !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	return nil
}

// kill kills the process and waits for its exit.
func (a *process) kill() error {
	if err := a.signal(syscall.SIGKILL); err != nil {
		return err
	}
	a.mu.Lock()
	ended := a.exited
	a.mu.Unlock()
	if ended != nil {
		<-ended
	}
	return nil
}
