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

// process is an agent as a process of the program, which may die and start again under its name.
type process struct {
	number  int
	program string
	config  string // its file
	peers   string // the file by which it talks with others; empty where it does not
	log     string
	record  *Record

	mu    sync.Mutex
	cmd   *exec.Cmd // nil while it does not run
	ended chan struct{}
	doom  bool // it dies by the rig's hand
}

// newProcess writes the configuration of an agent.
func newProcess(number int, program, dir string, p standin.Platform, talk bool, record *Record) (*process, error) {
	a := &process{number: number, program: program, record: record, config: filepath.Join(dir, p.Name+".json"), log: filepath.Join(dir, p.Name+".log")}
	if err := os.WriteFile(a.config, p.Config(), 0o600); err != nil || !talk {
		return a, err
	}
	a.peers = filepath.Join(dir, "peers.toml")
	return a, os.WriteFile(a.peers, []byte(deploy.Peers), 0o600)
}

// start starts it, if it does not run.
func (a *process) start() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cmd != nil {
		return nil
	}
	log, err := os.OpenFile(a.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	var args []string
	if a.peers != "" {
		args = []string{"run", "--peers", a.peers}
	}
	cmd := exec.Command(a.program, args...)
	cmd.Env = append(os.Environ(), "NODE_CONFIG="+a.config, "GOMAXPROCS=1")
	cmd.Stdout, cmd.Stderr = log, log
	// It ends with the rig, however that ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := cmd.Start(); err != nil {
		return err
	}
	a.record.Add(Started, a.number, "")
	ended := make(chan struct{})
	a.cmd, a.ended, a.doom = cmd, ended, false
	go func() {
		err := cmd.Wait()
		a.mu.Lock()
		defer a.mu.Unlock()
		said := ""
		if !a.doom {
			said = fmt.Sprintf("on its own: %v", err)
		}
		a.cmd = nil
		a.record.Add(Died, a.number, said)
		close(ended)
	}()
	return nil
}

// signal sends it a signal, if it runs.
func (a *process) signal(s syscall.Signal) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cmd == nil {
		return nil
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		a.doom = true
	}
	switch s {
	case syscall.SIGSTOP:
		a.record.Add(Stopped, a.number, "")
	case syscall.SIGCONT:
		a.record.Add(Resumed, a.number, "")
	}
	if err := a.cmd.Process.Signal(s); !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	return nil
}

// kill kills it and waits for its end.
func (a *process) kill() error {
	if err := a.signal(syscall.SIGKILL); err != nil {
		return err
	}
	a.mu.Lock()
	ended := a.ended
	a.mu.Unlock()
	if ended != nil {
		<-ended
	}
	return nil
}
