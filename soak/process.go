package soak

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// restartDelay is the time from the end of a process to its next start.
	restartDelay = 200 * time.Millisecond
	// stopGrace is how long a planned stop may take.
	stopGrace = 6 * time.Second
)

// process is a program under test. Faults on the same process wait for one another.
type process struct {
	binary string
	args   []string
	log    *os.File

	// busy is held while a fault is done to the process.
	busy sync.Mutex

	mu sync.Mutex
	// cmd is the running process; ended is closed when it has ended.
	cmd   *exec.Cmd
	ended chan struct{}
	// starts counts incarnations; disturbed is the newest time at which the process was
	// paused or had been killed.
	starts    int
	disturbed time.Time
	// asked is set while an end of the process was asked for.
	asked bool
	// crashed notes an end that nobody asked for.
	crashed func(err error)
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command(p.binary, p.args...)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	// No process outlives the soak. Each has a group of its own: the kernel hangs up a
	// group that loses its shell while one of its processes is paused.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "soak: start of a process")
	}
	ended := make(chan struct{})
	p.cmd, p.ended, p.asked = cmd, ended, false
	p.starts++
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		asked := p.asked
		p.mu.Unlock()
		if !asked {
			p.crashed(err)
		}
		close(ended)
	}()
	return nil
}

// incarnation counts the starts.
func (p *process) incarnation() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}

// calmSince reports whether the process was neither killed nor paused since a time.
func (p *process) calmSince(t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.disturbed.Before(t)
}

func (p *process) disturb() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disturbed = time.Now()
}

// signal sends a signal to the process, by its own handle.
func (p *process) signal(s os.Signal, ends bool) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asked = p.asked || ends
	_ = p.cmd.Process.Signal(s) // it may have ended by itself, which is noted
	return p.ended
}

// kill ends the process and starts it again.
func (p *process) kill() error {
	p.busy.Lock()
	defer p.busy.Unlock()
	p.disturb()
	<-p.signal(syscall.SIGKILL, true)
	time.Sleep(restartDelay)
	p.disturb()
	return p.start()
}

// stop asks the process to end and starts it again.
func (p *process) stop() error {
	p.busy.Lock()
	defer p.busy.Unlock()
	if err := p.end(); err != nil {
		return err
	}
	time.Sleep(restartDelay)
	return p.start()
}

// end asks the process to end.
func (p *process) end() error {
	ended := p.signal(syscall.SIGTERM, true)
	select {
	case <-ended:
		return nil
	case <-time.After(stopGrace):
		<-p.signal(syscall.SIGKILL, true)
		return errors.Errorf("soak: %v did not end within %v", p.args, stopGrace)
	}
}

// pause suspends the process for a time.
func (p *process) pause(d time.Duration) {
	p.busy.Lock()
	defer p.busy.Unlock()
	p.disturb()
	p.signal(syscall.SIGSTOP, false)
	time.Sleep(d)
	p.signal(syscall.SIGCONT, false)
	p.disturb()
}
