package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	streamEvents  = 30
	eventInterval = 100 * time.Millisecond
	// killAfter is when the second instance is killed, counted from the first event: in the middle of the stream.
	killAfter = 1250 * time.Millisecond
	// shortQueue is the length of the engine's queue of new connections.
	shortQueue = 1
	// queueFullFor is how long the queue stays full after the request was sent.
	queueFullFor = 25 * time.Millisecond
	maxTries     = 20
)

// shortPrompt is an ordinary prompt.
var shortPrompt = usage{prompt: 4960, answer: 1400}

// shortListener listens with a short queue of new connections.
func shortListener() (net.Listener, string, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, "", err
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return nil, "", err
	}
	if err := syscall.Listen(fd, shortQueue); err != nil {
		return nil, "", err
	}
	f := os.NewFile(uintptr(fd), "engine")
	defer f.Close()
	ln, err := net.FileListener(f)
	if err != nil {
		return nil, "", err
	}
	return ln, ln.Addr().String(), nil
}

// streamEngine answers each request with a stream that has neither a length nor chunks and ends with the connection.
type streamEngine struct {
	bd *bed
	ln net.Listener
	// gate is locked while the engine accepts no connections.
	gate sync.Mutex
	// begun receives the time of the first event of each stream.
	begun chan time.Time
}

func (se *streamEngine) serve() {
	for {
		se.gate.Lock()
		se.gate.Unlock() //nolint:staticcheck // it only waits
		nc, err := se.ln.Accept()
		if err != nil {
			return
		}
		go se.answer(nc)
	}
}

func (se *streamEngine) answer(nc net.Conn) {
	defer nc.Close()
	rq, err := http.ReadRequest(bufio.NewReader(nc))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, rq.Body); err != nil {
		return
	}
	id := rq.Header.Get("X-Attempt-Id")
	se.bd.note("engine runs %s, Last-Event-Id %q", id, rq.Header.Get("Last-Event-Id"))
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\nX-Attempt-Id: " + id + "\r\nX-Engine-Signature: sig." + id + "\r\n\r\n"
	if _, err := io.WriteString(nc, head); err != nil {
		return
	}
	for n := range streamEvents {
		if n == 0 {
			se.begun <- time.Now()
		}
		if _, err := io.WriteString(nc, event(n)); err != nil {
			se.bd.note("engine could not send event %d of %s: %v", n, id, err)
			return
		}
		time.Sleep(eventInterval)
	}
	se.bd.note("engine sent all %d events of %s", streamEvents, id)
}

func event(n int) string { return fmt.Sprintf("id: %d\ndata: piece-%d\n\n", n, n) }

// answer is what a client received.
type answer struct {
	status int
	body   string
	// err is set if the answer did not end in order.
	err error
}

// sharedPart is the part that all prompts begin with.
const sharedPart = "ab12"

// usage is the number of tokens of a prompt and of its answer.
type usage struct{ prompt, answer int }

func (us usage) String() string { return fmt.Sprintf("%d,%d", us.prompt, us.answer) }

func send(address, path, id, key string, us usage, timeout time.Duration) answer {
	rq, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader(strings.Repeat("x", 1200)))
	if err != nil {
		return answer{err: err}
	}
	rq.Host = host
	for k, v := range map[string]string{
		"X-Attempt-Id": id, "X-Deadline-Ms": fmt.Sprint(timeout.Milliseconds()), "Authorization": "Bearer " + key,
		"X-Model": "m", "X-Token-Usage": us.String(), "X-Prompt-Prefix": fmt.Sprintf("%s:40,%s:%d", sharedPart, id, us.prompt-40),
	} {
		rq.Header.Set(k, v)
	}
	cl := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := cl.Do(rq)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, body: string(body), err: err}
}

// tunnelEnd kills an instance through which another one receives a stream that ends with its connection.
func tunnelEnd(bd *bed) error {
	ln, address, err := shortListener()
	if err != nil {
		return err
	}
	se := &streamEngine{bd: bd, ln: ln, begun: make(chan time.Time, 1)}
	bd.onClose(func() { ln.Close() })
	go se.serve()
	if err := bd.put("servers", "i-1", object{
		"service": "engines", "address": address, "zone": "z1", "version": "1", "slots": 16, "state": "ready", "cold_remaining_ms": 0, "sequence": 1,
	}); err != nil {
		return err
	}
	if _, err := bd.configure([]route{{name: "stream", kind: "streaming", service: "engines", timeout: 10 * time.Second, objective: 300 * time.Millisecond, attempts: 2, resumable: true}},
		[]object{modelService("engines")}, map[string][]string{"t1": {"key1"}}); err != nil {
		return err
	}
	ins, err := bd.newInstances("z1", "z2")
	if err != nil {
		return err
	}
	if err := bd.runAll(); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	for try := range maxTries {
		through, err := bd.streamOnce(se, ins, address, try)
		if err != nil || through {
			return err
		}
	}
	return fmt.Errorf("the stream never ran through the second instance in %d tries", maxTries)
}

// streamOnce requests one stream while the engine's queue of new connections is full. It reports whether the stream came through the second
// instance.
func (bd *bed) streamOnce(se *streamEngine, ins []*instance, address string, try int) (bool, error) {
	se.gate.Lock()
	// The first of these ends the present call of Accept; the next ones stay in the queue.
	fillers := fillQueue(address)
	id := fmt.Sprintf("%016x", 0xa0000+try)
	result := make(chan answer, 1)
	sentAt := time.Now()
	bd.note("client sends %s to %s", id, ins[0].name)
	go func() { result <- send(ins[0].callers, "/stream/"+id, id, "key1", shortPrompt, 10*time.Second) }()
	time.Sleep(queueFullFor)
	se.gate.Unlock()
	for _, nc := range fillers {
		nc.Close()
	}
	var begunAt time.Time
	select {
	case begunAt = <-se.begun:
	case an := <-result:
		bd.note("no stream: status %d, %v", an.status, an.err)
		return false, nil
	}
	// A direct connection comes at once or, if its first packet was dropped, after a second.
	took := begunAt.Sub(sentAt)
	through := took > 40*time.Millisecond && took < 800*time.Millisecond
	bd.note("the stream began %s after the request; through %s: %v", took.Round(time.Millisecond), ins[1].name, through)
	if through && bd.trouble {
		time.Sleep(time.Until(begunAt.Add(killAfter)))
		ins[1].kill()
	}
	an := <-result
	events := strings.Count(an.body, "\n\n")
	bd.note("client got status %d, %d events of %d, error %v", an.status, events, streamEvents, an.err)
	if an.err == nil && an.status == http.StatusOK && events < streamEvents {
		return true, fmt.Errorf("%w: the answer to %s ended as complete after %d of %d events", errBroken, id, events, streamEvents)
	}
	return through, nil
}

// fillQueue opens connections to an address until its queue takes no more.
func fillQueue(address string) []net.Conn {
	var all []net.Conn
	for range shortQueue + 3 {
		nc, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
		if err != nil {
			break
		}
		all = append(all, nc)
	}
	return all
}
