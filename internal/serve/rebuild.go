package serve

import (
	"encoding/json"
	"strings"
)

// chunk is the part of a stream event that carries text.
type chunk struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// rebuild turns a request whose stream broke into one that goes on after what was passed on already.
// It reports false, and changes nothing, when the request cannot be continued.
func (sv *Server) rebuild(rq *request, sk *sink) bool {
	text, ok := textOf(sk.payloads)
	if !ok || len(sk.payloads) >= rq.output() {
		return false
	}
	var doc map[string]json.RawMessage
	if json.Unmarshal(rq.body, &doc) != nil {
		return false
	}
	if !appendPrompt(doc, text) && !appendMessage(doc, text) {
		return false
	}
	left := rq.output() - len(sk.payloads)
	doc["max_tokens"] = mustJSON(left)
	body, err := json.Marshal(doc)
	if err != nil {
		return false
	}
	rq.body = body
	rq.fields.MaxTokens = left
	sk.payloads = nil
	sv.count("streams_continued_elsewhere_total")
	return true
}

func textOf(payloads [][]byte) (string, bool) {
	var sb strings.Builder
	for _, p := range payloads {
		var c chunk
		if json.Unmarshal(p, &c) != nil || len(c.Choices) != 1 {
			return "", false
		}
		sb.WriteString(c.Choices[0].Text)
		sb.WriteString(c.Choices[0].Delta.Content)
	}
	return sb.String(), sb.Len() > 0
}

func appendPrompt(doc map[string]json.RawMessage, text string) bool {
	var prompt string
	if json.Unmarshal(doc["prompt"], &prompt) != nil {
		return false
	}
	doc["prompt"] = mustJSON(prompt + text)
	return true
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func appendMessage(doc map[string]json.RawMessage, text string) bool {
	var messages []json.RawMessage
	if json.Unmarshal(doc["messages"], &messages) != nil {
		return false
	}
	messages = append(messages, mustJSON(chatMessage{Role: "assistant", Content: text}))
	doc["messages"] = mustJSON(messages)
	// The engine goes on with the last message instead of starting another.
	doc["continue_final_message"] = mustJSON(true)
	doc["add_generation_prompt"] = mustJSON(false)
	return true
}

// mustJSON encodes a value of a type that always encodes.
func mustJSON(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		return json.RawMessage("null")
	}
	return b
}
