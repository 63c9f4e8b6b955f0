package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// zones of the deployment, each in a region of its own.
var zones = []string{"thies-a", "kaolack-a", "ziguinchor-a"}

func regionOf(zone string) string { return strings.TrimSuffix(zone, "-a") }

// host is one entry host, a process of the project's own program.
type host struct {
	name, zone, ip string
	ports          ports
	cmd            *exec.Cmd
	log            *os.File
	proxy          *proxy // to the store; nil: none
	exited         chan struct{}
}

// ports are the same on all hosts; each host has a loopback address of its own.
type ports struct{ front, ready, peers, directory, gossip, metrics int }

func (h *host) front() string { return fmt.Sprintf("%s:%d", h.ip, h.ports.front) }

// settings returns the settings file of a host, with the bounds of a small deployment.
func (h *host) settings(storeAddress string, seeds []string) string {
	lines := []string{
		"NodeName=" + h.name, "Role=entry", "MachineClass=edge", "Serves=edge,control,registry", "Ip=" + h.ip, "Zone=" + h.zone, "Region=" + regionOf(h.zone),
		"Listen.Frontend=" + h.front(), fmt.Sprintf("Listen.Readiness=%s:%d", h.ip, h.ports.ready),
		fmt.Sprintf("Listen.ControlPlane=%s:%d", h.ip, h.ports.peers), fmt.Sprintf("Listen.Directory=%s:%d", h.ip, h.ports.directory),
		fmt.Sprintf("PortRange=%d,%d", h.ports.gossip, h.ports.gossip+5), "Seeds=" + strings.Join(seeds, ","), "Bootstrap=true", "FaultCounted=false",
		"Limits.CpuQuota=0.4", "Limits.Cores=1", "Limits.MemoryMb=284", "Limits.MaxFds=4100", "Limits.LinkMbps=1000.0", "Limits.DiskMb=0",
		"Discovery=platform", "Entry=registry", "HeartbeatMs=1200", "Contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform,stages",
		"Bounds.SeedLagS=3", "Bounds.ReuseAfterS=2", "Bounds.ContactMs=4000", "Bounds.AckMs=5000", "Bounds.CatchUpS=4", "Bounds.DrainMs=2500", "Bounds.GraceS=8",
		"Bounds.LossSlackMs=200", "Bounds.ConfigApplyMs=2500", "Bounds.RollbackSlackMs=250", "Bounds.SkewMaxMs=6000", "Bounds.RetryBudgetRatio=0.2",
		"Bounds.RetryWindowS=10", "Bounds.RetryMinExtra=58", "Bounds.ColdOvershoot=1.5", "Bounds.ColdSlack=5", "Bounds.EvacuateMs=5000", "Bounds.RecoveryS=12",
		"Bounds.IterationMs=300", "Bounds.ReuseWindowS=8.5", "Bounds.ttl_max_s=5", "Platform.Address=" + storeAddress, "Platform.form=log",
		"Platform.WritesPerS=400", "Platform.ReadsPerS=2000", "Platform.parts=12",
	}
	for _, z := range zones {
		lines = append(lines, "Zones."+z+"="+regionOf(z))
	}
	return strings.Join(lines, "\n") + "\n"
}

// start starts the process with the command of the deploy file.
func (h *host) start(root, dir, storeAddress string, seeds []string) error {
	conf := filepath.Join(dir, h.name+".conf")
	if err := os.WriteFile(conf, []byte(h.settings(storeAddress, seeds)), 0o644); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(dir, h.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return err
	}
	h.log = out
	h.cmd = exec.Command("target/chive-entry", "fleet")
	h.cmd.Dir = root
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + dir, "LANG=C", "CHIVEPOST_BOOT=" + conf}
	h.cmd.Stdout, h.cmd.Stderr = out, out
	if err := h.cmd.Start(); err != nil {
		return err
	}
	h.exited = make(chan struct{})
	go func() {
		_ = h.cmd.Wait()
		close(h.exited)
	}()
	return nil
}

// awaitReady waits until the host says that it is ready.
func (h *host) awaitReady(timeout time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get(fmt.Sprintf("http://%s:%d/readyz", h.ip, h.ports.ready))
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
	}
	return fmt.Errorf("host %s isn't ready after %s", h.name, timeout)
}

// kill ends the process and waits for its end.
func (h *host) kill() {
	if h.cmd == nil || h.cmd.Process == nil || h.exited == nil {
		return
	}
	_ = h.cmd.Process.Kill()
	<-h.exited
	_ = h.log.Close()
}
