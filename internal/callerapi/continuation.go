package callerapi

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

// rebuildForContinuation changes a request whose stream was interrupted so that another target continues after the text that
// the caller has received. It reports false, and changes nothing, if the request cannot be continued.
func (sv *Server) rebuildForContinuation(rq *request, sk *sink) bool {
	text, ok := textFromEvents(sk.payloads)
	if !ok || len(sk.payloads) >= rq.maxOutputTokens() {
		return false
	}
	var doc map[string]json.RawMessage
	if json.Unmarshal(rq.body, &doc) != nil {
		return false
	}
	if !appendPrompt(doc, text) && !appendMessage(doc, text) {
		return false
	}
	remainingTokens := rq.maxOutputTokens() - len(sk.payloads)
	doc["max_tokens"] = mustJSON(remainingTokens)
	body, err := json.Marshal(doc)
	if err != nil {
		return false
	}
	rq.body = body
	rq.fields.MaxTokens = remainingTokens
	sk.payloads = nil
	sv.incCounter("streams_continued_elsewhere_total")
	return true
}

// textFromEvents returns the text of the given events. It reports false if an event has no single choice, or if there is no
// text.
func textFromEvents(payloads [][]byte) (string, bool) {
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

// appendPrompt appends text to the prompt of a text completion. It reports false if the document has none.
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

// appendMessage appends text to a chat completion as an assistant message that the engine has to continue. It reports false
// if the document has no messages.
func appendMessage(doc map[string]json.RawMessage, text string) bool {
	var messages []json.RawMessage
	if json.Unmarshal(doc["messages"], &messages) != nil {
		return false
	}
	messages = append(messages, mustJSON(chatMessage{Role: "assistant", Content: text}))
	doc["messages"] = mustJSON(messages)
	// The engine continues the last message instead of beginning a new one.
	doc["continue_final_message"] = mustJSON(true)
	doc["add_generation_prompt"] = mustJSON(false)
	return true
}

// mustJSON encodes a value of a type whose encoding cannot fail.
func mustJSON(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		return json.RawMessage("null")
	}
	return b
}
