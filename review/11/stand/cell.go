package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"time"
)

const (
	programPath  = "target/lovagestand"
	templatePath = "deploy/settings.yaml.tmpl"
	host         = "nony24.example"
)

// node is a process of the system.
type node struct {
	name, ip, front, ready, settings string
	command                          *exec.Cmd
	done                             chan struct{}
}

// cell is the processes of the system and what they talk to.
type cell struct {
	record *record
	folder string
	store  *store
	// nodes are the nodes that are up, vanished those that never continue.
	nodes, vanished []*node
	client          *http.Client
	template        string
	address         string
}

// bounds are those of the small installations on the users' pages.
var bounds = map[string]string{
	"heartbeat_ms": "1500", "bounds.grace_s": "6", "bounds.max_hold_ms": "10000", "bounds.status_s": "120", "bounds.checkpoint_interval_s": "0.5",
	"bounds.stop_timeout_ms": "900", "bounds.restore_ms": "600", "limits.cpu_share": "0.4", "limits.memory_mb": "284", "limits.max_fds": "4100",
}

var (
	section     = regexp.MustCompile(`\{\{#([a-z_.]+)\}\}(.*?)\{\{/[a-z_.]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-z_.]+)\}\}`)
)

// render fills the template of the deploy file in. It knows the placeholders that the template
// uses: values, and sections for values that may be missing.
func render(template string, values map[string]string) string {
	template = section.ReplaceAllStringFunc(template, func(s string) string {
		m := section.FindStringSubmatch(s)
		if values[m[1]] == "" {
			return ""
		}
		return m[2]
	})
	return placeholder.ReplaceAllStringFunc(template, func(s string) string { return values[placeholder.FindStringSubmatch(s)[1]] })
}

// freePorts returns different ports that are free on an address.
func freePorts(ip string, count int) ([]int, error) {
	ports := make([]int, count)
	for k := range ports {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		ports[k] = l.Addr().(*net.TCPAddr).Port
	}
	return ports, nil
}

// newCell starts a store and a number of nodes.
func newCell(rec *record, size int) (*cell, error) {
	for _, path := range []string{programPath, templatePath} {
		if _, err := os.Stat(path); err != nil {
			return nil, err
		}
	}
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	c := &cell{record: rec, folder: folder, store: newStore(), client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(l, c.store) }()
	template, err := os.ReadFile(templatePath)
	if err != nil {
		return nil, err
	}
	c.template, c.address = string(template), l.Addr().String()
	for i := range size {
		if _, err := c.add(i + 1); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// add starts a node with a number at an address of its own.
func (c *cell) add(number int) (*node, error) {
	// The addresses differ between cells that run at the same time.
	pid := os.Getpid()
	n := &node{name: fmt.Sprintf("edge-zone-1-%d", number), ip: fmt.Sprintf("127.%d.%d.%d", 1+pid>>8&127, pid&255, number)}
	ports, err := freePorts(n.ip, 3)
	if err != nil {
		return nil, err
	}
	n.front, n.ready = fmt.Sprintf("%s:%d", n.ip, ports[0]), fmt.Sprintf("%s:%d", n.ip, ports[1])
	values := map[string]string{
		"node": n.name, "region": "region-1", "zone": "zone-1", "listen.front": n.front, "listen.ready": n.ready, "ip": n.ip,
		"port_range": fmt.Sprintf("%d,%d", ports[2], ports[2]+15), "platform.addr": c.address,
	}
	for key, value := range bounds {
		values[key] = value
	}
	n.settings = filepath.Join(c.folder, n.name+".yaml")
	if err := os.WriteFile(n.settings, []byte(render(c.template, values)), 0o600); err != nil {
		return nil, err
	}
	c.nodes = append(c.nodes, n)
	return n, c.start(n)
}

// replace takes the power from the machine of a node for good: its process is stopped and never
// continues, so that its channels stay open and silent. Another machine comes at another address.
func (c *cell) replace(n *node, number int) error {
	c.signal(n, syscall.SIGSTOP)
	c.nodes = slices.DeleteFunc(c.nodes, func(o *node) bool { return o == n })
	c.vanished = append(c.vanished, n)
	_, err := c.add(number)
	return err
}

// start starts the process of a node with the command of the deploy file.
func (c *cell) start(n *node) error {
	log, err := os.OpenFile(filepath.Join(c.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.command = exec.Command(programPath, "node")
	n.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LOVAGESTAND_SETTINGS=" + n.settings}
	n.command.Stdout, n.command.Stderr = log, log
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.command.Start(); err != nil {
		return err
	}
	c.record.printf("node %s started, process %d", n.name, n.command.Process.Pid)
	n.done = make(chan struct{})
	go func(command *exec.Cmd, done chan struct{}) {
		_ = command.Wait()
		_ = log.Close()
		close(done)
	}(n.command, n.done)
	return nil
}

// signal sends a signal to the process of a node.
func (c *cell) signal(n *node, s syscall.Signal) {
	c.record.printf("node %s gets %s", n.name, s)
	_ = n.command.Process.Signal(s)
}

// close ends all processes. The logs of the nodes are kept if LOGS names a folder.
func (c *cell) close() {
	for _, n := range append(c.nodes, c.vanished...) {
		_ = n.command.Process.Kill()
		<-n.done
	}
	if to := os.Getenv("LOGS"); to != "" {
		for _, n := range c.nodes {
			if text, err := os.ReadFile(filepath.Join(c.folder, n.name+".log")); err == nil {
				_ = os.WriteFile(filepath.Join(to, n.name+".log"), text, 0o600)
			}
		}
	}
	_ = os.RemoveAll(c.folder)
}

// owner returns the name of the node that owns the first shard, empty if none does.
func (c *cell) owner() *node {
	var value struct {
		ID string `json:"id"`
	}
	if json.Unmarshal(c.store.get("cell/owner/0"), &value) != nil {
		return nil
	}
	for _, n := range c.nodes {
		if strings.EqualFold(n.name, value.ID) {
			return n
		}
	}
	return nil
}

// awaitReady waits until all nodes answer their readiness checks.
func (c *cell) awaitReady(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for _, n := range c.nodes {
		for {
			reply, err := c.client.Get("http://" + n.ready + "/ready")
			if err == nil {
				reply.Body.Close()
				if reply.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return errors.New("node " + n.name + " is not ready")
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// call sends one request of a consumer to a node and returns the status and the body; 0
// without an answer.
func (c *cell) call(n *node, method, path string, body any) (int, string) {
	var in io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		in = bytes.NewReader(text)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+n.front+path, in)
	if err != nil {
		panic(err)
	}
	r.Host = host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Deadline-Ms", "3000")
	reply, err := c.client.Do(r)
	if err != nil {
		c.record.printf("consumer: %s %s at %s: no answer (%v)", method, path, n.name, err)
		return 0, ""
	}
	defer reply.Body.Close()
	text, _ := io.ReadAll(reply.Body)
	c.record.printf("consumer: %s %s at %s: %d %s", method, path, n.name, reply.StatusCode, strings.TrimSpace(string(text)))
	return reply.StatusCode, string(text)
}

// submit hands a submission in, with retries at the next node.
func (c *cell) submit(path string, body any) bool {
	for i := range 5 {
		if status, _ := c.call(c.nodes[i%len(c.nodes)], http.MethodPost, path, body); status/100 == 2 {
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// state returns the state of a submission; empty without an answer in time.
func (c *cell) state(path string) string {
	for i := range 4 {
		status, text := c.call(c.nodes[i%len(c.nodes)], http.MethodGet, path, nil)
		var out struct {
			State string `json:"state"`
		}
		if status == http.StatusOK && json.Unmarshal([]byte(text), &out) == nil {
			return out.State
		}
		if status == http.StatusGone {
			return "gone"
		}
		time.Sleep(300 * time.Millisecond)
	}
	return ""
}

// queue is a route of the operator's configuration.
type queue struct {
	name, prefix string
	priority     int
	attempts     int
}

// configure writes a version of the configuration.
func (c *cell) configure(version int, queues []queue) {
	routes := []map[string]any{}
	for _, q := range queues {
		routes = append(routes, map[string]any{
			"name": q.name, "host": host, "prefix": q.prefix, "service": serviceName, "priority": q.priority, "max_attempts": q.attempts,
			"stretch": 2.0, "target_duration_ms": 1000,
		})
	}
	c.store.put("op/config", map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{"name": serviceName, "enforces_capacity": false, "health_path": "/health"}},
		"limits":   map[string]any{"max_body_bytes": 262144, "max_header_bytes": 16384},
	})
}
