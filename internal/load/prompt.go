package load

import (
	"encoding/json"
	"math/rand/v2"
	"strings"
)

const wordLetters = "abcdefghijklmnopqrstuvwxyz"

// Prompt returns the prompt of an arrival, with four bytes per token. The same seed and index give the same text.
func Prompt(seed uint64, a Arrival) string {
	rnd := rand.New(rand.NewPCG(seed, uint64(a.Index)))
	var sb strings.Builder
	sb.Grow(4 * a.PromptTokens)
	word := [4]byte{3: ' '}
	for range a.PromptTokens {
		v := rnd.Uint32()
		for i := range 3 {
			word[i] = wordLetters[(v>>(8*i))%26]
		}
		sb.Write(word[:])
	}
	return sb.String()
}

type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

func encodeRequest(model, prompt string, output int) ([]byte, error) {
	return json.Marshal(completionRequest{Model: model, Prompt: prompt, MaxTokens: output, Stream: true})
}
