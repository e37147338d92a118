// Command bed plays one case of the review: it starts instances as separate processes with the command of the deploy file, and is
// the platform, the members and the clients around them. It exits with 1 if a rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// bed is everything around the instances.
type bed struct {
	began       time.Time
	trouble     bool
	folder      string
	promoteTime time.Duration
	store       *store
	promoter    *promoter
	cloud       string
	services    map[string]*service
	instances   []*instance
	routes      []route
	txIdle      time.Duration
	version     int

	mu     sync.Mutex
	file   *bufio.Writer
	breaks []string
	runs   map[string][]*run
	sent   map[string]*request
	ended  bool

	// starts are the processes to start. One thread starts them all and lasts as long as the bed: the kernel ends a process with the
	// thread that started it.
	starts  chan *exec.Cmd
	started chan error
}

// route is a route of the operator's configuration.
type route struct {
	name, kind, service string
	timeout, staleness  time.Duration
	priority            int
}

func newBed() *bed {
	folder, err := os.MkdirTemp("", "bed")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	out := os.Getenv("RECORD")
	if out == "" {
		out = filepath.Join(folder, "record.txt")
	}
	file, err := os.Create(out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	b := &bed{
		began: time.Now(), trouble: os.Getenv("TROUBLE") != "0", folder: folder, promoteTime: time.Second, services: map[string]*service{},
		file: bufio.NewWriter(file), runs: map[string][]*run{}, sent: map[string]*request{}, version: 7, txIdle: 20 * time.Second,
		starts: make(chan *exec.Cmd), started: make(chan error),
	}
	b.store = newStore(b)
	b.promoter = &promoter{bed: b, tokens: map[string]uint64{}}
	b.cloud = b.store.listen(b.promoter)
	go func() {
		runtime.LockOSThread()
		for cmd := range b.starts {
			b.started <- cmd.Start()
		}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		b.cannotRun("it was stopped")
	}()
	return b
}

// startProcess starts a process that ends at the latest with the bed.
func (b *bed) startProcess(cmd *exec.Cmd) error {
	b.starts <- cmd
	return <-b.started
}

// must ends the bed when the case cannot run.
func (b *bed) must(err error) {
	if err != nil {
		b.cannotRun(err.Error())
	}
}

func (b *bed) cannotRun(reason string) {
	fmt.Println("the case cannot run:", reason)
	b.record("the case cannot run:", reason)
	b.end()
	os.Exit(2)
}

// record writes a line to the record.
func (b *bed) record(words ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, _ = fmt.Fprintf(b.file, "%8.3f ", time.Since(b.began).Seconds())
	_, _ = fmt.Fprintln(b.file, words...)
}

// broken records that a rule was broken.
func (b *bed) broken(rule, what string) {
	b.record("BROKEN", rule, what)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.breaks = append(b.breaks, rule+": "+what)
}

// end stops all processes and closes the record.
func (b *bed) end() {
	b.mu.Lock()
	ended := b.ended
	b.ended = true
	b.mu.Unlock()
	if ended {
		return
	}
	for _, i := range b.instances {
		i.kill()
	}
	b.mu.Lock()
	_ = b.file.Flush()
	b.mu.Unlock()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(b.folder)
	}
}

// finish ends the bed and exits with the verdict.
func (b *bed) finish() {
	b.mu.Lock()
	breaks := b.breaks
	b.mu.Unlock()
	b.record("breaks:", len(breaks))
	b.end()
	for n, what := range breaks {
		if n == 12 {
			fmt.Println("...", len(breaks)-n, "more")
			break
		}
		fmt.Println("broken:", what)
	}
	if len(breaks) > 0 {
		os.Exit(1)
	}
	fmt.Println("the rules held")
	os.Exit(0)
}

// configure writes the operator's next configuration.
func (b *bed) configure() {
	b.version += 3
	list, backends := []any{}, []any{}
	for _, r := range b.routes {
		one := map[string]any{
			"database": r.name, "type": r.kind, "timeoutMs": r.timeout.Milliseconds(), "targetLatencyMs": 300, "priority": r.priority, "backend": r.service,
		}
		if r.staleness > 0 {
			one["maxStalenessMs"] = r.staleness.Milliseconds()
		}
		list = append(list, one)
	}
	for name, g := range b.services {
		backends = append(backends, map[string]any{"name": name, "maxConns": g.members[0].maxConns, "syncReplicas": 0})
	}
	value, err := json.Marshal(map[string]any{
		"version": b.version, "routes": list, "backends": backends, "limits": map[string]any{"txIdleMs": b.txIdle.Milliseconds()},
	})
	b.must(err)
	b.store.put("op/config", value)
	b.record("configuration", b.version)
}

// instance is a process of the system on a machine of its own.
type instance struct {
	bed                          *bed
	name, zone                   string
	front, ready, control, store string
	settings                     string
	log                          *os.File

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	byUs    bool
	misses  int
	isReady bool
	// readEntriesAt is when the instance last read the members' entries.
	readEntriesAt time.Time
}

// freePort returns a loopback address with a free port below those that the kernel gives to outgoing connections.
func freePort() string {
	for {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 15000+rand.IntN(15000)))
		if err == nil {
			_ = l.Close()
			return l.Addr().String()
		}
	}
}

// runCommand returns the command of the deploy file.
func (b *bed) runCommand() []string {
	text, err := os.ReadFile("deploy/system.toml")
	b.must(err)
	for line := range strings.Lines(string(text)) {
		if rest, found := strings.CutPrefix(strings.TrimSpace(line), "run = \""); found {
			return strings.Fields(strings.TrimSuffix(rest, "\""))
		}
	}
	b.cannotRun("the deploy file has no command")
	return nil
}

// startInstances starts one instance for each zone named.
func (b *bed) startInstances(zones ...string) {
	counts := map[string]int{}
	for _, zone := range zones {
		counts[zone]++
		i := &instance{
			bed: b, name: fmt.Sprintf("frontend-%s-%d", zone, counts[zone]), zone: zone, front: freePort(), ready: freePort(), control: freePort(),
		}
		i.store = b.store.listen(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/kv-range" && r.URL.Query().Get("prefix") == "servers/" {
				i.mu.Lock()
				i.readEntriesAt = time.Now()
				i.mu.Unlock()
			}
			b.store.ServeHTTP(w, r)
		}))
		b.instances = append(b.instances, i)
	}
	for _, i := range b.instances {
		i.writeSettings()
		i.start()
		go i.probe()
	}
}

func (i *instance) writeSettings() {
	b := i.bed
	seeds := []string{}
	for _, other := range b.instances[:min(3, len(b.instances))] {
		seeds = append(seeds, other.control)
	}
	value, err := json.Marshal(map[string]any{
		"nodeName": i.name, "role": "instance", "machineClass": "frontend", "serves": []string{"frontend", "control_plane"}, "ip": "127.0.0.1",
		"zone": i.zone, "region": "central", "zones": map[string]string{"a": "central", "b": "central", "c": "central"},
		"listenAddrs":   map[string]string{"frontend": i.front, "ready": i.ready, "control": i.control},
		"internalPorts": []int{}, "seeds": seeds, "bootstrap": true, "inTolerance": false,
		"limits":  map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4200, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
		"contracts":      []string{"base", "drain", "config", "cost", "recover", "sql", "platform"},
		"faultTolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "reuseAfterS": 2, "stableMs": 4000, "ackMs": 5000, "catchUpS": 4, "drainMs": 7000, "graceS": 6, "lossSlackMs": 200,
			"configApplyMs": 3000, "rollbackSlackMs": 250, "maxSkewMs": 12000, "recoverS": 12, "requireFencing": false, "thawSlackMs": 300,
		},
		"platform": map[string]any{
			"address": i.store, "form": "kv", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000,
		},
		"cloud": map[string]any{"address": b.cloud, "ratePerS": 50.0, "duties": []string{"failover"}, "dutyPerS": 50.0},
	})
	b.must(err)
	i.settings = filepath.Join(b.folder, i.name+".json")
	b.must(os.WriteFile(i.settings, value, 0o600))
}

// start starts the process.
func (i *instance) start() {
	words := i.bed.runCommand()
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + i.bed.folder, "TURMERICPULLEY_BOOT=" + i.settings}
	if i.log == nil {
		file, err := os.Create(filepath.Join(i.bed.folder, i.name+".log"))
		i.bed.must(err)
		i.log = file
	}
	cmd.Stdout, cmd.Stderr = i.log, i.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	i.bed.must(i.bed.startProcess(cmd))
	exited := make(chan struct{})
	i.mu.Lock()
	i.cmd, i.exited, i.byUs = cmd, exited, false
	i.mu.Unlock()
	go func() {
		err := cmd.Wait()
		i.mu.Lock()
		byUs := i.byUs
		i.mu.Unlock()
		if !byUs {
			i.bed.broken("process", fmt.Sprint(i.name, " ended by itself: ", err))
		}
		i.bed.record("process ended", i.name, err)
		close(exited)
	}()
	i.bed.record("process started", i.name)
}

// signal sends a signal; one that ends the process counts as ours.
func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		i.byUs = true
	}
	if i.cmd != nil {
		_ = i.cmd.Process.Signal(s)
	}
	i.bed.record("signal", s, i.name)
}

func (i *instance) kill() {
	i.mu.Lock()
	cmd, exited := i.cmd, i.exited
	i.byUs = true
	i.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
		<-exited
	}
}

// probe asks the instance every second whether it is ready; two misses take it out of rotation.
func (i *instance) probe() {
	client := &http.Client{Timeout: 900 * time.Millisecond}
	for {
		response, err := client.Get("http://" + i.ready + "/ready")
		good := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			_ = response.Body.Close()
		}
		i.mu.Lock()
		if good {
			i.misses, i.isReady = 0, true
		} else if i.misses++; i.misses >= 2 {
			i.isReady = false
		}
		i.mu.Unlock()
		time.Sleep(time.Second)
	}
}

func (i *instance) inRotation() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.isReady
}

// awaitReady waits until all instances are in rotation and each service has an owner that serves.
func (b *bed) awaitReady() {
	end := time.Now().Add(20 * time.Second)
	for _, i := range b.instances {
		for !i.inRotation() {
			if time.Now().After(end) {
				b.cannotRun(i.name + " does not get ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	for _, r := range b.routes {
		for {
			if c, err := b.dial(b.instances[0], r); err == nil {
				a := c.ask("READ probe")
				c.close()
				if a.code == "" {
					break
				}
			}
			if time.Now().After(end) {
				b.cannotRun("no answer on route " + r.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	b.record("all instances are ready")
}

// owner returns the instance that the store names as the owner of the service.
func (b *bed) owner(service string) *instance {
	record := struct {
		Instance string `json:"instance"`
	}{}
	if json.Unmarshal(b.store.value("turmericpulley/owners/"+service), &record) != nil {
		return nil
	}
	for _, i := range b.instances {
		if i.name == record.Instance {
			return i
		}
	}
	return nil
}
