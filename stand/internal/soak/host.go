package soak

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"chivepost/platform/boot"
	"chivepost/platform/wire"
)

// Ports of a host. Each host has its own loopback address.
const (
	portFrontend  = 18625
	portReady     = 18621
	portPeers     = 18628
	portDirectory = 18620
	portGossip    = 18740
	portClaim     = 18619 // held by the run itself
)

// host is one entry host: a process that is restarted whenever it exits.
type host struct {
	name, ip, dataCentre, region string
	binary, dir                  string
	hasCrowd                     bool   // clients outside the limits connect to it
	storeProxy                   *proxy // between the host and the store
	trace                        *trace
	checker                      *checker

	mu        sync.Mutex
	cmd       *exec.Cmd
	life      *life
	exited    chan struct{}
	starts    int
	isStopped bool
}

func (h *host) address(port int) string { return fmt.Sprintf("%s:%d", h.ip, port) }

// directoryURL returns the URL at which the host answers what addresses the service has.
func (h *host) directoryURL() string {
	return "http://" + h.address(portDirectory) + wire.PathResolve + "?Name=soak.example&Region=" + h.region + "&Zone=" + h.dataCentre
}

// settings returns the contents of the settings file that the platform gives to a host.
func (h *host) settings(regions map[string]string, seeds []string) string {
	lines := []string{
		"NodeName=" + h.name, "Ip=" + h.ip, "Zone=" + h.dataCentre, "Region=" + h.region,
		"Listen.Frontend=" + h.address(portFrontend), "Listen.Readiness=" + h.address(portReady),
		"Listen.ControlPlane=" + h.address(portPeers), "Listen.Directory=" + h.address(portDirectory),
		fmt.Sprintf("PortRange=%d,%d", portGossip, portGossip+5), "Seeds=" + strings.Join(seeds, ","),
		"Platform.Address=" + h.storeProxy.address(), "HeartbeatMs=400", "Bounds.DrainMs=2500", "Bounds.ConfigApplyMs=2500",
		fmt.Sprintf("Bounds.GraceS=%d", int(graceTime.Seconds())), fmt.Sprintf("Bounds.ContactMs=%d", contactTime.Milliseconds()), "Bounds.RetryBudgetRatio=0.2", "Bounds.RetryWindowS=10", "Bounds.RetryMinExtra=100",
	}
	if h.hasCrowd {
		lines = append(lines, fmt.Sprintf("Limits.MemoryMb=%d", crowdedMemoryMB), fmt.Sprintf("Limits.MaxFds=%d", crowdedFds))
	}
	for dataCentre, region := range regions {
		lines = append(lines, "Zones."+dataCentre+"="+region)
	}
	return strings.Join(lines, "\n") + "\n"
}

// start starts the host's process and restarts it after each exit until stop is called.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.isStopped {
		return nil
	}
	out, err := os.OpenFile(filepath.Join(h.dir, h.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command(h.binary, "fleet", "--metrics-port", "0")
	cmd.Env = append(os.Environ(), boot.EnvPath+"="+filepath.Join(h.dir, h.name+".conf"))
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return errors.Join(err, out.Close())
	}
	if h.hasCrowd {
		if err := limitFds(cmd.Process.Pid, crowdedFds); err != nil {
			h.checker.report("can't limit the descriptors of %s: %v", h.name, err)
		}
	}
	h.cmd, h.exited, h.life = cmd, make(chan struct{}), h.trace.recordStart(h.name)
	h.starts++
	exited, current := h.exited, h.life
	go func() {
		_ = cmd.Wait() // the log shows why it exited
		_ = out.Close()
		h.trace.update(current, func(l *life) {
			l.ended = time.Now()
			if l.terminated.IsZero() && !l.isKilled {
				h.checker.report("the process of %s ended by itself at %s", h.name, l.ended.Format(timeFormat))
			}
		})
		close(exited)
		time.Sleep(restartDelay)
		_ = h.start()
	}()
	return nil
}

// pid returns the ID of the host's newest process.
func (h *host) pid() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cmd.Process.Pid
}

// restartDelay is how long the platform takes to restart a process.
const restartDelay = 300 * time.Millisecond

// signal sends a signal other than SIGTERM to the host's own process.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd == nil {
		return
	}
	switch s {
	case syscall.SIGKILL:
		h.trace.update(h.life, func(l *life) { l.isKilled = true })
	case syscall.SIGHUP:
		h.trace.recordReload(h.name)
	}
	_ = h.cmd.Process.Signal(s) // the process may have exited
}

// terminate shuts the process down as the platform does: with SIGTERM, and with SIGKILL at the
// end of the grace period. A process that is leaving already isn't affected.
func (h *host) terminate() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd == nil || h.isStopped {
		return
	}
	isFirst := false
	h.trace.update(h.life, func(l *life) {
		if isFirst = l.terminated.IsZero() && l.ended.IsZero(); isFirst {
			l.terminated = time.Now()
		}
	})
	if !isFirst {
		return
	}
	_ = h.cmd.Process.Signal(syscall.SIGTERM) // the process may have exited
	cmd, exited := h.cmd, h.exited
	go func() {
		select {
		case <-exited:
		case <-time.After(graceTime):
			h.checker.count("killed after the grace period")
			_ = cmd.Process.Kill() // the process may have exited
		}
	}()
}

// stop shuts the host down for good and waits until its process has exited.
// It kills a process that takes longer than the timeout and returns an error.
func (h *host) stop(timeout time.Duration) error {
	h.mu.Lock()
	h.isStopped = true
	cmd, exited, current := h.cmd, h.exited, h.life
	h.mu.Unlock()
	if cmd == nil {
		return nil
	}
	h.trace.update(current, func(l *life) {
		if l.terminated.IsZero() {
			l.terminated = time.Now()
		}
	})
	_ = cmd.Process.Signal(syscall.SIGCONT)
	_ = cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-exited:
		return nil
	case <-time.After(timeout):
		_ = cmd.Process.Kill()
		<-exited
		return fmt.Errorf("host %s did not stop within %s", h.name, timeout)
	}
}
