package peer

import "net"

// countingConn counts the bytes of a connection in its mesh.
type countingConn struct {
	net.Conn
	ms *Mesh
}

// Read reads from the connection and counts the received bytes.
func (cc *countingConn) Read(b []byte) (int, error) {
	n, err := cc.Conn.Read(b)
	cc.ms.BytesIn.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the sent bytes.
func (cc *countingConn) Write(b []byte) (int, error) {
	n, err := cc.Conn.Write(b)
	cc.ms.BytesOut.Add(int64(n))
	return n, err
}

type countingListener struct {
	net.Listener
	ms *Mesh
}

// Accept returns the next connection, wrapped to count its bytes.
func (cl *countingListener) Accept() (net.Conn, error) {
	c, err := cl.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, ms: cl.ms}, nil
}
