package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"
)

// startTimeout bounds the wait until all instances are ready.
const startTimeout = 15 * time.Second

// instance is one process of the system.
type instance struct {
	name, callers, readiness string
	// addresses are those of callers, readiness, peers and metrics.
	addresses [4]string
	cmd       *exec.Cmd
	// up is set while clients may use the instance.
	up atomic.Bool
}

// freeAddress returns a loopback address with a port that is free now.
func freeAddress() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// startInstances starts the instances, and waits until the platform would send them connections.
func (bd *bed) startInstances() error {
	seeds := []string{}
	for no := range instanceCount {
		var addresses [4]string
		for i := range addresses {
			var err error
			if addresses[i], err = freeAddress(); err != nil {
				return err
			}
		}
		in := &instance{name: fmt.Sprintf("edge-%d", no), callers: addresses[0], readiness: addresses[1], addresses: addresses}
		settings := bd.settingsOf(no, addresses, seeds, true)
		if err := in.start(bd.dir, settings); err != nil {
			return err
		}
		bd.instances = append(bd.instances, in)
		seeds = append(seeds, addresses[2])
	}
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if bd.allReady() {
			return nil
		}
	}
	return fmt.Errorf("the instances are not ready after %s", startTimeout)
}

// settingsOf returns what deploy/settings.json.tmpl gives with the bounds of tywi-cyfeiriad.
func (bd *bed) settingsOf(no int, addresses [4]string, seeds []string, firstStart bool) object {
	return object{
		"instance": fmt.Sprintf("edge-%d", no), "availability_zone": zones[no%len(zones)],
		"gateway": object{
			"adapter": "platform", "callers": addresses[0], "readiness": addresses[1], "peers": addresses[2], "metrics": addresses[3],
			"seeds": seeds, "first_start": firstStart, "megabits": 1000, "store": bd.store.Address(), "revocation_bound": "5000ms",
			"leaving_bound": "2000ms", "configuration_bound": "2000ms", "availability_zones": zones, "grace": "8s", "retry_share": 0.2,
			"retry_floor": 100, "retry_window": "10s",
		},
	}
}

// start starts the process with the command of the deploy file.
func (in *instance) start(dir string, settings object) error {
	b, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	path := filepath.Join(dir, in.name+".json")
	if err := os.WriteFile(path, b, 0o600); err != nil {
		return err
	}
	logFile, err := os.Create(filepath.Join(dir, in.name+".log"))
	if err != nil {
		return err
	}
	defer logFile.Close()
	in.cmd = exec.Command("target/silvermount", "entry", "--settings", path)
	in.cmd.Stdout, in.cmd.Stderr = logFile, logFile
	if err := in.cmd.Start(); err != nil {
		return err
	}
	go in.awaitReady()
	return nil
}

// awaitReady lets clients use the instance once it is ready.
func (in *instance) awaitReady() {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if in.ready() {
			in.up.Store(true)
			return
		}
	}
}

func (in *instance) ready() bool {
	resp, err := http.Get("http://" + in.readiness + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (bd *bed) allReady() bool {
	for _, in := range bd.instances {
		if !in.up.Load() {
			return false
		}
	}
	return true
}

// seedsOf returns the addresses of the peers, as the platform gives them to an instance that starts again.
func (bd *bed) seedsOf() []string {
	var seeds []string
	for _, in := range bd.instances {
		seeds = append(seeds, in.addresses[2])
	}
	return seeds
}

// stop ends the process with a signal, and waits for its end. Clients that open connections go to the others from now on.
func (in *instance) stop(sig syscall.Signal) {
	in.up.Store(false)
	_ = in.cmd.Process.Signal(sig) // it may have ended by itself
	_ = in.cmd.Wait()              // the exit code of a process that was told to stop says nothing
}

func (in *instance) kill() {
	in.stop(syscall.SIGKILL)
}
