// Package jsonreply writes JSON responses to HTTP requests.
package jsonreply

import (
	"encoding/json"
	"net/http"
)

// Write writes a document as a JSON response with status 200.
func Write(w http.ResponseWriter, document any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(document) // a write error means that the client is gone; there is nobody left to notify
}
