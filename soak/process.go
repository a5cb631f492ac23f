package soak

import (
	"os"
	"os/exec"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// restartDelay is the time from the exit of a process to its next start.
	restartDelay = 200 * time.Millisecond
	// stopGrace is how long a process may take to exit after SIGTERM.
	stopGrace = 6 * time.Second
	// dumpGrace is how long a process that exceeded stopGrace may take to write its goroutines to its
	// log after SIGQUIT.
	dumpGrace = 2 * time.Second
)

// process is a balancer or sidecar that runs as an operating-system process and can be restarted.
type process struct {
	binary string
	args   []string
	// log receives the standard output and error of all incarnations.
	log *os.File

	// faultMu is held while a fault is applied, so that faults on one process do not overlap.
	faultMu sync.Mutex

	mu sync.Mutex
	// cmd is the current incarnation, which is the operating-system process of the latest start.
	cmd *exec.Cmd
	// exited is closed when the current incarnation has exited.
	exited chan struct{}
	// starts is the number of starts so far.
	starts int
	// disturbedAt is when the process was last killed, restarted after a kill, paused or resumed.
	disturbedAt time.Time
	// interruptions are the times when the process was started, killed, paused or resumed.
	interruptions []time.Time
	// exitRequested is true once SIGTERM or SIGKILL is being sent to the current incarnation.
	exitRequested bool
	// onUnexpectedExit is called when an incarnation exits although exitRequested is not set.
	onUnexpectedExit func(err error)
}

// start starts a new incarnation, and calls onUnexpectedExit if it exits without a request.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command(p.binary, p.args...)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	// Pdeathsig: no process outlives the soak. Setpgid: the kernel sends SIGHUP to a process
	// group that becomes orphaned while one of its processes is stopped, so each process gets
	// its own group.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "soak: start of %s %v", p.binary, p.args)
	}
	exited := make(chan struct{})
	p.cmd, p.exited, p.exitRequested = cmd, exited, false
	p.starts++
	p.interruptions = append(p.interruptions, time.Now())
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		exitRequested := p.exitRequested
		p.mu.Unlock()
		if !exitRequested {
			p.onUnexpectedExit(err)
		}
		close(exited)
	}()
	return nil
}

// incarnation returns the number of starts so far.
func (p *process) incarnation() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}

// undisturbedSince reports whether disturbedAt is before t.
func (p *process) undisturbedSince(t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.disturbedAt.Before(t)
}

// interruptedBetween reports whether the process was interrupted in that time.
func (p *process) interruptedBetween(from, to time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.interruptions, func(at time.Time) bool { return !at.Before(from) && !at.After(to) })
}

// markDisturbed sets disturbedAt to the current time.
func (p *process) markDisturbed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disturbedAt = time.Now()
	p.interruptions = append(p.interruptions, p.disturbedAt)
}

// signal sends s to the current incarnation and returns the channel that is closed when the
// incarnation has exited. If terminates is true, it also sets exitRequested.
func (p *process) signal(s os.Signal, terminates bool) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.exitRequested = p.exitRequested || terminates
	_ = p.cmd.Process.Signal(s) // fails if the process has exited, which onUnexpectedExit records
	return p.exited
}

// killAndRestart sends SIGKILL, waits for the exit, and starts the process again.
func (p *process) killAndRestart() error {
	p.faultMu.Lock()
	defer p.faultMu.Unlock()
	p.markDisturbed()
	<-p.signal(syscall.SIGKILL, true)
	time.Sleep(restartDelay)
	p.markDisturbed()
	return p.start()
}

// stopAndRestart terminates the process and starts it again.
func (p *process) stopAndRestart() error {
	p.faultMu.Lock()
	defer p.faultMu.Unlock()
	if err := p.terminate(); err != nil {
		return err
	}
	time.Sleep(restartDelay)
	return p.start()
}

// terminate sends SIGTERM and waits for the exit. If the exit takes longer than stopGrace, it returns
// an error, after it has made the process write its goroutines to its log and has killed it.
func (p *process) terminate() error {
	exited := p.signal(syscall.SIGTERM, true)
	select {
	case <-exited:
		return nil
	case <-time.After(stopGrace):
	}
	select {
	case <-p.signal(syscall.SIGQUIT, true):
	case <-time.After(dumpGrace):
		<-p.signal(syscall.SIGKILL, true)
	}
	return errors.Errorf("soak: %v did not exit within %v", p.args, stopGrace)
}

// pause suspends the process for the duration d.
func (p *process) pause(d time.Duration) {
	p.faultMu.Lock()
	defer p.faultMu.Unlock()
	p.markDisturbed()
	p.signal(syscall.SIGSTOP, false)
	time.Sleep(d)
	p.signal(syscall.SIGCONT, false)
	p.markDisturbed()
}
