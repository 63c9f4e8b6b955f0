package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
	"unsafe"
)

const (
	siteRate    = 110  // requests a second of the site's traffic
	maxFds      = 4100 // Limits.MaxFds
	minClients  = 7    // that try in vain
	patience    = time.Second
	loadingTime = 50 * time.Second
)

// limitDescriptors sets the limit of a host's process on descriptors, as the platform does.
func limitDescriptors(pid int) error {
	limit := syscall.Rlimit{Cur: maxFds, Max: maxFds}
	_, _, errno := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(pid), uintptr(syscall.RLIMIT_NOFILE), uintptr(unsafe.Pointer(&limit)), 0, 0, 0)
	if errno != 0 {
		return errno
	}
	return nil
}

// try is an attempt of a client on a channel of its own.
type try struct {
	at       time.Time
	host     *host
	answered bool
}

// sendOnce opens a channel and sends one request on it. It returns the channel, which stays
// open, or nil without an answer.
func sendOnce(h *host) net.Conn {
	c, err := net.DialTimeout("tcp", h.front(), patience)
	if err != nil {
		return nil
	}
	_ = c.SetDeadline(time.Now().Add(patience))
	_, err = fmt.Fprintf(c, "GET /lots/17 HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %016x\r\nDeadline-Ms: 2500\r\nAuthorization: Token %s\r\n\r\n", callerHost, rand.Uint64(), apiKey)
	if err == nil {
		var resp *http.Response
		if resp, err = http.ReadResponse(bufio.NewReader(c), nil); err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
	}
	if err != nil {
		_ = c.Close()
		return nil
	}
	return c
}

// playIdle removes two of three machines. The clients of all then open channels to the third
// one and leave them idle, for longer than IdleTimeoutMs.
func playIdle(d *deployment, trouble bool) (int, error) {
	var own syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &own); err != nil || own.Cur < 4*maxFds {
		return 0, fmt.Errorf("the case itself needs %d descriptors, has %d", 4*maxFds, own.Cur)
	}
	for _, zone := range zones {
		if _, err := d.addEngine(serviceLots, zone, 5*time.Millisecond); err != nil {
			return 0, err
		}
	}
	d.publish([]map[string]any{route("r-lots", "/lots/", "safe", serviceLots, 2)}, []map[string]any{serviceOf(serviceLots)})
	if err := d.startHosts(3); err != nil {
		return 0, err
	}
	for _, h := range d.hosts {
		if err := limitDescriptors(h.cmd.Process.Pid); err != nil {
			return 0, err
		}
	}
	time.Sleep(5 * time.Second) // longer than ContactMs
	alive := d.hosts
	if trouble {
		for _, h := range d.hosts[1:] {
			h.kill()
			d.rec.line("platform", "%s is removed", h.name)
		}
		alive = d.hosts[:1]
		time.Sleep(5 * time.Second)
	}
	watched := alive[0]

	// The platform asks each second on one channel whether the machine is ready.
	var mu sync.Mutex
	var notReady []time.Time
	done := make(chan struct{})
	go func() {
		client := http.Client{Timeout: patience}
		for {
			select {
			case <-done:
				return
			case <-time.After(time.Second):
			}
			resp, err := client.Get(fmt.Sprintf("http://%s:%d/readyz", watched.ip, watched.ports.ready))
			if err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
			if err != nil || resp.StatusCode != http.StatusOK {
				mu.Lock()
				notReady = append(notReady, time.Now())
				mu.Unlock()
				d.rec.line("platform", "%s is not ready: %v", watched.name, err)
			}
		}
	}()

	var tries []try
	var idle []net.Conn
	var clients sync.WaitGroup
	tick := time.NewTicker(time.Second / siteRate)
	defer tick.Stop()
	for began := time.Now(); time.Since(began) < loadingTime; {
		<-tick.C
		h := alive[rand.IntN(len(alive))]
		clients.Go(func() {
			at := time.Now()
			c := sendOnce(h)
			mu.Lock()
			defer mu.Unlock()
			tries = append(tries, try{at, h, c != nil})
			if c != nil {
				idle = append(idle, c)
			}
		})
	}
	clients.Wait()
	close(done)
	mu.Lock()
	defer mu.Unlock()
	d.rec.line("client", "%d requests, %d channels left idle", len(tries), len(idle))
	for _, c := range idle {
		_ = c.Close()
	}
	if len(idle) < minClients {
		return 0, errors.New("nothing was served")
	}
	return vainSpans(d, tries, notReady, watched), nil
}

// vainSpans counts the spans of ContactMs, one after the other, in which the host said that it
// is ready and took no new channel, though minClients tried or more.
func vainSpans(d *deployment, tries []try, notReady []time.Time, h *host) int {
	broken := 0
	var last, end time.Time
	for _, t := range tries {
		if t.at.After(end) {
			end = t.at
		}
	}
	for _, t := range tries {
		from, to := t.at, t.at.Add(contactTime)
		if t.host != h || from.Before(last) || to.After(end) {
			continue
		}
		n, answered := 0, 0
		for _, o := range tries {
			if o.host == h && !o.at.Before(from) && o.at.Add(patience).Before(to) {
				if n++; o.answered {
					answered++
				}
			}
		}
		isReady := true
		for _, at := range notReady {
			isReady = isReady && (at.Before(from) || at.After(to.Add(patience)))
		}
		if n >= minClients && answered == 0 && isReady {
			broken++
			last = to
			d.rec.line("case", "RECOVER: %s says that it is ready and answers none of %d new channels in the 4 s from %.3f s on", h.name, n, from.Sub(d.rec.began).Seconds())
		}
	}
	return broken
}
