// Package jsonreply answers HTTP requests with a document.
package jsonreply

import (
	"encoding/json"
	"net/http"
)

// Write answers with a document.
func Write(w http.ResponseWriter, document any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(document) // one who has gone needs no answer
}
