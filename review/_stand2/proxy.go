package main

import (
	"io"
	"net"
	"sync"
)

// proxy forwards TCP connections to one address. Its open connections can be made silent for good: they stay open and carry nothing any
// more, while new connections work.
type proxy struct {
	address, target string
	listener        net.Listener
	mu              sync.Mutex
	open            map[*link]struct{}
}

type link struct {
	mu     sync.Mutex
	silent bool
}

func startProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	px := &proxy{address: l.Addr().String(), target: target, listener: l, open: map[*link]struct{}{}}
	go px.run()
	return px, nil
}

func (px *proxy) run() {
	for {
		client, err := px.listener.Accept()
		if err != nil {
			return
		}
		go px.forward(client)
	}
}

func (px *proxy) forward(client net.Conn) {
	server, err := net.Dial("tcp", px.target)
	if err != nil {
		client.Close()
		return
	}
	lk := &link{}
	px.mu.Lock()
	px.open[lk] = struct{}{}
	px.mu.Unlock()
	done := make(chan struct{}, 2)
	go func() { lk.copy(server, client); done <- struct{}{} }()
	go func() { lk.copy(client, server); done <- struct{}{} }()
	<-done
	lk.mu.Lock()
	silent := lk.silent
	lk.mu.Unlock()
	if silent {
		// Nothing reaches the other side, not even the end of the connection.
		<-done
	}
	client.Close()
	server.Close()
	px.mu.Lock()
	delete(px.open, lk)
	px.mu.Unlock()
}

// copy forwards one direction until it ends. What arrives on a silent connection is dropped.
func (lk *link) copy(to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		lk.mu.Lock()
		silent := lk.silent
		lk.mu.Unlock()
		if n > 0 && !silent {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err == io.EOF && silent || err != nil {
			return
		}
	}
}

// silence makes the open connections silent for good, and returns how many there are.
func (px *proxy) silence() int {
	px.mu.Lock()
	defer px.mu.Unlock()
	for lk := range px.open {
		lk.mu.Lock()
		lk.silent = true
		lk.mu.Unlock()
	}
	return len(px.open)
}

func (px *proxy) close() { px.listener.Close() }
