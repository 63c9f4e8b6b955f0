package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

// deployment is a store, engines and entry hosts on loopback addresses.
type deployment struct {
	root, dir string
	rec       *recorder
	store     *store
	hosts     []*host
	engines   []*engine
	version   int
	// useProxies puts a proxy between each host and the store.
	useProxies bool
}

func newDeployment(root, record string) (*deployment, error) {
	rec, err := newRecorder(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	st, err := startStore()
	if err != nil {
		return nil, err
	}
	return &deployment{root: root, dir: dir, rec: rec, store: st, version: 1}, nil
}

// freePorts returns ports that are free at all addresses, for TCP and for datagrams.
func freePorts(ips []string) (ports, error) {
	for range 50 {
		base := 20000 + 10*rand.IntN(1000)
		var open []io.Closer
		isFree := true
		for _, ip := range ips {
			for p := base; p < base+10; p++ {
				l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, p))
				if err != nil {
					isFree = false
					continue
				}
				open = append(open, l)
			}
			u, err := net.ListenPacket("udp", fmt.Sprintf("%s:%d", ip, base+4))
			if err != nil {
				isFree = false
				continue
			}
			open = append(open, u)
		}
		for _, c := range open {
			_ = c.Close()
		}
		if isFree {
			return ports{front: base, ready: base + 1, peers: base + 2, directory: base + 3, gossip: base + 4}, nil
		}
	}
	return ports{}, errors.New("no free ports")
}

// startHosts starts n hosts, in the zones in turn, and waits until they are ready.
func (d *deployment) startHosts(n int) error {
	net := rand.IntN(200) + 10
	var ips []string
	for i := range n {
		ips = append(ips, fmt.Sprintf("127.0.%d.%d", net, i+1))
	}
	p, err := freePorts(ips)
	if err != nil {
		return err
	}
	var seeds []string
	for _, ip := range ips[:min(n, 3)] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ip, p.peers))
	}
	for i, ip := range ips {
		zone := zones[i%len(zones)]
		h := &host{name: fmt.Sprintf("edge-%s-%d", zone, i/len(zones)+1), zone: zone, ip: ip, ports: p}
		d.hosts = append(d.hosts, h)
		storeAddress := d.store.address
		if d.useProxies {
			if h.proxy, err = startProxy(d.store.address); err != nil {
				return err
			}
			storeAddress = h.proxy.address()
		}
		if err := h.start(d.root, d.dir, storeAddress, seeds); err != nil {
			return err
		}
	}
	for _, h := range d.hosts {
		if err := h.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// addEngine starts an engine of a service in a zone.
func (d *deployment) addEngine(service, zone string, work time.Duration) (*engine, error) {
	id := fmt.Sprintf("i-%08x", rand.Uint32())
	e, err := startEngine(d.store, d.rec, id, service, zone, work)
	if err == nil {
		d.engines = append(d.engines, e)
	}
	return e, err
}

const (
	callerHost = "pule25.example"
	apiKey     = "9dnn2ctnfzs989anu6ws"
)

// route returns a route as the operator writes it.
func route(name, prefix, kind, service string, attempts int) map[string]any {
	return map[string]any{
		"Name": name, "Host": callerHost, "PathPrefix": prefix, "Type": kind, "TimeoutMs": 1200, "TargetLatencyMs": 250, "Priority": 2,
		"Service": service, "MaxAttempts": attempts, "Public": false, "Sticky": false, "Resumable": false, "AllowedRegions": []string{},
	}
}

func serviceOf(name string) map[string]any {
	return map[string]any{"Name": name, "HealthPath": "/healthz", "MaxConnections": 110, "Protocol": "h1", "Tls": false, "ColdStartS": 0.0, "ColdPerS": 0.0}
}

// publish writes a configuration.
func (d *deployment) publish(routes, services []map[string]any) {
	value, _ := json.Marshal(map[string]any{
		"Version": d.version, "Routes": routes, "Services": services,
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{map[string]any{"Name": "bozi300", "ApiKeys": []string{apiKey}, "Priority": 1, "AllowedRegions": []string{}}},
	})
	d.version += 3
	d.store.put("keyed.op", "config", value)
}

// result is what a client got.
type result struct {
	id, path string
	sent     time.Time
	took     time.Duration
	status   int // 0: no complete answer
	header   http.Header
	body     []byte
	err      error
}

// client sends requests over channels that it keeps.
type client struct {
	http *http.Client
	rec  *recorder
}

func newClient(rec *recorder) *client {
	return &client{http: &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableCompression: true}}, rec: rec}
}

// send sends one client attempt with an ID of its own.
func (c *client) send(h *host, method, path string, body []byte, headers ...string) result {
	out := result{id: fmt.Sprintf("%016x", rand.Uint64()), path: path, sent: time.Now()}
	req, err := http.NewRequest(method, "http://"+h.front()+path, bytes.NewReader(body))
	if err != nil {
		out.err = err
		return out
	}
	req.Host = callerHost
	req.GetBody = nil // one attempt
	req.Header.Set("Attempt-Id", out.id)
	req.Header.Set("Deadline-Ms", "2500")
	req.Header.Set("Authorization", "Token "+apiKey)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	c.rec.line("client", "%s sent to %s: %s %s", out.id, h.name, method, path)
	resp, err := c.http.Do(req)
	if err == nil {
		out.body, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		out.header = resp.Header
	}
	out.took = time.Since(out.sent)
	if out.err = err; err != nil {
		c.rec.line("client", "%s no complete answer: %v", out.id, err)
		return out
	}
	out.status = resp.StatusCode
	c.rec.line("client", "%s answered %d, signature %q, %d bytes", out.id, out.status, resp.Header.Get("Response-Signature"), len(out.body))
	return out
}

// close ends all processes of the deployment and removes its folder. A failed run keeps the
// hosts' logs if KEEP names a folder.
func (d *deployment) close() {
	for _, h := range d.hosts {
		h.kill()
		if h.proxy != nil {
			h.proxy.stop()
		}
	}
	for _, e := range d.engines {
		e.stop()
	}
	_ = d.store.server.Close()
	if keep := os.Getenv("KEEP"); keep != "" {
		for _, h := range d.hosts {
			if data, err := os.ReadFile(filepath.Join(d.dir, h.name+".log")); err == nil {
				_ = os.WriteFile(filepath.Join(keep, h.name+".log"), data, 0o644)
			}
		}
	}
	_ = os.RemoveAll(d.dir)
	_ = d.rec.file.Close()
}
