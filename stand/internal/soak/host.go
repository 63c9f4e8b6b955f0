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
)

// Ports of every host, on an address of its own.
const (
	portFront     = 18625
	portReady     = 18621
	portPeers     = 18628
	portDirectory = 18620
	portGossip    = 18740
)

// host is one entry host: a real process that is started again whenever it ends.
type host struct {
	name, ip, place, region string
	binary, dir             string
	link                    *proxy // to the store

	mu     sync.Mutex
	cmd    *exec.Cmd
	ended  chan struct{}
	starts int
	isOver bool
}

func (h *host) address(port int) string { return fmt.Sprintf("%s:%d", h.ip, port) }

// settings returns the file that the platform would give to the host.
func (h *host) settings(places map[string]string, seeds []string) string {
	lines := []string{
		"NodeName=" + h.name, "Ip=" + h.ip, "Zone=" + h.place, "Region=" + h.region,
		"Listen.Frontend=" + h.address(portFront), "Listen.Readiness=" + h.address(portReady),
		"Listen.ControlPlane=" + h.address(portPeers), "Listen.Directory=" + h.address(portDirectory),
		fmt.Sprintf("PortRange=%d,%d", portGossip, portGossip+5), "Seeds=" + strings.Join(seeds, ","),
		"Platform.Address=" + h.link.address(), "HeartbeatMs=400", "Bounds.DrainMs=2500", "Bounds.ConfigApplyMs=2500",
		"Bounds.GraceS=8", "Bounds.RetryBudgetRatio=0.2", "Bounds.RetryWindowS=10", "Bounds.RetryMinExtra=100",
	}
	for place, region := range places {
		lines = append(lines, "Zones."+place+"="+region)
	}
	return strings.Join(lines, "\n") + "\n"
}

// start runs the host's process until over is called, again and again.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.isOver {
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
	h.cmd, h.ended = cmd, make(chan struct{})
	h.starts++
	ended := h.ended
	go func() {
		_ = cmd.Wait() // how it ends is seen in its log
		_ = out.Close()
		close(ended)
		time.Sleep(restartPause)
		_ = h.start()
	}()
	return nil
}

// restartPause is how long the platform takes to start a process again.
const restartPause = 300 * time.Millisecond

// signal sends a signal to the host's own process.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		_ = h.cmd.Process.Signal(s) // it may just have ended
	}
}

// over ends the host for good and waits until it is gone.
func (h *host) over(limit time.Duration) error {
	h.mu.Lock()
	h.isOver = true
	cmd, ended := h.cmd, h.ended
	h.mu.Unlock()
	if cmd == nil {
		return nil
	}
	_ = cmd.Process.Signal(syscall.SIGCONT)
	_ = cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-ended:
		return nil
	case <-time.After(limit):
		_ = cmd.Process.Kill()
		<-ended
		return fmt.Errorf("host %s doesn't stop within %s", h.name, limit)
	}
}
