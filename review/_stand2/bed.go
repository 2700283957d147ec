package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// record is the file that a case writes.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (rc *record) log(format string, args ...any) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(rc.start).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(rc.file, line)
}

// say writes a line to the record and to standard output.
func (rc *record) say(format string, args ...any) {
	rc.log(format, args...)
	fmt.Printf(format+"\n", args...)
}

// instance is one process of the system.
type instance struct {
	name, callers, readiness, peers, metrics, store, settings string
	cmd                                                       *exec.Cmd
	exited                                                    chan struct{}
	log                                                       string
}

// bed is a small deployment: a store, engines and instances.
type bed struct {
	dir       string
	rec       *record
	store     *store
	instances []*instance
	engines   []*engine
	bounds    bounds
	// ports holds the ports that are given to instances.
	ports  map[int]bool
	closed sync.Once
}

// bounds are those of the small site files.
type bounds struct {
	revokeMS, drainMS, configMS, graceS int
}

var smallBounds = bounds{revokeMS: 5000, drainMS: 2000, configMS: 2000, graceS: 8}

var zones = []string{"zone-a", "zone-b", "zone-c"}

const (
	// firstPort and portCount bound the ports of the instances. They lie below those that the kernel gives to outgoing connections.
	firstPort = 12000
	portCount = 18000
)

// freePort returns a port that is free now, and that no earlier call returned.
func (bd *bed) freePort() int {
	for {
		port := firstPort + rand.IntN(portCount)
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		l.Close()
		if !bd.ports[port] {
			bd.ports[port] = true
			return port
		}
	}
}

func newBed(rec *record) (*bed, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	st, err := newStore()
	if err != nil {
		return nil, err
	}
	bd := &bed{dir: dir, rec: rec, store: st, bounds: smallBounds, ports: map[int]bool{}}
	bd.closeOnSignal()
	return bd, nil
}

// closeOnSignal ends everything that the bed started when the case is ended from outside or takes too long.
func (bd *bed) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-signals:
		case <-time.After(maxCaseTime):
		}
		bd.close()
		os.Exit(notRun)
	}()
}

// maxCaseTime bounds a case.
const maxCaseTime = 110 * time.Second

// addEngine starts an engine and writes its entry.
func (bd *bed) addEngine(id, service, zone string, work time.Duration) (*engine, error) {
	en, err := startEngine(id, service, zone, work, bd.rec)
	if err != nil {
		return nil, err
	}
	bd.engines = append(bd.engines, en)
	bd.store.put("servers", id, en.entry("ready"))
	return en, nil
}

// addInstance prepares an instance. storeAddress is the way to the store.
func (bd *bed) addInstance(name, storeAddress string) *instance {
	at := func() string { return fmt.Sprintf("127.0.0.1:%d", bd.freePort()) }
	in := &instance{name: name, callers: at(), readiness: at(), peers: at(), metrics: at(), store: storeAddress}
	in.settings = filepath.Join(bd.dir, name+".json")
	in.log = filepath.Join(bd.dir, name+".log")
	bd.instances = append(bd.instances, in)
	return in
}

// start writes the settings of an instance as deploy/settings.json.tmpl lays them out, and starts it as deploy/system.toml does.
func (bd *bed) start(in *instance, firstStart bool) error {
	var seeds []string
	zone := zones[0]
	for i, other := range bd.instances {
		if len(seeds) < 3 {
			seeds = append(seeds, other.peers)
		}
		if other == in {
			zone = zones[i%len(zones)]
		}
	}
	gw := map[string]any{
		"adapter": "platform", "callers": in.callers, "readiness": in.readiness, "peers": in.peers, "metrics": in.metrics, "seeds": seeds,
		"megabits": 1000, "store": in.store, "revocation_bound": fmt.Sprintf("%dms", bd.bounds.revokeMS),
		"leaving_bound": fmt.Sprintf("%dms", bd.bounds.drainMS), "configuration_bound": fmt.Sprintf("%dms", bd.bounds.configMS),
		"availability_zones": zones, "grace": fmt.Sprintf("%ds", bd.bounds.graceS), "retry_share": 0.2, "retry_floor": 100, "retry_window": "10s",
	}
	if firstStart {
		gw["first_start"] = true
	}
	b, err := json.MarshalIndent(map[string]any{"instance": in.name, "availability_zone": zone, "gateway": gw}, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(in.settings, b, 0o600); err != nil {
		return err
	}
	logFile, err := os.OpenFile(in.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logFile.Close()
	in.cmd = exec.Command("target/silvermount", "entry", "--settings", in.settings)
	in.cmd.Stdout, in.cmd.Stderr = logFile, logFile
	if err := in.cmd.Start(); err != nil {
		return err
	}
	in.exited = make(chan struct{})
	go func() { _ = in.cmd.Wait(); close(in.exited) }()
	bd.rec.log("start %s, pid %d", in.name, in.cmd.Process.Pid)
	return nil
}

// startAll starts all instances and waits until they are ready.
func (bd *bed) startAll() error {
	for _, in := range bd.instances {
		if err := bd.start(in, true); err != nil {
			return err
		}
	}
	for _, in := range bd.instances {
		if err := in.waitReady(20 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

func (in *instance) waitReady(timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + in.readiness + "/readyz")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready; the end of its log: %s", in.name, in.lastLog())
}

// lastLog returns the end of the log of the instance.
func (in *instance) lastLog() string {
	const maxBytes = 1000
	b, err := os.ReadFile(in.log)
	if err != nil {
		return err.Error()
	}
	return string(b[max(0, len(b)-maxBytes):])
}

// close ends all processes and stand-ins that the bed started.
func (bd *bed) close() { bd.closed.Do(bd.closeOnce) }

func (bd *bed) closeOnce() {
	for _, in := range bd.instances {
		if in.cmd == nil {
			continue
		}
		_ = in.cmd.Process.Signal(syscall.SIGCONT)
		_ = in.cmd.Process.Kill()
		<-in.exited
	}
	for _, en := range bd.engines {
		en.stop()
	}
	_ = bd.store.server.Close()
	_ = os.RemoveAll(bd.dir)
}

// operatorConfig is a configuration with a safe and an unsafe route to one service.
type operatorConfig struct {
	version int
	service string
	tenants []map[string]any
}

func (oc operatorConfig) spec() map[string]any {
	route := func(name, prefix, kind string) map[string]any {
		return map[string]any{
			"name": name, "hostname": host, "path_prefix": prefix, "type": kind, "timeout_ms": 4000, "slo_ms": 300, "priority": 2,
			"service": oc.service, "max_attempts": 2, "public": false, "session_affinity": false, "stream_resume": false,
		}
	}
	limits := map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
	return map[string]any{
		"version": oc.version,
		"routes":  []any{route("r-safe", safePrefix, "safe"), route("r-unsafe", unsafePrefix, "unsafe")},
		"services": []any{map[string]any{
			"name": oc.service, "health_check_path": "/healthz", "max_connections": 264, "protocol": "h1", "tls": false,
		}},
		"limits": limits, "tenants": oc.tenants,
	}
}

const (
	host         = "ficu95.example"
	safePrefix   = "/falf1/"
	unsafePrefix = "/mesu1/"
)
