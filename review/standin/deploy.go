package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

// Ports of a host, each on a loopback address of its own. They are chosen anew in each run.
type ports struct{ front, ready, control, directory, gossip int }

type host struct {
	name, ip, zone string
	cmd            *exec.Cmd
}

// deployment is a small deployment: a store, entry hosts and engines.
type deployment struct {
	trouble bool
	store   *store
	engines []*engine
	hosts   []*host
	dir     string
	prefix  string
	ports   ports
	server  *http.Server
	client  *http.Client
	storeAt string
	version int

	mu     sync.Mutex
	out    io.Writer
	start  time.Time
	broken []string
	ended  bool
}

func newDeployment(out io.Writer, trouble bool) (*deployment, error) {
	d := &deployment{trouble: trouble, store: newStore(), out: out, start: time.Now(), client: &http.Client{Transport: &http.Transport{DisableCompression: true}}}
	d.prefix = fmt.Sprintf("127.%d.%d.", 20+os.Getpid()%200, os.Getpid()/200%250)
	var err error
	if d.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return d, err
	}
	for _, p := range []*int{&d.ports.front, &d.ports.ready, &d.ports.control, &d.ports.directory, &d.ports.gossip} {
		if *p, err = freePort(d.ip(10)); err != nil {
			return d, err
		}
	}
	l, err := net.Listen("tcp", d.ip(1)+":0")
	if err != nil {
		return d, err
	}
	d.storeAt, d.server = l.Addr().String(), &http.Server{Handler: d.store}
	go func() { _ = d.server.Serve(l) }()
	d.record("trouble: %v", trouble)
	return d, nil
}

func (d *deployment) ip(n int) string { return fmt.Sprintf("%s%d", d.prefix, n) }

func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// record writes a line to the record.
func (d *deployment) record(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.ended {
		_, _ = fmt.Fprintf(d.out, "%8.3f s  %s\n", time.Since(d.start).Seconds(), fmt.Sprintf(format, args...))
	}
}

// recordBreak writes a line and counts a break of the rule.
func (d *deployment) recordBreak(format string, args ...any) {
	d.record("BROKEN "+format, args...)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.broken = append(d.broken, fmt.Sprintf(format, args...))
}

func (d *deployment) breaks() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.broken
}

// publish writes a configuration to the store.
func (d *deployment) publish(routes, services []map[string]any) {
	d.version++
	config, _ := json.Marshal(map[string]any{
		"Version": d.version, "Routes": routes, "Services": services,
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []map[string]any{{"Name": "tenant-1", "ApiKeys": []string{"key-1"}, "AllowedRegions": []string{}}},
	})
	d.store.put("keyed.op", "config", config)
}

// startHosts starts n hosts, in all zones in turn, and waits until all are ready.
func (d *deployment) startHosts(n int) error { return d.startHostsIn(n, zones) }

// startHostsIn starts n hosts in some zones in turn.
func (d *deployment) startHostsIn(n int, zones []string) error {
	var seeds []string
	for i := range n {
		d.hosts = append(d.hosts, &host{name: fmt.Sprintf("host-%d", i+1), ip: d.ip(10 + i), zone: zones[i%len(zones)]})
		seeds = append(seeds, fmt.Sprintf("%s:%d", d.hosts[i].ip, d.ports.control))
	}
	for _, h := range d.hosts {
		if err := d.startHost(h, seeds[:min(len(seeds), 3)]); err != nil {
			return err
		}
	}
	for _, h := range d.hosts {
		if err := d.awaitReady(h); err != nil {
			return err
		}
	}
	time.Sleep(2500 * time.Millisecond) // the hosts find each other
	d.record("%d hosts are ready", n)
	return nil
}

// startHost starts a process with the command of the deploy file.
func (d *deployment) startHost(h *host, seeds []string) error {
	p := d.ports
	lines := []string{
		"NodeName=" + h.name, "Role=entry", "MachineClass=edge", "Serves=edge,control,registry", "Ip=" + h.ip, "Zone=" + h.zone, "Region=region-" + h.zone,
		fmt.Sprintf("Listen.Frontend=%s:%d", h.ip, p.front), fmt.Sprintf("Listen.Readiness=%s:%d", h.ip, p.ready),
		fmt.Sprintf("Listen.ControlPlane=%s:%d", h.ip, p.control), fmt.Sprintf("Listen.Directory=%s:%d", h.ip, p.directory),
		fmt.Sprintf("PortRange=%d,%d", p.gossip, p.gossip+15), "Seeds=" + strings.Join(seeds, ","), "Bootstrap=true",
		"Limits.CpuQuota=0.4", "Limits.Cores=1", "Limits.MemoryMb=284", "Limits.MaxFds=4100", "HeartbeatMs=1200",
		"Contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform,stages",
		"Bounds.ContactMs=4000", "Bounds.DrainMs=2500", "Bounds.GraceS=8", "Bounds.ConfigApplyMs=2500", "Bounds.RetryBudgetRatio=0.2",
		"Bounds.RetryWindowS=10", "Bounds.RetryMinExtra=58", "Bounds.ttl_max_s=5", "Platform.Address=" + d.storeAt, "Platform.form=log",
	}
	for _, z := range zones {
		lines = append(lines, "Zones."+z+"=region-"+z)
	}
	conf := filepath.Join(d.dir, h.name+".conf")
	if err := os.WriteFile(conf, []byte(strings.Join(lines, "\n")+"\n"), 0o644); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	h.cmd = exec.Command("target/chive-entry", "fleet")
	h.cmd.Env = append(os.Environ(), "CHIVEPOST_BOOT="+conf)
	h.cmd.Stdout, h.cmd.Stderr = log, log
	if err := h.cmd.Start(); err != nil {
		return err
	}
	d.record("%s starts", h.name)
	return nil
}

func (d *deployment) awaitReady(h *host) error {
	for range 150 {
		resp, err := d.client.Get(fmt.Sprintf("http://%s:%d/readyz", h.ip, d.ports.ready))
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%s isn't ready", h.name)
}

// front returns the address for clients.
func (d *deployment) front(h *host) string { return fmt.Sprintf("%s:%d", h.ip, d.ports.front) }

// close ends all processes and removes the temporary folder.
func (d *deployment) close() {
	for _, h := range d.hosts {
		if h.cmd != nil && h.cmd.Process != nil {
			_ = h.cmd.Process.Signal(syscall.SIGKILL)
			_ = h.cmd.Wait()
		}
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(d.dir))
	}
	_ = os.RemoveAll(d.dir)
}

// send makes a request of a client and returns its answer. An error means that the channel
// ended without a whole answer; body holds what came before.
func (d *deployment) send(h *host, method, path, id string, header map[string]string, body string) (status int, answer string, err error) {
	req, err := http.NewRequest(method, "http://"+d.front(h)+path, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Host = "review.example"
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Authorization", "Token key-1")
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}
