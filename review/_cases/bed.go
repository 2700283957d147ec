package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/silvermount/silvermount/internal/standin/objectsim"
)

type object = map[string]any

// The bounds are those of the users' sheets for a small deployment.
const (
	revocationBound = 5 * time.Second
	leavingBound    = 2 * time.Second
	applyBound      = 2 * time.Second
	grace           = 8 * time.Second
	host            = "api.example"
)

// bed holds the processes, the store and the record of one case.
type bed struct {
	// trouble is set unless the case runs without its disruption.
	trouble bool
	dir     string
	store   *objectsim.Sim
	start   time.Time

	mu        sync.Mutex
	record    *os.File
	instances []*instance
	closers   []func()
	version   int
}

func newBed(recordPath string, trouble bool) (*bed, error) {
	rec, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	st, err := objectsim.Start()
	if err != nil {
		return nil, err
	}
	bd := &bed{trouble: trouble, dir: dir, store: st, start: time.Now(), record: rec}
	bd.note("disruption: %v", trouble)
	return bd, nil
}

// onClose registers a function that close calls, the last one first.
func (bd *bed) onClose(f func()) {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	bd.closers = append(bd.closers, f)
}

// close ends all processes that the case started.
func (bd *bed) close() {
	for _, in := range bd.instances {
		in.kill()
	}
	for i := len(bd.closers) - 1; i >= 0; i-- {
		bd.closers[i]()
	}
	bd.store.Close()
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(bd.dir))
	}
	_ = os.RemoveAll(bd.dir)
	_ = bd.record.Close()
}

// note adds a line to the record.
func (bd *bed) note(format string, args ...any) {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(bd.start).Seconds(), fmt.Sprintf(format, args...))
	_, _ = bd.record.WriteString(line)
	fmt.Print(line)
}

// put writes an object of the operator or of an engine.
func (bd *bed) put(kind, name string, spec any) error {
	_, err := bd.store.PutSpec(kind, name, spec)
	return err
}

// route describes one route of the configuration.
type route struct {
	name, kind, service string
	timeout, objective  time.Duration
	attempts            int
	resumable           bool
}

// configure writes the next version of the configuration, and returns when the store had acknowledged it. keys holds the keys by tenant.
func (bd *bed) configure(routes []route, services []object, keys map[string][]string) (time.Time, error) {
	bd.mu.Lock()
	bd.version += 2
	version := bd.version
	bd.mu.Unlock()
	var rts, tenants []object
	for _, rt := range routes {
		ob := object{
			"name": rt.name, "hostname": host, "path_prefix": "/" + rt.name + "/", "type": rt.kind, "service": rt.service,
			"timeout_ms": rt.timeout.Milliseconds(), "slo_ms": rt.objective.Milliseconds(), "priority": 1, "max_attempts": rt.attempts,
			"public": false,
		}
		if rt.kind == "streaming" {
			ob["gap_aim_ms"], ob["stream_resume"] = 250, rt.resumable
		}
		rts = append(rts, ob)
	}
	for name, ks := range keys {
		tenants = append(tenants, object{"name": name, "api_keys": ks})
	}
	err := bd.put("config", "main", object{
		"version": version, "routes": rts, "services": services, "tenants": tenants,
		"limits": object{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
	})
	at := time.Now()
	bd.note("configuration %d acknowledged, keys %v", version, keys)
	return at, err
}

// readRate is how many tokens of a prompt an engine reads in a second.
const readRate = 20600

// modelService describes a service of model engines with the figures of the users' sheets.
func modelService(name string) object {
	return object{"name": name, "max_connections": 264, "engine": object{
		"slots": 16, "kv_tokens": 232000, "stride": 43, "chunk": 2048, "step_ms": 1.02, "per_seq_ms": 0.00226, "context_per_k": 0.00431,
		"hop_ms": 0.075, "pairs_per_m": 0.138, "read_per_s": readRate, "usual": object{"prompt": 4960, "answer": 1376},
		"delays": []object{{"delay_ms": 0.5}},
	}}
}

// instance is an entry instance and its present process.
type instance struct {
	bd                                          *bed
	name, zone, callers, readiness, peers, path string
	storeAddress                                string
	settings                                    object

	mu  sync.Mutex
	cmd *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
}

// freeAddress returns a loopback address whose port was just free.
func freeAddress() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// newInstances prepares instances in the given zones, with settings as the template of the deploy file gives them.
func (bd *bed) newInstances(zones ...string) ([]*instance, error) {
	var seeds []string
	for i, zone := range zones {
		in := &instance{bd: bd, name: fmt.Sprintf("edge-%s-%d", zone, i+1), zone: zone, storeAddress: bd.store.Address()}
		var metrics string
		for _, at := range []*string{&in.callers, &in.readiness, &in.peers, &metrics} {
			var err error
			if *at, err = freeAddress(); err != nil {
				return nil, err
			}
		}
		in.path = filepath.Join(bd.dir, in.name+".json")
		in.settings = object{
			"adapter": "platform", "callers": in.callers, "readiness": in.readiness, "peers": in.peers, "metrics": metrics, "megabits": 1000,
			"revocation_bound": revocationBound.String(), "leaving_bound": leavingBound.String(), "configuration_bound": applyBound.String(),
			"availability_zones": []string{"z1", "z2", "z3"}, "grace": grace.String(), "retry_share": 0.2, "retry_floor": 100,
			"retry_window": "10s",
		}
		bd.instances = append(bd.instances, in)
		if len(seeds) < 3 {
			seeds = append(seeds, in.peers)
		}
	}
	for _, in := range bd.instances {
		in.settings["seeds"], in.settings["store"] = seeds, in.storeAddress
	}
	return bd.instances, nil
}

// run starts a process with the command of the deploy file.
func (in *instance) run(firstStart bool) error {
	gw := object{}
	for k, v := range in.settings {
		gw[k] = v
	}
	gw["store"] = in.storeAddress
	if firstStart {
		gw["first_start"] = true
	}
	raw, err := json.Marshal(object{"instance": in.name, "availability_zone": in.zone, "gateway": gw})
	if err != nil {
		return err
	}
	if err := os.WriteFile(in.path, raw, 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(in.path+".log", os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cm := exec.Command("target/silvermount", "entry", "--settings", in.path)
	cm.Stdout, cm.Stderr = out, out
	// The kernel ends the process if this one is killed.
	cm.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cm.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	in.mu.Lock()
	in.cmd, in.ended = cm, ended
	in.mu.Unlock()
	in.bd.note("%s started as process %d", in.name, cm.Process.Pid)
	go func() {
		_ = cm.Wait()
		close(ended)
		in.bd.note("%s, process %d, ended: %s", in.name, cm.Process.Pid, cm.ProcessState)
	}()
	return nil
}

// signal sends a signal to the process of the instance.
func (in *instance) signal(sg syscall.Signal) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.cmd != nil {
		in.bd.note("%s gets %s", in.name, sg)
		_ = in.cmd.Process.Signal(sg) // fails if the process has ended
	}
}

func (in *instance) kill() { in.signal(syscall.SIGKILL) }

// runAll starts all instances and waits until they are ready.
func (bd *bed) runAll() error {
	for _, in := range bd.instances {
		if err := in.run(true); err != nil {
			return err
		}
	}
	for _, in := range bd.instances {
		if err := in.waitReady(); err != nil {
			return err
		}
	}
	return nil
}

const startTimeout = 25 * time.Second

func (in *instance) waitReady() error {
	cl := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := cl.Get("http://" + in.readiness + "/readyz")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			in.bd.note("%s is ready", in.name)
			return nil
		}
	}
	return errors.New(in.name + " did not become ready")
}
