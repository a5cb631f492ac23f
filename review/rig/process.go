package main

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// stopTimeout is how long a process may take to end after SIGTERM.
const stopTimeout = 6 * time.Second

// process is a running balancer or sidecar: the project's own program, started with the command of
// the deploy file.
type process struct {
	name string
	cmd  *exec.Cmd
	log  *os.File
	done chan struct{}
}

func settingsFile(dir, name string) string { return filepath.Join(dir, name+".json") }

// writeSettings writes the settings file of a process, in place of the former one.
func writeSettings(dir, name string, settings map[string]any) error {
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return errors.Wrap(err, "writeSettings")
	}
	file := settingsFile(dir, name)
	if err := os.WriteFile(file+".new", data, 0o600); err != nil {
		return errors.Wrap(err, "writeSettings")
	}
	return errors.Wrap(os.Rename(file+".new", file), "writeSettings")
}

// startProcess starts target/greengagedyke with a role. It writes the settings to a file in dir, and
// the process's output to another one.
func startProcess(dir, name, role string, settings map[string]any) (*process, error) {
	if err := writeSettings(dir, name, settings); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "startProcess")
	}
	cmd := exec.Command("target/greengagedyke", role, "--flows")
	cmd.Env = append(os.Environ(), "GREENGAGEDYKE_SETTINGS="+settingsFile(dir, name))
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		log.Close()
		return nil, errors.Wrap(err, "startProcess")
	}
	p := &process{name: name, cmd: cmd, log: log, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait() // the exit code is not of interest
		close(p.done)
	}()
	return p, nil
}

// stop sends SIGTERM, waits for the end of the process, and kills it after stopTimeout.
func (p *process) stop() {
	_ = p.cmd.Process.Signal(syscall.SIGTERM) // fails if the process has ended
	select {
	case <-p.done:
	case <-time.After(stopTimeout):
	}
	p.kill()
}

// kill ends the process at once.
func (p *process) kill() {
	_ = p.cmd.Process.Kill() // fails if the process has ended
	<-p.done
	p.log.Close()
}
