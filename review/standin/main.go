// Command standin plays the cases of the review that are scripts. It starts the instances of the deploy file as processes of their
// own, with stand-ins for the platform, the members and the clients, and exits with 1 if the case's rule was broken, with 0 if it
// held, and with 2 if the case couldn't run.
package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// zones are the zones of the instances and the members.
var zones = []string{"zone-a", "zone-b", "zone-c"}

// recorder writes what was sent, answered and run, each line with the seconds since the start.
type recorder struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
}

func (r *recorder) note(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, arguments...))
}

// world is one play of a case.
type world struct {
	rec     *recorder
	trouble bool
	store   *store
	svc     *service
	folder  string
	nodes   []*node
	server  *http.Server
	address string
}

// node is one instance.
type node struct {
	name, frontend, ready string
	cmd                   *exec.Cmd
	ended                 chan struct{}
}

// newWorld starts the platform, a service of three members and the instances.
func newWorld(rec *recorder, instances, syncReplicas int) (*world, error) {
	w := &world{rec: rec, trouble: os.Getenv("TROUBLE") != "0", store: newStore()}
	var err error
	if w.folder, err = os.MkdirTemp("", "review"); err != nil {
		return w, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return w, err
	}
	w.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.Handle("/", w.store)
	mux.HandleFunc("POST /promote", w.servePromote)
	w.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = w.server.Serve(l) }()
	if w.svc, err = newService("db1", syncReplicas, w.store, rec, "i-p", "i-r1", "i-r2"); err != nil {
		return w, err
	}
	w.configure(syncReplicas)
	for i := range instances {
		if err := w.startNode(i); err != nil {
			return w, err
		}
	}
	return w, w.awaitService()
}

func (w *world) configure(syncReplicas int) {
	route := func(database, kind string, staleness int) map[string]any {
		return map[string]any{
			"name": "r-" + database, "database": database, "type": kind, "backend": w.svc.name, "timeoutMs": 800,
			"targetLatencyMs": 200, "priority": 1, "maxStalenessMs": staleness,
		}
	}
	w.store.put("op/config", map[string]any{
		"version":  1,
		"routes":   []any{route("orders", "primary", 0), route("stock", "bounded_staleness", 1500), route("plan", "read_your_writes", 2500)},
		"backends": []any{map[string]any{"name": w.svc.name, "maxConns": memberMaxConns, "syncReplicas": syncReplicas}},
		"limits":   map[string]any{"txIdleMs": 5000},
	})
}

func (w *world) servePromote(out http.ResponseWriter, r *http.Request) {
	call := struct{ Backend, ID string }{}
	if json.NewDecoder(r.Body).Decode(&call) != nil || call.Backend != w.svc.name {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	status := w.svc.promote(call.ID)
	w.rec.note("%s asks for the promotion of %s with token %s, answered %d", r.Header.Get("X-Turmericpulley-Lease-Holder"), call.ID,
		r.Header.Get("X-Turmericpulley-Fencing-Token"), status)
	out.WriteHeader(status)
}

// freeAddresses returns loopback addresses with free ports.
func freeAddresses(count int) ([]string, error) {
	var addresses []string
	for range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}

// startNode starts an instance with the command of the deploy file.
func (w *world) startNode(i int) error {
	addresses, err := freeAddresses(4)
	if err != nil {
		return err
	}
	var ports []int
	for _, a := range addresses[2:] {
		_, port, _ := net.SplitHostPort(a)
		number, _ := strconv.Atoi(port)
		ports = append(ports, number)
	}
	n := &node{name: "frontend-" + zones[i%len(zones)] + "-" + strconv.Itoa(i/len(zones)+1), frontend: addresses[0], ready: addresses[1], ended: make(chan struct{})}
	settings, err := json.Marshal(map[string]any{
		"nodeName": n.name, "role": "instance", "machineClass": "frontend", "serves": []string{"frontend", "control_plane"},
		"ip": "127.0.0.1", "zone": zones[i%len(zones)], "region": "central", "bootstrap": true, "seeds": []string{},
		"listenAddrs":   map[string]string{"frontend": addresses[0], "ready": addresses[1], "control": addresses[2]},
		"internalPorts": ports, "heartbeatMs": heartbeat.Milliseconds(),
		"limits":   map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4200, "linkMbps": 1000.0, "diskMb": 0},
		"bounds":   map[string]any{"stableMs": 4000, "drainMs": 7000, "graceS": 6, "configApplyMs": 3000, "requireFencing": false, "thawSlackMs": 300},
		"platform": map[string]any{"address": w.address, "form": "kv", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1 << 20, "ttlMinMs": 1000},
		"cloud":    map[string]any{"address": w.address, "ratePerS": 50.0, "duties": []string{"failover"}, "dutyPerS": 50.0},
	})
	if err != nil {
		return err
	}
	path := filepath.Join(w.folder, n.name+".json")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return err
	}
	output, err := os.Create(filepath.Join(w.folder, n.name+".log"))
	if err != nil {
		return err
	}
	n.cmd = exec.Command("target/turmericpulley", "instance")
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "TURMERICPULLEY_BOOT=" + path}
	n.cmd.Stdout, n.cmd.Stderr = output, output
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	w.nodes = append(w.nodes, n)
	go func() {
		_ = n.cmd.Wait()
		close(n.ended)
	}()
	return nil
}

// awaitService waits until all instances are ready and serve a write, and then for as long as an owner takes to settle.
func (w *world) awaitService() error {
	deadline := time.Now().Add(20 * time.Second)
	for i, n := range w.nodes {
		for !w.serves(n, i) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s does not serve", n.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(6 * time.Second)
	w.rec.note("all instances serve")
	return nil
}

func (w *world) serves(n *node, i int) bool {
	response, err := http.Get("http://" + n.ready + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return false
	}
	c, err := dial(w.rec, "check", n.frontend, "orders")
	if err != nil {
		return false
	}
	defer c.close()
	a, err := c.exchange(fmt.Sprintf("check%d", i), "WRITE check x")
	return err == nil && a.code == ""
}

// owner returns the instance that the project's record of the database names as the owner.
func (w *world) owner() *node {
	w.store.mu.Lock()
	value := w.store.items["turmericpulley/owners/"+w.svc.name].Value
	w.store.mu.Unlock()
	record := struct{ Instance string }{}
	_ = json.Unmarshal(value, &record)
	for _, n := range w.nodes {
		if n.name == record.Instance {
			return n
		}
	}
	return nil
}

// close ends the instances and removes the temporary folder.
func (w *world) close() {
	for _, n := range w.nodes {
		_ = n.cmd.Process.Kill()
		<-n.ended
	}
	if w.server != nil {
		_ = w.server.Close()
	}
	if w.folder != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	} else {
		fmt.Println("logs in", w.folder)
	}
}

// cases are the cases by name. Each plays its events and reports whether the rule was broken.
var cases = map[string]struct {
	instances, syncReplicas int
	play                    func(*world) (broken bool, err error)
}{
	"leaving-replica":  {3, 1, playLeavingReplica},
	"open-transaction": {3, 0, playOpenTransaction},
	"unlisted-primary": {3, 0, playUnlistedPrimary},
	"split-statement":  {3, 0, playSplitStatement},
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]].play == nil {
		fmt.Println("usage: review-standin CASE RECORD")
		os.Exit(2)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], &recorder{start: time.Now(), file: file}))
}

func run(name string, rec *recorder) int {
	c := cases[name]
	w, err := newWorld(rec, c.instances, c.syncReplicas)
	defer w.close()
	broken := false
	if err == nil {
		broken, err = c.play(w)
	}
	switch {
	case err != nil:
		rec.note("the case couldn't run: %v", err)
		fmt.Println("the case couldn't run:", err)
		return 2
	case broken:
		rec.note("the rule was broken")
		fmt.Println("the rule was broken")
		return 1
	default:
		rec.note("the rule held")
		fmt.Println("the rule held")
		return 0
	}
}
