package launcher

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Process is a started child process.
type Process struct {
	name    string
	command *exec.Cmd
	exited  chan struct{}
	err     error
	logFile *os.File
}

// StartProcess starts a program in dir with its output in dir/NAME.log. The
// kernel kills the program when this process dies, so that no child outlives
// it.
func StartProcess(dir, name, program string, args ...string) (*Process, error) {
	logFile, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, fmt.Errorf("create log of %s: %w", name, err)
	}
	command := exec.Command(program, args...)
	command.Dir = dir
	command.Stdout, command.Stderr = logFile, logFile
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return nil, errors.Join(fmt.Errorf("start %s: %w", name, err), logFile.Close())
	}
	p := &Process{name: name, command: command, exited: make(chan struct{}), logFile: logFile}
	go func() {
		p.err = command.Wait()
		_ = logFile.Close()
		close(p.exited)
	}()
	return p, nil
}

// Signal sends a signal. It does nothing if the process has exited.
func (p *Process) Signal(s syscall.Signal) {
	_ = p.command.Process.Signal(s)
}

// Terminate sends SIGTERM and waits for the exit. It returns an error if the
// exit status is not 0. If the process is still running after the timeout,
// Terminate kills it and returns an error.
func (p *Process) Terminate(timeout time.Duration) error {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
		if p.err != nil {
			return fmt.Errorf("stop %s: %w", p.name, p.err)
		}
		return nil
	case <-time.After(timeout):
		p.Kill()
		return fmt.Errorf("stop %s: still running after %v", p.name, timeout)
	}
}

// Kill sends SIGKILL and waits for the exit.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.exited
}

// HasOutput reports whether the process has written any output.
func (p *Process) HasOutput() bool {
	info, err := os.Stat(p.logFile.Name())
	return err == nil && info.Size() > 0
}

// HasExited reports whether the process has exited.
func (p *Process) HasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// reserveTCP returns a free TCP address on a loopback IP.
func reserveTCP(ip string) (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", fmt.Errorf("reserve TCP address: %w", err)
	}
	return l.Addr().String(), l.Close()
}

// reserveUDP returns a free UDP address on a loopback IP.
func reserveUDP(ip string) (string, error) {
	c, err := net.ListenPacket("udp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", fmt.Errorf("reserve UDP address: %w", err)
	}
	return c.LocalAddr().String(), c.Close()
}

// waitHTTP polls a URL until it returns status 200, for 15 seconds at most. It
// fails at once if the process behind it has exited.
func waitHTTP(ctx context.Context, client *http.Client, url string, p *Process) error {
	ctx, cancel := context.WithTimeout(ctx, 15*time.Second)
	defer cancel()
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return fmt.Errorf("poll %s: %w", url, err)
		}
		if response, err := client.Do(request); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		if p.HasExited() {
			return fmt.Errorf("wait for %s: process exited: %w", p.name, p.err)
		}
		if err := Sleep(ctx, 20*time.Millisecond); err != nil {
			return fmt.Errorf("wait for %s: %w", p.name, err)
		}
	}
}

// Sleep sleeps for a duration. It returns the context's error if the context
// ends first.
func Sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
