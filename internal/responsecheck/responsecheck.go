// Package responsecheck checks that what was read as the head of a response is one of HTTP/1. net/http reads others too.
package responsecheck

import (
	"net/http"
	"strconv"
)

// maxStatus is the highest status of HTTP.
const maxStatus = 599

// InvalidHeadError means that the head of a response names another protocol than HTTP/1, or a status that HTTP does not define for a
// request of ours.
type InvalidHeadError struct {
	// Protocol is the protocol of the status line, such as "HTTP/1.1".
	Protocol string
	Status   int
}

// Error includes the protocol and the status.
func (ie *InvalidHeadError) Error() string {
	return "invalid response head: " + ie.Protocol + " with status " + strconv.Itoa(ie.Status)
}

// Check returns an InvalidHeadError unless the head is that of an interim or a final response. A switch of protocols is neither, since no
// request asks for one.
func Check(resp *http.Response) error {
	if resp.ProtoMajor == 1 && resp.StatusCode >= http.StatusContinue && resp.StatusCode <= maxStatus && resp.StatusCode != http.StatusSwitchingProtocols {
		return nil
	}
	return &InvalidHeadError{Protocol: resp.Proto, Status: resp.StatusCode}
}
